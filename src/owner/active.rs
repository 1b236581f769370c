//! State that only the owner has, beyond the replicated state: workers, decisions in progress, and
//! waiting callers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::alert::Board;
use crate::clock::{Instant, Unix};
use crate::domain::{Epoch, Instance};
use crate::job::{Kind, Spec, Urgency};
use crate::membership::{Member, Role, State};
use crate::owner::journal::{AppendRequest, Journal, Tag};
use crate::owner::machine::{Answer, Refusal};
use crate::owner::record::{AttemptState, Conclusion, Entry};
use crate::owner::session::Session;
use crate::owner::table::{Job, Table};
use crate::owner::{Ticket, Timings};
use crate::placement::{Engine, Policy, Request, RunningTask, SchedulingState};
use crate::resource::Amount;
use crate::{config, domain, job, task, worker};

/// State of an owner.
#[derive(Debug)]
pub struct Active {
    /// Epoch in which it owns the domain.
    pub epoch: Epoch,
    /// Whether the claim of this epoch is in the log. Until then nothing is placed; the owner only
    /// renews the leases of running tasks.
    pub claim_logged: bool,
    /// Whether changes stored for an earlier owner are still to be written to the log.
    pub recovering: bool,
    /// Whether an earlier owner may have started tasks whose placement is not in the log. Tasks
    /// that were pending before this epoch are then placed only once every worker has sent a full
    /// report.
    pub awaiting_reports: bool,
    /// Instances that store batches while the log is unreachable, by peer address.
    pub(super) enrolled: BTreeMap<SocketAddr, Instance>,
    /// Enrolled instances that have confirmed a copy of the batch in flight.
    pub(super) stored_by: BTreeSet<Instance>,
    /// Batches that took effect without the log, in order.
    pub(super) unlogged: VecDeque<AppendRequest>,
    /// Attempts whose placement took effect without the log; they start only once it is in the log.
    pub(super) deferred_starts: BTreeSet<task::Id>,
    /// Callers whose changes took effect without the log, by the sequence number of the batch; they
    /// are answered once it is in the log.
    pub(super) deferred_replies: BTreeMap<u64, Vec<Ticket>>,
    pub(super) next_copy_at: Instant,
    pub(super) next_append_at: Instant,
    /// Changes to be written to the log.
    pub journal: Journal,
    /// Alerts, including those not yet in the log.
    pub board: Board,
    /// Placement engine.
    pub engine: Engine,
    /// Workers by name.
    pub sessions: BTreeMap<worker::Name, Session>,
    /// Failure domain that it owns.
    domain: domain::Name,
    /// Operators' settings in force.
    settings: Rc<config::Value>,
    /// Calls that wait for the log.
    pub(super) calls: BTreeMap<Ticket, PendingCall>,
    /// Jobs whose acceptance is not in the log yet, with the further callers that submitted the
    /// same job.
    pub(super) accepting: BTreeMap<job::Id, Vec<Ticket>>,
    /// Attempts whose end is not in the log yet.
    pub(super) concluding: BTreeSet<task::Id>,
    /// Attempts whose placement is not in the log yet.
    pub(super) placing: BTreeSet<task::Id>,
    /// Attempts for which the engine reserves resources, with their worker.
    pub(super) reserved: BTreeMap<task::Id, worker::Name>,
    /// Attempts that wait before they are placed again, by the time at which they are due.
    pub(super) retry_queue: BTreeSet<(Instant, task::Id)>,
    /// Callers that were answered before their change was in the log.
    pub(super) answered_early: BTreeSet<Ticket>,
    /// Earlier owners whose end this owner has submitted to the log.
    pub(super) retired: Vec<Instance>,
    /// Time of the latest evidence that an earlier owner is gone, or of the claim. Once all are
    /// gone, no earlier owner can have renewed a lease after it.
    pub(super) sole_owner_since: Instant,
    /// When this owner took over the domain.
    pub(super) owner_since: Instant,
    /// When each other instance last answered a heartbeat, by name.
    pub(super) last_acks: BTreeMap<String, Instant>,
    pub(super) next_heartbeat_at: Instant,
    pub(super) next_sweep_at: Instant,
    pub(super) next_resync_at: Instant,
    /// Attempts that the log places on workers but that were missing from their reports at the last
    /// check.
    pub(super) unreported: BTreeSet<task::Id>,
    pub(super) next_job_check_at: Instant,
}

/// A call that waits for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingCall {
    Submit(job::Id),
    Cancel,
    Acknowledge,
    GiveUp,
}

impl Active {
    /// Creates the state of an owner that has just claimed `epoch`.
    pub fn new(
        epoch: Epoch,
        domain: domain::Name,
        timings: &Timings,
        policy: Policy,
        board: Board,
        now: Instant,
    ) -> Self {
        Self {
            epoch,
            claim_logged: true,
            recovering: false,
            awaiting_reports: false,
            enrolled: BTreeMap::new(),
            stored_by: BTreeSet::new(),
            unlogged: VecDeque::new(),
            deferred_starts: BTreeSet::new(),
            deferred_replies: BTreeMap::new(),
            next_copy_at: now,
            next_append_at: now,
            journal: Journal::new(epoch, timings.commit_delay),
            board,
            engine: Engine::new(policy),
            sessions: BTreeMap::new(),
            domain,
            settings: Rc::default(),
            calls: BTreeMap::new(),
            accepting: BTreeMap::new(),
            concluding: BTreeSet::new(),
            placing: BTreeSet::new(),
            reserved: BTreeMap::new(),
            retry_queue: BTreeSet::new(),
            answered_early: BTreeSet::new(),
            retired: Vec::new(),
            sole_owner_since: now,
            owner_since: now,
            last_acks: BTreeMap::new(),
            next_heartbeat_at: now,
            next_sweep_at: now,
            next_resync_at: now,
            unreported: BTreeSet::new(),
            next_job_check_at: now,
        }
    }

    /// Applies the operators' settings: quotas of teams, and workers that take no new tasks.
    pub fn set_settings(&mut self, settings: &Rc<config::Value>) {
        for team in self.settings.quotas.keys() {
            self.engine.set_quota(team, None);
        }
        for (team, limit) in &settings.quotas {
            self.engine.set_quota(team, Some(*limit));
        }
        self.settings = settings.clone();
        self.sync_workers();
    }

    /// Whether operators have drained the worker.
    pub fn is_drained(&self, name: &worker::Name, session: &Session) -> bool {
        self.settings.is_drained(&self.domain, name, &session.rack)
    }

    /// Applies the workers of the instance list.
    ///
    /// A worker that is missing from the list keeps its session while tasks may run there. The list
    /// lags and may be wrong, so only a report of the worker or its expired lease releases them.
    pub fn set_members(&mut self, members: &[Member]) {
        for member in members {
            let Role::Worker { rack } = &member.role else { continue };
            let name = worker::Name::from(member.name.as_str());
            let session =
                self.sessions.entry(name).or_insert_with(|| Session::new(member.address, rack));
            session.address = member.address;
            session.leaving = member.state == State::Leaving;
        }
        let listed: BTreeSet<&str> = members
            .iter()
            .filter(|member| matches!(member.role, Role::Worker { .. }))
            .map(|member| member.name.as_str())
            .collect();
        for (name, session) in &mut self.sessions {
            session.leaving |= !listed.contains(name.as_str());
        }
        self.sync_workers();
    }

    /// Loads the jobs of the table. Pending tasks are queued; tasks on workers keep their resources
    /// reserved until the worker reports.
    pub fn load(&mut self, table: &Table, now: Instant, unix: Unix) {
        for job in table.jobs() {
            self.load_job(job, now, unix);
        }
    }

    fn load_job(&mut self, job: &Job, now: Instant, unix: Unix) {
        let mut waiting = Vec::new();
        for (index, task) in job.tasks.iter().enumerate() {
            let id = job.task_id(index);
            match (&task.state, task.worker()) {
                (AttemptState::Pending, _) => waiting.push(id),
                (_, Some(worker)) => self.adopt(id, worker, job, now),
                _ => {}
            }
        }
        if !self.awaiting_reports {
            let waited = unix.since(job.accepted);
            self.enqueue(job, waiting, now, waited);
        }
    }

    pub(super) fn adopt(&mut self, id: task::Id, worker: &worker::Name, job: &Job, now: Instant) {
        self.engine.adopt(id, worker, &running_task(&job.spec, now));
        self.reserved.insert(id, worker.clone());
    }

    /// Queues tasks of a job that have already waited for `waited`.
    pub(super) fn enqueue(
        &mut self,
        job: &Job,
        tasks: Vec<task::Id>,
        now: Instant,
        waited: Duration,
    ) {
        if tasks.is_empty() {
            return;
        }
        let queued =
            Instant::from_millis(now.as_millis().saturating_sub(crate::clock::millis(waited)));
        self.engine.enqueue(Request {
            job: job.id,
            team: job.spec.team.clone(),
            name: job.spec.name.clone(),
            kind: job.spec.kind,
            urgency: job.spec.urgency,
            deadline: job.spec.deadline,
            run_time: job.spec.run_time,
            demand: job.spec.demand,
            tasks,
            queued,
        });
    }

    /// Records the end of an attempt, once.
    pub(super) fn conclude(&mut self, task: task::Id, end: task::End, now: Instant, at: Unix) {
        if !self.concluding.insert(task) {
            return;
        }
        self.journal.push(Entry::Ended(Conclusion { task, end, at }), None);
        self.engine.finish(task, end, now);
        self.release(task);
    }

    /// Releases the resources reserved for an attempt that certainly uses none any more.
    pub(super) fn release(&mut self, task: task::Id) {
        if self.reserved.remove(&task).is_some() {
            self.engine.release(task);
        }
    }

    fn sync_workers(&mut self) {
        let names: Vec<_> = self.sessions.keys().cloned().collect();
        for name in names {
            self.sync_worker(&name);
        }
    }

    /// Updates the engine with a worker's resources and availability.
    pub(super) fn sync_worker(&mut self, name: &worker::Name) {
        let Some(session) = self.sessions.get(name) else { return };
        let is_drained = self.is_drained(name, session);
        let availability = match (session.is_open(), session.leaving || is_drained) {
            (true, false) => SchedulingState::Open,
            (_, true) => SchedulingState::Draining,
            (false, false) => SchedulingState::Closed,
        };
        self.engine.upsert_worker(name, &session.rack, session.capacity, availability);
    }

    /// Records, once, that an earlier owner has ended its ownership.
    pub(super) fn retire(&mut self, former: &Instance) {
        if !self.retired.contains(former) {
            self.retired.push(former.clone());
            self.journal.push(Entry::Retired(former.clone()), None);
        }
    }

    /// Whether this owner makes decisions: its claim, and all batches stored for earlier owners,
    /// are in the log.
    pub fn is_established(&self) -> bool {
        self.claim_logged && !self.recovering
    }

    /// Queues the pending tasks that were held back, once every worker has sent a full report or
    /// certainly runs nothing.
    pub(super) fn finish_awaiting_reports(&mut self, table: &Table, now: Instant, unix: Unix) {
        let all_reported =
            !self.sessions.is_empty() && self.sessions.values().all(Session::has_reported);
        if !self.awaiting_reports || !all_reported {
            return;
        }
        self.awaiting_reports = false;
        for job in table.jobs() {
            let waiting: Vec<task::Id> = job
                .pending()
                .filter(|id| !self.placing.contains(id) && !self.reserved.contains_key(id))
                .collect();
            self.enqueue(job, waiting, now, unix.since(job.accepted));
        }
    }

    /// Handles a failed append of a batch that has already taken effect.
    pub(super) fn on_append_failed(&mut self, tag: Tag, now: Instant) {
        if self.unlogged.front().is_some_and(|request| request.tag == tag) {
            self.journal.mark_log_unavailable(now);
        }
    }

    /// Whether the capacity of every listed worker is known.
    pub(super) fn has_all_capacities(&self) -> bool {
        self.sessions.values().all(|session| !session.capacity.is_zero())
    }

    /// Ends ownership and returns the answers to all waiting callers.
    pub fn abandon(&mut self, owner: Option<&Instance>) -> Vec<(Ticket, Answer)> {
        let abandoned = self.journal.abandon();
        let refusal = Answer::Refused(Refusal::NotOwner(owner.cloned()));
        let mut answers = Vec::new();
        for ticket in abandoned.unsent {
            answers.extend(
                self.take_callers(ticket).into_iter().map(|ticket| (ticket, refusal.clone())),
            );
        }
        let unconfirmed = std::mem::take(&mut self.deferred_replies).into_values().flatten();
        for ticket in abandoned.unknown.into_iter().chain(unconfirmed) {
            answers.extend(
                self.take_callers(ticket).into_iter().map(|ticket| (ticket, Answer::Unknown)),
            );
        }
        answers
    }

    /// Removes and returns the caller `ticket` and those that submitted the same job after it,
    /// except callers that were answered early.
    pub(super) fn take_callers(&mut self, ticket: Ticket) -> Vec<Ticket> {
        let others = match self.calls.remove(&ticket) {
            Some(PendingCall::Submit(job)) => self.accepting.remove(&job).unwrap_or_default(),
            Some(PendingCall::Cancel | PendingCall::Acknowledge | PendingCall::GiveUp) | None => {
                Vec::new()
            }
        };
        let callers = std::iter::once(ticket).chain(others);
        callers.filter(|ticket| !self.answered_early.remove(ticket)).collect()
    }
}

fn running_task(spec: &Spec, started: Instant) -> RunningTask {
    RunningTask {
        demand: spec.demand,
        team: spec.team.clone(),
        name: spec.name.clone(),
        kind: spec.kind,
        urgency: spec.urgency,
        started,
        run_time: spec.run_time,
        deadline: spec.deadline,
    }
}

/// Resources held by an attempt that is not in the table.
pub(super) fn stray_task(demand: Amount, started: Instant) -> RunningTask {
    RunningTask {
        demand,
        team: String::new(),
        name: String::new(),
        kind: Kind::LongRunning,
        urgency: Urgency::Normal,
        started,
        run_time: None,
        deadline: None,
    }
}
