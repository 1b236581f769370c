//! Decisions that are being written to the journal, and actions that wait for them to be stored.

use std::collections::VecDeque;
use std::time::Duration;

use super::forget::remove_job;
use super::{Answer, CallId, Effect, Machine, Stage};
use crate::cell::dependencies::AppendError;
use crate::cell::job::{Id, Phase, Run, RunOutcome};
use crate::cell::job::{Job, Step};
use crate::cell::record::{Batch, Record, WorkerId};
use crate::cell::timings::{
    APPEND_HEDGE_DELAY, APPEND_RETRY, IDLE_APPEND_INTERVAL, MAX_APPEND_BYTES,
    MAX_CONCURRENT_APPENDS, OFFER_TO_ANYONE_AFTER, OFFER_TO_FASTER_AFTER, SLOW_APPEND,
};
use crate::clock::Instant;
use crate::codec;
use crate::planted::{Fault, is_planted};
use crate::telemetry::names;

/// Upper bound of the encoded size of an empty batch, in bytes.
const BATCH_BYTES: usize = 32;

/// Action to take once a batch is stored.
#[derive(Debug)]
pub(super) enum Deferred {
    Start(Vec<Run>),
    Reply(CallId, Answer),
    AllowForget(WorkerId, u64),
    ShowFinalPhase(Id),
}

impl Deferred {
    /// Whether a planted fault takes the action before the batch is stored.
    fn is_premature(&self) -> bool {
        match self {
            Self::Start(_) => is_planted(Fault::StartBeforeStored),
            Self::Reply(..) => is_planted(Fault::AcceptedBeforeStored),
            Self::AllowForget(..) => is_planted(Fault::EndAcknowledgedEarly),
            Self::ShowFinalPhase(_) => false,
        }
    }
}

/// How fast the store completes appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreHealth {
    /// Appends take the usual time.
    Good,
    /// A batch has been pending for so long that another instance may reach the store faster.
    Degraded,
    /// A batch has been pending for longer than a slow store takes.
    Stuck,
}

/// Batches that wait to be appended to the journal.
#[derive(Debug)]
pub struct JournalQueue {
    /// Batches in order; the first is being appended if `sealed` is set.
    batches: VecDeque<PendingBatch>,
    /// Sequence number of the first waiting batch, or of the next one if none waits.
    first_sequence: u64,
    /// Whether the first batch has been sent and takes no more records.
    sealed: bool,
    /// Unanswered appends of the first batch.
    in_flight: u32,
    retry_at: Instant,
    last_write_sent: Instant,
    /// Journal offset after the last batch that is known to be stored.
    end: u64,
    /// When the first batch was first sent.
    trying_since: Option<Instant>,
}

#[derive(Debug, Default)]
struct PendingBatch {
    /// Whether it takes no more records.
    closed: bool,
    records: Vec<Record>,
    bytes: usize,
    on_stored: Vec<Deferred>,
}

impl JournalQueue {
    /// Whether the append in progress takes longer than usual.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        self.trying_since.is_some_and(|since| now.since(since) > SLOW_APPEND)
    }

    /// Creates an empty queue whose next batch has number `first_sequence`.
    pub(super) const fn new(first_sequence: u64, end: u64, now: Instant) -> Self {
        let batches = VecDeque::new();
        Self {
            batches,
            first_sequence,
            sealed: false,
            in_flight: 0,
            retry_at: now,
            last_write_sent: now,
            end,
            trying_since: None,
        }
    }

    /// Returns how fast the store completes appends.
    pub(super) fn health(&self, now: Instant) -> StoreHealth {
        match self.trying_since.map(|since| now.since(since)) {
            Some(tried) if tried > OFFER_TO_ANYONE_AFTER => StoreHealth::Stuck,
            Some(tried) if tried > OFFER_TO_FASTER_AFTER => StoreHealth::Degraded,
            _ => StoreHealth::Good,
        }
    }

    /// Whether a batch has been pending for longer than a slow store takes.
    pub fn is_stuck(&self, now: Instant) -> bool {
        self.health(now) == StoreHealth::Stuck
    }

    /// When the last batch that is known to be stored was sent.
    pub const fn last_write_sent(&self) -> Instant {
        self.last_write_sent
    }

    /// Closes the last batch, so that later records go into the next one. Returns its sequence
    /// number; if no batch waits, that of the last stored one.
    pub(super) fn close_last_batch(&mut self) -> u64 {
        if let Some(batch) = self.batches.back_mut() {
            batch.closed = true;
        }
        self.first_sequence + self.batches.len() as u64 - 1
    }

    /// Whether the batch with that sequence number is stored.
    pub(super) const fn is_stored(&self, sequence: u64) -> bool {
        sequence < self.first_sequence
    }

    /// Journal offset after the last batch that is known to be stored.
    pub(super) const fn end(&self) -> u64 {
        self.end
    }

    fn push(&mut self, record: Record) {
        let bytes = size(&record);
        let sealed = usize::from(self.sealed);
        let full = |batch: &PendingBatch| batch.closed || batch.bytes + bytes > MAX_APPEND_BYTES;
        if self.batches.len() <= sealed || self.batches.back().is_some_and(full) {
            self.batches.push_back(PendingBatch::default());
        }
        if let Some(batch) = self.batches.back_mut() {
            batch.bytes += bytes;
            batch.records.push(record);
        }
    }
}

/// Upper bound of the encoded size of a record without texts, in bytes.
const PLAIN: usize = 128;

/// Upper bound of the encoded size of a record, in bytes.
fn size(record: &Record) -> usize {
    const RUN: usize = 40;
    match record {
        Record::Accepted { job, .. } => job_size(job),
        Record::Placed { runs, .. } => PLAIN + RUN * runs.len(),
        Record::Ended { checkpoint: saved, .. } => PLAIN + saved.len(),
        _ => PLAIN,
    }
}

/// Upper bound of the encoded size of a job, in bytes.
pub(super) fn job_size(job: &Job) -> usize {
    const STEP: usize = 96;
    let text: usize = job.steps.iter().map(Step::heap_bytes).sum();
    PLAIN + job.payload.len() + job.queue.len() + text + STEP * job.steps.len()
}

impl Machine {
    /// Whether all decisions are stored.
    pub fn is_stored(&self) -> bool {
        self.journal.batches.is_empty()
    }

    /// Sequence number of this owner's claim within its epoch.
    pub const fn claim_number(&self) -> u64 {
        self.claim
    }

    /// Applies a decision and queues it for the journal.
    pub(super) fn record(&mut self, record: Record) {
        self.state.apply(record.clone(), self.unix);
        self.journal.push(record);
    }

    /// Runs an action once all decisions so far are stored.
    pub(super) fn defer(&mut self, action: Deferred) {
        if action.is_premature() {
            return self.run_deferred(action);
        }
        match self.journal.batches.back_mut() {
            Some(batch) => batch.on_stored.push(action),
            None => self.run_deferred(action),
        }
    }

    /// Hides a job's final phase from callers until it is stored.
    ///
    /// Guards against an owner that reports *completed* and fails before the end is in the
    /// journal: if the worker is lost as well, the next owner runs a task again although its caller
    /// has received *completed*.
    pub(super) fn finish_job(&mut self, job: Id) {
        let phase = self.phase_of(job).unwrap_or(Phase::Pending);
        log::info!("event=job.ended job={job} phase={phase}");
        names::CELL_JOBS.increment(&[("outcome", phase.name())]);
        self.unstored_ends.insert(job);
        remove_job(&mut self.tickets, job);
        self.defer(Deferred::ShowFinalPhase(job));
    }

    /// Appends the next batch, or an empty one to show that the owner is working. An unanswered
    /// batch is sent again in parallel; the journal writes it only once, because the sequence
    /// number is the same.
    ///
    /// Guards against an append that hangs although the store has returned: without the second one,
    /// the owner and all callers would wait for the timeout.
    pub(super) fn flush(&mut self) {
        if self.now < self.journal.retry_at || self.journal.in_flight >= MAX_CONCURRENT_APPENDS {
            return;
        }
        if self.journal.batches.is_empty() {
            if self.now.since(self.journal.last_write_sent) < IDLE_APPEND_INTERVAL {
                return;
            }
            self.journal.batches.push_back(PendingBatch::default());
        }
        let Some(first) = self.journal.batches.front() else { return };
        let batch = Batch { epoch: self.epoch, at: self.unix, records: first.records.clone() };
        match codec::encode(&batch) {
            Ok(batch) => {
                self.journal.in_flight += 1;
                self.journal.sealed = true;
                self.journal.retry_at = self.now.after(APPEND_HEDGE_DELAY);
                self.journal.trying_since.get_or_insert(self.now);
                self.effects.push(Effect::Append { sequence: self.journal.first_sequence, batch });
            }
            Err(error) => {
                let reason = format!("step=journal.encode cause={error}");
                self.effects.push(Effect::StepDown { reason });
            }
        }
    }

    pub(super) fn appended(
        &mut self,
        sequence: u64,
        sent: Instant,
        outcome: Result<u64, AppendError>,
    ) {
        if sequence != self.journal.first_sequence {
            return;
        }
        self.journal.in_flight = self.journal.in_flight.saturating_sub(1);
        match outcome {
            Ok(end) => self.stored(sent, end),
            Err(AppendError::Fenced) => {
                let reason = "step=journal.append cause=fenced".to_owned();
                self.effects.push(Effect::StepDown { reason });
            }
            // A repetition has the same sequence number, so that the journal writes the batch only
            // once.
            Err(AppendError::NotWritten(cause) | AppendError::Unknown(cause)) => {
                log::warn!("event=journal.append_failed sequence={sequence} cause={cause:?}");
                self.journal.retry_at = self.now.after(APPEND_RETRY);
            }
        }
    }

    fn stored(&mut self, sent: Instant, end: u64) {
        self.journal.end = self.journal.end.max(end);
        self.journal.last_write_sent = self.journal.last_write_sent.max(sent);
        let took = self.journal.trying_since.map_or(Duration::ZERO, |since| self.now.since(since));
        names::CELL_APPEND.record(took, &[]);
        self.journal.first_sequence += 1;
        self.journal.sealed = false;
        self.journal.in_flight = 0;
        self.journal.retry_at = self.now;
        self.journal.trying_since = None;
        let Some(batch) = self.journal.batches.pop_front() else { return };
        self.snapshots.note_stored(BATCH_BYTES + batch.bytes);
        for action in batch.on_stored {
            self.run_deferred(action);
        }
        self.save_snapshot_once_stored();
        self.flush();
    }

    fn run_deferred(&mut self, action: Deferred) {
        match action {
            Deferred::Start(runs) => runs.into_iter().for_each(|run| self.release_start(run)),
            Deferred::Reply(id, answer) => self.effects.push(Effect::Reply { id, answer }),
            Deferred::AllowForget(worker, number) => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.last_recorded_end = worker.last_recorded_end.max(number);
                    worker.next_poll = self.now;
                }
            }
            Deferred::ShowFinalPhase(job) => {
                self.unstored_ends.remove(&job);
            }
        }
    }

    /// Allows the start command to be sent once the placement is stored, unless the attempt has
    /// been stopped meanwhile.
    fn release_start(&mut self, run: Run) {
        let Some(active) = self.runs.get_mut(&run) else { return };
        if active.stage != Stage::Recording {
            return;
        }
        if active.stop_requested {
            self.end_run(run, RunOutcome::NeverStarted, String::new());
            return;
        }
        active.stage = Stage::Starting { in_flight: false };
        active.since = self.now;
        active.next_command = self.now;
    }
}
