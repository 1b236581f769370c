//! Faults drawn from the seed, and changes of owner.

use std::rc::Rc;

use oriolefork::cell::dependencies::RosterUpdate;
use oriolefork::cell::job::Run;
use oriolefork::cell::machine::{Machine, Message};
use oriolefork::cell::queue::QueueConfig;
use oriolefork::cell::record::Batch;
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::codec;
use rand::Rng;

use super::{Event, Owner, STEP_MS, Simulation, name};
use crate::cell::model;
use crate::cell::upstream::Upstream;

/// Mean length of a store outage and mean time between two outages, in milliseconds.
const OUTAGE_MS: u64 = 1_000;
const OUTAGE_INTERVAL_MS: u64 = 5_000;

/// Mean time between two snapshots, saved by every owner that has not stepped down, in
/// milliseconds.
const SNAPSHOT_INTERVAL_MS: u64 = 1_500;

/// Number of cores of a worker, and number of capacities that it can have.
pub(super) const CORES: u64 = 16;
const CAPACITY_LEVELS: u64 = 4;

/// Maximum time from a takeover to the configuration of an owner that began without one, in
/// milliseconds.
const CONFIG_DELAY_MS: u64 = 2_000;

/// Range of the time from a crash to the worker's next incarnation, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 500..4_000;

impl Simulation {
    pub(super) fn draw_faults(&mut self) {
        let every = |span: u64| if span == 0 { 0.0 } else { STEP_MS as f64 / span as f64 };
        if self.chance(every(self.faults.takeover_ms)) && !self.store_down {
            self.take_over();
        }
        if self.chance(every(self.faults.worker_ms)) {
            self.draw_worker_fault();
        }
        // Not drawn when disabled, so that histories without resizing keep their random sequence.
        if self.faults.resize_ms > 0 && self.chance(every(self.faults.resize_ms)) {
            self.resize_worker();
        }
        if self.faults.cap_ms > 0 && self.chance(every(self.faults.cap_ms)) {
            self.change_caps();
        }
        let turn = if self.store_down { OUTAGE_MS } else { OUTAGE_INTERVAL_MS };
        if self.chance(every(SNAPSHOT_INTERVAL_MS)) {
            for owner in 0..self.owners.len() {
                self.schedule(1, Event::Owner { owner, message: Message::SnapshotRequested });
            }
        }
        if self.faults.outages && self.chance(every(turn)) {
            self.store_down = !self.store_down;
        }
    }

    pub(super) fn draw_worker_fault(&mut self) {
        let number = self.rng.random_range(0..self.incarnations.len());
        let incarnation = self.incarnations[&number];
        let current = name(number, incarnation);
        if self.down.contains(&current) {
            return;
        }
        if self.rng.random_bool(0.3) {
            // The worker crashes and restarts as another incarnation at the same address.
            self.remove_worker(&current);
            self.restart(number);
            return;
        }
        // Not drawn when disabled, so that other histories keep their random sequence.
        let one_way = self.faults.one_way_cuts && self.rng.random_bool(0.5);
        let Some(upstream) = self.workers.get_mut(&current) else { return };
        if one_way {
            upstream.answers_lost = !upstream.answers_lost;
        } else {
            upstream.reachable = !upstream.reachable;
        }
    }

    /// Changes the capacity of a worker and publishes the new list.
    fn resize_worker(&mut self) {
        let number = self.rng.random_range(0..self.incarnations.len());
        let capacity =
            model::cores(self.rng.random_range(1..=CAPACITY_LEVELS) * CORES / CAPACITY_LEVELS);
        let now = self.now;
        if let Some(upstream) = self.workers.get_mut(&name(number, self.incarnations[&number])) {
            upstream.resize(capacity, now);
            self.publish_roster();
        }
    }

    /// Starts the next incarnation of a worker.
    pub(super) fn restart(&mut self, number: usize) {
        let incarnation = self.incarnations[&number];
        self.down.remove(&name(number, incarnation));
        self.incarnations.insert(number, incarnation + 1);
        let offset = self.rng.random_range(0..1_000_000);
        let upstream = Upstream::new(model::cores(CORES), offset);
        self.workers.insert(name(number, incarnation + 1), upstream);
        self.publish_roster();
    }

    /// Ends an incarnation of a worker and all its runs.
    fn remove_worker(&mut self, worker: &str) {
        for run in self.workers.remove(worker).iter().flat_map(|upstream| upstream.runs.keys()) {
            *self.worker_crashes.entry(run.task).or_default() += 1;
        }
    }

    /// Crashes a worker under a task that it has just started; it restarts seconds later.
    pub(super) fn crash(&mut self, worker: String, run: Run) {
        let runs =
            self.workers.get(&worker).is_some_and(|upstream| upstream.runs.contains_key(&run));
        if !runs {
            return;
        }
        self.start_crashes.entry(run.task).or_default().0 += 1;
        self.remove_worker(&worker);
        let number =
            (0..self.incarnations.len()).find(|at| name(*at, self.incarnations[at]) == worker);
        let number = number.expect("a worker's present incarnation");
        self.down.insert(worker);
        let delay = self.rng.random_range(RESTART_MS);
        self.schedule(delay, Event::Restart { number });
    }

    pub(super) fn publish_roster(&mut self) {
        let roster = self.roster();
        for owner in 0..self.owners.len() {
            let delay = self.rng.random_range(5..400);
            let message = Message::WorkersChanged(roster.clone());
            self.schedule(delay, Event::Owner { owner, message });
        }
    }

    /// The complete list of workers.
    pub(super) fn roster(&self) -> RosterUpdate {
        let present = self.incarnations.iter().map(|(number, incarnation)| {
            let name = name(*number, *incarnation);
            let capacity =
                self.workers.get(&name).map_or(model::cores(CORES), |upstream| upstream.capacity);
            (name.into(), Rc::new(model::listed(*number, capacity)))
        });
        RosterUpdate {
            changed: present.collect(),
            removed: Vec::new(),
            is_complete: true,
            ..RosterUpdate::default()
        }
    }

    /// Lets another instance replay the journal and claim the cell.
    pub fn take_over(&mut self) {
        self.takeovers += 1;
        if let Some(owner) = self.owners.last_mut() {
            owner.alive = self.faults.stale_owners && !self.faults_ended;
        }
        let (now, unix) = self.clocks();
        let (mut state, from) = self.last_snapshot();
        for record in &self.journal[from..] {
            state.apply_batch(codec::decode::<Batch>(record).expect("a batch"));
        }
        let epoch = state.epoch.next();
        let claim = model::claim(epoch, unix);
        self.journal.push(codec::encode(&claim).expect("a small batch"));
        state.apply_batch(claim);
        self.epoch = epoch;
        self.claims += 1;
        self.sequence = self.claims * 1_000_000;
        let end = self.journal.len() as u64;
        let config = self.draw_config();
        let most = self.faults.active_workers;
        let timings =
            Timings { max_active_workers: (most > 0).then_some(most), ..Timings::default() };
        let machine = Machine::new(state, self.sequence, end, config, timings, now, unix);
        self.owners.push(Owner { machine, alive: true });
        self.publish_roster();
    }

    /// Returns the configuration with which the next owner begins. If that is empty, the owner
    /// receives the present one later.
    fn draw_config(&mut self) -> Rc<QueueConfig> {
        // Not drawn when disabled, so that other histories keep their random sequence.
        if !self.faults.late_config || self.rng.random_bool(0.5) {
            return self.config();
        }
        let delay = self.rng.random_range(0..CONFIG_DELAY_MS);
        let message = Message::ConfigChanged(self.config());
        self.schedule(delay, Event::Owner { owner: self.owners.len(), message });
        Rc::default()
    }

    /// Returns the last snapshot and the journal offset at which replay continues.
    pub(super) fn last_snapshot(&self) -> (State, usize) {
        let Some(snapshot) = &self.saved else { return (State::default(), 0) };
        let state = snapshot.state.as_ref().expect("a saved state");
        (codec::decode(state).expect("a state"), snapshot.offset as usize)
    }
}
