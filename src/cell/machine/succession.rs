//! The order in which instances would take the cell over.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Machine;
use crate::clock::Instant;

/// Rest between two rankings: below the time for which an instance that follows the owner waits for its
/// answer.
const REST: Duration = Duration::from_millis(100);

/// The order in which instances would take the cell over, as it was worked out last.
///
/// Each instance is told of it several times a second. Ranked anew and told whole each time, it takes
/// time that grows with the square of the instances; so it is ranked at times, and each instance is
/// told the list only when it has another one.
#[derive(Clone, Debug, Default)]
pub struct Succession {
    /// Instances that follow the owner, the first to take over first.
    pub order: Rc<[SocketAddr]>,
    /// Tells the list from others; zero for none.
    pub digest: u64,
    /// Processor of the strongest of them, in thousandths of a core.
    pub(super) strongest: u32,
    next: Instant,
}

impl Machine {
    /// Instances that were heard of lately, in the order of succession: the strongest first, since the
    /// owner does most of the work and instances differ fourfold, and those of equal strength by turns
    /// from each failure domain, so that a cut of one leaves most of the first ones.
    pub fn present_instances(&self, now: Instant) -> Vec<SocketAddr> {
        let fresh = self.proxies.iter().filter(|(_, proxy)| proxy.is_fresh(now));
        let mut counts: BTreeMap<(u32, &str), u32> = BTreeMap::new();
        let mut ranked: Vec<(Reverse<u32>, u32, SocketAddr)> = Vec::new();
        for (peer, proxy) in fresh {
            let turn = counts.entry((proxy.strength, &proxy.domain)).or_insert(0);
            ranked.push((Reverse(proxy.strength), *turn, *peer));
            *turn += 1;
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., peer)| peer).collect()
    }

    /// The order of succession as it was worked out last, a moment ago.
    pub const fn succession(&self) -> &Succession {
        &self.succession
    }

    /// Works the order of succession out anew, if it is time to.
    pub(super) fn rank_instances(&mut self) {
        if self.now < self.succession.next {
            return;
        }
        let order = self.present_instances(self.now);
        let fresh = self.proxies.values().filter(|proxy| proxy.is_fresh(self.now));
        let strongest = fresh.map(|proxy| proxy.strength).max().unwrap_or(0);
        self.succession.next = self.now.after(REST);
        self.succession.strongest = strongest;
        if *order != *self.succession.order {
            self.succession.digest = digest(&order);
            self.succession.order = order.into();
        }
    }
}

/// Tells a list from others; zero for an empty one.
fn digest(order: &[SocketAddr]) -> u64 {
    if order.is_empty() {
        return 0;
    }
    let text: Vec<String> = order.iter().map(ToString::to_string).collect();
    xxhash_rust::xxh3::xxh3_64(text.join(" ").as_bytes()).max(1)
}
