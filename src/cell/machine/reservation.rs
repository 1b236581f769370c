//! Room kept for gangs while their tickets hold.
//!
//! The pattern that this answers: a site that is nearly full, where what comes free is taken by
//! whatever fits first, and whose policy service takes a second for a question about a gang's
//! workers. A narrow gang finds its few places at once; a wide one never finds all of its own in the
//! moment in which it has tickets for them, asks again and again in vain, and comes too late.
//!
//! So a gang whose tickets hold has its workers to itself: on a quarter of the workers room for
//! several tasks of each comes free within a second. And only as many gangs are asked about at a time
//! as the site can have room for when the answers come, the first in rank first: a wide one waits
//! until those before it are placed, and none after it takes its turn.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::Machine;
use super::field::Fields;
use super::rank::Hope;
use super::waiting::Waiting;

/// Share of the site's processors for which gangs may be asked about or hold tickets at a time.
const SHARE: f64 = 0.7;

/// Share of the workers that may be kept free for gangs.
const KEPT_SHARE: f64 = 0.5;

/// Times its tasks for which workers with tickets are kept free for a gang, each counted with the
/// tasks that fit there, at least one: some come free sooner than others.
const MARGIN: f64 = 3.0;

/// How many gangs may be asked about or hold tickets at a time, by the processors that they need, in
/// thousandths of a core.
///
/// Each priority has its own: an urgent gang doesn't wait for the answers of less urgent ones.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    /// What each priority has.
    whole: u64,
    /// What is taken of it, by priority.
    taken: BTreeMap<u32, u64>,
}

impl Budget {
    /// Whether nothing is left for gangs like `step`.
    pub(super) fn is_spent(&self, step: &Waiting) -> bool {
        self.taken.get(&step.queue.priority).is_some_and(|taken| *taken >= self.whole)
    }

    /// Takes what a gang needs; `false` where too little is left. Then nothing is for those after it
    /// either, if it can be on time.
    ///
    /// Guards against gangs that never fit: waiting for all others, a late one would hold up those that
    /// do for as long as it waits.
    pub(super) fn take(&mut self, step: &Waiting) -> bool {
        let need = self.need(step);
        let taken = self.taken.entry(step.queue.priority).or_insert(0);
        let admitted = *taken + need <= self.whole;
        if admitted {
            *taken += need;
        } else if step.rank.hope == Hope::OnTime {
            *taken = self.whole;
        }
        admitted
    }

    /// Notes a gang that is asked about or holds tickets.
    fn note(&mut self, step: &Waiting) {
        *self.taken.entry(step.queue.priority).or_insert(0) += self.need(step);
    }

    /// What a gang counts for: no single one takes more than half.
    fn need(&self, step: &Waiting) -> u64 {
        step.cpu_millis().min(self.whole / 2)
    }
}

impl Machine {
    /// What may be spent on questions about further gangs in this round.
    pub(super) fn budget(&self, waiting: &[Waiting], fields: &Fields) -> Budget {
        let whole = (fields.cpu_millis() as f64 * SHARE) as u64;
        let mut budget = Budget { whole, taken: BTreeMap::new() };
        for step in waiting.iter().filter(|step| step.model().gang && self.is_under_way(step)) {
            budget.note(step);
        }
        budget
    }

    /// Whether a question about the step is under way, or its tickets hold.
    pub(super) fn is_under_way(&self, step: &Waiting) -> bool {
        let tickets = self.tickets.get(&step.key);
        tickets.is_some_and(|tickets| {
            tickets.has_pending_question() || tickets.with_valid_ticket(self.now).next().is_some()
        })
    }

    /// Keeps the workers of a gang that does not fit yet free of what comes after it.
    pub(super) fn reserve(&self, step: &Waiting, allowed: &[usize], fields: &mut Fields) {
        if step.rank.hope == Hope::Worthless {
            return;
        }
        let spare = (fields.count() as f64 * KEPT_SHARE) as usize;
        let spare = spare.saturating_sub(fields.reserved());
        let mut open: Vec<usize> = allowed.to_vec();
        open.retain(|&at| !fields.get(at).reserved);
        open.sort_by_key(|&at| Reverse(fields.get(at).room.cpu_millis));
        let wanted = step.pending.len() as f64;
        let mut slots = 0.0;
        let mut kept = Vec::new();
        for at in open {
            if slots >= wanted * MARGIN {
                break;
            }
            slots += fields.get(at).slots(&step.queue.service, step.model()).max(1.0);
            kept.push(at);
        }
        if slots >= wanted && kept.len() <= spare {
            kept.into_iter().for_each(|at| fields.reserve(at));
        }
    }
}
