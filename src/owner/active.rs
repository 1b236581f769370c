//! What an owner holds beyond the state that every instance reads: workers, decisions under way,
//! callers who wait.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::alert::Board;
use crate::clock::{Instant, Unix};
use crate::domain::{Epoch, Instance};
use crate::job::{Kind, Spec, Urgency};
use crate::membership::{Member, Role, State};
use crate::owner::journal::{Journal, Parcel, Tag};
use crate::owner::machine::{Answer, Refusal};
use crate::owner::record::{Conclusion, Entry, Position};
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
    /// Whether the claim of this epoch is in the log. Without it nothing is placed: the owner only
    /// renews the leases of what runs.
    pub logged: bool,
    /// Whether changes kept for an earlier owner are still on their way to the log.
    pub recovering: bool,
    /// Whether an earlier owner may have started what the log does not say. What waited before this
    /// epoch is then placed only once every worker has told all it runs.
    pub cautious: bool,
    /// Instances that keep batches while the log is away, by peer address.
    pub(super) enrolled: BTreeMap<SocketAddr, Instance>,
    /// Those of them that keep the batch under way.
    pub(super) keepers: BTreeSet<Instance>,
    /// Batches that took effect without the log, in order.
    pub(super) unlogged: VecDeque<Parcel>,
    /// Placements that took effect without the log and may start only once they are in it.
    pub(super) deferred: BTreeSet<task::Id>,
    /// Callers whose changes took effect without the log and are answered once they are in it.
    pub(super) owed: BTreeMap<u64, Vec<Ticket>>,
    pub(super) hold_at: Instant,
    pub(super) append_at: Instant,
    /// Changes on their way to the log.
    pub journal: Journal,
    /// Alerts, with those on their way to the log.
    pub board: Board,
    /// Placement of tasks.
    pub engine: Engine,
    /// Workers by name.
    pub sessions: BTreeMap<worker::Name, Session>,
    /// Failure domain that it owns.
    domain: domain::Name,
    /// Settings of operators in force.
    settings: Rc<config::Value>,
    /// Kind of each call under way.
    pub(super) calls: BTreeMap<Ticket, Pending>,
    /// Jobs on their way into the table, with the callers beyond the first.
    pub(super) accepting: BTreeMap<job::Id, Vec<Ticket>>,
    /// Tries whose end is on its way to the log.
    pub(super) concluding: BTreeSet<task::Id>,
    /// Tries whose placement is on its way to the log.
    pub(super) placing: BTreeSet<task::Id>,
    /// Tries that the engine holds resources for, by worker.
    pub(super) held: BTreeMap<task::Id, worker::Name>,
    /// Tries that wait for the end of a pause before they are placed again.
    pub(super) resting: BTreeSet<(Instant, task::Id)>,
    /// Callers that were answered before their change was settled.
    pub(super) muted: BTreeSet<Ticket>,
    /// Earlier owners whose end is on its way to the log.
    pub(super) retiring: Vec<Instance>,
    /// Since when no earlier owner can have renewed a lease, if nothing else stands against it.
    pub(super) alone_since: Instant,
    /// When it claimed the domain.
    pub(super) began: Instant,
    /// When each other instance last answered a heartbeat, by name.
    pub(super) heard_by: BTreeMap<String, Instant>,
    pub(super) beat_at: Instant,
    pub(super) sweep_at: Instant,
    pub(super) account_at: Instant,
    /// Tries that the log places on workers which did not name them at the last look.
    pub(super) unaccounted: BTreeSet<task::Id>,
    pub(super) jobs_at: Instant,
}

/// A call that waits for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pending {
    Submit(job::Id),
    Cancel,
    Acknowledge,
    GiveUp,
}

impl Active {
    /// State of an owner that has just claimed `epoch`.
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
            logged: true,
            recovering: false,
            cautious: false,
            enrolled: BTreeMap::new(),
            keepers: BTreeSet::new(),
            unlogged: VecDeque::new(),
            deferred: BTreeSet::new(),
            owed: BTreeMap::new(),
            hold_at: now,
            append_at: now,
            journal: Journal::new(epoch, timings.commit),
            board,
            engine: Engine::new(policy),
            sessions: BTreeMap::new(),
            domain,
            settings: Rc::default(),
            calls: BTreeMap::new(),
            accepting: BTreeMap::new(),
            concluding: BTreeSet::new(),
            placing: BTreeSet::new(),
            held: BTreeMap::new(),
            resting: BTreeSet::new(),
            muted: BTreeSet::new(),
            retiring: Vec::new(),
            alone_since: now,
            began: now,
            heard_by: BTreeMap::new(),
            beat_at: now,
            sweep_at: now,
            account_at: now,
            unaccounted: BTreeSet::new(),
            jobs_at: now,
        }
    }

    /// Takes in the settings in force: quotas of teams, and which workers take no new tasks.
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

    /// Whether operators want no new tasks on a worker.
    pub fn is_drained(&self, name: &worker::Name, session: &Session) -> bool {
        self.settings.is_drained(&self.domain, name, &session.rack)
    }

    /// Takes in the workers that the list names.
    ///
    /// A worker that vanished from the list keeps its session while tasks may run there: the list
    /// lags and may be wrong, so only the worker's own word or its lapsed lease frees them.
    pub fn set_members(&mut self, members: &[Member]) {
        for member in members {
            let Role::Worker { rack } = &member.role else { continue };
            let name = worker::Name::from(member.name.as_str());
            let session =
                self.sessions.entry(name).or_insert_with(|| Session::new(member.address, rack));
            session.peer = member.address;
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

    /// Takes over the jobs of the table: waiting tasks are queued, and those on workers keep their
    /// room reserved there until the worker has spoken.
    pub fn load(&mut self, table: &Table, now: Instant, unix: Unix) {
        for job in table.jobs() {
            self.load_job(job, now, unix);
        }
    }

    fn load_job(&mut self, job: &Job, now: Instant, unix: Unix) {
        let mut waiting = Vec::new();
        for (index, task) in job.tasks.iter().enumerate() {
            let id = job.task_id(index);
            match (&task.position, task.worker()) {
                (Position::Pending, _) => waiting.push(id),
                (_, Some(worker)) => self.adopt(id, worker, job, now),
                _ => {}
            }
        }
        if !self.cautious {
            let waited = unix.since(job.accepted);
            self.enqueue(job, waiting, now, waited);
        }
    }

    pub(super) fn adopt(&mut self, id: task::Id, worker: &worker::Name, job: &Job, now: Instant) {
        self.engine.adopt(id, worker, &running_task(&job.spec, now));
        self.held.insert(id, worker.clone());
    }

    /// Queues tasks of a job that have waited for `waited` already.
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

    /// Records that a try has ended, once.
    pub(super) fn conclude(&mut self, task: task::Id, end: task::End, now: Instant, at: Unix) {
        if !self.concluding.insert(task) {
            return;
        }
        self.journal.push(Entry::Ended(Conclusion { task, end, at }), None);
        self.engine.finish(task, end, now);
        self.release(task);
    }

    /// Frees what the engine reserved for a try that surely holds nothing any more.
    pub(super) fn release(&mut self, task: task::Id) {
        if self.held.remove(&task).is_some() {
            self.engine.release(task);
        }
    }

    fn sync_workers(&mut self) {
        let names: Vec<_> = self.sessions.keys().cloned().collect();
        for name in names {
            self.sync_worker(&name);
        }
    }

    /// Tells the engine how a worker stands.
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
        if !self.retiring.contains(former) {
            self.retiring.push(former.clone());
            self.journal.push(Entry::Retired(former.clone()), None);
        }
    }

    /// Whether this owner decides and draws conclusions: its claim and all that was kept for
    /// earlier owners are in the log.
    pub fn is_settled(&self) -> bool {
        self.logged && !self.recovering
    }

    /// Ends caution once every worker has told what it runs, or holds nothing for certain.
    pub(super) fn end_caution(&mut self, table: &Table, now: Instant, unix: Unix) {
        let told = !self.sessions.is_empty() && self.sessions.values().all(Session::is_told);
        if !self.cautious || !told {
            return;
        }
        self.cautious = false;
        for job in table.jobs() {
            let waiting: Vec<task::Id> = job
                .pending()
                .filter(|id| !self.placing.contains(id) && !self.held.contains_key(id))
                .collect();
            self.enqueue(job, waiting, now, unix.since(job.accepted));
        }
    }

    /// Takes in that an append failed whose batch has taken effect already.
    pub(super) fn append_failed(&mut self, tag: Tag, now: Instant) {
        if self.unlogged.front().is_some_and(|parcel| parcel.tag == tag) {
            self.journal.failing(now);
        }
    }

    /// Whether every worker that the list names has told what it has.
    pub(super) fn knows_all_workers(&self) -> bool {
        self.sessions.values().all(|session| !session.capacity.is_zero())
    }

    /// Ends ownership and returns the answers to those who wait.
    pub fn abandon(&mut self, owner: Option<&Instance>) -> Vec<(Ticket, Answer)> {
        let abandoned = self.journal.abandon();
        let refusal = Answer::Refused(Refusal::NotOwner(owner.cloned()));
        let mut answers = Vec::new();
        for ticket in abandoned.unsent {
            answers
                .extend(self.followers(ticket).into_iter().map(|ticket| (ticket, refusal.clone())));
        }
        let owed = std::mem::take(&mut self.owed).into_values().flatten();
        for ticket in abandoned.unknown.into_iter().chain(owed) {
            answers
                .extend(self.followers(ticket).into_iter().map(|ticket| (ticket, Answer::Unknown)));
        }
        answers
    }

    /// The caller `ticket` and those who asked for the same job after it.
    pub(super) fn followers(&mut self, ticket: Ticket) -> Vec<Ticket> {
        let others = match self.calls.remove(&ticket) {
            Some(Pending::Submit(job)) => self.accepting.remove(&job).unwrap_or_default(),
            Some(Pending::Cancel | Pending::Acknowledge | Pending::GiveUp) | None => Vec::new(),
        };
        let everyone = std::iter::once(ticket).chain(others);
        everyone.filter(|ticket| !self.muted.remove(ticket)).collect()
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

/// What a try of unknown origin holds.
pub(super) fn stray(demand: Amount, started: Instant) -> RunningTask {
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
