//! Steps that a rule passes over to save work, although they could run.
//!
//! Several rules leave a step alone for now: a query to the policy service seems not worthwhile, the
//! budget of gangs is used up, its workers are reserved for a gang, or it waits for a worker near its
//! data. Each saves work where steps compete for capacity, and none of them ends by itself. So all
//! of them are bounded here: a rule that has passed over a step for [`Rule::limit`] no longer applies
//! to it until one of its tasks has been placed.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

use super::Machine;
use super::pending::PendingStep;
use crate::cell::job::{Id, StepKey};
use crate::clock::Instant;

/// Longest time for which a rule may pass over a step. Together with two queries and the start it
/// stays below the three seconds within which accepted work has to start beside free workers.
const MAX_DEFERRAL: Duration = Duration::from_secs(1);

/// The same for a turn of a gang at the cap of its customer, during which attempts have to end.
const MAX_CAP_TURN_DEFERRAL: Duration = Duration::from_secs(5);

/// Share of the instances' time that queries about overdue steps may take before all others: on a
/// full site, where most of them find the room taken when the answer arrives, and on a mostly free one.
const OVERDUE_SHARE: f64 = 1.0 / 8.0;
const OVERDUE_SHARE_MOSTLY_FREE: f64 = 1.0 / 2.0;

/// Interval between two permissions to use reserved workers on a full site, and how long each lasts:
/// longer than a query.
const OVERRIDE_INTERVAL: Duration = Duration::from_secs(1);
const OVERRIDE_TIME: Duration = Duration::from_secs(2);

/// Time without being passed over after which a step counts as not passed over: longer than a query
/// and the validity of its tickets.
const FORGET_AFTER: Duration = Duration::from_secs(3);

/// Rule that passes over a step.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rule {
    /// Its eligible workers have room for too few of its tasks to renew their tickets.
    #[display("query_not_worthwhile")]
    QueryNotWorthwhile,
    /// Tasks on its eligible workers are expected to make room for it.
    #[display("expected_room")]
    ExpectedRoom,
    /// No instance is left to send its query.
    #[display("no_instance")]
    NoInstance,
    /// Other gangs use up the budget of queries about gangs.
    #[display("gang_budget")]
    GangBudget,
    /// Workers that could run it are reserved for gangs.
    #[display("reservation")]
    Reservation,
    /// Only workers away from its data, or in several racks, have room.
    #[display("locality")]
    Locality,
    /// Its task is suspected of crashing workers, and tasks of other jobs are starting on all workers
    /// with room for it.
    #[display("isolation")]
    Isolation,
    /// Its customer's cap lets too few of its tasks start to query about them.
    #[display("cap_not_worthwhile")]
    CapNotWorthwhile,
    /// Steps of the same customer that rank before it claim what the cap leaves.
    #[display("cap_claim")]
    CapClaim,
    /// A gang has its turn at the cap of their customer.
    #[display("cap_turn")]
    CapTurn,
}

impl Rule {
    /// All rules.
    pub(super) const ALL: [Self; 10] = [
        Self::QueryNotWorthwhile,
        Self::ExpectedRoom,
        Self::NoInstance,
        Self::GangBudget,
        Self::Reservation,
        Self::Locality,
        Self::Isolation,
        Self::CapNotWorthwhile,
        Self::CapClaim,
        Self::CapTurn,
    ];

    /// Longest time for which the rule may pass over a step.
    pub(super) const fn limit(self) -> Duration {
        match self {
            Self::CapTurn => MAX_CAP_TURN_DEFERRAL,
            _ => MAX_DEFERRAL,
        }
    }

    /// Whether it passes over queries to the policy service.
    const fn concerns_queries(self) -> bool {
        matches!(
            self,
            Self::QueryNotWorthwhile | Self::ExpectedRoom | Self::NoInstance | Self::GangBudget
        )
    }
}

/// The rules that have passed over a step for as long as they may.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Overdue {
    rules: u16,
    /// From when a rule may no longer pass over queries about the step.
    query_due: Option<Instant>,
}

impl Overdue {
    fn add(&mut self, rule: Rule, due: Instant) {
        self.rules |= 1 << rule as u16;
        if rule.concerns_queries() {
            self.query_due = self.query_due.into_iter().chain([due]).min();
        }
    }

    /// Lets `rule` apply again.
    pub(super) const fn remove(&mut self, rule: Rule) {
        self.rules &= !(1 << rule as u16);
    }

    /// Whether `rule` no longer applies to the step.
    pub(super) const fn contains(self, rule: Rule) -> bool {
        self.rules & (1 << rule as u16) != 0
    }

    /// From when a rule may no longer pass over queries about the step; `None` if it still may.
    pub(super) const fn query_due(self) -> Option<Instant> {
        self.query_due
    }
}

/// Why and for how long a rule has passed over a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Deferral {
    /// Since when the rule has passed over it.
    pub(super) since: Instant,
    /// When it last did.
    pub(super) last: Instant,
    /// From when the rule no longer applies.
    due: Instant,
    /// Number of its tasks that could run, as the rule saw it; `None` if that is not known.
    pub(super) room: Option<f64>,
    /// Number that the rule wanted.
    pub(super) wanted: f64,
}

impl Deferral {
    /// Whether the rule has passed over the step for as long as it may.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        now >= self.due
    }

    /// Time for which the rule has passed over the step, until it last did.
    pub(super) fn lasted(&self) -> Duration {
        self.last.since(self.since)
    }

    fn is_current(&self, now: Instant) -> bool {
        now.since(self.last) <= FORGET_AFTER
    }
}

/// All steps that are passed over, with the rules that do so.
#[derive(Debug, Default)]
pub(super) struct Deferrals {
    by_step: BTreeMap<(StepKey, Rule), Deferral>,
    /// When a query about an overdue step may next go before all others.
    next_turn: Instant,
    /// When overdue steps were last examined first.
    examined: BTreeMap<StepKey, Instant>,
    /// Steps that may use reserved workers, with the ends of these permissions.
    overrides: BTreeMap<StepKey, Instant>,
    /// When a step may next be given such a permission on a full site.
    next_override: Instant,
}

impl Deferrals {
    /// Notes that `rule` passes over a step that has room for `room` tasks, because it wants room for
    /// `wanted`.
    pub(super) fn note(
        &mut self,
        step: StepKey,
        rule: Rule,
        room: Option<f64>,
        wanted: f64,
        now: Instant,
    ) {
        let fresh = Deferral { since: now, last: now, due: now.after(rule.limit()), room, wanted };
        let deferral = self.by_step.entry((step, rule)).or_insert(fresh);
        let first = if deferral.is_current(now) { *deferral } else { fresh };
        *deferral = Deferral { since: first.since, due: first.due, ..fresh };
    }

    /// Returns the rules that have passed over a step for as long as they may.
    pub(super) fn overdue(&self, step: StepKey, now: Instant) -> Overdue {
        let mut overdue = Overdue::default();
        for (rule, deferral) in self.of(step, now) {
            if deferral.is_overdue(now) {
                overdue.add(rule, deferral.due);
            }
        }
        overdue
    }

    /// Whether a query about an overdue step may go before all others now.
    pub(super) fn has_turn(&self, now: Instant) -> bool {
        now >= self.next_turn
    }

    /// Notes that a query about an overdue step, which takes `took`, went before all others, while
    /// `instances` could send queries.
    pub(super) fn take_turn(
        &mut self,
        took: Duration,
        instances: usize,
        mostly_free: bool,
        now: Instant,
    ) {
        let share = if mostly_free { OVERDUE_SHARE_MOSTLY_FREE } else { OVERDUE_SHARE };
        self.next_turn = now.after(took.div_f64(instances.max(1) as f64 * share));
    }

    /// Notes that an overdue step was examined first.
    pub(super) fn note_examined(&mut self, step: StepKey, now: Instant) {
        self.examined.insert(step, now);
    }

    /// Sort key of an overdue step that has been due since `due`, the first to be examined first: those
    /// that have been examined go behind the others.
    pub(super) fn place_in_line(&self, step: StepKey, due: Instant) -> Instant {
        self.examined.get(&step).map_or(due, |examined| due.max(*examined))
    }

    /// Whether an overdue step may use reserved workers. While most of the CPU is free, each may;
    /// otherwise one more from time to time.
    ///
    /// Guards against a full site on which each step that waits is overdue, and takes what becomes
    /// free on the workers that are reserved for a gang.
    pub(super) fn may_override(&mut self, step: StepKey, mostly_free: bool, now: Instant) -> bool {
        let granted = self.overrides.get(&step).is_some_and(|until| now < *until);
        if mostly_free || granted {
            return true;
        }
        if now < self.next_override {
            return false;
        }
        self.next_override = now.after(OVERRIDE_INTERVAL);
        self.overrides.insert(step, now.after(OVERRIDE_TIME));
        true
    }

    /// Lets the rules about queries apply to a step again until they have passed over it for as long as
    /// they may. Called when a query has allowed a worker, or would not help.
    pub(super) fn restart_queries(&mut self, step: StepKey, now: Instant) {
        for rule in Rule::ALL.into_iter().filter(|rule| rule.concerns_queries()) {
            if let Some(deferral) = self.by_step.get_mut(&(step, rule)) {
                deferral.due = now.after(rule.limit());
            }
        }
    }

    /// Returns the rules that pass over a step now.
    pub(super) fn of(
        &self,
        step: StepKey,
        now: Instant,
    ) -> impl Iterator<Item = (Rule, &Deferral)> {
        let of_step = self.by_step.range((step, Rule::QueryNotWorthwhile)..=(step, Rule::CapTurn));
        let current = of_step.filter(move |(_, deferral)| deferral.is_current(now));
        current.map(|((_, rule), deferral)| (*rule, deferral))
    }

    /// Whether no step has been passed over lately.
    pub(super) fn is_empty(&self) -> bool {
        self.by_step.is_empty()
    }

    /// Returns all steps that are passed over now, with the rules.
    pub(super) fn iter(&self, now: Instant) -> impl Iterator<Item = (StepKey, Rule, &Deferral)> {
        let current = self.by_step.iter().filter(move |(_, deferral)| deferral.is_current(now));
        current.map(|((step, rule), deferral)| (*step, *rule, deferral))
    }

    /// Ends the deferrals of a step of which a task has been placed.
    pub(super) fn end(&mut self, step: StepKey) {
        for rule in Rule::ALL {
            self.by_step.remove(&(step, rule));
        }
        self.examined.remove(&step);
        self.overrides.remove(&step);
    }

    /// Removes the deferrals of a job.
    pub(super) fn forget_job(&mut self, job: Id) {
        let first = (StepKey::first(job), Rule::QueryNotWorthwhile);
        let of_job = self.by_step.range(first..).map(|(key, _)| *key);
        let of_job: Vec<(StepKey, Rule)> = of_job.take_while(|(step, _)| step.job == job).collect();
        for key in of_job {
            self.by_step.remove(&key);
        }
    }

    /// Removes deferrals of steps that are no longer passed over.
    pub(super) fn forget_ended(&mut self, now: Instant) {
        self.by_step.retain(|_, deferral| deferral.is_current(now));
        self.examined.retain(|_, examined| now.since(*examined) <= FORGET_AFTER);
        self.overrides.retain(|_, until| now < *until);
    }
}

impl Machine {
    /// Notes that `rule` passes over a step that has room for `room` tasks, because it wants room for
    /// `wanted`.
    pub(super) fn note_deferral(
        &mut self,
        step: &PendingStep,
        rule: Rule,
        room: Option<f64>,
        wanted: f64,
    ) {
        self.deferrals.note(step.key, rule, room, wanted, self.now);
    }
}
