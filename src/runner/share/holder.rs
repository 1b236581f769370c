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
    lines: BTreeMap<Name, Line>,
}

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
    in_use: u32,
    loans: Vec<Loan>,
    borrowed: u32,
    borrowed_until: Instant,
    called: u32,
}

impl Holder {
    /// Creates the state of a process that starts at `now`.
    ///
    /// With `fresh` the caller vouches that no process of this position has run within the loan
    /// span. Otherwise the entitlement rests for that span: an earlier process may have lent it or
    /// may have left requests behind that a runner still works on.
    pub fn new(position: Position, run: u64, terms: Terms, now: Instant, fresh: bool) -> Self {
        let usable_from = if fresh { now } else { now.after(terms.loan) };
        let party = Party { index: position.index, run };
        Self {
            position,
            party,
            terms,
            usable_from,
            sequence: 0,
            pending: None,
            stamp: None,
            lines: BTreeMap::new(),
        }
    }

    /// Place of this instance in its domain.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Sets how many slots a runner has in all; zero once it is gone.
    pub fn set_limit(&mut self, runner: &Name, limit: u32) {
        if limit == 0 && !self.lines.contains_key(runner) {
            return;
        }
        self.lines.entry(runner.clone()).or_default().limit = limit;
    }

    /// Slots of a runner that requests may hold at `now`.
    pub fn allowance(&self, runner: &Name, now: Instant) -> u32 {
        self.lines.get(runner).map_or(0, |line| {
            let own = self.entitlement(runner, line, now);
            line.allowance(own, now)
        })
    }

    /// Slots of a runner that requests hold, those in doubt included.
    pub fn in_use(&self, runner: &Name) -> u32 {
        self.lines.get(runner).map_or(0, |line| line.in_use)
    }

    /// Slots of a runner on which a request could start at `now`.
    pub fn free(&self, runner: &Name, now: Instant) -> u32 {
        self.allowance(runner, now).saturating_sub(self.in_use(runner))
    }

    /// Takes a slot for a request; false when none is free.
    pub fn start(&mut self, runner: &Name, now: Instant) -> bool {
        if self.free(runner, now) == 0 {
            return false;
        }
        if let Some(line) = self.lines.get_mut(runner) {
            line.in_use += 1;
        }
        true
    }

    /// Gives a slot back once the runner has surely ended the request.
    pub fn end(&mut self, runner: &Name) {
        if let Some(line) = self.lines.get_mut(runner) {
            line.in_use = line.in_use.saturating_sub(1);
        }
    }

    /// Moment from which the entitlement may be used.
    pub fn usable_from(&self) -> Instant {
        self.usable_from
    }

    /// Builds the next call to `keeper`. `demand` tells how many slots of a runner are needed.
    ///
    /// From here on, what the call lends is not used and what it gives back is given back, whether
    /// or not it arrives. An answer to an earlier call is void.
    pub fn ask(&mut self, keeper: Keeper, now: Instant, demand: impl Fn(&Name) -> u32) -> Ask {
        self.sequence += 1;
        self.pending = Some(Pending { keeper, sequence: self.sequence, sent: now });
        let stamp = self.stamp.filter(|stamp| stamp.keeper == keeper);
        let (position, usable, terms) = (self.position, self.usable_from <= now, self.terms);
        let mut lines = Vec::new();
        for (runner, line) in &mut self.lines {
            let own = if usable { position.entitlement(runner, line.limit) } else { 0 };
            let need = line.need(runner, own, demand(runner), stamp.map(|_| keeper), now);
            if need.lend > 0 {
                line.loans.push(Loan { keeper, amount: need.lend, until: now.after(terms.loan) });
            }
            if need.lend > 0 || need.holding > 0 || need.want > 0 {
                lines.push(need);
            }
        }
        self.lines.retain(|_, line| !line.is_idle(now));
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
        for (runner, line) in &mut self.lines {
            line.apply(shares.get(runner).copied(), pending, &self.terms, now);
        }
        true
    }

    fn entitlement(&self, runner: &Name, line: &Line, now: Instant) -> u32 {
        if now < self.usable_from { 0 } else { self.position.entitlement(runner, line.limit) }
    }
}

impl Line {
    fn allowance(&self, own: u32, now: Instant) -> u32 {
        let borrowed = if now < self.borrowed_until { self.borrowed } else { 0 };
        let allowed = own.saturating_sub(self.lent(now)) + borrowed;
        allowed.min(self.limit)
    }

    /// Slots lent to all keepers. A keeper may hold any of its unexpired loans, but not two.
    fn lent(&self, now: Instant) -> u32 {
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
        own: u32,
        demand: u32,
        keeper: Option<Keeper>,
        now: Instant,
    ) -> Need {
        self.loans.retain(|loan| now < loan.until);
        let want = demand.min(self.limit).saturating_sub(own);
        let overhang = self.in_use.saturating_sub(own.saturating_sub(self.lent(now)));
        let borrowed = if now < self.borrowed_until { self.borrowed } else { 0 };
        let holding = borrowed.min(want).max(overhang);
        self.borrowed = borrowed.min(holding);
        let lend = keeper.map_or(0, |keeper| {
            let bound = own.saturating_sub(self.in_use + self.lent_elsewhere(keeper, now));
            own.saturating_sub(demand).min(bound).min(self.called)
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
