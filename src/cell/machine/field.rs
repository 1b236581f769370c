//! Workers as rounds of placement see them.
//!
//! They are kept from round to round, and each round goes through those alone that have changed: with
//! three thousand workers, looking at each for each step that waits took all of the owner's time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::Machine;
use super::agenda::Agenda;
use super::crash::Starting;
use super::waiting::Waiting;
use crate::cell::dependencies::WorkerInfo;
use crate::cell::job::{Run, Step};
use crate::cell::record::WorkerId;
use crate::cell::worker::{PreemptibleRun, Worker};
use crate::clock::Instant;
use crate::resource::Amount;

/// Least span that the clock tells.
const MOMENT: Duration = Duration::from_millis(1);

/// A worker as a round sees it.
#[derive(Debug)]
pub(super) struct Field {
    pub(super) id: WorkerId,
    pub(super) listed: Rc<WorkerInfo>,
    pub(super) room: Amount,
    /// Processors free at the begin of the round, in thousandths of a core.
    free_cpu_millis: u64,
    /// Whether it may take tasks.
    open: bool,
    /// Kept for a gang of a higher rank.
    pub(super) reserved: bool,
    /// Whether its worker has left the latest orders without an answer.
    pub(super) unanswering: bool,
    /// Tasks there that may be stopped for more urgent ones.
    pub(super) yielding: Rc<[PreemptibleRun]>,
    /// Whether tasks there serve users of their own and must answer in time.
    pub(super) serves: bool,
    /// Whether tasks there live on what others leave unused.
    pub(super) fills: bool,
    /// What begins there, where a task is about that may crash its worker.
    pub(super) starting: Starting,
}

/// What rounds look at beside the room of workers; few sites have tasks for which it matters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Concerns {
    /// A waiting step serves users of its own or fills gaps.
    sharing: bool,
    /// A task is about that may crash its worker.
    suspecting: bool,
}

/// All of them, by place and by name. Places are those of the names in their order.
#[derive(Debug, Default)]
pub(super) struct Fields {
    all: Vec<Field>,
    places: HashMap<WorkerId, usize>,
    /// Places, those with the most room first, as of the last call of [`Fields::sort`].
    by_room: Vec<usize>,
    is_sorted: bool,
    /// Places that are reserved.
    reserved: Vec<usize>,
    /// Workers that have changed since the last round.
    changed: BTreeSet<WorkerId>,
    /// When workers will be seen otherwise without a change of their own.
    renewals: Agenda<WorkerId>,
    concerns: Concerns,
    open: Totals,
}

/// What all that may take tasks have together.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    count: usize,
    /// Processors, in thousandths of a core, and how many of them nothing is reserved on.
    cpu_millis: u64,
    free_cpu_millis: u64,
}

impl Fields {
    /// Notes that a worker has changed, came or went.
    pub(super) fn note_changed(&mut self, id: WorkerId) {
        self.changed.insert(id);
    }

    /// How many may take tasks now.
    pub(super) const fn count(&self) -> usize {
        self.open.count
    }

    /// Places of those that may take tasks now.
    pub(super) fn open(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.all.len()).filter(|&at| self.all[at].open)
    }

    /// Part of their processors that is free, 0 to 1, as of the begin of the round.
    pub(super) fn free_share(&self) -> f64 {
        self.open.free_cpu_millis as f64 / self.open.cpu_millis.max(1) as f64
    }

    /// Processors that are free, as of the begin of the round, in thousandths of a core.
    pub(super) const fn free_cpu_millis(&self) -> u64 {
        self.open.free_cpu_millis
    }

    /// Processors of all, in thousandths of a core.
    pub(super) const fn cpu_millis(&self) -> u64 {
        self.open.cpu_millis
    }

    pub(super) fn get(&self, at: usize) -> &Field {
        &self.all[at]
    }

    /// A field that may be changed for the rest of the round.
    pub(super) fn get_mut(&mut self, at: usize) -> &mut Field {
        self.is_sorted = false;
        &mut self.all[at]
    }

    /// Place of the worker of that name, if it may take tasks now.
    pub(super) fn find(&self, id: &WorkerId) -> Option<usize> {
        self.places.get(id).copied().filter(|&at| self.all[at].open)
    }

    pub(super) fn racks(&self, places: &[usize]) -> BTreeSet<Option<String>> {
        places.iter().map(|&at| self.all[at].listed.rack.clone()).collect()
    }

    /// Keeps a worker for a gang for the rest of the round.
    pub(super) fn reserve(&mut self, at: usize) {
        self.all[at].reserved = true;
        self.reserved.push(at);
    }

    /// How many are kept for gangs.
    pub(super) const fn reserved(&self) -> usize {
        self.reserved.len()
    }

    /// Brings the order by room up to date. It is nearly in order from the last time.
    pub(super) fn sort(&mut self) {
        if self.is_sorted {
            return;
        }
        let all = &self.all;
        self.by_room.sort_by_key(|&at| (Reverse(all[at].room.cpu_millis), at));
        self.is_sorted = true;
    }

    /// Those that may take tasks now, with the most room first, as of the last call of
    /// [`Fields::sort`].
    pub(super) fn by_room(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_room.iter().copied().filter(|&at| self.all[at].open)
    }

    /// Replaces a field, and what it adds to the totals.
    fn replace(&mut self, at: usize, field: Field) {
        let before = std::mem::replace(&mut self.all[at], field);
        self.open.remove(&before);
        self.open.add(&self.all[at]);
    }

    /// Lets go of what was kept in the round.
    pub(super) fn end_round(&mut self) {
        for at in std::mem::take(&mut self.reserved) {
            self.all[at].reserved = false;
        }
    }
}

impl Totals {
    fn add(&mut self, field: &Field) {
        if field.open {
            self.count += 1;
            self.cpu_millis += field.listed.capacity.cpu_millis;
            self.free_cpu_millis += field.free_cpu_millis;
        }
    }

    fn remove(&mut self, field: &Field) {
        if field.open {
            self.count -= 1;
            self.cpu_millis -= field.listed.capacity.cpu_millis;
            self.free_cpu_millis -= field.free_cpu_millis;
        }
    }
}

impl Field {
    /// Whether the step's tasks and those that run there leave each other in peace.
    ///
    /// Guards against tasks that fill the gaps of a worker and slow its serving tasks beyond their
    /// target: the two kinds are kept on different workers.
    pub(super) fn is_quiet(&self, step: &Step) -> bool {
        !(step.opportunistic && self.serves || step.has_latency_target() && self.fills)
    }

    /// Whether a task of the step may begin beside those that begin there.
    pub(super) fn admits(&self, step: &Waiting, index: u32) -> bool {
        self.starting.admits(step.key.job, step.suspects.contains(&index))
    }

    /// Tasks of the step that fit there now.
    pub(super) fn slots(&self, service: &str, step: &Step) -> f64 {
        self.slots_in(&self.room, service, step)
    }

    /// Tasks of the step that would fit there if it had `room`.
    pub(super) fn slots_in(&self, room: &Amount, service: &str, step: &Step) -> f64 {
        if self.reserved || !self.suits(service, step) || !self.is_quiet(step) {
            return 0.0;
        }
        let demand = step.allocation();
        let fits = |room: u64, demand: u64| room.checked_div(demand).unwrap_or(u64::MAX);
        let slots = fits(room.cpu_millis, demand.cpu_millis)
            .min(fits(room.memory_mib, demand.memory_mib))
            .min(fits(room.accelerators, demand.accelerators))
            .min(u64::from(step.count));
        let bound =
            if step.max_per_worker == 0 { u64::MAX } else { u64::from(step.max_per_worker) };
        slots.min(bound) as f64
    }

    /// Whether the worker belongs to `service` and bears the label that the step asks for.
    pub(super) fn suits(&self, service: &str, step: &Step) -> bool {
        let label =
            step.required_label.as_ref().is_none_or(|label| self.listed.labels.contains(label));
        self.listed.service == service && label
    }
}

impl Machine {
    /// Brings the fields up to date for a round in which `waiting` steps are placed. What runs on each
    /// worker matters only where one of them serves users of its own or fills gaps.
    pub(super) fn refresh_fields(&self, fields: &mut Fields, waiting: &[Waiting]) {
        let shares =
            |step: &Waiting| step.model().opportunistic || step.model().has_latency_target();
        let sharing = waiting.iter().any(shares);
        let suspecting =
            waiting.iter().any(|step| !step.suspects.is_empty()) || !self.suspects.is_empty();
        let concerns = Concerns { sharing, suspecting };
        // What begins on a worker changes with time alone.
        let all = suspecting || concerns != fields.concerns;
        fields.concerns = concerns;
        let changed = std::mem::take(&mut fields.changed);
        if changed.iter().any(|id| fields.places.contains_key(id) != self.workers.contains_key(id))
        {
            return self.rebuild_fields(fields);
        }
        let mut stale = changed;
        stale.extend(fields.renewals.due(self.now, usize::MAX));
        if all {
            stale.extend(self.workers.keys().cloned());
        }
        for id in &stale {
            if let Some((worker, &at)) = self.workers.get(id).zip(fields.places.get(id)) {
                fields.replace(at, self.field(worker, concerns));
                fields.renewals.set(id, self.next_renewal(worker));
            }
        }
        fields.is_sorted &= stale.is_empty();
    }

    fn rebuild_fields(&self, fields: &mut Fields) {
        let all = self.workers.values().map(|worker| self.field(worker, fields.concerns));
        fields.all = all.collect();
        let places = self.workers.keys().cloned().enumerate();
        fields.places = places.map(|(at, id)| (id, at)).collect();
        fields.by_room = (0..fields.all.len()).collect();
        fields.is_sorted = false;
        fields.open = Totals::default();
        fields.all.iter().for_each(|field| fields.open.add(field));
        fields.renewals = Agenda::default();
        for worker in self.workers.values() {
            fields.renewals.set(&worker.id, self.next_renewal(worker));
        }
    }

    /// When a worker will be seen otherwise without a change of its own.
    fn next_renewal(&self, worker: &Worker) -> Option<Instant> {
        let rest = worker.next_backoff_change(self.now);
        let known = worker.capacity_valid_until(self.timings.capacity_max_age);
        let lapse = known.map(|until| until.after(MOMENT)).filter(|lapse| *lapse > self.now);
        rest.into_iter().chain(lapse).min()
    }

    fn field(&self, worker: &Worker, concerns: Concerns) -> Field {
        let Concerns { sharing, suspecting } = concerns;
        let runs_any = |is: fn(&Step) -> bool| worker.runs.iter().any(|run| self.runs_as(run, is));
        let known_for = self.timings.capacity_max_age;
        let room = worker.free_capacity();
        Field {
            id: worker.id.clone(),
            listed: worker.info.clone(),
            room,
            free_cpu_millis: room.cpu_millis,
            open: worker.accepts_tasks(self.now) && worker.is_capacity_current(known_for, self.now),
            reserved: false,
            unanswering: worker.command_backoff.is_deprioritized(self.now),
            // Room that comes free where more is reserved than there is takes nothing in.
            yielding: if worker.is_overcommitted() {
                Rc::default()
            } else {
                worker.preemptible.clone()
            },
            serves: sharing && runs_any(Step::has_latency_target),
            fills: sharing && runs_any(|step| step.opportunistic),
            starting: if suspecting { self.starting(worker) } else { Starting::default() },
        }
    }

    fn runs_as(&self, run: &Run, is: fn(&Step) -> bool) -> bool {
        self.model(&run.task.step).is_some_and(is)
    }
}
