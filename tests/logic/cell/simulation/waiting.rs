//! The check that accepted work starts beside free workers: within [`BOUND_MS`] from the moment from
//! which a step could run, one of its tasks starts, or the room has gone to others.
//!
//! Room and attempts are those of the simulated workers, whatever the owner believes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oriolefork::cell::job::{Job, Phase, Run, Step, StepKey, TaskKey};
use oriolefork::resource::Amount;

use super::caps::customer_of;
use super::policy::number_of;
use super::{Faults, Simulation, name};
use crate::cell::model;

/// Time within which a task of a step that could run starts, in milliseconds: the bound that users
/// have stated.
const BOUND_MS: u64 = 3_000;

/// Intervals of the records of what runs, and of the checks, in milliseconds.
const RECORD_INTERVAL_MS: u64 = 50;
const CHECK_INTERVAL_MS: u64 = 200;

/// Number of a step's tasks, or of gangs of its width, that its workers have room for if the check
/// applies. The second one leaves room for fragmentation.
const ROOM_FACTOR: u64 = 2;

/// Time after the last fault within which attempts on workers that are gone or were cut off may
/// still count as running: a lease of eight seconds, granted for four seconds after the last write,
/// and the execution of the last delayed call.
const LEASES_END_MS: u64 = 13_000;

/// The same if neither workers nor owners fail: the timeout of a query to the policy service and the
/// longest pause of an instance after it.
const ANSWERS_END_MS: u64 = 6_000;

/// Long-running tasks count each; other tasks count as one with their step.
type Unit = (StepKey, Option<u32>);

/// What was free and in use at one time.
struct Record {
    at: u64,
    free: BTreeMap<String, Amount>,
    capacity: u64,
    used: u64,
    used_by_customer: BTreeMap<usize, u64>,
}

/// What was free at all times of the last [`BOUND_MS`].
struct Window {
    free: BTreeMap<String, Amount>,
    used_by_customer: BTreeMap<usize, u64>,
}

/// Steps that wait, and the records of the last [`BOUND_MS`].
#[derive(Default)]
pub(super) struct WaitingSteps {
    /// Since when the check applies.
    from: Option<u64>,
    records: VecDeque<Record>,
    since: BTreeMap<Unit, u64>,
    /// Steps that waited beside free workers for too long.
    violations: BTreeMap<Unit, String>,
    /// Number of waits beside free workers that were checked.
    checked: u64,
}

impl WaitingSteps {
    pub(super) fn note_start(&mut self, run: &Run) {
        self.since.remove(&(run.task.step, None));
        self.since.remove(&(run.task.step, Some(run.task.index)));
    }

    /// What was free at all times of the last [`BOUND_MS`], if less than half of the site was in use
    /// throughout.
    fn window(&self, now: u64) -> Option<Window> {
        let first = self.records.front()?;
        if first.at + BOUND_MS > now || self.records.iter().any(|one| one.used * 2 >= one.capacity)
        {
            return None;
        }
        let mut free = first.free.clone();
        let mut used_by_customer = BTreeMap::new();
        for record in &self.records {
            free.retain(|worker, _| record.free.contains_key(worker));
            for (worker, least) in &mut free {
                let now = &record.free[worker];
                least.cpu_millis = least.cpu_millis.min(now.cpu_millis);
                least.memory_mib = least.memory_mib.min(now.memory_mib);
            }
            for (customer, used) in &record.used_by_customer {
                let most = used_by_customer.entry(*customer).or_insert(0);
                *most = (*used).max(*most);
            }
        }
        Some(Window { free, used_by_customer })
    }
}

impl Faults {
    /// Time after the last fault from which nothing of it is left, in milliseconds.
    fn end_ms(&self) -> u64 {
        let loses_runs = self.worker_ms > 0 || self.takeover_ms > 0 || self.delayed_calls > 0.0;
        let loses_answers =
            self.outages || self.lost_policy_answers > 0.0 || self.lost_append_answers > 0.0;
        if loses_runs {
            LEASES_END_MS
        } else if loses_answers || self.cap_ms > 0 || self.resize_ms > 0 {
            ANSWERS_END_MS
        } else {
            0
        }
    }
}

impl Simulation {
    /// Records what runs and checks the steps that wait, if nothing disturbs the site.
    pub(super) fn check_waiting(&mut self) {
        if self.policy.is_none() || !self.now.is_multiple_of(RECORD_INTERVAL_MS) {
            return;
        }
        let calm = self.faults_ended || self.faults.end_ms() == 0;
        let delay = self.faults.end_ms();
        if !calm || self.now < *self.waiting.from.get_or_insert(self.now + delay) {
            return;
        }
        self.record_usage();
        self.update_waiting();
        if self.now.is_multiple_of(CHECK_INTERVAL_MS) {
            self.check_bound();
        }
    }

    /// Panics if a step has waited beside free workers for too long. Returns the number of waits
    /// beside free workers that were checked.
    pub fn check_no_step_passed_over(&self) -> u64 {
        let violations: Vec<&str> = self.waiting.violations.values().map(String::as_str).collect();
        assert!(violations.is_empty(), "{} steps:\n{}", violations.len(), violations.join("\n"));
        self.waiting.checked
    }

    /// Advances the clock until all accepted jobs have ended, by at most `limit_ms`.
    pub fn settle_until_done(&mut self, limit_ms: u64) {
        let end = self.now + limit_ms;
        while self.now < end && !self.is_done() {
            self.settle(CHECK_INTERVAL_MS);
        }
    }

    fn is_done(&self) -> bool {
        let state = &self.owners.last().expect("an owner").machine.state;
        let accepted = self.jobs.iter().filter(|(_, submitted)| submitted.accepted);
        let mut entries = accepted.map(|(id, _)| state.jobs.get(id));
        entries.all(|entry| entry.is_none_or(|entry| entry.phase().is_final()))
    }

    fn record_usage(&mut self) {
        let now = self.now;
        let mut record = Record {
            at: now,
            free: BTreeMap::new(),
            capacity: 0,
            used: 0,
            used_by_customer: BTreeMap::new(),
        };
        for (number, incarnation) in &self.incarnations {
            let worker = name(*number, *incarnation);
            let Some(upstream) = self.workers.get(&worker) else { continue };
            let used = upstream.allocated();
            record.capacity += upstream.capacity.cpu_millis;
            record.used += used.cpu_millis;
            for (run, demand) in &upstream.runs {
                let customer = customer_of(&run.task.step.job);
                *record.used_by_customer.entry(customer).or_insert(0) += demand.cpu_millis;
            }
            if upstream.takes_commands() {
                record.free.insert(worker, upstream.capacity.saturating_sub(&used));
            }
        }
        let records = &mut self.waiting.records;
        records.push_back(record);
        while records.get(1).is_some_and(|second| second.at + BOUND_MS <= now) {
            records.pop_front();
        }
    }

    /// Notes since when each step has waited without an attempt.
    fn update_waiting(&mut self) {
        let runs = self.workers.values().flat_map(|upstream| upstream.runs.keys());
        let running: BTreeSet<Unit> = runs
            .flat_map(|run| [(run.task.step, None), (run.task.step, Some(run.task.index))])
            .collect();
        let waiting: BTreeSet<Unit> =
            self.due_units().into_iter().filter(|unit| !running.contains(unit)).collect();
        let now = self.now;
        self.waiting.since.retain(|unit, _| waiting.contains(unit));
        for unit in waiting {
            self.waiting.since.entry(unit).or_insert(now);
        }
    }

    /// Steps of accepted jobs whose turn has come and which have not succeeded.
    fn due_units(&self) -> Vec<Unit> {
        let state = &self.owners.last().expect("an owner").machine.state;
        let mut units = Vec::new();
        for (id, submitted) in &self.jobs {
            let is_final = state.jobs.get(id).is_some_and(|entry| Phase::is_final(entry.phase()));
            if !submitted.accepted || submitted.cancel_asked || submitted.fails || is_final {
                continue;
            }
            for (number, step) in submitted.job.steps.iter().enumerate() {
                let key = StepKey { job: *id, occurrence: 0, step: number as u32 };
                let is_done = |number: usize| {
                    let key = StepKey { step: number as u32, ..key };
                    self.open_tasks(&key) == 0
                };
                if !step.depends_on.iter().all(|earlier| is_done(*earlier)) {
                    continue;
                }
                if step.long_running {
                    units.extend((0..step.count).map(|index| (key, Some(index))));
                } else if !is_done(number) {
                    units.push((key, None));
                }
            }
        }
        units
    }

    /// Number of tasks of a step whose success is not in the journal.
    fn open_tasks(&self, key: &StepKey) -> u64 {
        let step = &self.jobs[&key.job].job.steps[key.step as usize];
        let is_open =
            |index: &u32| !self.recorded_successes.contains(&TaskKey { step: *key, index: *index });
        (0..step.count).filter(is_open).count() as u64
    }

    fn check_bound(&mut self) {
        let Some(window) = self.waiting.window(self.now) else { return };
        let waits: Vec<(Unit, u64)> =
            self.waiting.since.iter().map(|(unit, since)| (*unit, *since)).collect();
        for (unit, since) in waits {
            let wanted = self.wanted_room(&unit);
            let room = self.room(&unit.0, &window);
            if room < wanted {
                continue;
            }
            self.waiting.checked += 1;
            if self.now < since + BOUND_MS {
                continue;
            }
            let job = &self.jobs[&unit.0.job].job;
            let step = &job.steps[unit.0.step as usize];
            let text = format!(
                "{}: {} (task {:?}) of {} waits since {since}, room {room}, wanted {wanted}, allowed {:?}: \
                 {step:?}",
                self.now,
                unit.0,
                unit.1,
                job.queue,
                self.allowed_workers(&unit.0)
            );
            self.waiting.violations.insert(unit, text);
        }
    }

    /// Number of tasks that a waiting step has room for if it could run.
    fn wanted_room(&self, (key, task): &Unit) -> u64 {
        let step = &self.jobs[&key.job].job.steps[key.step as usize];
        let together = if step.gang && task.is_none() { self.open_tasks(key) } else { 1 };
        together * ROOM_FACTOR
    }

    /// Number of a step's tasks that its workers, and its customer's cap, had room for throughout
    /// the window.
    fn room(&self, key: &StepKey, window: &Window) -> u64 {
        let step = &self.jobs[&key.job].job.steps[key.step as usize];
        let allowed = self.allowed_workers(key);
        let mut room = 0;
        for (worker, free) in &window.free {
            let number = number_of(worker);
            if allowed.contains(&number) && has_label(number, step) {
                let here = self.workers[worker].runs.keys();
                let here = here.filter(|run| run.task.step == *key).count() as u64;
                room += slots(free, step, here);
            }
        }
        if self.has_customers() {
            let customer = customer_of(&key.job);
            let used = window.used_by_customer.get(&customer).copied().unwrap_or(0);
            let cap = self.cap_millis(customer);
            room = room.min(cap.saturating_sub(used) / step.demand.cpu_millis);
        }
        room
    }

    /// Whether each step of a job is held by its workers and its customer's cap while nothing else
    /// runs: a task of it, or the whole gang.
    pub fn holds(&self, job: &Job) -> bool {
        let workers = self.workers.iter();
        let free = workers.map(|(name, upstream)| (name.clone(), upstream.capacity)).collect();
        let window = Window { free, used_by_customer: BTreeMap::new() };
        job.steps.iter().enumerate().all(|(number, step)| {
            let key = StepKey { job: job.id, occurrence: 0, step: number as u32 };
            let wanted = if step.gang { u64::from(step.count) } else { 1 };
            self.room(&key, &window) >= wanted
        })
    }
}

fn has_label(worker: usize, step: &Step) -> bool {
    let listed = model::listed(worker, Amount::ZERO);
    step.required_label.as_ref().is_none_or(|label| listed.labels.contains(label))
}

/// Number of a step's tasks that fit into `free` on a worker where `here` of them run.
fn slots(free: &Amount, step: &Step, here: u64) -> u64 {
    let demand = step.allocation();
    let fits = free.cpu_millis / demand.cpu_millis;
    let fits = fits.min(free.memory_mib / demand.memory_mib);
    match step.max_per_worker {
        0 => fits,
        most => fits.min(u64::from(most).saturating_sub(here)),
    }
}
