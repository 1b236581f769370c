//! The order in which instances would take the cell over.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Machine;
use super::proxy::PolicyProxy;
use crate::cell::timings::PEER_TIMEOUT;
use crate::cell::watch::{Hold, SUCCESSORS};
use crate::clock::Instant;

/// Interval between two rankings: shorter than the time for which an instance that follows the
/// owner waits for its answer.
const RANKING_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of instances that are sent each change of the order at once.
const MAX_UNSETTLED: usize = 300;

/// Number of instances, the first in the order, that are sent each change on any site.
const FIRST: usize = 2 * SUCCESSORS as usize;

/// Time without a change after which the others are sent the order.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// The order in which instances would take the cell over, as last computed.
///
/// Each instance receives it several times a second. Computing and sending all of it each time
/// would take time that grows with the square of the number of instances. It is computed at
/// intervals, and an instance receives the list only if its digest differs.
#[derive(Clone, Debug, Default)]
pub struct Succession {
    /// Instances that follow the owner, first to take over first.
    pub order: Rc<[SocketAddr]>,
    /// Digest of the list; zero if it is empty.
    pub digest: u64,
    /// Most CPU that any instance may use, in thousandths of a core.
    pub(super) strongest: u32,
    /// When the order last changed.
    changed: Instant,
    next_ranking: Instant,
}

impl Succession {
    /// Whether `follower`, which knows the order with the digest `known`, is to be sent the present
    /// one.
    ///
    /// Guards against a new owner of a thousand instances that sends each of them a list of all
    /// again and again while they begin to follow it. Those that would not take over soon receive
    /// the list once it has not changed for a while.
    pub fn is_wanted_by(&self, follower: &SocketAddr, known: u64, now: Instant) -> bool {
        let is_long = self.order.len() > MAX_UNSETTLED;
        let is_settled = now.since(self.changed) >= SETTLING_TIME;
        let is_among_first = || self.order.iter().take(FIRST).any(|peer| peer == follower);
        let is_known = self.digest != 0 && self.digest == known;
        !is_known && (!is_long || is_settled || is_among_first())
    }
}

impl Machine {
    /// Returns the instances that are present, in order of succession. Those with more CPU come
    /// first, because the owner does most of the work and instances differ by a factor of four.
    /// Among instances with equal CPU, failure domains alternate, so that losing one domain leaves
    /// most of the first instances.
    pub fn present_instances(&self, now: Instant) -> Vec<SocketAddr> {
        let fresh = self.proxies.iter().filter(|(_, proxy)| proxy.is_fresh(now));
        let mut counts: BTreeMap<(u32, &str), u32> = BTreeMap::new();
        let mut ranked: Vec<(Reverse<u32>, u32, SocketAddr)> = Vec::new();
        for (peer, proxy) in fresh {
            let turn = counts.entry((proxy.cpu_millis, &proxy.domain)).or_insert(0);
            ranked.push((Reverse(proxy.cpu_millis), *turn, *peer));
            *turn += 1;
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., peer)| peer).collect()
    }

    /// Returns the order of succession as last computed.
    pub const fn succession(&self) -> &Succession {
        &self.succession
    }

    /// Notes that an instance follows the owner. It counts as present until its next requests are
    /// overdue, which depends on the longest hold among followers.
    pub(super) fn note_instance(&mut self, peer: SocketAddr, cpu_millis: u32, domain: Rc<str>) {
        let now = self.now;
        let longest = Hold::new(Some(SUCCESSORS), self.succession.order.len());
        let proxy = self.proxies.entry(peer);
        let proxy = proxy.or_insert_with(|| PolicyProxy::new(cpu_millis, domain, now));
        proxy.present_until = now.after(PEER_TIMEOUT + longest.extension());
    }

    /// Notes the instance that runs this owner.
    pub fn note_self(&mut self, peer: SocketAddr, cpu_millis: u32, domain: Rc<str>) {
        self.own_address = Some(peer);
        self.note_instance(peer, cpu_millis, domain);
    }

    /// Lets the owner query the policy service itself while no other instance follows it.
    ///
    /// Guards against accepted jobs that never start at the only instance that is left.
    fn stand_in_for_followers(&mut self) {
        let Some(own) = self.own_address else { return };
        let is_followed =
            self.proxies.iter().any(|(peer, proxy)| *peer != own && proxy.is_fresh(self.now));
        if !is_followed && let Some(proxy) = self.proxies.get_mut(&own) {
            proxy.present_until = self.now.after(PEER_TIMEOUT);
        }
    }

    /// Recomputes the order of succession if it is due.
    pub(super) fn rank_instances(&mut self) {
        if self.now < self.succession.next_ranking {
            return;
        }
        self.stand_in_for_followers();
        let order = self.present_instances(self.now);
        let fresh = self.proxies.values().filter(|proxy| proxy.is_fresh(self.now));
        let strongest = fresh.map(|proxy| proxy.cpu_millis).max().unwrap_or(0);
        self.succession.next_ranking = self.now.after(RANKING_INTERVAL);
        self.succession.strongest = strongest;
        if *order != *self.succession.order {
            self.succession.digest = digest(&order);
            self.succession.order = order.into();
            self.succession.changed = self.now;
        }
    }
}

/// Returns a digest of the list; zero if it is empty.
fn digest(order: &[SocketAddr]) -> u64 {
    if order.is_empty() {
        return 0;
    }
    let text: Vec<String> = order.iter().map(ToString::to_string).collect();
    xxhash_rust::xxh3::xxh3_64(text.join(" ").as_bytes()).max(1)
}
