//! A backend in memory that keeps jobs, one alert and the configuration's version.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{pending, ready};
use oriolefork::api::view::{self, alert, job as jobs, preset, quota, status, worker as workers};
use oriolefork::api::{Backend, BackendFuture, CallContext, Reason, Refusal};
use oriolefork::clock::Unix;
use oriolefork::domain::Epoch;
use oriolefork::resource::Amount;
use oriolefork::{job, worker};

/// The backend.
pub struct Memory {
    pub instance: String,
    pub domain: String,
    pub jobs: RefCell<BTreeMap<job::Id, jobs::Job>>,
    pub version: Cell<u64>,
    /// Answers nothing when set, as a backend does whose owner is away.
    pub hangs: Cell<bool>,
    pub submissions: Cell<u32>,
}

impl Memory {
    pub fn new(domain: &str, instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            domain: domain.to_owned(),
            jobs: RefCell::default(),
            version: Cell::new(7),
            hangs: Cell::new(false),
            submissions: Cell::new(0),
        }
    }

    fn answer<T: 'static>(&self, result: Result<T, Refusal>) -> BackendFuture<'_, T> {
        if self.hangs.get() { pending().boxed_local() } else { ready(result).boxed_local() }
    }

    fn find(&self, id: job::Id) -> Result<jobs::Job, Refusal> {
        let missing = || Refusal::not_run(Reason::NotFound, "no job has this id");
        self.jobs.borrow().get(&id).cloned().ok_or_else(missing)
    }

    fn in_force(&self) -> preset::ActivePreset {
        preset::ActivePreset {
            preset: "ordinary".to_owned(),
            version: self.version.get(),
            by: "ana".to_owned(),
            at: Unix::from_millis(1_000),
        }
    }

    fn raise(&self, based_on: u64) -> Result<(), Refusal> {
        let version = self.version.get();
        if based_on != version {
            let message = format!("the configuration is at version {version} by now");
            return Err(Refusal::not_run(Reason::StaleVersion, message));
        }
        self.version.set(version + 1);
        Ok(())
    }

    fn accept(&self, submission: view::job::Submission) -> Result<jobs::Accepted, Refusal> {
        self.submissions.set(self.submissions.get() + 1);
        let id = submission.id();
        let durability = jobs::Durability::Log;
        if self.jobs.borrow().contains_key(&id) {
            return Ok(jobs::Accepted { job: id, durability, duplicate: true });
        }
        self.jobs.borrow_mut().insert(id, accepted(submission));
        Ok(jobs::Accepted { job: id, durability, duplicate: false })
    }
}

/// A job as it is right after its submission.
fn accepted(submission: jobs::Submission) -> jobs::Job {
    let task = |index| jobs::Task {
        index,
        attempt: 0,
        state: jobs::Phase::Pending,
        worker: None,
        started: None,
        ended: None,
        reason: Some("no worker has room".to_owned()),
    };
    jobs::Job {
        summary: jobs::Summary {
            id: submission.id(),
            name: submission.spec.name,
            team: submission.spec.team,
            kind: submission.spec.kind,
            urgency: submission.spec.urgency,
            state: jobs::State::Waiting,
            tasks: submission.spec.tasks,
            submitted: Unix::from_millis(5),
            deadline: submission.spec.deadline,
        },
        key: submission.key,
        demand: submission.spec.demand,
        effect: submission.spec.effect,
        durability: jobs::Durability::Log,
        tasks: (0..submission.spec.tasks).map(task).collect(),
    }
}

fn worker_named(name: worker::Name, state: workers::State) -> workers::Worker {
    let capacity = Amount { cpu_millis: 64_000, memory_mib: 131_072, accelerators: 0 };
    workers::Worker {
        name,
        rack: "r1".to_owned(),
        state,
        capacity,
        reserved: Amount::ZERO,
        tasks: 0,
    }
}

impl Backend for Memory {
    fn identity(&self) -> view::Identity {
        view::Identity {
            instance: self.instance.clone(),
            run: 1,
            domain: self.domain.as_str().into(),
        }
    }

    fn readiness(&self) -> view::Readiness {
        view::Readiness { ready: true, reasons: Vec::new() }
    }

    fn submit(
        &self,
        _: CallContext,
        submission: jobs::Submission,
    ) -> BackendFuture<'_, jobs::Accepted> {
        let result = self.accept(submission);
        self.answer(result)
    }

    fn cancel(&self, _: CallContext, id: job::Id) -> BackendFuture<'_, jobs::Job> {
        if let Some(job) = self.jobs.borrow_mut().get_mut(&id) {
            job.summary.state = jobs::State::Cancelled;
        }
        self.answer(self.find(id))
    }

    fn job(&self, _: CallContext, id: job::Id) -> BackendFuture<'_, jobs::Job> {
        self.answer(self.find(id))
    }

    fn jobs(
        &self,
        _: CallContext,
        filter: jobs::Filter,
        page: view::PageRequest<job::Id>,
    ) -> BackendFuture<'_, view::Page<jobs::Summary, job::Id>> {
        let jobs = self.jobs.borrow();
        let team = |job: &&jobs::Job| filter.team.as_ref().is_none_or(|t| *t == job.summary.team);
        let past = |job: &&jobs::Job| page.after.is_none_or(|after| job.summary.id > after);
        let mut items: Vec<jobs::Summary> =
            jobs.values().filter(team).filter(past).map(|job| job.summary.clone()).collect();
        let more = items.len() > page.limit;
        items.truncate(page.limit);
        let next = if more { items.last().map(|last| last.id) } else { None };
        self.answer(Ok(view::Page { items, next }))
    }

    fn explain(&self, _: CallContext, id: job::Id) -> BackendFuture<'_, jobs::Explanation> {
        let explanation = self.find(id).map(|job| jobs::Explanation {
            job: id,
            state: job.summary.state,
            reason: "no worker has room".to_owned(),
            advice: Some("wait, or add a worker".to_owned()),
            waited: Duration::from_secs(3),
        });
        self.answer(explanation)
    }

    fn alerts(
        &self,
        _: CallContext,
        _: bool,
        _: view::PageRequest<String>,
    ) -> BackendFuture<'_, view::Page<alert::Alert, String>> {
        let alert = alert::Alert {
            id: "a1".to_owned(),
            kind: alert::Kind::Late,
            domain: "kurow-hall".into(),
            subject: "job".to_owned(),
            message: "late\u{1b}[2J\nforged".to_owned(),
            raised: Unix::from_millis(9),
            count: 2,
            ended: None,
            acknowledged: None,
        };
        self.answer(Ok(view::Page { items: vec![alert], next: None }))
    }

    fn acknowledge(&self, call: CallContext, id: String) -> BackendFuture<'_, alert::Alert> {
        let by = call.by.unwrap_or_default();
        let word = alert::Acknowledgement { by, at: Unix::from_millis(10) };
        self.answer(Ok(alert::Alert {
            id,
            kind: alert::Kind::Late,
            domain: "kurow-hall".into(),
            subject: "job".to_owned(),
            message: "late".to_owned(),
            raised: Unix::from_millis(9),
            count: 2,
            ended: None,
            acknowledged: Some(word),
        }))
    }

    fn presets(&self, _: CallContext) -> BackendFuture<'_, preset::PresetList> {
        let preset = |name: &str, reserve: &str| preset::Preset {
            name: name.to_owned(),
            about: format!("for {name} days"),
            fields: vec![preset::Field { name: "reserve".to_owned(), value: reserve.to_owned() }],
        };
        let presets = vec![preset("ordinary", "5 %"), preset("peak", "0 %")];
        let version = self.version.get();
        self.answer(Ok(preset::PresetList { current: self.in_force(), version, presets }))
    }

    fn set_preset(
        &self,
        call: CallContext,
        change: preset::Change,
    ) -> BackendFuture<'_, preset::ActivePreset> {
        let result = self.raise(change.based_on).map(|()| preset::ActivePreset {
            preset: change.preset,
            by: call.by.unwrap_or_default(),
            ..self.in_force()
        });
        self.answer(result)
    }

    fn preset_history(
        &self,
        _: CallContext,
        _: view::PageRequest<u64>,
    ) -> BackendFuture<'_, view::Page<preset::ActivePreset, u64>> {
        self.answer(Ok(view::Page { items: vec![self.in_force()], next: None }))
    }

    fn quotas(&self, _: CallContext) -> BackendFuture<'_, quota::Table> {
        self.answer(Ok(quota::Table { version: self.version.get(), teams: Vec::new() }))
    }

    fn set_quota(&self, _: CallContext, change: quota::Change) -> BackendFuture<'_, quota::Table> {
        let teams = change.limit.map(|limit| quota::Quota { team: change.team, limit });
        let table = self.raise(change.based_on).map(|()| quota::Table {
            version: self.version.get(),
            teams: teams.into_iter().collect(),
        });
        self.answer(table)
    }

    fn workers(&self, _: CallContext) -> BackendFuture<'_, Vec<workers::Worker>> {
        self.answer(Ok(vec![worker_named("w1".into(), workers::State::Live)]))
    }

    fn apply_worker_action(
        &self,
        _: CallContext,
        name: worker::Name,
        order: workers::Action,
    ) -> BackendFuture<'_, workers::Worker> {
        let state = match order {
            workers::Action::Drain => workers::State::Draining,
            workers::Action::Undrain => workers::State::Live,
            workers::Action::Lost => workers::State::Lost,
        };
        self.answer(Ok(worker_named(name, state)))
    }

    fn status(&self, _: CallContext) -> BackendFuture<'_, status::Status> {
        let domain = status::Domain {
            name: self.domain.as_str().into(),
            owner: Some(self.instance.clone()),
            epoch: Epoch::FIRST,
            preset: self.in_force(),
            heard: Duration::ZERO,
            staleness: Duration::ZERO,
            workers: workers::WorkerCounts { live: 50, ..workers::WorkerCounts::default() },
            load: status::Load::default(),
            log: status::LogHealth::Up,
            open_alerts: 1,
        };
        let preset = self.in_force();
        self.answer(Ok(status::Status { instance: self.identity(), preset, domains: vec![domain] }))
    }

    fn dump(&self, _: CallContext) -> BackendFuture<'_, serde_json::Value> {
        self.answer(Ok(serde_json::json!({"instance": self.instance})))
    }

    fn set_log_level(&self, _: CallContext, _: log::LevelFilter) -> BackendFuture<'_, ()> {
        self.answer(Ok(()))
    }
}
