//! Views of the state machine for callers and operators.

use crate::api::{Reason, Refusal, view};
use crate::clock::{Instant, Unix};
use crate::owner::active::Active;
use crate::owner::machine::{Machine, Role};
use crate::owner::record::AttemptState;
use crate::owner::session::Session;
use crate::owner::table::{self, Job};
use crate::task::{End, Phase};
use crate::{job, task, worker};

/// The owner's state.
///
/// # Errors
///
/// Refuses on an instance that is not the owner, with a time after which to retry.
pub fn active(machine: &Machine) -> Result<&Active, Refusal> {
    match &machine.role {
        Role::Owner(active) => Ok(active),
        Role::Follower => Err(no_owner()),
    }
}

/// Refusal while the failure domain has no owner that can be reached.
pub fn no_owner() -> Refusal {
    let message = "no instance owns the failure domain at the moment; try again shortly";
    Refusal::not_run(Reason::NoOwner, message).with_retry_after(std::time::Duration::from_secs(1))
}

fn not_found(id: job::Id) -> Refusal {
    let message = format!("no job {id} is known here; it may have been removed after its end");
    Refusal::not_run(Reason::NotFound, message)
}

/// One job with its tasks.
///
/// # Errors
///
/// Refuses if the job is not known.
pub fn job(machine: &Machine, id: job::Id) -> Result<view::job::Job, Refusal> {
    let job = machine.replica.table.get(id).ok_or_else(|| not_found(id))?;
    let active = active(machine).ok();
    let task = |(index, task)| show_task(job, index, task, active);
    Ok(view::job::Job {
        summary: summary(job, active),
        key: job.key.clone(),
        demand: job.spec.demand,
        effect: job.spec.effect,
        durability: view::job::Durability::Log,
        tasks: job.tasks.iter().enumerate().map(task).collect(),
    })
}

fn show_task(
    job: &Job,
    index: usize,
    task: &table::Task,
    active: Option<&Active>,
) -> view::job::Task {
    let id = job.task_id(index);
    let waits = task.state == AttemptState::Pending;
    let reason = waits.then(|| active.and_then(|active| active.engine.explain(job.id))).flatten();
    view::job::Task {
        index: id.index,
        attempt: id.attempt,
        state: phase(id, task, active),
        worker: task.worker().cloned(),
        started: None,
        ended: None,
        reason: reason.map(|reason| reason.to_string()),
    }
}

fn phase(id: task::Id, task: &table::Task, active: Option<&Active>) -> view::job::Phase {
    match &task.state {
        AttemptState::Pending => view::job::Phase::Pending,
        AttemptState::Unresolved { .. } => view::job::Phase::Uncertain,
        AttemptState::Done(end) => view::job::Phase::Ended(*end),
        AttemptState::Placed { worker, .. } => {
            let session = active.and_then(|active| active.sessions.get(worker));
            let seen = session.and_then(|session| session.running.get(&id));
            match seen.map(|observation| observation.phase) {
                Some(Phase::Running) => view::job::Phase::Running,
                Some(_) => view::job::Phase::Stopping,
                None => view::job::Phase::Starting,
            }
        }
    }
}

fn summary(job: &Job, active: Option<&Active>) -> view::job::Summary {
    view::job::Summary {
        id: job.id,
        name: job.spec.name.clone(),
        team: job.spec.team.clone(),
        kind: job.spec.kind,
        urgency: job.spec.urgency,
        state: state(job, active),
        tasks: job.spec.tasks,
        submitted: job.accepted,
        deadline: job.spec.deadline,
    }
}

fn state(job: &Job, active: Option<&Active>) -> view::job::State {
    use view::job::State;
    let any = |wanted: fn(&AttemptState) -> bool| job.tasks.iter().any(|task| wanted(&task.state));
    if any(|state| matches!(state, AttemptState::Unresolved { .. })) {
        return State::Uncertain;
    }
    if job.is_over() {
        let stopped =
            any(|state| matches!(state, AttemptState::Done(end) if *end != End::Succeeded));
        return match (job.cancelled.is_some() && stopped, job.ended_without_success()) {
            (true, _) => State::Cancelled,
            (false, true) => State::Failed,
            (false, false) => State::Succeeded,
        };
    }
    if job.cancelled.is_some() {
        return State::Cancelling;
    }
    let running =
        job.tasks.iter().enumerate().any(|(index, task)| {
            phase(job.task_id(index), task, active) == view::job::Phase::Running
        });
    if running { State::Running } else { State::Waiting }
}

/// Page of the jobs that match `filter`, starting after the cursor.
pub fn jobs(
    machine: &Machine,
    filter: &view::job::Filter,
    page: &view::PageRequest<job::Id>,
) -> view::Page<view::job::Summary, job::Id> {
    let active = active(machine).ok();
    let mut matching = machine
        .replica
        .table
        .after(page.after)
        .map(|job| summary(job, active))
        .filter(|summary| matches(summary, filter));
    let items: Vec<_> = matching.by_ref().take(page.limit).collect();
    let more = matching.next().is_some();
    let next = items.last().filter(|_| more).map(|summary| summary.id);
    view::Page { items, next }
}

fn matches(summary: &view::job::Summary, filter: &view::job::Filter) -> bool {
    filter.team.as_ref().is_none_or(|team| *team == summary.team)
        && filter.name.as_ref().is_none_or(|name| *name == summary.name)
        && filter.state.is_none_or(|state| state == summary.state)
}

/// Why a job waits.
///
/// # Errors
///
/// Refuses if the job is not known.
pub fn explain(
    machine: &Machine,
    id: job::Id,
    unix: Unix,
) -> Result<view::job::Explanation, Refusal> {
    let active = active(machine)?;
    let job = machine.replica.table.get(id).ok_or_else(|| not_found(id))?;
    let state = state(job, Some(active));
    let waits = active.engine.explain(id).map(|reason| reason.to_string());
    let reason = waits.unwrap_or_else(|| describe_state(state).to_owned());
    let waited = unix.since(job.accepted);
    Ok(view::job::Explanation { job: id, state, reason, advice: None, waited })
}

fn describe_state(state: view::job::State) -> &'static str {
    use view::job::State;
    match state {
        State::Waiting => "its tasks are being started at workers, or pause before another attempt",
        State::Running => "it does not wait: its tasks run",
        State::Cancelling => "it was cancelled; its tasks are being stopped",
        State::Succeeded | State::Failed | State::Cancelled => "it has ended",
        State::Uncertain => "a task may still run on a worker that cannot be reached",
    }
}

/// Workers of the failure domain, by name.
pub fn workers(active: &Active) -> Vec<view::worker::Worker> {
    let sessions = active.sessions.iter();
    sessions.map(|(name, session)| show_worker(active, name, session)).collect()
}

/// One worker; `None` if it is not known.
pub fn worker(active: &Active, name: &worker::Name) -> Option<view::worker::Worker> {
    active.sessions.get(name).map(|session| show_worker(active, name, session))
}

fn show_worker(active: &Active, name: &worker::Name, session: &Session) -> view::worker::Worker {
    let add =
        |sum: crate::resource::Amount, task: &worker::Observation| sum.saturating_add(&task.demand);
    view::worker::Worker {
        name: name.clone(),
        rack: session.rack.clone(),
        state: worker_state(active, name, session),
        capacity: session.capacity,
        reserved: session.running.values().fold(crate::resource::Amount::ZERO, add),
        tasks: u32::try_from(session.running.len()).unwrap_or(u32::MAX),
    }
}

fn worker_state(active: &Active, name: &worker::Name, session: &Session) -> view::worker::State {
    use view::worker::State;
    let is_draining = session.leaving || active.is_drained(name, session);
    match (session.is_fenced(), session.failing_since().is_some(), is_draining) {
        (_, true, _) => State::Unreachable,
        (false, false, _) => State::Unfenced,
        (true, false, true) => State::Draining,
        (true, false, false) => State::Live,
    }
}

/// State of the failure domain, without the settings.
pub fn status(machine: &Machine, now: Instant) -> DomainState {
    let active = active(machine).ok();
    let mut load = view::status::Load::default();
    for job in machine.replica.table.jobs() {
        count(job, active, &mut load);
    }
    let failing = active.and_then(|active| active.journal.failing_since());
    let failing = failing.or(machine.election.read_failing_since());
    let log = match failing.map(|since| now.since(since)) {
        None => view::status::LogHealth::Up,
        Some(failing_for) if failing_for < SLOW_LOG_LIMIT => view::status::LogHealth::Slow,
        Some(_) => view::status::LogHealth::Down,
    };
    let workers = active.map(count_workers).unwrap_or_default();
    DomainState {
        owner: machine.owner().map(|owner| owner.name.clone()),
        epoch: machine.replica.epoch(),
        load,
        log,
        workers,
    }
}

/// Duration of failing log calls up to which the log counts as slow instead of down.
const SLOW_LOG_LIMIT: std::time::Duration = std::time::Duration::from_secs(2);

/// State of a failure domain, as this instance sees it.
#[derive(Clone, Debug)]
pub struct DomainState {
    /// Name of the owner.
    pub owner: Option<String>,
    /// Its epoch.
    pub epoch: crate::domain::Epoch,
    /// Number of jobs and tasks by state.
    pub load: view::status::Load,
    /// Health of the log.
    pub log: view::status::LogHealth,
    /// Number of workers by state.
    pub workers: view::worker::WorkerCounts,
}

fn count(job: &Job, active: Option<&Active>, load: &mut view::status::Load) {
    if state(job, active) == view::job::State::Waiting {
        load.waiting_jobs += 1;
    }
    for task in &job.tasks {
        match task.state {
            AttemptState::Pending => load.pending_tasks += 1,
            AttemptState::Placed { .. } => load.running_tasks += 1,
            AttemptState::Unresolved { .. } => load.uncertain_tasks += 1,
            AttemptState::Done(_) => {}
        }
    }
}

fn count_workers(active: &Active) -> view::worker::WorkerCounts {
    let mut count = view::worker::WorkerCounts::default();
    for (name, session) in &active.sessions {
        match worker_state(active, name, session) {
            view::worker::State::Unreachable => count.unreachable += 1,
            view::worker::State::Unfenced => count.unfenced += 1,
            view::worker::State::Draining => count.draining += 1,
            _ => count.live += 1,
        }
    }
    count
}
