//! Why a step waits: the first reason that applies, in the order in which a round checks them.

use std::collections::HashMap;
use std::time::Duration;

use super::super::Machine;
use super::super::caps::CapDecision;
use super::super::pending::PendingStep;
use super::super::rank::Timeliness;
use super::passed_over::Situation;
use super::reason::Reason;
use super::{MAX_EXAMINED_JOBS, MAX_EXAMINED_STEPS};
use crate::cell::customer::Name;
use crate::cell::explain::{CapUse, Capacity, Order, PolicyState, Query, Wait};
use crate::cell::job::Id;
use crate::cell::timings::MAX_POLICY_WORKERS;
use crate::clock::millis;
use crate::resource::Amount;

/// Queries in flight that are listed for a step.
const MAX_QUERIES: usize = 4;

/// Waiting steps in order of rank.
pub(super) struct Examined {
    steps: Vec<PendingStep>,
    /// Whether there are open jobs that were not examined.
    partial: bool,
}

impl Examined {
    /// The steps that rank before `step`.
    fn before(&self, step: &PendingStep) -> &[PendingStep] {
        let place = (step.rank, step.key);
        let end = self.steps.partition_point(|other| (other.rank, other.key) < place);
        &self.steps[..end]
    }

    fn order(&self, step: &PendingStep) -> Order {
        let before = self.before(step);
        let is_examined = self.steps.get(before.len()).is_some_and(|other| other.key == step.key);
        Order {
            place: before.len() + 1,
            steps: self.steps.len() + usize::from(!is_examined),
            tasks_before: before.iter().map(|step| step.pending.len() as u64).sum(),
            cpu_millis_before: before
                .iter()
                .map(PendingStep::cpu_millis)
                .fold(0, u64::saturating_add),
            partial: self.partial,
        }
    }
}

impl Machine {
    /// Explains why a step waits whose earlier steps are done.
    pub(super) fn wait_of(&self, step: &PendingStep, examined: &Examined) -> Wait {
        let order = examined.order(step);
        let decision = self.cap_decision(step, examined.before(step));
        let startable = match decision {
            CapDecision::Admitted => self.startable(step),
            CapDecision::Capped | CapDecision::PassedOver { .. } => 0,
        };
        let needed = if step.spec().gang { step.pending.len() } else { 1 };
        let capacity = self.capacity_for(step, needed);
        let policy = step.queue.policy.map(|_| self.policy_state(step));
        let (reason, cause) = self.reason(step, startable, &capacity, policy.as_ref(), &order);
        let situation = Situation { reason, decision, policy: policy.as_ref() };
        let rule = self.rule_waited_for(step.key, &situation, &cause);
        let (name, cause) = rule.unwrap_or_else(|| (reason.to_string(), cause));
        Wait {
            step: step_name(step),
            tasks: step.pending.len(),
            reason: name,
            cause,
            passed_over: self.deferrals_of(step.key),
            class: Some(step.rank.timeliness.name().to_owned()),
            priority: Some(step.queue.priority),
            slack_ms: self.slack_of(step),
            order: Some(order),
            capacity: Some(capacity),
            cap: self.cap_use(step, startable),
            share: step.job.customer.as_ref().and_then(|name| self.share_use(name)),
            policy,
            earliest_start_ms: self.earliest_start(step, reason, needed).map(millis),
        }
    }

    fn slack_of(&self, step: &PendingStep) -> Option<i64> {
        let accepted = self.state.jobs.get(&step.key.job)?.accepted.as_millis();
        let is_bounded = !step.spec().long_running;
        let slack = || self.slack_ms(&step.job, &step.queue, &step.key, accepted) as i64;
        is_bounded.then(slack)
    }

    /// Returns the waiting steps of a bounded number of open jobs, in order of rank.
    pub(super) fn examined_steps(&self) -> Examined {
        let mut steps = Vec::new();
        let mut jobs = self.state.open.iter().copied().take(MAX_EXAMINED_JOBS);
        while steps.len() < MAX_EXAMINED_STEPS
            && let Some(id) = jobs.next()
        {
            let first_new = steps.len();
            // The next round fails a job of which a task may not be attempted again.
            if self.add_pending_steps(id, &mut steps).is_some() {
                steps.truncate(first_new);
            }
        }
        steps.sort_by_key(|step| (step.rank, step.key));
        let partial = jobs.next().is_some() || self.state.open.len() > MAX_EXAMINED_JOBS;
        Examined { steps, partial }
    }

    /// Whether the cap of its customer lets a step be considered beside the steps `before` it.
    fn cap_decision(&self, step: &PendingStep, before: &[PendingStep]) -> CapDecision {
        let Some(customer) = &step.job.customer else { return CapDecision::Admitted };
        let mut claims: HashMap<Name, Amount> = HashMap::new();
        for other in before.iter().filter(|other| other.job.customer == step.job.customer) {
            self.claim_from_cap(other, customer, &mut claims);
        }
        self.claim_from_cap(step, customer, &mut claims)
    }

    fn cap_use(&self, step: &PendingStep, startable: usize) -> Option<CapUse> {
        let name = step.job.customer.as_ref()?;
        let cap = self.customer(Some(name))?.cap;
        Some(CapUse { cap, used: self.usage_of(name), startable })
    }

    fn policy_state(&self, step: &PendingStep) -> PolicyState {
        let tickets = self.tickets.get(&step.key);
        let (answered, eligible) = tickets.map_or((0, 0), |tickets| tickets.counts());
        let queries = self.queries.values().filter(|query| query.step == step.key);
        PolicyState {
            answered,
            eligible,
            tickets: tickets.map_or(0, |all| all.with_valid_ticket(self.now).count()),
            queries: queries
                .take(MAX_QUERIES)
                .map(|query| Query {
                    instance: query.proxy.to_string(),
                    workers: query.workers.len(),
                    age_ms: millis(self.now.since(query.sent)),
                })
                .collect(),
            instances: self.proxies.values().filter(|proxy| proxy.is_fresh(self.now)).count(),
            idle_instances: self.proxies.values().filter(|proxy| proxy.is_idle(self.now)).count(),
        }
    }

    /// The first reason that applies, with its figures in a sentence.
    fn reason(
        &self,
        step: &PendingStep,
        startable: usize,
        capacity: &Capacity,
        policy: Option<&PolicyState>,
        order: &Order,
    ) -> (Reason, String) {
        if startable == 0
            && let Some(name) = &step.job.customer
        {
            return self.cap_reason(step, name);
        }
        if !self.any_worker_is_suitable(step) {
            let cause = format!(
                "no listed worker of service {:?} has the label and the size of a task ({})",
                step.queue.service,
                step.spec().demand
            );
            return (Reason::NoWorker, cause);
        }
        if let Some(policy) = policy.filter(|policy| policy.answered == 0) {
            return policy_reason(policy, order);
        }
        self.capacity_reason(step, capacity, policy, order)
    }

    fn cap_reason(&self, step: &PendingStep, name: &Name) -> (Reason, String) {
        let Some(customer) = self.customer(Some(name)) else {
            let cause = format!(
                "version {} of the configuration has no customer {name:?}, so that its cap is not \
                 known",
                self.config.version
            );
            return (Reason::CustomerUnknown, cause);
        };
        let cause = format!(
            "customer {name:?} uses {} of its cap of {}; {} tasks of {} each have to wait, or come \
             after earlier steps of the customer",
            self.usage_of(name),
            limit_text(&customer.cap),
            step.pending.len(),
            step.spec().demand
        );
        (Reason::Cap, cause)
    }

    fn capacity_reason(
        &self,
        step: &PendingStep,
        capacity: &Capacity,
        policy: Option<&PolicyState>,
        order: &Order,
    ) -> (Reason, String) {
        let Capacity { needed, fits, open, leaving, unavailable, inactive, .. } = *capacity;
        let figures = format!(
            "{fits} of the {needed} tasks that have to start at once fit on {open} workers with {} \
             free cores",
            capacity.free_cpu_millis / 1_000
        );
        if fits < needed {
            let with_leaving = fits + capacity.fits_leaving;
            let rank = format!("; {} steps rank before it", order.place - 1);
            return if with_leaving >= needed {
                (Reason::LeavingWorkers, format!("{figures}; {leaving} more workers are leaving"))
            } else if with_leaving + capacity.fits_unavailable >= needed {
                let cause = format!(
                    "{figures}; {unavailable} more workers are quarantined, do not answer or are \
                     listed with outdated entries"
                );
                (Reason::UnavailableWorkers, cause)
            } else if inactive > 0 && self.has_inactive_for(step) {
                (Reason::Activation, format!("{figures}; {inactive} more are not polled yet"))
            } else if let Some(policy) = policy.filter(|policy| policy.eligible == 0) {
                let cause = format!(
                    "the policy service allows none of the {} workers that it was asked about",
                    policy.answered
                );
                (Reason::EligibleWorkers, cause)
            } else if step.rank.timeliness == Timeliness::Excess {
                let cause = "its customer submits more than its rate, so that others go first";
                (Reason::Share, format!("{cause}; {figures}{rank}"))
            } else if step.rank.timeliness == Timeliness::Worthless {
                let cause = "it can no longer end within three times its objective, so that all \
                             others go first";
                (Reason::Worthless, format!("{cause}; {figures}{rank}"))
            } else {
                (Reason::Capacity, format!("{figures}{rank}"))
            };
        }
        if let Some(policy) = policy.filter(|_| capacity.fits_ticketed < needed) {
            let cause = format!(
                "{figures}, {} of them with a valid ticket ({} of {} eligible workers); {} queries \
                 are in flight",
                capacity.fits_ticketed,
                policy.tickets,
                policy.eligible,
                policy.queries.len()
            );
            return (Reason::Tickets, cause);
        }
        if order.place > 1 {
            let cause = format!(
                "{figures}, but {} steps with {} tasks on {} cores rank before it and may take or \
                 reserve them",
                order.place - 1,
                order.tasks_before,
                order.cpu_millis_before / 1_000
            );
            return (Reason::Rank, cause);
        }
        (Reason::NextRound, format!("{figures}; the next round places it"))
    }

    /// Shortest time until a step can start.
    fn earliest_start(
        &self,
        step: &PendingStep,
        reason: Reason,
        needed: usize,
    ) -> Option<Duration> {
        let wait = match reason {
            Reason::Cap => self.cap_free_in(step, needed)?,
            Reason::CustomerUnknown | Reason::NoWorker | Reason::EligibleWorkers => return None,
            _ => self.capacity_free_in(step, needed)?,
        };
        let is_unanswered =
            self.tickets.get(&step.key).is_none_or(|tickets| tickets.counts().0 == 0);
        let timing = step.queue.policy.filter(|_| is_unanswered || reason == Reason::Tickets);
        let query_ms =
            timing.map_or(0.0, |timing| timing.time_ms(MAX_POLICY_WORKERS.min(self.workers.len())));
        let sent = self.queries.values().find(|query| query.step == step.key);
        let passed = sent.map_or(Duration::ZERO, |query| self.now.since(query.sent));
        let query = Duration::from_millis(query_ms as u64).saturating_sub(passed);
        Some(wait.max(query))
    }

    /// Explains why a step of a job waits of which no task may be placed now.
    pub(super) fn blocked_wait(&self, job: Id, step: String, tasks: usize, reason: Reason) -> Wait {
        let runs = self.runs_of_job(job);
        let ends = runs.filter_map(|run| self.expected_end_in(run, self.runs.get(run)?));
        let last = ends.max();
        let cause = match reason {
            Reason::EarlierStep => "an earlier step of the job has not ended",
            Reason::EarlierAttempt => "members of an earlier attempt of the gang have not ended",
            Reason::NotDue => "the occurrence is not due yet",
            Reason::QueueUnknown => "the configuration in force does not contain the job's queue",
            _ => "the next round considers it",
        };
        Wait {
            step,
            tasks,
            reason: reason.to_string(),
            cause: cause.to_owned(),
            earliest_start_ms: last.map(millis),
            ..Wait::default()
        }
    }
}

/// Name of a step within its job.
fn step_name(step: &PendingStep) -> String {
    format!("{}.{}", step.key.occurrence, step.key.step)
}

fn policy_reason(policy: &PolicyState, order: &Order) -> (Reason, String) {
    if let Some(query) = policy.queries.first() {
        let cause = format!(
            "the policy service has been asked about {} workers through {} for {} ms",
            query.workers, query.instance, query.age_ms
        );
        return (Reason::PolicyAnswer, cause);
    }
    let cause = format!(
        "the policy service has not been asked: {} of {} instances can send a query now, and {} \
         steps rank before it",
        policy.idle_instances,
        policy.instances,
        order.place - 1
    );
    (Reason::PolicyQuery, cause)
}

fn limit_text(limit: &crate::resource::Limit) -> String {
    let text = |limit: Option<u64>, unit: &str| limit.map(|limit| format!("{limit}{unit}"));
    let parts = [
        text(limit.cpu_millis, "m cpu"),
        text(limit.memory_mib, " MiB"),
        text(limit.accelerators, " accelerators"),
    ];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    if parts.is_empty() { "no resource".to_owned() } else { parts.join(", ") }
}
