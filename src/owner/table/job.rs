//! A job as recorded in the log, and the rules that decide what follows the end of an attempt.

use crate::clock::Unix;
use crate::job::{self, Effect, Kind};
use crate::owner::record::{
    Acceptance, AttemptState, Conclusion, JobSnapshot, Placement, TaskSnapshot,
};
use crate::store::Offset;
use crate::task::{self, End};
use crate::worker;

/// Number of failed attempts after which a task is not retried. A long-running task is retried
/// without limit, and an alert is raised instead.
pub const MAX_FAILURES: u32 = 3;

/// A job with the state of its tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identity.
    pub id: job::Id,
    /// Idempotency key under which it was submitted.
    pub key: String,
    /// What is requested.
    pub spec: job::Spec,
    /// When it was accepted.
    pub accepted: Unix,
    /// When it was cancelled.
    pub cancelled: Option<Unix>,
    /// When its last task ended.
    pub ended: Option<Unix>,
    /// Tasks by index.
    pub tasks: Vec<Task>,
    /// Offset of the latest record that contains the whole job: its acceptance or a snapshot.
    pub snapshot_offset: Offset,
    /// Wall-clock time at which this instance applied that record.
    pub snapshot_read_at: Unix,
}

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Number of earlier attempts.
    pub attempt: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// State of the current attempt.
    pub state: AttemptState,
}

impl Task {
    fn new() -> Self {
        Self { attempt: 0, failures: 0, state: AttemptState::Pending }
    }

    /// The worker that may hold resources for the current attempt.
    pub fn worker(&self) -> Option<&worker::Name> {
        match &self.state {
            AttemptState::Placed { worker, .. } | AttemptState::Unresolved { worker } => {
                Some(worker)
            }
            AttemptState::Pending | AttemptState::Done(_) => None,
        }
    }

    /// Whether the task ended without success and is not retried.
    fn ended_without_success(&self) -> bool {
        matches!(self.state, AttemptState::Done(end) if end != End::Succeeded)
    }

    fn retry(&mut self) {
        self.attempt += 1;
        self.state = AttemptState::Pending;
    }
}

impl Job {
    /// Identity of the current attempt of task `index`.
    pub fn task_id(&self, index: usize) -> task::Id {
        let attempt = self.tasks[index].attempt;
        task::Id { job: self.id, index: u32::try_from(index).unwrap_or(u32::MAX), attempt }
    }

    /// The current attempt of every task.
    pub fn attempts(&self) -> impl Iterator<Item = task::Id> {
        (0..self.tasks.len()).map(|index| self.task_id(index))
    }

    /// The current attempts that wait for a worker.
    pub fn pending(&self) -> impl Iterator<Item = task::Id> {
        let is_pending = |task: &Task| task.state == AttemptState::Pending;
        self.attempts().zip(&self.tasks).filter(move |(_, task)| is_pending(task)).map(|(id, _)| id)
    }

    /// The task of `id`, if `id` is its current attempt.
    pub fn current(&self, id: task::Id) -> Option<&Task> {
        self.tasks.get(id.index as usize).filter(|task| task.attempt == id.attempt)
    }

    /// Whether every task has ended and none is retried.
    pub fn is_over(&self) -> bool {
        self.tasks.iter().all(|task| matches!(task.state, AttemptState::Done(_)))
    }

    /// Whether any task ended without success, in a job that was not cancelled.
    pub fn ended_without_success(&self) -> bool {
        self.cancelled.is_none() && self.tasks.iter().any(Task::ended_without_success)
    }

    /// Whether a task of a gang ended without success while others have not ended. They must stop
    /// before the gang restarts.
    pub fn is_gang_broken(&self) -> bool {
        self.spec.kind == Kind::Gang
            && self.tasks.iter().any(Task::ended_without_success)
            && !self.is_over()
    }

    pub(super) fn new(acceptance: &Acceptance, snapshot_offset: Offset, now: Unix) -> Self {
        let count = acceptance.spec.tasks as usize;
        Self {
            id: acceptance.job,
            key: acceptance.key.clone(),
            spec: acceptance.spec.clone(),
            accepted: acceptance.at,
            cancelled: None,
            ended: None,
            tasks: (0..count).map(|_| Task::new()).collect(),
            snapshot_offset,
            snapshot_read_at: now,
        }
    }

    pub(super) fn from_snapshot(snapshot: &JobSnapshot, offset: Offset, now: Unix) -> Self {
        let task = |snapshot: &TaskSnapshot| Task {
            attempt: snapshot.attempt,
            failures: snapshot.failures,
            state: snapshot.state.clone(),
        };
        Self {
            cancelled: snapshot.cancelled,
            ended: snapshot.ended,
            tasks: snapshot.tasks.iter().map(task).collect(),
            ..Self::new(&snapshot.acceptance, offset, now)
        }
    }

    /// Current attempts, with the worker that may hold resources for each.
    pub fn placements(&self) -> impl Iterator<Item = (&worker::Name, task::Id)> {
        self.tasks
            .iter()
            .enumerate()
            .filter_map(|(index, task)| Some((task.worker()?, self.task_id(index))))
    }

    pub(super) fn place(&mut self, placement: &Placement) {
        let Some(task) = self.tasks.get_mut(placement.task.index as usize) else { return };
        let placeable =
            matches!(task.state, AttemptState::Pending | AttemptState::Unresolved { .. });
        if !placeable || task.attempt > placement.task.attempt {
            return;
        }
        task.attempt = placement.task.attempt;
        task.state = AttemptState::Placed { worker: placement.worker.clone(), run: placement.run };
    }

    pub(super) fn conclude(&mut self, conclusion: &Conclusion) {
        if self.current(conclusion.task).is_none() {
            return;
        }
        let index = conclusion.task.index as usize;
        if matches!(self.tasks[index].state, AttemptState::Done(_)) {
            return;
        }
        self.end_attempt(index, conclusion.end);
        self.restart_gang();
        if self.is_over() {
            self.ended = Some(conclusion.at);
        }
    }

    fn end_attempt(&mut self, index: usize, end: End) {
        let transition = self.transition(&self.tasks[index], end);
        let task = &mut self.tasks[index];
        if matches!(end, End::Failed) {
            task.failures += 1;
        }
        match transition {
            Transition::Retry => task.retry(),
            Transition::Finish => task.state = AttemptState::Done(end),
            Transition::Unresolved => {
                if let Some(worker) = task.worker().cloned() {
                    task.state = AttemptState::Unresolved { worker };
                }
            }
        }
    }

    fn transition(&self, task: &Task, end: End) -> Transition {
        if self.cancelled.is_some() {
            return Transition::Finish;
        }
        let unresolved = matches!(task.state, AttemptState::Unresolved { .. });
        // The process that rejects a start is a new one; the previous process may have run the
        // attempt, which is why it is unresolved. If the rejection counted as "never ran", a task
        // that may run only once would run again.
        if end == End::Rejected && self.spec.kind != Kind::Gang && !unresolved {
            return Transition::Retry;
        }
        if self.spec.effect == Effect::AtMostOnce {
            return match end {
                // An unresolved attempt lapses when its worker returns without the task or is
                // declared lost.
                End::Lapsed if !unresolved => Transition::Unresolved,
                _ => Transition::Finish,
            };
        }
        if self.spec.kind == Kind::Gang {
            return Transition::Finish;
        }
        match end {
            End::Succeeded if self.spec.kind != Kind::LongRunning => Transition::Finish,
            End::Failed
                if self.spec.kind != Kind::LongRunning && task.failures + 1 >= MAX_FAILURES =>
            {
                Transition::Finish
            }
            _ => Transition::Retry,
        }
    }

    /// Returns a whole gang to pending once all its tasks have ended, if one of them ended without
    /// success and none has used up its attempts.
    fn restart_gang(&mut self) {
        let can_restart = self.spec.kind == Kind::Gang
            && self.spec.effect == Effect::Idempotent
            && self.cancelled.is_none()
            && self.is_over()
            && self.ended_without_success()
            && self.tasks.iter().all(|task| task.failures < MAX_FAILURES);
        if can_restart {
            self.tasks.iter_mut().for_each(Task::retry);
        }
    }

    pub(super) fn unresolve(&mut self, id: task::Id) {
        let Some(task) = self.tasks.get_mut(id.index as usize) else { return };
        if task.attempt != id.attempt {
            return;
        }
        if let AttemptState::Placed { worker, .. } = &task.state {
            task.state = AttemptState::Unresolved { worker: worker.clone() };
        }
    }

    pub(super) fn cancel(&mut self, at: Unix) {
        if self.is_over() || self.cancelled.is_some() {
            return;
        }
        self.cancelled = Some(at);
        for task in &mut self.tasks {
            if task.state == AttemptState::Pending {
                task.state = AttemptState::Done(End::Stopped);
            }
        }
        if self.is_over() {
            self.ended = Some(at);
        }
    }
}

enum Transition {
    Retry,
    Finish,
    Unresolved,
}

impl From<&Job> for JobSnapshot {
    fn from(job: &Job) -> Self {
        let snapshot = |task: &Task| TaskSnapshot {
            attempt: task.attempt,
            failures: task.failures,
            state: task.state.clone(),
        };
        Self {
            acceptance: Acceptance {
                job: job.id,
                key: job.key.clone(),
                spec: job.spec.clone(),
                at: job.accepted,
            },
            cancelled: job.cancelled,
            ended: job.ended,
            tasks: job.tasks.iter().map(snapshot).collect(),
        }
    }
}
