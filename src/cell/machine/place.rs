//! Which task goes where.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use super::commit::Deferred;
use super::rank::{Hope, Rank, lasting_rank};
use super::{Live, Machine, Stage};
use crate::cell::job::{Job, Phase, Run, Step, StepKey, TaskKey};
use crate::cell::link::Listed;
use crate::cell::queue::{Advice, Queue};
use crate::cell::record::{Record, WorkerId};
use crate::resource::Amount;

/// Rest between two rounds; each looks at every waiting step.
const ROUND_REST: Duration = Duration::from_millis(8);

/// Longest rest between two rounds while nothing changes: tickets expire and jobs become due.
const ROUND_LIMIT: Duration = Duration::from_millis(60);

/// Share of the workers that may be kept free for gangs that do not fit yet.
const RESERVED_SHARE: f64 = 0.34;

/// Workers asked about at least, and for each task, where most may run a step.
const FEW_WORKERS: usize = 10;
const WORKERS_A_TASK: usize = 4;

/// Share of eligible workers from which asking about a few is enough.
const MOST_ELIGIBLE: f64 = 0.6;

/// Cost of a worker on which the task's step has failed before, in units of a whole worker's room.
const FAILED_BEFORE: f64 = 4.0;

/// A step with tasks that wait.
struct Waiting {
    key: StepKey,
    job: Rc<Job>,
    queue: Queue,
    rank: Rank,
    pending: Vec<u32>,
}

/// A worker that may take tasks in this round.
struct Field {
    id: WorkerId,
    listed: Rc<Listed>,
    room: Amount,
    /// Kept for a gang of a higher rank.
    reserved: bool,
    /// Whether tasks there serve users of their own and must answer in time.
    serves: bool,
    /// Whether tasks there live on what others leave unused.
    fills: bool,
}

/// Tasks of a step with the fields they go to.
type Plan = Vec<(u32, usize)>;

impl Machine {
    /// Places what fits, in the order of rank.
    pub(super) fn place(&mut self) {
        self.dirty = false;
        self.next_place = self.now.after(ROUND_REST);
        self.place_by = self.now.after(ROUND_LIMIT);
        let mut waiting = self.waiting_steps();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_by_key(|step| step.rank);
        let mut fields = self.fields();
        let mut spare = (fields.len() as f64 * RESERVED_SHARE) as usize;
        for step in &waiting {
            self.place_step(step, &mut fields, &mut spare);
        }
    }

    fn fields(&self) -> Vec<Field> {
        let sharing = self.has_sharing_jobs();
        let open = self.workers.values().filter(|worker| worker.is_open(self.now));
        open.map(|worker| Field {
            id: worker.id.clone(),
            listed: worker.listed.clone(),
            room: worker.room(),
            reserved: false,
            serves: sharing && worker.runs.iter().any(|run| self.runs_as(run, Step::serves)),
            fills: sharing && worker.runs.iter().any(|run| self.runs_as(run, |step| step.fills)),
        })
        .collect()
    }

    /// Whether any open job serves users of its own or fills gaps; few sites have such jobs, and the
    /// others need not look at what runs on each worker.
    fn has_sharing_jobs(&self) -> bool {
        let shares = |step: &Step| step.fills || step.serves();
        let mut jobs = self.state.open.iter().filter_map(|id| self.state.jobs.get(id));
        jobs.any(|entry| entry.job.steps.iter().any(shares))
    }

    fn runs_as(&self, run: &Run, is: impl Fn(&Step) -> bool) -> bool {
        self.model(&run.task.step).is_some_and(is)
    }

    /// Every step whose turn has come and that has tasks without a try.
    fn waiting_steps(&mut self) -> Vec<Waiting> {
        self.open_occurrences();
        let mut waiting = Vec::new();
        for id in &self.state.open {
            let Some(entry) = self.state.jobs.get(id) else { continue };
            let Some(queue) = self.table.queue(&entry.job.queue) else { continue };
            for (occurrence, steps) in &entry.open {
                for (number, step) in steps.iter().enumerate() {
                    let model = &entry.job.steps[number];
                    let ready = model.after.iter().all(|&earlier| steps[earlier].is_done());
                    let pending = if ready { pending(model, step) } else { Vec::new() };
                    if pending.is_empty() {
                        continue;
                    }
                    let key = StepKey { job: *id, occurrence: *occurrence, step: number as u32 };
                    let rank = if model.lasting {
                        lasting_rank(step, queue, entry.accepted.as_millis())
                    } else {
                        self.rank(&entry.job, queue, &key, entry.accepted.as_millis())
                    };
                    let (job, queue) = (entry.job.clone(), queue.clone());
                    waiting.push(Waiting { key, job, queue, rank, pending });
                }
            }
        }
        waiting
    }

    /// Begins the occurrences that are due.
    fn open_occurrences(&mut self) {
        let unix = self.unix;
        for id in &self.state.open {
            let Some(entry) = self.state.jobs.get_mut(id) else { continue };
            if entry.phase() != Phase::Pending && entry.job.schedule.is_none() {
                continue;
            }
            while !entry.phase().is_final() {
                let next = (entry.done.len() + entry.open.len()) as u32;
                let due = entry.job.due(next).is_none_or(|due| due <= unix);
                if next >= entry.job.occurrences() || !due {
                    break;
                }
                entry.occurrence(next);
            }
        }
    }

    fn place_step(&mut self, step: &Waiting, fields: &mut [Field], spare: &mut usize) {
        if let Some(advice) = &step.queue.advice {
            self.seek_advice(step, advice, fields);
        }
        let allowed = self.allowed(step, fields);
        let plan = self.plan(step, &allowed, fields);
        if !plan.is_empty() {
            self.carry_out_plan(step, &plan, fields);
        } else if step.model().gang && step.rank.hope == Hope::OnTime {
            reserve(step, &allowed, fields, spare);
        }
    }

    /// Fields that the step's rules leave, ticket included.
    fn allowed(&self, step: &Waiting, fields: &[Field]) -> Vec<usize> {
        let model = step.model();
        let tickets = self.tickets.get(&step.key);
        let needs_ticket = step.queue.advice.is_some();
        let fits = |field: &Field| {
            let label =
                model.label.as_ref().is_none_or(|label| field.listed.labels.contains(label));
            let ticket = !needs_ticket
                || tickets.is_some_and(|tickets| tickets.valid(&field.id, self.now).is_some());
            field.listed.service == step.queue.service && label && ticket && field.is_quiet(model)
        };
        let mut allowed: Vec<usize> = (0..fields.len()).filter(|&at| fits(&fields[at])).collect();
        if let Some(rack) = &model.data_rack
            && step.rank.hope == Hope::OnTime
        {
            let near = |at: &usize| fields[*at].listed.rack.as_ref() == Some(rack);
            if allowed.iter().any(near) {
                allowed.retain(near);
            }
        }
        allowed
    }

    fn plan(&self, step: &Waiting, allowed: &[usize], fields: &[Field]) -> Plan {
        let model = step.model();
        if !model.gang {
            return self.fill(step, allowed, fields);
        }
        if model.same_rack {
            for rack in racks(allowed, fields) {
                let near: Vec<usize> =
                    allowed.iter().copied().filter(|&at| fields[at].listed.rack == rack).collect();
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
    fn fill(&self, step: &Waiting, allowed: &[usize], fields: &[Field]) -> Plan {
        let model = step.model();
        let demand = model.room();
        let failed = self.failed_on.get(&step.key);
        let mut rooms: BTreeMap<usize, Amount> = allowed
            .iter()
            .filter(|&&at| !fields[at].reserved)
            .map(|&at| (at, fields[at].room))
            .collect();
        let mut counts = self.spread_counts(step, fields);
        let mut plan = Plan::new();
        for &index in &step.pending {
            let best = rooms
                .iter()
                .filter(|(at, room)| {
                    let taken = counts.get(*at).copied().unwrap_or(0);
                    demand.fits(room) && (model.spread == 0 || taken < model.spread)
                })
                .map(|(&at, room)| {
                    let field = &fields[at];
                    let before = failed.is_some_and(|failed| failed.contains(&field.id));
                    let penalty = if before { FAILED_BEFORE } else { 0.0 };
                    (leftover(room, &demand, &field.listed.capacity) + penalty, at)
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
    fn spread_counts(&self, step: &Waiting, fields: &[Field]) -> BTreeMap<usize, u32> {
        let mut counts = BTreeMap::new();
        if step.model().spread == 0 {
            return counts;
        }
        for (run, live) in &self.runs {
            if run.task.step != step.key {
                continue;
            }
            if let Some(at) = fields.iter().position(|field| field.id == live.worker) {
                *counts.entry(at).or_insert(0) += 1;
            }
        }
        counts
    }

    fn carry_out_plan(&mut self, step: &Waiting, plan: &Plan, fields: &mut [Field]) {
        let demand = step.model().room();
        let numbers = self.numbers(step, plan);
        let mut by_worker: BTreeMap<WorkerId, Vec<Run>> = BTreeMap::new();
        let mut all = Vec::new();
        for (&(index, at), number) in plan.iter().zip(numbers) {
            let field = &mut fields[at];
            field.room = field.room.saturating_sub(&demand);
            field.serves |= step.model().serves();
            field.fills |= step.model().fills;
            let run = Run { task: TaskKey { step: step.key, index }, number };
            if let Some(worker) = self.workers.get_mut(&field.id) {
                worker.reserve(run, &demand);
            }
            let live = Live::new(field.id.clone(), demand, Stage::Recording, self.now);
            self.runs.insert(run, live);
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
            let next = state.tasks.iter().map(|task| task.last).max().unwrap_or(0) + 1;
            return vec![next; plan.len()];
        }
        plan.iter().map(|(index, _)| state.tasks[*index as usize].last + 1).collect()
    }

    /// Asks the policy service what is still needed to place the step.
    fn seek_advice(&mut self, step: &Waiting, advice: &Advice, fields: &[Field]) {
        if self.idle_asker().is_none() {
            return;
        }
        let tickets = self.tickets.entry(step.key).or_default();
        if tickets.is_asking() {
            return;
        }
        let model = step.model();
        let fits = |field: &&Field| {
            field.listed.service == step.queue.service
                && model.label.as_ref().is_none_or(|label| field.listed.labels.contains(label))
        };
        let (asked, eligible) = tickets.tally();
        let mut unasked: Vec<&Field> =
            fields.iter().filter(fits).filter(|field| tickets.is_unasked(&field.id)).collect();
        unasked.sort_by_key(|field| Reverse(field.room.cpu_millis));
        let share = self.shares.get(&step.queue.name).copied().unwrap_or(0.0);
        let ids = |fields: &[&Field]| fields.iter().map(|field| field.id.clone()).collect();
        let question: Vec<WorkerId> = if asked == 0 {
            let few = FEW_WORKERS.max(WORKERS_A_TASK * step.pending.len());
            let most = if share >= MOST_ELIGIBLE { few } else { unasked.len() };
            ids(&unasked[..most.min(unasked.len())])
        } else {
            let expected = advice.decide_ms + advice.each_ms * eligible as f64;
            let soon = self.now.after(Duration::from_millis(expected.max(0.0) as u64));
            let present: BTreeSet<&WorkerId> = fields.iter().map(|field| &field.id).collect();
            let mut stale = tickets.stale(soon);
            stale.retain(|worker| present.contains(worker));
            if stale.len() * 2 >= eligible.max(1) && !stale.is_empty() {
                stale
            } else {
                ids(&unasked)
            }
        };
        if !question.is_empty() {
            self.ask(step.key, question, advice);
        }
    }
}

impl Field {
    /// Whether the step's tasks and those that run there leave each other in peace.
    ///
    /// Guards against tasks that fill the gaps of a worker and slow its serving tasks beyond their
    /// target: the two kinds are kept on different workers.
    fn is_quiet(&self, step: &Step) -> bool {
        !(step.fills && self.serves || step.serves() && self.fills)
    }
}

impl Waiting {
    fn model(&self) -> &Step {
        &self.job.steps[self.key.step as usize]
    }
}

/// Tasks of a step that have no try. A gang begins only when no earlier try of any member is left.
fn pending(model: &Step, step: &crate::cell::state::Step) -> Vec<u32> {
    if step.is_done() && !model.lasting || model.gang && step.is_live() {
        return Vec::new();
    }
    let waits = |task: &crate::cell::state::Task| task.live == 0 && (!task.done || model.lasting);
    let tasks = step.tasks.iter().enumerate().filter(|(_, task)| waits(task));
    tasks.map(|(index, _)| index as u32).collect()
}

/// Keeps workers for a gang that does not fit yet, those with the most room.
fn reserve(step: &Waiting, allowed: &[usize], fields: &mut [Field], spare: &mut usize) {
    let needed = step.pending.len();
    if needed > *spare {
        return;
    }
    let mut open: Vec<usize> = allowed.iter().copied().filter(|&at| !fields[at].reserved).collect();
    open.sort_by_key(|&at| Reverse(fields[at].room.cpu_millis));
    for at in open.into_iter().take(needed) {
        fields[at].reserved = true;
        *spare -= 1;
    }
}

fn racks(allowed: &[usize], fields: &[Field]) -> BTreeSet<Option<String>> {
    allowed.iter().map(|&at| fields[at].listed.rack.clone()).collect()
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
