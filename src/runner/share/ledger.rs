//! The coordinator's record of slots lent to it and granted by it.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::runner::Name;
use crate::runner::share::{
    CoordinatorId, LeaseDurations, ParticipantId, ShareRequest, ShareResponse, SlotGrant,
    SlotRequest, Timestamp,
};

/// Loans and grants of one coordinator.
///
/// Invariant: at every future moment, the grants that may still be in use do not exceed the loans
/// that have not expired.
#[derive(Clone, Debug)]
pub struct Ledger {
    coordinator: CoordinatorId,
    durations: LeaseDurations,
    last_sequences: BTreeMap<ParticipantId, u64>,
    pools: BTreeMap<Name, Pool>,
}

/// A number of slots that is valid until a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TimedAmount {
    amount: u32,
    until: Instant,
}

/// Slots that a participant requests, kept while it goes on sending requests.
#[derive(Clone, Copy, Debug)]
struct WantedSlots {
    amount: u32,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    loans: BTreeMap<ParticipantId, Vec<TimedAmount>>,
    grants: BTreeMap<ParticipantId, Vec<TimedAmount>>,
    wants: BTreeMap<ParticipantId, WantedSlots>,
}

impl Ledger {
    /// Creates the empty ledger of a new coordinator. It needs no state of earlier coordinators:
    /// slots lent to them are lent to no other until the loan has expired.
    pub fn new(coordinator: CoordinatorId, durations: LeaseDurations) -> Self {
        Self { coordinator, durations, last_sequences: BTreeMap::new(), pools: BTreeMap::new() }
    }

    /// Coordinator to which this ledger belongs.
    pub fn coordinator(&self) -> CoordinatorId {
        self.coordinator
    }

    /// Handles a request; returns `None` when a later one of the same participant came first.
    pub fn handle(&mut self, request: &ShareRequest, now: Instant) -> Option<ShareResponse> {
        let last_sequence = self.last_sequences.entry(request.participant).or_default();
        if request.sequence <= *last_sequence {
            return None;
        }
        *last_sequence = request.sequence;
        let timestamp = Timestamp { coordinator: self.coordinator, at: now };
        let known =
            request.timestamp.filter(|echo| echo.coordinator == self.coordinator && echo.at <= now);
        let runners = known.map_or_else(Vec::new, |echo| self.update_pools(request, echo.at, now));
        Some(ShareResponse { sequence: request.sequence, timestamp, runners })
    }

    fn update_pools(
        &mut self,
        request: &ShareRequest,
        timestamp: Instant,
        now: Instant,
    ) -> Vec<SlotGrant> {
        for slot_request in &request.runners {
            self.pools.entry(slot_request.runner.clone()).or_default();
        }
        let slot_requests: BTreeMap<&Name, &SlotRequest> = request
            .runners
            .iter()
            .map(|slot_request| (&slot_request.runner, slot_request))
            .collect();
        let mut slot_grants = Vec::new();
        for (runner, pool) in &mut self.pools {
            pool.expire(now);
            let none = SlotRequest { runner: runner.clone(), lend: 0, holding: 0, want: 0 };
            let slot_request = slot_requests.get(runner).copied().unwrap_or(&none);
            slot_grants.extend(pool.update(
                request.participant,
                slot_request,
                timestamp,
                &self.durations,
                now,
            ));
        }
        self.pools.retain(|_, pool| !pool.is_empty());
        slot_grants
    }
}

impl Pool {
    fn update(
        &mut self,
        participant: ParticipantId,
        slot_request: &SlotRequest,
        timestamp: Instant,
        durations: &LeaseDurations,
        now: Instant,
    ) -> Option<SlotGrant> {
        self.return_grants(participant, slot_request.holding);
        let lent = self.lend(participant, slot_request.lend, timestamp.after(durations.loan));
        let until = now.after(durations.lease + durations.lease);
        self.set_want(participant, slot_request.want, until);
        let borrowed = self.grant(participant, slot_request.want, durations.grant_end(now));
        let wanted_by_others = self.wanted_by_others(participant);
        let concerns = lent > 0 || borrowed > 0 || wanted_by_others > 0;
        concerns.then(|| SlotGrant {
            runner: slot_request.runner.clone(),
            lent,
            borrowed,
            wanted_by_others,
        })
    }

    /// Reduces the participant's grants to `holding`. This is safe because the participant ignores
    /// every response to an earlier request.
    fn return_grants(&mut self, participant: ParticipantId, holding: u32) {
        if let Some(grants) = self.grants.get_mut(&participant) {
            cap(grants, holding);
        }
    }

    /// Records a loan and reduces an earlier, larger one as far as the grants allow; returns the
    /// slots that still count as lent.
    fn lend(&mut self, participant: ParticipantId, amount: u32, until: Instant) -> u32 {
        let mut earlier = self.loans.remove(&participant).unwrap_or_default();
        // An earlier loan covers existing grants only, so it ends with the last of them.
        let grants = self.grants.values().flatten();
        let last = grants.map(|grant| grant.until).max().unwrap_or_default();
        earlier.iter_mut().for_each(|loan| loan.until = loan.until.min(last));
        let largest = earlier.iter().map(|loan| loan.amount).max().unwrap_or(0);
        for kept in amount..=largest.max(amount) {
            let mut loans = earlier.clone();
            cap(&mut loans, kept);
            loans.push(TimedAmount { amount, until });
            loans.retain(|loan| loan.amount > 0);
            self.loans.insert(participant, loans);
            if self.is_covered() {
                return kept;
            }
        }
        largest.max(amount)
    }

    fn set_want(&mut self, participant: ParticipantId, amount: u32, until: Instant) {
        if amount == 0 {
            self.wants.remove(&participant);
        } else {
            self.wants.insert(participant, WantedSlots { amount, until });
        }
    }

    /// Grants as much of `want` as the loans cover until `until`, at most the fair part.
    fn grant(&mut self, participant: ParticipantId, want: u32, until: Instant) -> u32 {
        let held = self.grants.remove(&participant).unwrap_or_default();
        let fair = self.fair_part(participant, want, until);
        for amount in (0..=fair).rev() {
            let mut grants = held.clone();
            grants.push(TimedAmount { amount, until });
            grants.retain(|grant| grant.amount > 0);
            self.grants.insert(participant, grants);
            if self.is_covered() {
                return amount;
            }
        }
        0
    }

    /// Part of `participant` in a max-min fair division of the slots lent until `until`.
    fn fair_part(&self, participant: ParticipantId, want: u32, until: Instant) -> u32 {
        let mut left = total_at(&self.loans, until);
        let mut wants: Vec<(u32, ParticipantId)> =
            self.wants.iter().map(|(participant, want)| (want.amount, *participant)).collect();
        wants.sort_unstable();
        let mut waiting = u32::try_from(wants.len()).unwrap_or(u32::MAX);
        for (amount, other) in wants {
            let part = amount.min(left.div_ceil(waiting.max(1)));
            if other == participant {
                return part;
            }
            left -= part.min(left);
            waiting -= 1;
        }
        want.min(left)
    }

    fn wanted_by_others(&self, participant: ParticipantId) -> u32 {
        let others = self.wants.iter().filter(|(other, _)| **other != participant);
        others.map(|(_, want)| want.amount).sum()
    }

    /// Whether the loans cover the grants at every future moment.
    fn is_covered(&self) -> bool {
        let ends = self.grants.values().flatten().map(|grant| grant.until);
        let mut ends: Vec<Instant> = ends.collect();
        ends.dedup();
        ends.into_iter().all(|end| total_at(&self.grants, end) <= total_at(&self.loans, end))
    }

    fn expire(&mut self, now: Instant) {
        for participants in [&mut self.loans, &mut self.grants] {
            participants.values_mut().for_each(|entries| entries.retain(|entry| now < entry.until));
            participants.retain(|_, entries| !entries.is_empty());
        }
        self.wants.retain(|_, want| now < want.until);
    }

    fn is_empty(&self) -> bool {
        self.loans.is_empty() && self.grants.is_empty() && self.wants.is_empty()
    }
}

fn cap(entries: &mut Vec<TimedAmount>, amount: u32) {
    entries.iter_mut().for_each(|entry| entry.amount = entry.amount.min(amount));
    entries.retain(|entry| entry.amount > 0);
}

/// Sum over all participants of the largest amount still valid at `moment`.
fn total_at(entries: &BTreeMap<ParticipantId, Vec<TimedAmount>>, moment: Instant) -> u32 {
    let largest = |entries: &Vec<TimedAmount>| {
        let running = entries.iter().filter(|entry| moment <= entry.until);
        running.map(|entry| entry.amount).max().unwrap_or(0)
    };
    entries.values().map(largest).sum()
}
