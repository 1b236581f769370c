//! What a runner has served, by which tests check that its limits were kept.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Requests by identity kept; the counts go on beyond that.
const IDS_KEPT: usize = 100_000;

/// Requests served and every breach noticed.
#[derive(Debug)]
pub struct State {
    slots: u32,
    served: BTreeMap<String, u32>,
    in_flight: BTreeMap<SocketAddr, u32>,
    /// Counts since the start.
    pub tally: Tally,
}

/// Counts of one runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests begun.
    pub requests: u64,
    /// Requests begun whose identity had been seen before.
    pub repeated: u64,
    /// Requests in work now.
    pub in_flight: u32,
    /// Most requests in work at once.
    pub most_in_flight: u32,
    /// Requests begun while every slot was taken.
    pub beyond_slots: u64,
    /// Most connections with a request in work at once.
    pub most_connections: u32,
}

impl State {
    /// Starts with `slots` free.
    pub fn new(slots: u32) -> Self {
        let (served, in_flight) = (BTreeMap::new(), BTreeMap::new());
        Self { slots, served, in_flight, tally: Tally::default() }
    }

    /// Begins the request `id`, which came on the connection from `peer`.
    pub fn begin(&mut self, peer: SocketAddr, id: &str) {
        self.count(id);
        *self.in_flight.entry(peer).or_default() += 1;
        let connections = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        let tally = &mut self.tally;
        tally.requests += 1;
        tally.in_flight += 1;
        tally.beyond_slots += u64::from(tally.in_flight > self.slots);
        tally.most_in_flight = tally.most_in_flight.max(tally.in_flight);
        tally.most_connections = tally.most_connections.max(connections);
    }

    /// Ends a request that came on the connection from `peer`.
    pub fn end(&mut self, peer: SocketAddr) {
        self.tally.in_flight = self.tally.in_flight.saturating_sub(1);
        let Some(left) = self.in_flight.get_mut(&peer) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.in_flight.remove(&peer);
        }
    }

    /// How often the request `id` was begun.
    pub fn times(&self, id: &str) -> u32 {
        self.served.get(id).copied().unwrap_or(0)
    }

    /// Requests by identity with how often each was begun.
    pub fn served(&self) -> &BTreeMap<String, u32> {
        &self.served
    }

    fn count(&mut self, id: &str) {
        if let Some(times) = self.served.get_mut(id) {
            *times += 1;
            self.tally.repeated += 1;
        } else if self.served.len() < IDS_KEPT {
            self.served.insert(id.to_owned(), 1);
        }
    }
}
