//! A worker as the owner meets it: fencing, leases on a clock of its own, ends until they are
//! forgotten, and gangs.

use std::collections::BTreeMap;

use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{
    EndedRun, PollReport, PollRequest, RunStatus, StartCommand, WorkerError,
};
use oriolefork::cell::job::{Run, RunOutcome, TaskKey};
use oriolefork::resource::Amount;

/// Share by which the clock runs slow.
const SLOW: f64 = 0.98;

/// Longest lease that is granted, in milliseconds.
const LEASE_CAP_MS: u64 = 10_000;

/// Time for which the room before still counts once a worker has shrunk: a machine's contact with the
/// platform and one heartbeat.
const SHRUNK_MS: u64 = 4_500;

/// One life of a worker.
pub struct Upstream {
    pub capacity: Amount,
    /// Whether messages reach it.
    pub reachable: bool,
    /// Whether it resets orders and answers looks alone.
    pub resetting: bool,
    pub runs: BTreeMap<Run, Amount>,
    offset_ms: u64,
    fence: Epoch,
    until_ms: u64,
    ended: Vec<EndedRun>,
    last_number: u64,
    forgotten: u64,
    /// Highest try of each task that ended or was stopped here.
    over: BTreeMap<TaskKey, u32>,
    /// What it had before it shrank, and until when that still counts.
    shrunk: Vec<(Amount, u64)>,
}

impl Upstream {
    pub fn new(capacity: Amount, offset_ms: u64) -> Self {
        Self {
            capacity,
            reachable: true,
            resetting: false,
            runs: BTreeMap::new(),
            offset_ms,
            fence: Epoch(0),
            until_ms: 0,
            ended: Vec::new(),
            last_number: 0,
            forgotten: 0,
            over: BTreeMap::new(),
            shrunk: Vec::new(),
        }
    }

    pub fn clock_ms(&self, now: u64) -> u64 {
        self.offset_ms + (now as f64 * SLOW) as u64
    }

    pub fn resize(&mut self, capacity: Amount, now: u64) {
        self.shrunk.retain(|(_, until)| *until > now);
        self.shrunk.push((self.capacity, now + SHRUNK_MS));
        self.capacity = capacity;
    }

    /// What a start may bring it to: the largest of what it has and had lately.
    pub fn granted(&self, now: u64) -> Amount {
        let lately = self.shrunk.iter().filter(|(_, until)| *until > now).map(|(room, _)| *room);
        lately.fold(self.capacity, |most, room| if most.fits(&room) { room } else { most })
    }

    pub fn used(&self) -> Amount {
        self.runs.values().fold(Amount::ZERO, |sum, demand| Amount {
            cpu_millis: sum.cpu_millis + demand.cpu_millis,
            memory_mib: sum.memory_mib + demand.memory_mib,
            accelerators: 0,
        })
    }

    /// Ends what runs without a lease and returns it.
    pub fn lapse(&mut self, now: u64) -> Vec<Run> {
        if self.clock_ms(now) <= self.until_ms || self.runs.is_empty() {
            return Vec::new();
        }
        let runs: Vec<Run> = self.runs.keys().copied().collect();
        for run in &runs {
            self.end(*run, RunOutcome::LeaseExpired);
        }
        runs
    }

    pub fn look(&mut self, look: &PollRequest, now: u64) -> Result<PollReport, WorkerError> {
        self.check(look.epoch)?;
        self.extend(look.lease_until_ms, now);
        self.forgotten = self.forgotten.max(look.acked_end);
        let forgotten = self.forgotten;
        self.ended.retain(|end| end.number > forgotten);
        let running =
            |run: &Run| RunStatus { run: *run, checkpoint: String::new(), percent: 0, load: 0 };
        Ok(PollReport {
            clock_ms: self.clock_ms(now),
            running: self.runs.keys().map(running).collect(),
            ended: self.ended.clone(),
            partial: false,
        })
    }

    /// Takes an order to start; `true` when the try begins with it.
    pub fn start(
        &mut self,
        start: &StartCommand,
        demand: Amount,
        now: u64,
    ) -> Result<bool, WorkerError> {
        self.check(start.epoch)?;
        if self.runs.contains_key(&start.run) {
            return Ok(false);
        }
        let over = self.over.get(&start.run.task).copied().unwrap_or(0);
        if start.run.number <= over {
            self.extend(Some(start.lease_until_ms), now);
            return Err(WorkerError::RunEnded);
        }
        if start.lease_until_ms <= self.clock_ms(now) {
            return Err(WorkerError::LeaseExpired);
        }
        self.extend(Some(start.lease_until_ms), now);
        self.runs.insert(start.run, demand);
        Ok(true)
    }

    pub fn stop(&mut self, run: Run, epoch: Epoch) -> Result<bool, WorkerError> {
        self.check(epoch)?;
        let ran = self.runs.contains_key(&run);
        if ran {
            self.end(run, RunOutcome::Stopped);
        }
        let over = self.over.entry(run.task).or_insert(0);
        *over = (*over).max(run.number);
        Ok(ran)
    }

    /// Whether the owner has been told that it need not hear of an end again.
    pub fn has_forgotten_all(&self) -> bool {
        self.ended.is_empty()
    }

    pub fn end(&mut self, run: Run, end: RunOutcome) {
        if self.runs.remove(&run).is_none() {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.ended.push(EndedRun { number, run, outcome: end, checkpoint: String::new() });
        let over = self.over.entry(run.task).or_insert(0);
        *over = (*over).max(run.number);
    }

    fn check(&mut self, epoch: Epoch) -> Result<(), WorkerError> {
        if epoch < self.fence {
            return Err(WorkerError::Fenced);
        }
        self.fence = epoch;
        Ok(())
    }

    fn extend(&mut self, until_ms: Option<u64>, now: u64) {
        let cap = self.clock_ms(now) + LEASE_CAP_MS;
        if let Some(until) = until_ms {
            self.until_ms = self.until_ms.max(until.min(cap));
        }
    }
}
