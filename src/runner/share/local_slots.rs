//! An instance's side: what it owns, has lent and may use of each runner.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::runner::Name;
use crate::runner::share::{
    CoordinatorId, LeaseDurations, ParticipantId, Position, ShareRequest, ShareResponse, SlotGrant,
    SlotRequest, Timestamp,
};

/// Slots of every runner that one instance may use.
#[derive(Clone, Debug)]
pub struct LocalSlots {
    position: Position,
    participant: ParticipantId,
    durations: LeaseDurations,
    usable_from: Instant,
    sequence: u64,
    pending: Option<Pending>,
    timestamp: Option<Timestamp>,
    runners: Vec<RunnerState>,
    handles: BTreeMap<Name, Handle>,
    unused: Vec<Handle>,
}

/// Short name of a runner at its holder, valid from [`LocalSlots::add_runner`] until the runner was removed
/// and all of its slots were given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Handle(usize);

/// The call that still may be answered.
#[derive(Clone, Copy, Debug)]
struct Pending {
    coordinator: CoordinatorId,
    sequence: u64,
    sent: Instant,
}

/// Slots not to be used until a moment.
#[derive(Clone, Copy, Debug)]
struct Loan {
    coordinator: CoordinatorId,
    amount: u32,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct RunnerState {
    limit: u32,
    owned: u32,
    in_use: u32,
    loans: Vec<Loan>,
    borrowed: u32,
    borrowed_until: Instant,
    wanted_by_others: u32,
}

impl LocalSlots {
    /// Creates the state of a process that may use its entitlement from `usable_from` on.
    ///
    /// That is the loan span after its start, unless surely no process of this position has run
    /// within it: an earlier one may have lent the entitlement, or may have left requests behind
    /// that a runner still works on.
    pub fn new(
        position: Position,
        run: u64,
        durations: LeaseDurations,
        usable_from: Instant,
    ) -> Self {
        let participant = ParticipantId { index: position.index, run };
        Self {
            position,
            participant,
            durations,
            usable_from,
            sequence: 0,
            pending: None,
            timestamp: None,
            runners: Vec::new(),
            handles: BTreeMap::new(),
            unused: Vec::new(),
        }
    }

    /// Place of this instance in its domain.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Takes in a runner, or how many slots it has in all when it is known already.
    pub fn add_runner(&mut self, runner: &Name, limit: u32) -> Handle {
        let handle = match self.handles.get(runner) {
            Some(handle) => *handle,
            None => self.allocate_handle(runner),
        };
        let state = &mut self.runners[handle.0];
        state.limit = limit;
        state.owned = self.position.entitlement(runner, limit);
        handle
    }

    /// Starts nothing at a runner any more.
    pub fn remove_runner(&mut self, runner: Handle) {
        let state = &mut self.runners[runner.0];
        state.limit = 0;
        state.owned = 0;
    }

    /// Slots of a runner that requests may hold at `now`.
    pub fn allowance(&self, runner: Handle, now: Instant) -> u32 {
        let state = &self.runners[runner.0];
        let owned = if now < self.usable_from { 0 } else { state.owned };
        state.allowance(owned, now)
    }

    /// Slots of a runner that belong to this position, lent or not.
    pub fn owned(&self, runner: Handle) -> u32 {
        self.runners[runner.0].owned
    }

    /// Slots of a runner that requests hold, those in doubt included.
    pub fn in_use(&self, runner: Handle) -> u32 {
        self.runners[runner.0].in_use
    }

    /// Slots of a runner on which a request could start at `now`.
    pub fn free(&self, runner: Handle, now: Instant) -> u32 {
        self.allowance(runner, now).saturating_sub(self.in_use(runner))
    }

    /// Takes a slot for a request; false when none is free.
    pub fn acquire(&mut self, runner: Handle, now: Instant) -> bool {
        let is_free = self.free(runner, now) > 0;
        self.runners[runner.0].in_use += u32::from(is_free);
        is_free
    }

    /// Gives a slot back once the runner has surely ended the request.
    pub fn release(&mut self, runner: Handle) {
        let state = &mut self.runners[runner.0];
        state.in_use = state.in_use.saturating_sub(1);
    }

    /// Moment from which the entitlement may be used.
    pub fn usable_from(&self) -> Instant {
        self.usable_from
    }

    /// Builds the next call to `coordinator`. `demand` tells how many slots of a runner are needed.
    ///
    /// From here on, what the call lends is not used and what it gives back is given back, whether
    /// or not it arrives. An answer to an earlier call is void.
    pub fn build_request(
        &mut self,
        coordinator: CoordinatorId,
        now: Instant,
        demand: impl Fn(Handle) -> u32,
    ) -> ShareRequest {
        self.sequence += 1;
        self.pending = Some(Pending { coordinator, sequence: self.sequence, sent: now });
        let timestamp = self.timestamp.filter(|timestamp| timestamp.coordinator == coordinator);
        let is_usable = self.usable_from <= now;
        let until = now.after(self.durations.loan);
        let mut runners = Vec::new();
        for (runner, handle) in &self.handles {
            let state = &mut self.runners[handle.0];
            let owned = if is_usable { state.owned } else { 0 };
            let known = timestamp.map(|_| coordinator);
            let slot_request = state.request_for(runner, owned, demand(*handle), known, now);
            if slot_request.lend > 0 {
                state.loans.push(Loan { coordinator, amount: slot_request.lend, until });
            }
            if slot_request.lend > 0 || slot_request.holding > 0 || slot_request.want > 0 {
                runners.push(slot_request);
            }
        }
        self.forget_idle(now);
        ShareRequest { participant: self.participant, sequence: self.sequence, timestamp, runners }
    }

    /// Applies an answer; false when it is late, repeated or from another keeper.
    pub fn apply_response(&mut self, response: &ShareResponse, now: Instant) -> bool {
        let Some(pending) = self.pending else { return false };
        if response.sequence != pending.sequence
            || response.timestamp.coordinator != pending.coordinator
        {
            return false;
        }
        self.pending = None;
        self.timestamp = Some(response.timestamp);
        let grants: BTreeMap<&Name, &SlotGrant> =
            response.runners.iter().map(|grant| (&grant.runner, grant)).collect();
        for (runner, handle) in &self.handles {
            let grant = grants.get(runner).copied();
            self.runners[handle.0].apply(grant, pending, &self.durations, now);
        }
        true
    }

    fn allocate_handle(&mut self, runner: &Name) -> Handle {
        let handle = self.unused.pop().unwrap_or(Handle(self.runners.len()));
        if handle.0 == self.runners.len() {
            self.runners.push(RunnerState::default());
        }
        self.handles.insert(runner.clone(), handle);
        handle
    }

    fn forget_idle(&mut self, now: Instant) {
        let (runners, unused) = (&mut self.runners, &mut self.unused);
        self.handles.retain(|_, handle| {
            let is_idle = runners[handle.0].is_idle(now);
            if is_idle {
                runners[handle.0] = RunnerState::default();
                unused.push(*handle);
            }
            !is_idle
        });
    }
}

impl RunnerState {
    fn allowance(&self, owned: u32, now: Instant) -> u32 {
        let borrowed = if now < self.borrowed_until { self.borrowed } else { 0 };
        let allowed = owned.saturating_sub(self.lent(now)) + borrowed;
        allowed.min(self.limit)
    }

    /// Slots lent to all keepers. A keeper may hold any of its unexpired loans, but not two.
    fn lent(&self, now: Instant) -> u32 {
        if self.loans.is_empty() {
            return 0;
        }
        let mut most: BTreeMap<CoordinatorId, u32> = BTreeMap::new();
        for loan in self.loans.iter().filter(|loan| now < loan.until) {
            let amount = most.entry(loan.coordinator).or_default();
            *amount = (*amount).max(loan.amount);
        }
        most.values().sum()
    }

    fn lent_elsewhere(&self, coordinator: CoordinatorId, now: Instant) -> u32 {
        self.lent(now).saturating_sub(self.lent_to(coordinator, now))
    }

    fn lent_to(&self, coordinator: CoordinatorId, now: Instant) -> u32 {
        let running =
            self.loans.iter().filter(|loan| now < loan.until && loan.coordinator == coordinator);
        running.map(|loan| loan.amount).max().unwrap_or(0)
    }

    fn request_for(
        &mut self,
        runner: &Name,
        owned: u32,
        demand: u32,
        coordinator: Option<CoordinatorId>,
        now: Instant,
    ) -> SlotRequest {
        self.loans.retain(|loan| now < loan.until);
        let want = demand.min(self.limit).saturating_sub(owned);
        let overhang = self.in_use.saturating_sub(owned.saturating_sub(self.lent(now)));
        let borrowed = if now < self.borrowed_until { self.borrowed } else { 0 };
        let holding = borrowed.min(want).max(overhang);
        self.borrowed = borrowed.min(holding);
        let lend = coordinator.map_or(0, |coordinator| {
            let bound = owned.saturating_sub(self.in_use + self.lent_elsewhere(coordinator, now));
            owned.saturating_sub(demand).min(bound).min(self.wanted_by_others)
        });
        SlotRequest { runner: runner.clone(), lend, holding, want }
    }

    fn apply(
        &mut self,
        grant: Option<&SlotGrant>,
        pending: Pending,
        durations: &LeaseDurations,
        now: Instant,
    ) {
        self.loans.retain(|loan| loan.coordinator != pending.coordinator && now < loan.until);
        self.wanted_by_others = grant.map_or(0, |grant| grant.wanted_by_others);
        let lent = grant.map_or(0, |grant| grant.lent);
        if lent > 0 {
            let until = pending.sent.after(durations.loan);
            self.loans.push(Loan { coordinator: pending.coordinator, amount: lent, until });
        }
        self.borrowed = grant.map_or(0, |grant| grant.borrowed);
        self.borrowed_until = pending.sent.after(durations.lease);
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.limit == 0 && self.in_use == 0 && self.loans.iter().all(|loan| loan.until <= now)
    }
}
