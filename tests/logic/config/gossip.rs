//! Settings that reach an instance through its peers.

use std::time::Duration;

use oriolefork::config::gossip::worst_by_domain;
use oriolefork::config::{Change, Message, Preset};

use super::fleet::Fleet;

const PEAK: Change = Change::Preset(Preset::Peak);
const ORDINARY: Change = Change::Preset(Preset::Ordinary);

/// Accepts a change through the first instance; only the instances in `readers` read the log.
fn accept(fleet: &mut Fleet, base: u64, change: Change, readers: &[usize]) {
    fleet.publish(0, "ana", base, change);
    fleet.flush(0);
    for reader in readers {
        fleet.read(*reader);
    }
}

/// Lets time pass with gossip, while the instances in `readers` read the log.
fn pass(fleet: &mut Fleet, span: Duration, readers: &[usize]) {
    const STEP: Duration = Duration::from_millis(250);
    for _ in 0..(span.as_millis() / STEP.as_millis()) {
        fleet.advance(STEP);
        for index in 0..fleet.nodes.len() {
            if readers.contains(&index) {
                fleet.read(index);
            } else {
                fleet.tell(index, Message::ReadFailed);
            }
            fleet.tick(index);
        }
        fleet.gossip(|_, _| true);
    }
}

#[test]
fn gossip_reaches_domain_without_log() {
    // kurow-hall loses the platform but not its neighbours. An operator puts "peak" in force
    // through oamaru-hall; kurow-hall must follow within the 4 s that all domains have.
    let mut fleet = Fleet::new(&["oamaru-hall", "palmerston-hall", "kurow-hall", "kurow-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, PEAK, &[0, 1]);
    pass(&mut fleet, Duration::from_secs(4), &[0, 1]);
    assert_eq!(fleet.version(2), Some(1));
    assert_eq!(fleet.version(3), Some(1));
}

#[test]
fn gossip_stale_value_is_ignored() {
    // An instance was cut off before the preset changed twice. When the partition heals, its old
    // value arrives at the others, late and more than once. Nobody goes back to it.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, PEAK, &[0, 1]);
    let stale = fleet.nodes[1].machine.state().unwrap().clone();
    accept(&mut fleet, 1, ORDINARY, &[0]);
    for _ in 0..2 {
        fleet.tell(0, Message::StateReceived(stale.clone()));
        assert_eq!(fleet.version(0), Some(2));
    }
    fleet.read(1);
    assert_eq!(fleet.version(1), Some(2));
}

#[test]
fn gossip_longer_log_with_smaller_version_is_ignored() {
    // A peer claims to have read further but shows a smaller version, which a log that lost
    // records could bring about. The value in force must not go back.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    let mut odd = fleet.nodes[1].machine.state().unwrap().clone();
    odd.next = 50;
    accept(&mut fleet, 0, PEAK, &[0]);
    fleet.tell(0, Message::StateReceived(odd));
    assert_eq!(fleet.version(0), Some(1));
}

#[test]
fn gossip_skips_record_of_waiting_publisher() {
    // The publisher's reader hangs after its append. A peer reads on and sends its state, which
    // already holds the change. The operator is answered from that state.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    let id = fleet.publish(0, "ana", 0, PEAK);
    fleet.flush(0);
    fleet.read(1);
    let state = fleet.nodes[1].machine.state().unwrap().clone();
    fleet.tell(0, Message::StateReceived(state));
    assert!(fleet.nodes[0].answers.contains_key(&id));
}

#[test]
fn gossip_leaves_value_to_working_log() {
    // Every instance reads the log in time: digests alone travel, no state.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall", "palmerston-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, PEAK, &[0]);
    fleet.gossip(|_, _| true);
    fleet.read_all();
    fleet.advance(Duration::from_secs(1));
    for index in 0..3 {
        fleet.tick(index);
        assert!(fleet.nodes[index].fetches.is_empty());
    }
}

#[test]
fn restart_old_prefix_is_not_in_force() {
    // An instance showed version 2 and is replaced. The new process reads the log page by page and
    // first sees version 1. Showing it would revert the preset for a moment.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, PEAK, &[0, 1]);
    accept(&mut fleet, 1, ORDINARY, &[0, 1]);
    fleet.restart(1);
    let mut page = fleet.log.page(0);
    page.records.truncate(1);
    fleet.tell(1, Message::Page(page));
    assert_eq!(fleet.version(1), None);
    fleet.read(1);
    assert_eq!(fleet.version(1), Some(2));
}

#[test]
fn restart_in_outage_hears_peers() {
    // The log is down while an instance is replaced. It takes the value from a peer.
    let mut fleet = Fleet::new(&["oamaru-hall", "oamaru-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, PEAK, &[0, 1]);
    fleet.restart(1);
    assert_eq!(fleet.version(1), None);
    pass(&mut fleet, Duration::from_secs(3), &[]);
    assert_eq!(fleet.version(1), Some(1));
}

#[test]
fn restart_with_log_waits_for_log() {
    // A restarted instance hears a peer that lags behind, while the log answers. The peer's value
    // may be older than what this instance showed before, so it waits for the log.
    let mut fleet = Fleet::new(&["oamaru-hall", "kurow-hall"]);
    fleet.read_all();
    accept(&mut fleet, 0, PEAK, &[0, 1]);
    let lagging = fleet.nodes[1].machine.state().unwrap().clone();
    accept(&mut fleet, 1, ORDINARY, &[0]);
    fleet.restart(0);
    let mut page = fleet.log.page(0);
    page.records.clear();
    fleet.tell(0, Message::Page(page));
    fleet.tell(0, Message::StateReceived(lagging));
    assert_eq!(fleet.version(0), None);
    fleet.read(0);
    assert_eq!(fleet.version(0), Some(2));
}

#[test]
fn standings_show_age_of_cut_off_domain() {
    // A whole domain is cut off from log and peers for 30 s. Status elsewhere must show how old
    // what it last said is, and its own status that nothing has confirmed its value since.
    let mut fleet = Fleet::new(&["oamaru-hall", "palmerston-hall", "kurow-hall"]);
    fleet.read_all();
    pass(&mut fleet, Duration::from_secs(20), &[0, 1, 2]);
    for _ in 0..60 {
        fleet.advance(Duration::from_millis(500));
        for index in 0..3 {
            fleet.tick(index);
        }
        fleet.read(0);
        fleet.read(1);
        fleet.gossip(|from, to| from != 2 && to != 2);
    }
    let recent = Duration::from_secs(10);
    let here = worst_by_domain(&fleet.nodes[0].machine.sync_statuses(fleet.now), recent);
    assert!(here[&"kurow-hall".into()].heard >= Duration::from_secs(30));
    assert!(here[&"palmerston-hall".into()].heard < recent);
    let there = worst_by_domain(&fleet.nodes[2].machine.sync_statuses(fleet.now), recent);
    assert!(there[&"kurow-hall".into()].confirmed.unwrap() >= Duration::from_secs(30));
}
