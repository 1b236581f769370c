//! An instance's side: what it owns, has lent and may use of each runner.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::runner::Name;
use crate::runner::share::{Ask, Grant, Keeper, Need, Party, Position, Share, Stamp, Terms};

/// Slots of every runner that one instance may use.
#[derive(Clone, Debug)]
pub struct Holder {
    position: Position,
    party: Party,
    terms: Terms,
    usable_from: Instant,
    sequence: u64,
    pending: Option<Pending>,
    stamp: Option<Stamp>,
    lines: Vec<Line>,
    handles: BTreeMap<Name, Handle>,
    unused: Vec<Handle>,
}

/// Short name of a runner at its holder, valid from [`Holder::admit`] until the runner was retired
/// and all of its slots were given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Handle(usize);

/// The call that still may be answered.
#[derive(Clone, Copy, Debug)]
struct Pending {
    keeper: Keeper,
    sequence: u64,
    sent: Instant,
}

/// Slots not to be used until a moment.
#[derive(Clone, Copy, Debug)]
struct Loan {
    keeper: Keeper,
    amount: u32,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct Line {
    limit: u32,
    owned: u32,
    in_use: u32,
    loans: Vec<Loan>,
    borrowed: u32,
    borrowed_until: Instant,
    called: u32,
}

impl Holder {
    /// Creates the state of a process that may use its entitlement from `usable_from` on.
    ///
    /// That is the loan span after its start, unless surely no process of this position has run
    /// within it: an earlier one may have lent the entitlement, or may have left requests behind
    /// that a runner still works on.
    pub fn new(position: Position, run: u64, terms: Terms, usable_from: Instant) -> Self {
        let party = Party { index: position.index, run };
        Self {
            position,
            party,
            terms,
            usable_from,
            sequence: 0,
            pending: None,
            stamp: None,
            lines: Vec::new(),
            handles: BTreeMap::new(),
            unused: Vec::new(),
        }
    }

    /// Place of this instance in its domain.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Takes in a runner, or how many slots it has in all when it is known already.
    pub fn admit(&mut self, runner: &Name, limit: u32) -> Handle {
        let handle = match self.handles.get(runner) {
            Some(handle) => *handle,
            None => self.add(runner),
        };
        let line = &mut self.lines[handle.0];
        line.limit = limit;
        line.owned = self.position.entitlement(runner, limit);
        handle
    }

    /// Starts nothing at a runner any more.
    pub fn retire(&mut self, runner: Handle) {
        let line = &mut self.lines[runner.0];
        line.limit = 0;
        line.owned = 0;
    }

    /// Slots of a runner that requests may hold at `now`.
    pub fn allowance(&self, runner: Handle, now: Instant) -> u32 {
        let line = &self.lines[runner.0];
        let owned = if now < self.usable_from { 0 } else { line.owned };
        line.allowance(owned, now)
    }

    /// Slots of a runner that belong to this position, lent or not.
    pub fn owned(&self, runner: Handle) -> u32 {
        self.lines[runner.0].owned
    }

    /// Slots of a runner that requests hold, those in doubt included.
    pub fn in_use(&self, runner: Handle) -> u32 {
        self.lines[runner.0].in_use
    }

    /// Slots of a runner on which a request could start at `now`.
    pub fn free(&self, runner: Handle, now: Instant) -> u32 {
        self.allowance(runner, now).saturating_sub(self.in_use(runner))
    }

    /// Takes a slot for a request; false when none is free.
    pub fn start(&mut self, runner: Handle, now: Instant) -> bool {
        let is_free = self.free(runner, now) > 0;
        self.lines[runner.0].in_use += u32::from(is_free);
        is_free
    }

    /// Gives a slot back once the runner has surely ended the request.
    pub fn end(&mut self, runner: Handle) {
        let line = &mut self.lines[runner.0];
        line.in_use = line.in_use.saturating_sub(1);
    }

    /// Moment from which the entitlement may be used.
    pub fn usable_from(&self) -> Instant {
        self.usable_from
    }

    /// Builds the next call to `keeper`. `demand` tells how many slots of a runner are needed.
    ///
    /// From here on, what the call lends is not used and what it gives back is given back, whether
    /// or not it arrives. An answer to an earlier call is void.
    pub fn ask(&mut self, keeper: Keeper, now: Instant, demand: impl Fn(Handle) -> u32) -> Ask {
        self.sequence += 1;
        self.pending = Some(Pending { keeper, sequence: self.sequence, sent: now });
        let stamp = self.stamp.filter(|stamp| stamp.keeper == keeper);
        let is_usable = self.usable_from <= now;
        let until = now.after(self.terms.loan);
        let mut lines = Vec::new();
        for (runner, handle) in &self.handles {
            let line = &mut self.lines[handle.0];
            let owned = if is_usable { line.owned } else { 0 };
            let known = stamp.map(|_| keeper);
            let need = line.need(runner, owned, demand(*handle), known, now);
            if need.lend > 0 {
                line.loans.push(Loan { keeper, amount: need.lend, until });
            }
            if need.lend > 0 || need.holding > 0 || need.want > 0 {
                lines.push(need);
            }
        }
        self.forget_idle(now);
        Ask { party: self.party, sequence: self.sequence, stamp, lines }
    }

    /// Applies an answer; false when it is late, repeated or from another keeper.
    pub fn granted(&mut self, grant: &Grant, now: Instant) -> bool {
        let Some(pending) = self.pending else { return false };
        if grant.sequence != pending.sequence || grant.stamp.keeper != pending.keeper {
            return false;
        }
        self.pending = None;
        self.stamp = Some(grant.stamp);
        let shares: BTreeMap<&Name, &Share> =
            grant.lines.iter().map(|share| (&share.runner, share)).collect();
        for (runner, handle) in &self.handles {
            let share = shares.get(runner).copied();
            self.lines[handle.0].apply(share, pending, &self.terms, now);
        }
        true
    }

    fn add(&mut self, runner: &Name) -> Handle {
        let handle = self.unused.pop().unwrap_or(Handle(self.lines.len()));
        if handle.0 == self.lines.len() {
            self.lines.push(Line::default());
        }
        self.handles.insert(runner.clone(), handle);
        handle
    }

    fn forget_idle(&mut self, now: Instant) {
        let (lines, unused) = (&mut self.lines, &mut self.unused);
        self.handles.retain(|_, handle| {
            let is_idle = lines[handle.0].is_idle(now);
            if is_idle {
                lines[handle.0] = Line::default();
                unused.push(*handle);
            }
            !is_idle
        });
    }
}

impl Line {
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
        let mut most: BTreeMap<Keeper, u32> = BTreeMap::new();
        for loan in self.loans.iter().filter(|loan| now < loan.until) {
            let amount = most.entry(loan.keeper).or_default();
            *amount = (*amount).max(loan.amount);
        }
        most.values().sum()
    }

    fn lent_elsewhere(&self, keeper: Keeper, now: Instant) -> u32 {
        self.lent(now).saturating_sub(self.lent_to(keeper, now))
    }

    fn lent_to(&self, keeper: Keeper, now: Instant) -> u32 {
        let running = self.loans.iter().filter(|loan| now < loan.until && loan.keeper == keeper);
        running.map(|loan| loan.amount).max().unwrap_or(0)
    }

    fn need(
        &mut self,
        runner: &Name,
        owned: u32,
        demand: u32,
        keeper: Option<Keeper>,
        now: Instant,
    ) -> Need {
        self.loans.retain(|loan| now < loan.until);
        let want = demand.min(self.limit).saturating_sub(owned);
        let overhang = self.in_use.saturating_sub(owned.saturating_sub(self.lent(now)));
        let borrowed = if now < self.borrowed_until { self.borrowed } else { 0 };
        let holding = borrowed.min(want).max(overhang);
        self.borrowed = borrowed.min(holding);
        let lend = keeper.map_or(0, |keeper| {
            let bound = owned.saturating_sub(self.in_use + self.lent_elsewhere(keeper, now));
            owned.saturating_sub(demand).min(bound).min(self.called)
        });
        Need { runner: runner.clone(), lend, holding, want }
    }

    fn apply(&mut self, share: Option<&Share>, pending: Pending, terms: &Terms, now: Instant) {
        self.loans.retain(|loan| loan.keeper != pending.keeper && now < loan.until);
        self.called = share.map_or(0, |share| share.called);
        let lent = share.map_or(0, |share| share.lent);
        if lent > 0 {
            let until = pending.sent.after(terms.loan);
            self.loans.push(Loan { keeper: pending.keeper, amount: lent, until });
        }
        self.borrowed = share.map_or(0, |share| share.borrowed);
        self.borrowed_until = pending.sent.after(terms.lease);
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.limit == 0 && self.in_use == 0 && self.loans.iter().all(|loan| loan.until <= now)
    }
}
