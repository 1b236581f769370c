//! Model of a worker: fencing, leases on its own clock, ended runs until they are acknowledged, and
//! highest ended run numbers.

use std::collections::BTreeMap;

use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{
    EndedRun, PollReport, PollRequest, RunStatus, StartCommand, WorkerError,
};
use oriolefork::cell::job::{Run, RunOutcome, TaskKey};
use oriolefork::resource::Amount;

/// Rate of the worker's clock relative to real time.
const CLOCK_RATE: f64 = 0.98;

/// Longest lease that the worker accepts, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// Time for which the previous capacity still counts after a worker has shrunk, in milliseconds:
/// one contact of its machine with the platform and one heartbeat.
const CAPACITY_GRACE_MS: u64 = 4_500;

/// One incarnation of a worker.
pub struct Upstream {
    pub capacity: Amount,
    /// Whether messages reach it.
    pub reachable: bool,
    /// Whether its answers are lost, although messages reach it.
    pub answers_lost: bool,
    /// Whether it resets commands and answers only polls.
    pub resets_commands: bool,
    pub runs: BTreeMap<Run, Amount>,
    offset_ms: u64,
    highest_epoch: Epoch,
    lease_until_ms: u64,
    ended: Vec<EndedRun>,
    /// Number of the last run that had ended when its lease was last found to have expired.
    last_lapsed_end: u64,
    last_number: u64,
    acked_end: u64,
    /// Highest run number of each task that ended or was stopped here.
    highest_ended_run: BTreeMap<TaskKey, u32>,
    /// Capacities before it was resized, each with the time until which it still counts.
    previous_capacities: Vec<(Amount, u64)>,
}

impl Upstream {
    pub fn new(capacity: Amount, offset_ms: u64) -> Self {
        Self {
            capacity,
            reachable: true,
            answers_lost: false,
            resets_commands: false,
            runs: BTreeMap::new(),
            offset_ms,
            highest_epoch: Epoch(0),
            lease_until_ms: 0,
            ended: Vec::new(),
            last_lapsed_end: 0,
            last_number: 0,
            acked_end: 0,
            highest_ended_run: BTreeMap::new(),
            previous_capacities: Vec::new(),
        }
    }

    pub fn clock_ms(&self, now: u64) -> u64 {
        self.offset_ms + (now as f64 * CLOCK_RATE) as u64
    }

    pub fn resize(&mut self, capacity: Amount, now: u64) {
        self.previous_capacities.retain(|(_, until)| *until > now);
        self.previous_capacities.push((self.capacity, now + CAPACITY_GRACE_MS));
        self.capacity = capacity;
    }

    /// Returns the limit for starts: the largest of its current and recent capacities.
    pub fn max_allocation(&self, now: u64) -> Amount {
        let recent = self
            .previous_capacities
            .iter()
            .filter(|(_, until)| *until > now)
            .map(|(capacity, _)| *capacity);
        recent.fold(
            self.capacity,
            |most, capacity| if most.fits(&capacity) { capacity } else { most },
        )
    }

    /// Whether commands reach it and are answered.
    pub const fn takes_commands(&self) -> bool {
        self.reachable && !self.answers_lost && !self.resets_commands
    }

    pub fn allocated(&self) -> Amount {
        self.runs.values().fold(Amount::ZERO, |sum, demand| Amount {
            cpu_millis: sum.cpu_millis + demand.cpu_millis,
            memory_mib: sum.memory_mib + demand.memory_mib,
            accelerators: 0,
        })
    }

    /// Ends all runs if the lease has expired, and returns them.
    pub fn expire_lease(&mut self, now: u64) -> Vec<Run> {
        if self.clock_ms(now) <= self.lease_until_ms {
            return Vec::new();
        }
        self.last_lapsed_end = self.last_number;
        let runs: Vec<Run> = self.runs.keys().copied().collect();
        for run in &runs {
            self.end(*run, RunOutcome::LeaseExpired);
        }
        runs
    }

    /// Returns the runs whose ends a poll that acknowledges those up to `acked_end` acknowledges,
    /// as long as the lease has not expired since they ended.
    pub fn newly_acked(&self, acked_end: u64) -> Vec<Run> {
        let counts = |end: &&EndedRun| end.number <= acked_end && end.number > self.last_lapsed_end;
        self.ended.iter().filter(counts).map(|end| end.run).collect()
    }

    pub fn poll(&mut self, poll: &PollRequest, now: u64) -> Result<PollReport, WorkerError> {
        self.check_epoch(poll.epoch)?;
        self.extend_lease(poll.lease_until_ms, now);
        self.acked_end = self.acked_end.max(poll.acked_end);
        let acked_end = self.acked_end;
        self.ended.retain(|end| end.number > acked_end);
        let running =
            |run: &Run| RunStatus { run: *run, checkpoint: String::new(), percent: 0, load: 0 };
        Ok(PollReport {
            clock_ms: self.clock_ms(now),
            running: self.runs.keys().map(running).collect(),
            ended: self.ended.clone(),
            partial: false,
        })
    }

    /// Handles a start command; `true` if the run starts with it.
    pub fn start(
        &mut self,
        start: &StartCommand,
        demand: Amount,
        now: u64,
    ) -> Result<bool, WorkerError> {
        self.check_epoch(start.epoch)?;
        if self.runs.contains_key(&start.run) {
            return Ok(false);
        }
        let highest_ended_run = self.highest_ended_run.get(&start.run.task).copied().unwrap_or(0);
        if start.run.number <= highest_ended_run {
            self.extend_lease(Some(start.lease_until_ms), now);
            return Err(WorkerError::RunEnded);
        }
        if start.lease_until_ms <= self.clock_ms(now) {
            return Err(WorkerError::LeaseExpired);
        }
        self.extend_lease(Some(start.lease_until_ms), now);
        self.runs.insert(start.run, demand);
        Ok(true)
    }

    pub fn stop(&mut self, run: Run, epoch: Epoch) -> Result<bool, WorkerError> {
        self.check_epoch(epoch)?;
        let was_running = self.runs.contains_key(&run);
        if was_running {
            self.end(run, RunOutcome::Stopped);
        }
        let highest_ended_run = self.highest_ended_run.entry(run.task).or_insert(0);
        *highest_ended_run = (*highest_ended_run).max(run.number);
        Ok(was_running)
    }

    /// Whether the owner has acknowledged all ended runs.
    pub fn has_no_unacked_ends(&self) -> bool {
        self.ended.is_empty()
    }

    pub fn end(&mut self, run: Run, end: RunOutcome) {
        if self.runs.remove(&run).is_none() {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.ended.push(EndedRun { number, run, outcome: end, checkpoint: String::new() });
        let highest_ended_run = self.highest_ended_run.entry(run.task).or_insert(0);
        *highest_ended_run = (*highest_ended_run).max(run.number);
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), WorkerError> {
        if epoch < self.highest_epoch {
            return Err(WorkerError::Fenced);
        }
        self.highest_epoch = epoch;
        Ok(())
    }

    fn extend_lease(&mut self, lease_until_ms: Option<u64>, now: u64) {
        let cap = self.clock_ms(now) + MAX_LEASE_MS;
        if let Some(until) = lease_until_ms {
            self.lease_until_ms = self.lease_until_ms.max(until.min(cap));
        }
    }
}
