//! The keeper's side: what was lent to it and what it granted.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::runner::Name;
use crate::runner::share::{Ask, Grant, Keeper, Need, Party, Share, Stamp, Terms};

/// Loans and grants of one keeper.
///
/// At every future moment, grants that may still be in use never exceed loans still running.
#[derive(Clone, Debug)]
pub struct Ledger {
    keeper: Keeper,
    terms: Terms,
    seen: BTreeMap<Party, u64>,
    pools: BTreeMap<Name, Pool>,
}

/// An amount that holds until a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hold {
    amount: u32,
    until: Instant,
}

/// A wish, kept for as long as its party goes on calling.
#[derive(Clone, Copy, Debug)]
struct Want {
    amount: u32,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    loans: BTreeMap<Party, Vec<Hold>>,
    grants: BTreeMap<Party, Vec<Hold>>,
    wants: BTreeMap<Party, Want>,
}

impl Ledger {
    /// Creates the empty ledger of a new keeper. It needs no knowledge of earlier ones: what was
    /// lent to them is lent to no one else until the loan is over.
    pub fn new(keeper: Keeper, terms: Terms) -> Self {
        Self { keeper, terms, seen: BTreeMap::new(), pools: BTreeMap::new() }
    }

    /// Whose ledger it is.
    pub fn keeper(&self) -> Keeper {
        self.keeper
    }

    /// Answers a call; `None` when a later call of the same party came first.
    pub fn ask(&mut self, ask: &Ask, now: Instant) -> Option<Grant> {
        let seen = self.seen.entry(ask.party).or_default();
        if ask.sequence <= *seen {
            return None;
        }
        *seen = ask.sequence;
        let stamp = Stamp { keeper: self.keeper, at: now };
        let known = ask.stamp.filter(|echo| echo.keeper == self.keeper && echo.at <= now);
        let lines = known.map_or_else(Vec::new, |echo| self.settle(ask, echo.at, now));
        Some(Grant { sequence: ask.sequence, stamp, lines })
    }

    fn settle(&mut self, ask: &Ask, stamp: Instant, now: Instant) -> Vec<Share> {
        for need in &ask.lines {
            self.pools.entry(need.runner.clone()).or_default();
        }
        let needs: BTreeMap<&Name, &Need> =
            ask.lines.iter().map(|need| (&need.runner, need)).collect();
        let mut shares = Vec::new();
        for (runner, pool) in &mut self.pools {
            pool.expire(now);
            let none = Need { runner: runner.clone(), lend: 0, holding: 0, want: 0 };
            let need = needs.get(runner).copied().unwrap_or(&none);
            shares.extend(pool.settle(ask.party, need, stamp, &self.terms, now));
        }
        self.pools.retain(|_, pool| !pool.is_empty());
        shares
    }
}

impl Pool {
    fn settle(
        &mut self,
        party: Party,
        need: &Need,
        stamp: Instant,
        terms: &Terms,
        now: Instant,
    ) -> Option<Share> {
        self.give_back(party, need.holding);
        let lent = self.lend(party, need.lend, stamp.after(terms.loan));
        let until = now.after(terms.lease + terms.lease);
        self.set_want(party, need.want, until);
        let borrowed = self.grant(party, need.want, terms.grant_end(now));
        let called = self.called(party);
        let concerns = lent > 0 || borrowed > 0 || called > 0;
        concerns.then(|| Share { runner: need.runner.clone(), lent, borrowed, called })
    }

    /// The party holds no more than it says, because it voids every answer before this one.
    fn give_back(&mut self, party: Party, holding: u32) {
        if let Some(grants) = self.grants.get_mut(&party) {
            cap(grants, holding);
        }
    }

    /// Takes a loan, and returns of an earlier larger one whatever no grant rests on.
    fn lend(&mut self, party: Party, amount: u32, until: Instant) -> u32 {
        let mut earlier = self.loans.remove(&party).unwrap_or_default();
        // What is being called back covers the grants that stand, and no later one.
        let grants = self.grants.values().flatten();
        let last = grants.map(|grant| grant.until).max().unwrap_or_default();
        earlier.iter_mut().for_each(|loan| loan.until = loan.until.min(last));
        let largest = earlier.iter().map(|loan| loan.amount).max().unwrap_or(0);
        for kept in amount..=largest.max(amount) {
            let mut loans = earlier.clone();
            cap(&mut loans, kept);
            loans.push(Hold { amount, until });
            loans.retain(|loan| loan.amount > 0);
            self.loans.insert(party, loans);
            if self.is_covered() {
                return kept;
            }
        }
        largest.max(amount)
    }

    fn set_want(&mut self, party: Party, amount: u32, until: Instant) {
        if amount == 0 {
            self.wants.remove(&party);
        } else {
            self.wants.insert(party, Want { amount, until });
        }
    }

    /// Grants as much of `want` as the loans cover until `until`, and no more than a fair part.
    fn grant(&mut self, party: Party, want: u32, until: Instant) -> u32 {
        let held = self.grants.remove(&party).unwrap_or_default();
        let fair = self.fair_part(party, want, until);
        for amount in (0..=fair).rev() {
            let mut grants = held.clone();
            grants.push(Hold { amount, until });
            grants.retain(|grant| grant.amount > 0);
            self.grants.insert(party, grants);
            if self.is_covered() {
                return amount;
            }
        }
        0
    }

    /// Max-min fair division of what is lent until `until` among all that want.
    fn fair_part(&self, party: Party, want: u32, until: Instant) -> u32 {
        let mut left = total_at(&self.loans, until);
        let mut wants: Vec<(u32, Party)> =
            self.wants.iter().map(|(party, want)| (want.amount, *party)).collect();
        wants.sort_unstable();
        let mut waiting = u32::try_from(wants.len()).unwrap_or(u32::MAX);
        for (amount, other) in wants {
            let part = amount.min(left.div_ceil(waiting.max(1)));
            if other == party {
                return part;
            }
            left -= part.min(left);
            waiting -= 1;
        }
        want.min(left)
    }

    fn called(&self, party: Party) -> u32 {
        let others = self.wants.iter().filter(|(other, _)| **other != party);
        others.map(|(_, want)| want.amount).sum()
    }

    /// Whether loans cover grants at every moment from now on.
    fn is_covered(&self) -> bool {
        let ends = self.grants.values().flatten().map(|grant| grant.until);
        let mut ends: Vec<Instant> = ends.collect();
        ends.dedup();
        ends.into_iter().all(|end| total_at(&self.grants, end) <= total_at(&self.loans, end))
    }

    fn expire(&mut self, now: Instant) {
        for holds in [&mut self.loans, &mut self.grants] {
            holds.values_mut().for_each(|holds| holds.retain(|hold| now < hold.until));
            holds.retain(|_, holds| !holds.is_empty());
        }
        self.wants.retain(|_, want| now < want.until);
    }

    fn is_empty(&self) -> bool {
        self.loans.is_empty() && self.grants.is_empty() && self.wants.is_empty()
    }
}

fn cap(holds: &mut Vec<Hold>, amount: u32) {
    holds.iter_mut().for_each(|hold| hold.amount = hold.amount.min(amount));
    holds.retain(|hold| hold.amount > 0);
}

/// Sum over all parties of the largest amount that still holds at `moment`.
fn total_at(holds: &BTreeMap<Party, Vec<Hold>>, moment: Instant) -> u32 {
    let largest = |holds: &Vec<Hold>| {
        let running = holds.iter().filter(|hold| moment <= hold.until);
        running.map(|hold| hold.amount).max().unwrap_or(0)
    };
    holds.values().map(largest).sum()
}
