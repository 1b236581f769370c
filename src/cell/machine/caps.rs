//! Customers' caps, as the owner enforces them.
//!
//! A cap counts every attempt that is not known to have ended, from its placement on: also one
//! whose start command was lost or is late, one on a worker that does not answer, and one of an
//! earlier owner. All of them are in the journal, so that a new owner counts the same.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::Machine;
use super::deferral::Rule;
use super::pending::PendingStep;
use super::query_workers::useful_tasks;
use crate::cell::customer::{Customer, Name};
use crate::cell::job::{Job, Run, Step, StepKey};
use crate::planted::{Fault, is_planted};
use crate::resource::{Amount, Limit};

/// What an attempt counts for the cap of its customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    customer: Name,
    demand: Amount,
    /// Whether the attempt belongs to a long-running step.
    lasting: bool,
}

/// Resources that each customer's attempts use.
#[derive(Debug, Default)]
pub(super) struct CustomerUsage {
    by_customer: HashMap<Name, Usage>,
}

/// Resources that one customer's attempts use.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    all: Amount,
    /// What those of long-running steps use, which do not end by themselves.
    lasting: Amount,
}

/// Customers with a log line of their own, those with the most waiting steps.
const MAX_LOGGED_CUSTOMERS: usize = 8;

/// Steps of a customer that wait for its cap alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HeldBack {
    steps: usize,
    tasks: usize,
}

/// Whether a waiting step is considered under the cap of its customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CapDecision {
    /// It is.
    Admitted,
    /// The cap leaves too little for it.
    Capped,
    /// The cap has room for `room` of its tasks, which `rule` withholds from it.
    PassedOver { rule: Rule, room: f64, wanted: f64 },
}

/// How a customer's cap restricts a waiting step now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Allowance {
    /// Not at all.
    Unlimited,
    /// This many of its tasks may start.
    Tasks(u64),
    /// The configuration has no such customer, so that its cap is unknown.
    Unknown,
}

impl Charge {
    /// What an attempt of `step` counts. Opportunistic tasks count too: they use what others leave.
    pub(super) fn of(job: &Job, step: &Step) -> Option<Self> {
        let customer = job.customer.clone()?;
        Some(Self { customer, demand: step.demand, lasting: step.long_running })
    }

    pub(super) const fn customer(&self) -> &Name {
        &self.customer
    }

    pub(super) const fn demand(&self) -> &Amount {
        &self.demand
    }
}

impl HeldBack {
    pub(super) const fn steps(&self) -> usize {
        self.steps
    }
}

impl CustomerUsage {
    pub(super) fn add(&mut self, charge: Option<&Charge>) {
        let Some(charge) = charge else { return };
        let usage = self.by_customer.entry(charge.customer.clone()).or_default();
        usage.all = usage.all.saturating_add(&charge.demand);
        if charge.lasting {
            usage.lasting = usage.lasting.saturating_add(&charge.demand);
        }
    }

    pub(super) fn release(&mut self, charge: Option<&Charge>) {
        let Some(charge) = charge else { return };
        if let Some(usage) = self.by_customer.get_mut(&charge.customer) {
            usage.all = usage.all.saturating_sub(&charge.demand);
            if charge.lasting {
                usage.lasting = usage.lasting.saturating_sub(&charge.demand);
            }
        }
    }

    /// Customers whose attempts have used resources.
    pub(super) fn names(&self) -> impl Iterator<Item = &Name> {
        self.by_customer.keys()
    }

    fn of(&self, customer: &str) -> Amount {
        self.by_customer.get(customer).map_or(Amount::ZERO, |usage| usage.all)
    }

    fn lasting(&self, customer: &str) -> Amount {
        self.by_customer.get(customer).map_or(Amount::ZERO, |usage| usage.lasting)
    }
}

impl Machine {
    /// Resources that a customer's attempts use, counting every attempt that may be running.
    pub fn usage_of(&self, customer: &str) -> Amount {
        self.usage.of(customer)
    }

    pub(super) fn customer(&self, name: Option<&str>) -> Option<&Customer> {
        let customers = self.config.customers.as_ref()?;
        customers.named(name?).map(|customer| &**customer)
    }

    /// What an attempt of the step counts for its customer's cap.
    pub(super) fn charge(&self, key: &StepKey) -> Option<Charge> {
        let job = &self.state.jobs.get(&key.job)?.job;
        Charge::of(job, job.steps.get(key.step as usize)?)
    }

    /// How many of the pending tasks of a step its customer's cap lets start now: all or none of a
    /// gang.
    pub(super) fn startable(&self, step: &PendingStep) -> usize {
        self.startable_beside(step, &Amount::ZERO)
    }

    /// Whether a step does not fit under its customer's cap now and will once those of the customer's
    /// attempts have ended that do so by themselves.
    pub(super) fn waits_for_cap(&self, step: &PendingStep) -> bool {
        self.startable(step) == 0 && self.will_fit_into_cap(step)
    }

    /// Whether a step fits under its customer's cap beside the customer's long-running attempts.
    pub(super) fn will_fit_into_cap(&self, step: &PendingStep) -> bool {
        let customer = self.customer(step.job.customer.as_deref());
        customer.is_some_and(|customer| {
            let tasks = step.pending.len() as u64;
            let lasting = self.usage.lasting(&customer.name);
            // One task may go beyond the cap while nothing of the customer runs.
            let beyond = u64::from(lasting.is_zero());
            customer.cap.count(&lasting, &step.spec().demand).saturating_add(beyond) >= tasks
        })
    }

    /// The same if `claimed` of the cap is meant for other steps.
    fn startable_beside(&self, step: &PendingStep, claimed: &Amount) -> usize {
        self.within_cap(step, &claimed.saturating_add(&self.claimed_by_turn(step)))
    }

    /// How many of the pending tasks of a step fit under its customer's cap beside `claimed`: all or
    /// none of a gang.
    fn within_cap(&self, step: &PendingStep, claimed: &Amount) -> usize {
        let pending = step.pending.len();
        match self.allowance(step, claimed) {
            Allowance::Unlimited => pending,
            Allowance::Unknown => 0,
            Allowance::Tasks(tasks) if step.spec().gang && tasks < pending as u64 => 0,
            Allowance::Tasks(tasks) => pending.min(usize::try_from(tasks).unwrap_or(usize::MAX)),
        }
    }

    /// Tasks of a step that may start under its customer's cap. While nothing of the customer runs,
    /// one of them may go beyond the cap.
    ///
    /// Guards against a cap that is lowered below a task that has been accepted: the task would
    /// wait for ever.
    fn allowance(&self, step: &PendingStep, claimed: &Amount) -> Allowance {
        let (Some(name), Some(_)) = (&step.job.customer, &self.config.customers) else {
            return Allowance::Unlimited;
        };
        if is_planted(Fault::CapIgnored) {
            return Allowance::Unlimited;
        }
        let Some(customer) = self.customer(Some(name)) else { return Allowance::Unknown };
        let usage = self.usage.of(name).saturating_add(claimed);
        let count = customer.cap.count(&usage, &step.spec().demand);
        if !usage.is_zero() {
            return Allowance::Tasks(count);
        }
        let beyond = if step.spec().gang { count.saturating_add(1) } else { count.max(1) };
        Allowance::Tasks(beyond)
    }

    /// Removes the steps that have to wait for the cap of their customer, so that no query,
    /// reservation or preemption is spent on them. What the cap leaves goes to the first in rank.
    /// While the customer uses no more than half of its cap, each step that may start is considered,
    /// since the first may wait for something else.
    ///
    /// Pattern of load: a customer submits more than its cap lets run. Each of its steps was
    /// queried about again and again for the few tasks that might start, and the instances that
    /// send queries were missing for the steps of others.
    pub(super) fn hold_back_capped(&mut self, waiting: &mut Vec<PendingStep>) {
        self.update_cap_turns(waiting);
        let mut held_back = std::mem::take(&mut self.held_back);
        held_back.clear();
        let mut claims: HashMap<Name, Amount> = HashMap::new();
        waiting.retain(|step| {
            let Some(customer) = &step.job.customer else { return true };
            let decision = self.claim_from_cap(step, customer, &mut claims);
            if decision == CapDecision::Admitted {
                return true;
            }
            if let CapDecision::PassedOver { rule, room, wanted } = decision {
                self.note_deferral(step, rule, Some(room), wanted);
            }
            let held = held_back.entry(customer.clone()).or_default();
            held.steps += 1;
            held.tasks += step.pending.len();
            false
        });
        self.held_back = held_back;
        self.log_held_back();
    }

    /// Decides whether a customer's cap lets a step be considered beside the `claims` of the steps
    /// before it, to which its own is then added.
    pub(super) fn claim_from_cap(
        &self,
        step: &PendingStep,
        customer: &Name,
        claims: &mut HashMap<Name, Amount>,
    ) -> CapDecision {
        let claimed = claims.entry(customer.clone()).or_insert(Amount::ZERO);
        let is_near_cap = self.is_near_cap(customer);
        let counts_others = is_near_cap && !step.overdue.contains(Rule::CapClaim);
        let others = if counts_others { *claimed } else { Amount::ZERO };
        let tasks = self.startable_beside(step, &others);
        if tasks == 0 {
            return self.withheld_by_cap(step);
        }
        if is_near_cap && !self.is_worth_considering(step, tasks) {
            return CapDecision::PassedOver {
                rule: Rule::CapNotWorthwhile,
                room: tasks as f64,
                wanted: useful_tasks(step.pending.len()),
            };
        }
        let wanted = step.spec().demand.checked_mul(tasks as u64);
        *claimed = wanted.map_or(*claimed, |wanted| claimed.saturating_add(&wanted));
        CapDecision::Admitted
    }

    /// Distinguishes a step that does not fit under its customer's cap from one whose room there is
    /// kept for other steps.
    fn withheld_by_cap(&self, step: &PendingStep) -> CapDecision {
        let room = self.within_cap(step, &Amount::ZERO);
        if room == 0 {
            return CapDecision::Capped;
        }
        let rule = if self.startable(step) == 0 { Rule::CapTurn } else { Rule::CapClaim };
        let wanted = if step.spec().gang { step.pending.len() as f64 } else { 1.0 };
        CapDecision::PassedOver { rule, room: room as f64, wanted }
    }

    /// Whether a customer uses more than half of its cap, in any dimension.
    fn is_near_cap(&self, name: &Name) -> bool {
        let usage = self.usage.of(name);
        let twice = usage.saturating_add(&usage);
        self.customer(Some(name)).is_some_and(|customer| customer.cap.is_exceeded_by(&twice))
    }

    /// Whether a step of which `tasks` may start is worth a query to the policy service, if it needs
    /// one.
    fn is_worth_considering(&self, step: &PendingStep, tasks: usize) -> bool {
        step.queue.policy.is_none()
            || step.overdue.contains(Rule::CapNotWorthwhile)
            || self.has_query_or_tickets(step)
            || tasks as f64 >= useful_tasks(step.pending.len())
    }

    /// Logs which customers' steps wait for their caps, and the figures.
    fn log_held_back(&mut self) {
        if self.held_back.is_empty() || !self.backlog.take_capped_turn(self.now) {
            return;
        }
        let mut held_back: Vec<(&Name, &HeldBack)> = self.held_back.iter().collect();
        held_back.sort_by_key(|(_, held)| Reverse(held.steps));
        for (name, held) in held_back.into_iter().take(MAX_LOGGED_CUSTOMERS) {
            let usage = self.usage.of(name);
            let cap = self.customer(Some(name)).map(|customer| customer.cap);
            let limit = |limit: fn(&Limit) -> Option<u64>| match &cap {
                Some(cap) => limit(cap).map_or_else(|| "none".to_owned(), |most| most.to_string()),
                None => "unknown".to_owned(),
            };
            log::info!(
                "event=customer.capped customer={} steps={} tasks={} cpu_millis={} cpu_cap={} \
                 memory_mib={} memory_cap={} accelerators={} accelerators_cap={}",
                crate::logging::value(name),
                held.steps,
                held.tasks,
                usage.cpu_millis,
                limit(|cap| cap.cpu_millis),
                usage.memory_mib,
                limit(|cap| cap.memory_mib),
                usage.accelerators,
                limit(|cap| cap.accelerators)
            );
        }
    }

    /// Whether the customer of an attempt uses more than its cap, so that the attempt may not start.
    /// What may start alone by [`Machine::allowance`] may do so here.
    ///
    /// Guards against a placement that was made before the cap was lowered and is carried out
    /// afterwards.
    pub(super) fn is_above_cap(&self, run: &Run) -> bool {
        let charge = self.runs.get(run).and_then(|active| active.charge.as_ref());
        let Some(Charge { customer: name, demand, .. }) = charge else { return false };
        let Some(customer) = self.customer(Some(name)) else { return false };
        let usage = self.usage.of(name);
        if !customer.cap.is_exceeded_by(&usage) || is_planted(Fault::CapIgnored) {
            return false;
        }
        let members = self.members(run);
        let is_alone = demand.checked_mul(members).is_some_and(|alone| alone == usage);
        !is_alone || customer.cap.count(&Amount::ZERO, demand).saturating_add(1) < members
    }

    /// Number of attempts that start together with `run`: the members of its gang, or itself.
    fn members(&self, run: &Run) -> u64 {
        let key = run.task.step;
        if !self.spec(&key).is_some_and(|step| step.gang) {
            return 1;
        }
        self.runs_of_step(key).filter(|(member, _)| member.number == run.number).count() as u64
    }
}
