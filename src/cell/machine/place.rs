//! Which task goes where.

use std::collections::BTreeMap;
use std::time::Duration;

use super::commit::Deferred;
use super::field::{Field, Fields};
use super::rank::Hope;
use super::waiting::Waiting;
use super::{Live, Machine, Stage};
use crate::cell::job::{Run, StepKey, TaskKey};
use crate::cell::record::{Record, WorkerId};
use crate::resource::Amount;

/// Rest between two rounds.
const ROUND_REST: Duration = Duration::from_millis(8);

/// Part of the thread's time that rounds take at most: one in so many.
const ROUND_SHARE: u32 = 4;

/// Longest rest between two rounds while nothing changes: tickets expire and jobs become due.
const ROUND_LIMIT: Duration = Duration::from_millis(60);

/// Cost of a worker on which the task's step has failed before, in units of a whole worker's room.
const FAILED_BEFORE: f64 = 4.0;

/// Cost of a worker that has left the latest orders without an answer, in the same unit: it gets tasks
/// only where no other worker has room. A rest alone let two such workers hold one gang by turns, for
/// a lease each, beside ten sound ones.
const UNANSWERING: f64 = 4.0;

/// Tasks of a step with the fields they go to.
type Plan = Vec<(u32, usize)>;

impl Machine {
    /// Places what fits, in the order of rank.
    pub(super) fn place(&mut self) {
        self.dirty = false;
        self.next_place = self.now.after(ROUND_REST);
        self.place_by = self.now.after(ROUND_LIMIT);
        let whole = self.hopeful.is_due(self.now);
        let waiting = self.waiting_steps();
        if waiting.is_empty() {
            return;
        }
        self.look_for_yielding();
        self.note_changed_workers();
        let mut fields = std::mem::take(&mut self.fields);
        self.refresh_fields(&mut fields, &waiting);
        self.place_steps(&waiting, &mut fields, whole);
        fields.end_round();
        self.fields = fields;
    }

    /// Leaves most of the thread to other duties after a round that `took` so long.
    ///
    /// Guards against rounds that follow one another while much waits: reports and calls are taken in
    /// only between them, and workers and instances wait for the owner.
    pub fn rest_from_placement(&mut self, took: Duration) {
        self.next_place = self.next_place.max(self.now.after(took * ROUND_SHARE));
    }

    fn place_steps(&mut self, waiting: &[Waiting], fields: &mut Fields, whole: bool) {
        self.tell_backlog(waiting, fields, whole);
        let mut budget = self.budget(waiting, fields);
        let mut askers = self.askers(waiting, fields);
        for step in waiting {
            // Jobs that come too late anyway ask after all that can be on time.
            if step.rank.hope != Hope::OnTime && askers.prefers_on_time() {
                self.ask_postponed(&mut askers);
            }
            if let Some(advice) = &step.queue.policy {
                self.seek_advice(step, advice, fields, &mut askers, &mut budget);
            }
            self.place_step(step, fields);
        }
        self.ask_postponed(&mut askers);
    }

    fn place_step(&mut self, step: &Waiting, fields: &mut Fields) {
        let allowed = self.allowed(step, fields);
        let plan = self.plan(step, &allowed, fields);
        let left = step.pending.len() - plan.len();
        if !plan.is_empty() {
            self.carry_out_plan(step, &plan, fields);
        }
        if left > 0 {
            self.make_room(step, left, &allowed, fields);
        }
        if plan.is_empty() && step.model().gang {
            self.reserve(step, &allowed, fields);
        }
    }

    /// Fields that the step's rules leave, ticket included.
    pub(super) fn allowed(&self, step: &Waiting, fields: &Fields) -> Vec<usize> {
        let model = step.model();
        let places: Vec<usize> = match step.queue.policy {
            Some(_) => self.ticketed(&step.key, fields),
            None => fields.open().collect(),
        };
        let fits = |field: &Field| field.suits(&step.queue.service, model) && field.is_quiet(model);
        let mut allowed: Vec<usize> =
            places.into_iter().filter(|&at| fits(fields.get(at))).collect();
        if let Some(rack) = &model.data_rack
            && step.rank.hope == Hope::OnTime
        {
            let near = |at: &usize| fields.get(*at).listed.rack.as_ref() == Some(rack);
            if allowed.iter().any(near) {
                allowed.retain(near);
            }
        }
        allowed
    }

    /// Fields that may run the step, whether a ticket holds or would have to be renewed.
    pub(super) fn eligible(&self, step: &Waiting, fields: &Fields) -> Vec<usize> {
        let suits = |at: &usize| fields.get(*at).suits(&step.queue.service, step.model());
        if step.queue.policy.is_none() {
            return fields.open().filter(suits).collect();
        }
        let Some(tickets) = self.tickets.get(&step.key) else { return Vec::new() };
        let places = tickets.eligible().filter_map(|(worker, _)| fields.find(worker));
        places.filter(suits).collect()
    }

    /// Fields for which the step has a ticket that holds.
    fn ticketed(&self, step: &StepKey, fields: &Fields) -> Vec<usize> {
        let Some(tickets) = self.tickets.get(step) else { return Vec::new() };
        tickets.with_valid_ticket(self.now).filter_map(|worker| fields.find(worker)).collect()
    }

    fn plan(&self, step: &Waiting, allowed: &[usize], fields: &Fields) -> Plan {
        let model = step.model();
        if !model.gang {
            return self.fill(step, allowed, fields);
        }
        if model.same_rack {
            for rack in fields.racks(allowed) {
                let near: Vec<usize> = allowed
                    .iter()
                    .copied()
                    .filter(|&at| fields.get(at).listed.rack == rack)
                    .collect();
                let plan = self.fill(step, &near, fields);
                if plan.len() == step.pending.len() {
                    return plan;
                }
            }
            if step.rank.hope == Hope::OnTime {
                return Plan::new();
            }
        }
        let plan = self.fill(step, allowed, fields);
        if plan.len() == step.pending.len() { plan } else { Plan::new() }
    }

    /// Best fit for each task in turn: the worker that is left with the least room.
    fn fill(&self, step: &Waiting, allowed: &[usize], fields: &Fields) -> Plan {
        let model = step.model();
        let demand = model.allocation();
        let failed = self.failed_on.get(&step.key);
        let mut rooms: BTreeMap<usize, Amount> = allowed
            .iter()
            .filter(|&&at| !fields.get(at).reserved)
            .map(|&at| (at, fields.get(at).room))
            .collect();
        let mut counts = self.spread_counts(step, fields);
        let mut plan = Plan::new();
        for &index in &step.pending {
            let best = rooms
                .iter()
                .filter(|(at, room)| {
                    let taken = counts.get(*at).copied().unwrap_or(0);
                    demand.fits(room)
                        && (model.max_per_worker == 0 || taken < model.max_per_worker)
                        && fields.get(**at).admits(step, index)
                })
                .map(|(&at, room)| {
                    let field = fields.get(at);
                    let before = failed.is_some_and(|failed| failed.contains(&field.id));
                    let failed_cost = if before { FAILED_BEFORE } else { 0.0 };
                    let unanswering_cost = if field.unanswering { UNANSWERING } else { 0.0 };
                    let left = leftover(room, &demand, &field.listed.capacity);
                    // A crash takes with it what runs beside the task.
                    let left = if step.suspects.contains(&index) { -left } else { left };
                    (left + failed_cost + unanswering_cost, at)
                })
                .min_by(|one, other| one.0.total_cmp(&other.0));
            let Some((_, at)) = best else { break };
            if let Some(room) = rooms.get_mut(&at) {
                *room = room.saturating_sub(&demand);
            }
            *counts.entry(at).or_insert(0) += 1;
            plan.push((index, at));
        }
        plan
    }

    /// Tasks of the step on each field, where the step bounds them.
    pub(super) fn spread_counts(&self, step: &Waiting, fields: &Fields) -> BTreeMap<usize, u32> {
        let mut counts = BTreeMap::new();
        if step.model().max_per_worker == 0 {
            return counts;
        }
        for (_, live) in self.runs_of_step(step.key) {
            if let Some(at) = fields.find(&live.worker) {
                *counts.entry(at).or_insert(0) += 1;
            }
        }
        counts
    }

    fn carry_out_plan(&mut self, step: &Waiting, plan: &Plan, fields: &mut Fields) {
        let demand = step.model().allocation();
        let numbers = self.numbers(step, plan);
        let mut by_worker: BTreeMap<WorkerId, Vec<Run>> = BTreeMap::new();
        let mut all = Vec::new();
        for (&(index, at), number) in plan.iter().zip(numbers) {
            let field = fields.get_mut(at);
            field.room = field.room.saturating_sub(&demand);
            field.serves |= step.model().has_latency_target();
            field.fills |= step.model().opportunistic;
            let suspect = step.suspects.contains(&index);
            field.starting.add(step.key.job, suspect);
            let run = Run { task: TaskKey { step: step.key, index }, number };
            if let Some(worker) = self.workers.get_mut(&field.id) {
                worker.allocate(run, &demand);
            }
            let live = Live::new(field.id.clone(), demand, Stage::Recording, self.now);
            self.runs.insert(run, live);
            if suspect {
                self.suspects.insert(run);
            }
            by_worker.entry(field.id.clone()).or_default().push(run);
            all.push(run);
        }
        for (worker, runs) in by_worker {
            log::info!(
                "event=task.placed step={} run={} tasks={} worker={worker} rank={:?}",
                step.key,
                runs[0].number,
                runs.len(),
                step.rank.hope
            );
            self.record(Record::Placed { worker, runs });
        }
        self.defer(Deferred::Start(all));
    }

    /// Numbers of the next tries; the members of a gang share theirs.
    fn numbers(&self, step: &Waiting, plan: &Plan) -> Vec<u32> {
        let Some(state) = self.state.step(&step.key) else { return vec![1; plan.len()] };
        if step.model().gang {
            let next = state.tasks.iter().map(|task| task.last_run).max().unwrap_or(0) + 1;
            return vec![next; plan.len()];
        }
        plan.iter().map(|(index, _)| state.tasks[*index as usize].last_run + 1).collect()
    }
}

/// Room left on a worker as a share of what it has, over processors and memory.
fn leftover(room: &Amount, demand: &Amount, capacity: &Amount) -> f64 {
    let share = |room: u64, demand: u64, capacity: u64| {
        room.saturating_sub(demand) as f64 / capacity.max(1) as f64
    };
    share(room.cpu_millis, demand.cpu_millis, capacity.cpu_millis)
        + share(room.memory_mib, demand.memory_mib, capacity.memory_mib)
        + share(room.accelerators, demand.accelerators, capacity.accelerators)
}
