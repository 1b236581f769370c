//! Workers as one round of placement sees them.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use super::Machine;
use super::crash::Starting;
use super::waiting::Waiting;
use crate::cell::job::{Run, Step};
use crate::cell::link::Listed;
use crate::cell::record::WorkerId;
use crate::cell::worker::Worker;
use crate::resource::Amount;

/// A worker that may take tasks in this round.
pub(super) struct Field {
    pub(super) id: WorkerId,
    pub(super) listed: Rc<Listed>,
    pub(super) room: Amount,
    /// Kept for a gang of a higher rank.
    pub(super) reserved: bool,
    /// Whether its worker has left the latest orders without an answer.
    pub(super) unanswering: bool,
    /// Whether tasks there serve users of their own and must answer in time.
    pub(super) serves: bool,
    /// Whether tasks there live on what others leave unused.
    pub(super) fills: bool,
    /// What begins there, where a task is about that may crash its worker.
    pub(super) starting: Starting,
}

/// All of them, by place and by name.
pub(super) struct Fields {
    all: Vec<Field>,
    places: HashMap<WorkerId, usize>,
}

impl Fields {
    /// How many there are.
    pub(super) const fn len(&self) -> usize {
        self.all.len()
    }

    /// Part of their processors that is free, 0 to 1.
    pub(super) fn free_share(&self) -> f64 {
        let free: u64 = self.all.iter().map(|field| field.room.cpu_millis).sum();
        free as f64 / self.cpu_millis().max(1) as f64
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Field> {
        self.all.iter()
    }

    pub(super) fn get(&self, at: usize) -> &Field {
        &self.all[at]
    }

    pub(super) fn get_mut(&mut self, at: usize) -> &mut Field {
        &mut self.all[at]
    }

    /// Place of the worker of that name.
    pub(super) fn find(&self, id: &WorkerId) -> Option<usize> {
        self.places.get(id).copied()
    }

    pub(super) fn racks(&self, places: &[usize]) -> BTreeSet<Option<String>> {
        places.iter().map(|&at| self.all[at].listed.rack.clone()).collect()
    }

    /// Processors of all, in thousandths of a core.
    pub(super) fn cpu_millis(&self) -> u64 {
        self.all.iter().map(|field| field.listed.capacity.cpu_millis).sum()
    }
}

impl Field {
    /// Whether the step's tasks and those that run there leave each other in peace.
    ///
    /// Guards against tasks that fill the gaps of a worker and slow its serving tasks beyond their
    /// target: the two kinds are kept on different workers.
    pub(super) fn is_quiet(&self, step: &Step) -> bool {
        !(step.fills && self.serves || step.serves() && self.fills)
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
        let demand = step.room();
        let fits = |room: u64, demand: u64| room.checked_div(demand).unwrap_or(u64::MAX);
        let slots = fits(room.cpu_millis, demand.cpu_millis)
            .min(fits(room.memory_mib, demand.memory_mib))
            .min(fits(room.accelerators, demand.accelerators))
            .min(u64::from(step.count));
        let bound = if step.spread == 0 { u64::MAX } else { u64::from(step.spread) };
        slots.min(bound) as f64
    }

    /// Whether the worker belongs to `service` and bears the label that the step asks for.
    pub(super) fn suits(&self, service: &str, step: &Step) -> bool {
        let label = step.label.as_ref().is_none_or(|label| self.listed.labels.contains(label));
        self.listed.service == service && label
    }
}

impl Machine {
    /// Workers that may take tasks now. What runs on each matters only where one of the `waiting`
    /// steps serves users of its own or fills gaps; few sites have such steps.
    pub(super) fn fields(&self, waiting: &[Waiting]) -> Fields {
        let shares = |step: &Waiting| step.model().fills || step.model().serves();
        let sharing = waiting.iter().any(shares);
        let suspecting =
            waiting.iter().any(|step| !step.suspects.is_empty()) || !self.suspects.is_empty();
        let known_for = self.timings.room_known_for;
        let is_open = |worker: &&Worker| {
            worker.is_open(self.now) && worker.is_room_known(known_for, self.now)
        };
        let open = self.workers.values().filter(is_open);
        let all: Vec<Field> = open
            .map(|worker| Field {
                id: worker.id.clone(),
                listed: worker.listed.clone(),
                room: worker.room(),
                reserved: false,
                unanswering: worker.silence.is_remembered(self.now),
                serves: sharing && worker.runs.iter().any(|run| self.runs_as(run, Step::serves)),
                fills: sharing
                    && worker.runs.iter().any(|run| self.runs_as(run, |step| step.fills)),
                starting: if suspecting { self.starting(worker) } else { Starting::default() },
            })
            .collect();
        let places = all.iter().enumerate().map(|(at, field)| (field.id.clone(), at)).collect();
        Fields { all, places }
    }

    fn runs_as(&self, run: &Run, is: impl Fn(&Step) -> bool) -> bool {
        self.model(&run.task.step).is_some_and(is)
    }
}
