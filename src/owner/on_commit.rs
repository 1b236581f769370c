//! Actions of the owner once a change has taken effect: starting, stopping, requeueing and
//! forgetting tasks.

use std::time::Duration;

use crate::clock::{Instant, Unix};
use crate::job::{self, Kind};
use crate::owner::Timings;
use crate::owner::active::Active;
use crate::owner::machine::Effect;
use crate::owner::record::{AttemptState, Batch, Conclusion, Entry, Placement};
use crate::owner::session::Session;
use crate::owner::table::{Job, Table};
use crate::task;
use crate::worker::Command;

/// Maximum number of jobs removed from the table in one sweep.
const MAX_PRUNED: usize = 64;

impl Active {
    /// Acts on a change that has taken effect and is in the table.
    pub(super) fn on_entry(
        &mut self,
        entry: &Entry,
        table: &Table,
        timings: &Timings,
        now: Instant,
        unix: Unix,
    ) {
        match entry {
            Entry::Accepted(acceptance) => {
                if let Some(job) = table.get(acceptance.job) {
                    let tasks = job.attempts().collect();
                    self.enqueue(job, tasks, now, unix.since(job.accepted));
                }
            }
            Entry::Placed(placements) => {
                for placement in placements {
                    self.on_placed(placement, table, now, unix);
                }
            }
            Entry::Ended(conclusion) => {
                self.on_ended(conclusion, table, timings, now);
                if let Some(job) = table.get(conclusion.task.job) {
                    self.update_alerts_on_end(job, conclusion.task, unix);
                }
            }
            Entry::Cancelled(cancellation) => {
                if let Some(job) = table.get(cancellation.job) {
                    self.on_cancelled(job, now, unix);
                }
            }
            Entry::Retired(_) => self.sole_owner_since = now,
            Entry::Unresolved(_)
            | Entry::Restated(_)
            | Entry::Pruned(_)
            | Entry::Alert(_)
            | Entry::Alerts(_) => {}
        }
    }

    fn on_placed(&mut self, placement: &Placement, table: &Table, now: Instant, unix: Unix) {
        let task = placement.task;
        self.placing.remove(&task);
        let Some(job) = table.get(task.job) else { return };
        let is_current =
            job.current(task).and_then(|current| current.worker()) == Some(&placement.worker);
        if !is_current {
            // The job was cancelled before the placement was committed, so the task must not start.
            self.release(task);
            return;
        }
        if job.cancelled.is_some() {
            self.conclude(task, task::End::Stopped, now, unix);
            return;
        }
        let unlogged = !self.unlogged.is_empty();
        if unlogged && job.spec.effect == job::Effect::AtMostOnce {
            // The copies on peers can be lost together with the peers, and the task would then be
            // started a second time elsewhere. It starts once the placement is in the log.
            self.deferred_starts.insert(task);
            return;
        }
        self.send_start(placement, job, now, unix);
    }

    /// Commands workers to forget an ended task. This happens only once its end is in the log: a
    /// new owner that finds the end neither in the log nor at the worker concludes that the task
    /// never started.
    fn forget(&mut self, task: task::Id) {
        for session in self.sessions.values_mut() {
            session.forget(task);
        }
    }

    /// Performs the actions that were deferred until a batch that took effect without the log is in
    /// it. Returns the replies to its callers.
    pub(super) fn on_batch_logged(
        &mut self,
        batch: &Batch,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) -> Vec<Effect> {
        self.start_deferred(batch, table, now, unix);
        for entry in &batch.entries {
            if let Entry::Ended(conclusion) = entry {
                self.forget(conclusion.task);
            }
        }
        let replies = self.deferred_replies.remove(&batch.sequence).unwrap_or_default();
        replies.into_iter().flat_map(|ticket| self.answer_committed(ticket)).collect()
    }

    /// Starts the tasks whose placement took effect without the log and is in it now.
    fn start_deferred(&mut self, batch: &Batch, table: &Table, now: Instant, unix: Unix) {
        let placed = batch.entries.iter().filter_map(|entry| match entry {
            Entry::Placed(placements) => Some(placements),
            _ => None,
        });
        for placement in placed.flatten() {
            let is_deferred = self.deferred_starts.remove(&placement.task);
            if let Some(job) = table.get(placement.task.job).filter(|_| is_deferred) {
                self.send_start(placement, job, now, unix);
            }
        }
    }

    fn send_start(&mut self, placement: &Placement, job: &Job, now: Instant, unix: Unix) {
        let task = placement.task;
        let same_run = |session: &&mut Session| session.run == placement.run;
        match self.sessions.get_mut(&placement.worker).filter(same_run) {
            Some(session) => session.push(start_command(job, task)),
            // The worker process was replaced before the placement was committed. A start sent now
            // would run, although the log names the previous process; the next full report would
            // then lead to a second run.
            None => self.conclude(task, task::End::Rejected, now, unix),
        }
    }

    fn on_ended(
        &mut self,
        conclusion: &Conclusion,
        table: &Table,
        timings: &Timings,
        now: Instant,
    ) {
        self.concluding.remove(&conclusion.task);
        let Some(job) = table.get(conclusion.task.job) else { return };
        if self.unlogged.is_empty() {
            self.forget(conclusion.task);
        }
        if job.is_gang_broken() {
            self.stop_job(job);
        }
        let is_gang = job.spec.kind == Kind::Gang;
        let pending = job.pending().filter(|id| is_gang || id.index == conclusion.task.index);
        let failures = job.tasks.iter().map(|task| task.failures).max().unwrap_or(0);
        let pause = match conclusion.end {
            task::End::Failed | task::End::Rejected => {
                timings.retry_min.saturating_mul(1 << failures.min(10)).min(timings.retry_max)
            }
            task::End::Succeeded => timings.retry_min,
            _ => Duration::ZERO,
        };
        for id in pending {
            self.retry_queue.insert((now.after(pause), id));
        }
    }

    /// Queues a task again after its pause. A gang is queued as a whole, with its first task.
    pub(super) fn requeue(&mut self, table: &Table, id: task::Id, now: Instant) {
        let Some(job) = table.get(id.job) else { return };
        let is_pending = job.current(id).is_some_and(|task| task.state == AttemptState::Pending);
        if !is_pending || self.placing.contains(&id) {
            return;
        }
        if job.spec.kind != Kind::Gang {
            self.enqueue(job, vec![id], now, Duration::ZERO);
        } else if id.index == 0 {
            let tasks = job.attempts().collect();
            self.enqueue(job, tasks, now, Duration::ZERO);
        }
    }

    fn on_cancelled(&mut self, job: &Job, now: Instant, unix: Unix) {
        self.engine.withdraw(job.id);
        for (index, task) in job.tasks.iter().enumerate() {
            let id = job.task_id(index);
            let AttemptState::Placed { worker, .. } = &task.state else { continue };
            let Some(session) = self.sessions.get_mut(worker) else { continue };
            if session.withdraw_start(id) {
                self.conclude(id, task::End::Stopped, now, unix);
            } else {
                session.push(Command::Stop(id));
            }
        }
    }

    fn stop_job(&mut self, job: &Job) {
        for (index, task) in job.tasks.iter().enumerate() {
            let id = job.task_id(index);
            if let AttemptState::Placed { worker, .. } = &task.state
                && let Some(session) = self.sessions.get_mut(worker)
            {
                session.push(Command::Stop(id));
            }
        }
    }

    pub(super) fn prune(&mut self, table: &Table, retention: Duration, unix: Unix) {
        if !self.journal.is_empty() {
            return;
        }
        let is_expired = |job: &&Job| job.ended.is_some_and(|ended| unix.since(ended) > retention);
        for job in table.jobs().filter(is_expired).take(MAX_PRUNED) {
            self.journal.push(Entry::Pruned(job.id), None);
        }
    }
}

/// The command that starts a task of `job`.
pub(super) fn start_command(job: &Job, task: task::Id) -> Command {
    Command::Start { task, demand: job.spec.demand, payload: job.spec.payload.clone() }
}
