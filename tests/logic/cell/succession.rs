//! The order in which instances take over from an owner.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oriolefork::cell::machine::Message;
use oriolefork::cell::timings::PEER_TIMEOUT;
use oriolefork::cell::watch::{Hold, SUCCESSORS};
use oriolefork::clock::Instant;
use test_case::test_case;

use super::harness::OwnerHarness;

/// Number of failure domains of a large site.
const DOMAINS: u8 = 5;

fn peer(domain: u8, number: u8) -> SocketAddr {
    SocketAddr::from(([10, domain, 0, number], 7_160))
}

/// A network cut of one failure domain affects the owner and, where successors are ordered by
/// address, all instances that would take over first, since their addresses are adjacent. Instances
/// elsewhere then start with megabytes of journal to replay.
#[test_case(3; "with_few_strong_ones")]
#[test_case(20; "with_many_strong_ones")]
fn succession_begins_in_different_domains(strong: u8) {
    let mut harness = OwnerHarness::new(1);
    for domain in 0..DOMAINS {
        for number in 0..20 {
            let cpu_millis = if number < strong { 500 } else { 120 };
            let (peer, domain) = (peer(domain, number), format!("hall-{domain}").into());
            harness.deliver(Message::InstanceSeen { peer, cpu_millis, domain });
        }
    }
    let order = harness.machine.present_instances(Instant::from_millis(harness.now));
    let domain = |peer: &SocketAddr| match peer.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[1],
        std::net::IpAddr::V6(_) => unreachable!("all have version 4"),
    };
    let first: BTreeSet<u8> = order.iter().take(DOMAINS.into()).map(domain).collect();
    assert_eq!(first.len(), usize::from(DOMAINS), "{order:?}");
}

/// A weak instance owned the cell and was overloaded by the owner's work while strong ones
/// followed. Instances with the most CPU come first, whatever their failure domain.
#[test]
fn succession_begins_with_the_strongest() {
    let mut harness = OwnerHarness::new(1);
    let names = ["hall-0", "hall-0", "hall-1"];
    for (number, (cpu_millis, domain)) in [120, 500, 500].into_iter().zip(names).enumerate() {
        let peer = peer(0, number as u8);
        harness.deliver(Message::InstanceSeen { peer, cpu_millis, domain: domain.into() });
    }
    let order = harness.machine.present_instances(Instant::from_millis(harness.now));
    assert_eq!(order, [peer(0, 1), peer(0, 2), peer(0, 0)]);
}

/// On a site of hundreds of instances the owner sent each of them the whole order several times a
/// second, and had no time left for placement. An instance that has the current order gets only its
/// digest.
#[test]
fn succession_keeps_its_digest_until_it_changes() {
    let mut harness = OwnerHarness::new(1);
    let present = |harness: &mut OwnerHarness, number: u8| {
        let peer = peer(0, number);
        harness.deliver(Message::InstanceSeen { peer, cpu_millis: 500, domain: "hall".into() });
    };
    (0..3).for_each(|number| present(&mut harness, number));
    harness.advance(200);
    let all = harness.machine.succession().clone();
    assert_eq!(all.order.len(), 3);
    (0..3).for_each(|number| present(&mut harness, number));
    harness.advance(200);
    assert_eq!(harness.machine.succession().digest, all.digest);
    for _ in 0..10 {
        (0..2).for_each(|number| present(&mut harness, number));
        harness.advance(200);
    }
    let left = harness.machine.succession();
    assert_eq!(left.order.len(), 2);
    assert_ne!(left.digest, all.digest);
}

/// Instances that wait for a longer hold counted as gone between two of their requests: the order
/// changed at each ranking, and the policy service was queried through a part of them only.
#[test]
fn instances_with_an_extended_hold_stay_present() {
    let mut harness = OwnerHarness::new(1);
    let addresses = || (0..12).flat_map(|domain| (0..250).map(move |number| peer(domain, number)));
    let all_seen = |harness: &mut OwnerHarness| {
        for peer in addresses() {
            harness.deliver(Message::InstanceSeen { peer, cpu_millis: 500, domain: "hall".into() });
        }
    };
    all_seen(&mut harness);
    harness.advance(200);
    all_seen(&mut harness);
    let digest = harness.machine.succession().digest;
    let hold = Hold::new(Some(SUCCESSORS), addresses().count()).duration();
    assert!(hold > PEER_TIMEOUT);
    harness.advance(hold.as_millis() as u64);
    let present = harness.machine.present_instances(Instant::from_millis(harness.now));
    assert_eq!(present.len(), 3_000);
    assert_eq!(harness.machine.succession().digest, digest);
}

/// Guards against a new owner of many instances whose link and thread are taken by the order of
/// succession: it sent all of it to each of a thousand followers, again with each one that came.
#[test_case(300, true; "few_instances")]
#[test_case(301, false; "many_instances")]
fn changed_order_is_sent_at_once(instances: u16, to_the_last: bool) {
    let mut harness = OwnerHarness::new(1);
    for number in 0..instances {
        let peer = peer((number / 200) as u8, (number % 200) as u8);
        harness.deliver(Message::InstanceSeen { peer, cpu_millis: 500, domain: "hall".into() });
    }
    harness.advance(200);
    let order = harness.machine.succession().order.clone();
    let (first, last) = (order[0], order[order.len() - 1]);
    let is_wanted = |harness: &OwnerHarness, follower: &SocketAddr, known: u64| {
        let now = Instant::from_millis(harness.now);
        harness.machine.succession().is_wanted_by(follower, known, now)
    };
    assert_eq!(order.len(), usize::from(instances));
    assert!(is_wanted(&harness, &first, 0), "the first take over soon");
    assert_eq!(is_wanted(&harness, &last, 0), to_the_last);
    let digest = harness.machine.succession().digest;
    assert!(!is_wanted(&harness, &first, digest), "it knows the order");
    for _ in 0..20 {
        harness.advance(100);
        for number in 0..instances {
            let peer = peer((number / 200) as u8, (number % 200) as u8);
            harness.deliver(Message::InstanceSeen { peer, cpu_millis: 500, domain: "hall".into() });
        }
    }
    assert!(is_wanted(&harness, &last, 0), "nothing has changed for a while");
}
