//! Decisions on their way to the journal, and what waits for them to be stored.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Answer, CallId, Effect, Machine, Stage, remove_job};
use crate::cell::dependencies::{AppendError, JournalSnapshot};
use crate::cell::job::{Id, Phase, Run, RunOutcome};
use crate::cell::record::{Batch, Record, WorkerId};
use crate::cell::timings::{
    APPEND_HEDGE_DELAY, APPEND_RETRY, IDLE_APPEND_INTERVAL, MAX_APPEND_BYTES,
    MAX_CONCURRENT_APPENDS, OFFER_TO_ANYONE_AFTER, OFFER_TO_FASTER_AFTER, SLOW_APPEND,
};
use crate::clock::Instant;
use crate::codec;
use crate::telemetry::names;

/// What happens once a batch is stored.
#[derive(Debug)]
pub(super) enum Deferred {
    Start(Vec<Run>),
    Reply(CallId, Answer),
    Forget(WorkerId, u64),
    Settle(Id),
}

/// How the store takes what is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Within the usual time.
    Good,
    /// One batch has been tried for so long that another instance may reach the store faster.
    Struggling,
    /// One batch has been tried for longer than a slow store takes.
    Stuck,
}

/// Batches that wait for the journal.
#[derive(Debug)]
pub struct Commit {
    /// Batches in order; the first one is under way when `closed` is set.
    waiting: VecDeque<Waiting>,
    /// Number of the first batch that waits, or of the next one.
    first: u64,
    /// Whether the first batch has been sent, so that it takes no more records.
    closed: bool,
    /// Appends of the first batch that have no answer yet.
    out: u32,
    retry_at: Instant,
    written: Instant,
    /// Offset after the last batch that is known to be stored.
    end: u64,
    /// Since when the first batch has been tried.
    trying: Option<Instant>,
}

#[derive(Debug, Default)]
struct Waiting {
    records: Vec<Record>,
    bytes: usize,
    then: Vec<Deferred>,
}

impl Commit {
    /// Whether the batch under way takes longer than the store usually does.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        self.trying.is_some_and(|since| now.since(since) > SLOW_APPEND)
    }

    /// Nothing waits; the next batch gets number `first`.
    pub(super) const fn new(first: u64, end: u64, now: Instant) -> Self {
        let waiting = VecDeque::new();
        Self {
            waiting,
            first,
            closed: false,
            out: 0,
            retry_at: now,
            written: now,
            end,
            trying: None,
        }
    }

    /// How the store takes what is decided.
    pub(super) fn health(&self, now: Instant) -> Health {
        match self.trying.map(|since| now.since(since)) {
            Some(tried) if tried > OFFER_TO_ANYONE_AFTER => Health::Stuck,
            Some(tried) if tried > OFFER_TO_FASTER_AFTER => Health::Struggling,
            _ => Health::Good,
        }
    }

    /// Whether a batch has been tried for longer than a slow store takes.
    pub fn is_stuck(&self, now: Instant) -> bool {
        self.health(now) == Health::Stuck
    }

    /// When the last batch that is known to be stored was sent.
    pub const fn written(&self) -> Instant {
        self.written
    }

    /// Offset after the last batch that is known to be stored.
    pub(super) const fn end(&self) -> u64 {
        self.end
    }

    fn push(&mut self, record: Record) {
        let bytes = size(&record);
        let closed = usize::from(self.closed);
        let full = |batch: &Waiting| batch.bytes + bytes > MAX_APPEND_BYTES;
        if self.waiting.len() <= closed || self.waiting.back().is_some_and(full) {
            self.waiting.push_back(Waiting::default());
        }
        if let Some(batch) = self.waiting.back_mut() {
            batch.bytes += bytes;
            batch.records.push(record);
        }
    }
}

/// Bytes that a record takes in its batch, at most.
fn size(record: &Record) -> usize {
    const PLAIN: usize = 128;
    const RUN: usize = 40;
    const STEP: usize = 96;
    match record {
        Record::Accepted { job, .. } => {
            let text: usize = job.steps.iter().map(step_text).sum();
            PLAIN + job.payload.len() + job.queue.len() + text + STEP * job.steps.len()
        }
        Record::Placed { runs, .. } => PLAIN + RUN * runs.len(),
        Record::Ended { checkpoint: saved, .. } => PLAIN + saved.len(),
        _ => PLAIN,
    }
}

fn step_text(step: &crate::cell::job::Step) -> usize {
    let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    text(&step.required_label)
        + text(&step.data_rack)
        + text(&step.image)
        + 8 * step.depends_on.len()
}

impl Machine {
    /// Has the whole state saved, once all decisions are stored.
    ///
    /// Guards against a saved state that holds decisions which never came to be stored: a successor
    /// that has read the journal without them decides otherwise, and the one after it, beginning
    /// with the saved state, would run again what has failed or ended.
    fn save_when_settled(&mut self) {
        if !self.save_due || !self.commit.waiting.is_empty() {
            return;
        }
        self.save_due = false;
        match codec::encode(&self.state) {
            Ok(state) => {
                let base = JournalSnapshot { state: Some(state), offset: self.commit.end };
                self.effects.push(Effect::Save(base));
            }
            Err(error) => log::error!("event=journal.base_too_large cause={error:?}"),
        }
    }

    /// Number of this owner's claim within its epoch.
    pub const fn claim_number(&self) -> u64 {
        self.claim
    }

    /// Applies a decision and queues it for the journal.
    pub(super) fn record(&mut self, record: Record) {
        self.state.apply(record.clone(), self.unix);
        self.commit.push(record);
    }

    /// Does something once all decisions so far are stored.
    pub(super) fn defer(&mut self, action: Deferred) {
        match self.commit.waiting.back_mut() {
            Some(batch) => batch.then.push(action),
            None => self.carry_out(action),
        }
    }

    /// Hides a job's final phase from callers until it is stored.
    ///
    /// Guards against an owner that says *completed* and dies before the end is in the journal: if
    /// the worker is lost as well, its successor runs a task again that a caller knows to be done.
    pub(super) fn settle(&mut self, job: Id) {
        let phase = self.phase_of(job).unwrap_or(Phase::Pending);
        log::info!("event=job.ended job={job} phase={phase}");
        names::CELL_JOBS.increment(&[("outcome", phase.name())]);
        self.unsettled.insert(job);
        remove_job(&mut self.tickets, job);
        self.defer(Deferred::Settle(job));
    }

    /// Sends the next batch, or a sign of life; a batch without an answer is sent again beside the
    /// first try, since its number makes the journal take it once.
    ///
    /// Guards against a store that is back while the last append hangs: without the copy the owner
    /// would wait for the timeout, and all callers with it.
    pub(super) fn flush(&mut self) {
        if self.now < self.commit.retry_at || self.commit.out >= MAX_CONCURRENT_APPENDS {
            return;
        }
        if self.commit.waiting.is_empty() {
            if self.now.since(self.commit.written) < IDLE_APPEND_INTERVAL {
                return;
            }
            self.commit.waiting.push_back(Waiting::default());
        }
        let Some(waiting) = self.commit.waiting.front() else { return };
        let batch = Batch { epoch: self.epoch, at: self.unix, records: waiting.records.clone() };
        match codec::encode(&batch) {
            Ok(batch) => {
                self.commit.out += 1;
                self.commit.closed = true;
                self.commit.retry_at = self.now.after(APPEND_HEDGE_DELAY);
                self.commit.trying.get_or_insert(self.now);
                self.effects.push(Effect::Append { sequence: self.commit.first, batch });
            }
            Err(error) => {
                let why = format!("step=journal.encode cause={error}");
                self.effects.push(Effect::StepDown { why });
            }
        }
    }

    pub(super) fn appended(
        &mut self,
        sequence: u64,
        sent: Instant,
        outcome: Result<u64, AppendError>,
    ) {
        if sequence != self.commit.first {
            return;
        }
        self.commit.out = self.commit.out.saturating_sub(1);
        match outcome {
            Ok(end) => self.stored(sent, end),
            Err(AppendError::Fenced) => {
                let why = "step=journal.append cause=fenced".to_owned();
                self.effects.push(Effect::StepDown { why });
            }
            // A repeat carries the same number, so that the journal takes the batch only once.
            Err(AppendError::NotWritten(cause) | AppendError::Unknown(cause)) => {
                log::warn!("event=journal.append_failed sequence={sequence} cause={cause:?}");
                self.commit.retry_at = self.now.after(APPEND_RETRY);
            }
        }
    }

    fn stored(&mut self, sent: Instant, end: u64) {
        self.commit.end = self.commit.end.max(end);
        self.commit.written = self.commit.written.max(sent);
        let took = self.commit.trying.map_or(Duration::ZERO, |since| self.now.since(since));
        names::CELL_APPEND.record(took, &[]);
        self.commit.first += 1;
        self.commit.closed = false;
        self.commit.out = 0;
        self.commit.retry_at = self.now;
        self.commit.trying = None;
        let Some(batch) = self.commit.waiting.pop_front() else { return };
        for action in batch.then {
            self.carry_out(action);
        }
        self.save_when_settled();
        self.flush();
    }

    fn carry_out(&mut self, action: Deferred) {
        match action {
            Deferred::Start(runs) => runs.into_iter().for_each(|run| self.release_start(run)),
            Deferred::Reply(id, answer) => self.effects.push(Effect::Reply { id, answer }),
            Deferred::Forget(worker, number) => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.last_recorded_end = worker.last_recorded_end.max(number);
                    worker.next_poll = self.now;
                }
            }
            Deferred::Settle(job) => {
                self.unsettled.remove(&job);
            }
        }
    }

    /// The placement is stored: the order may go out, unless the try is no longer wanted.
    fn release_start(&mut self, run: Run) {
        let Some(live) = self.runs.get_mut(&run) else { return };
        if live.stage != Stage::Recording {
            return;
        }
        if live.unwanted {
            self.end_run(run, RunOutcome::NeverStarted, String::new());
            return;
        }
        live.stage = Stage::Starting { out: false };
        live.since = self.now;
        live.next_try = self.now;
    }
}
