//! What an entry instance does for callers and operators.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;

use crate::api::{self, Backend, Call, Reason, Refusal, view};
use crate::clock::Clock;
use crate::domain::Instance;
use crate::entry::controller::Handle;
use crate::entry::forward::{self, Ask, Envelope, Reply, Tell};
use crate::entry::views;
use crate::owner::machine::{self, Answer};
use crate::{alert, domain, job, peer, worker};

/// Pause that a refused caller is asked to make while the domain changes owners.
const OWNER_PAUSE: Duration = Duration::from_secs(1);
/// Pause that a refused caller is asked to make while the log is away or too much waits for it.
const LOG_PAUSE: Duration = Duration::from_secs(5);

/// Answers calls from the state machine of this instance, or passes them to the owner.
pub struct Entry {
    /// This process.
    pub me: Instance,
    /// Its failure domain.
    pub domain: domain::Name,
    /// The state machine's task.
    pub handle: Handle,
    /// Other instances.
    pub peers: Rc<peer::Client>,
    /// Time.
    pub clock: Rc<dyn Clock>,
}

impl Entry {
    /// Answers a call here when this instance owns the domain, and otherwise at the owner.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or one that says that the owner cannot be reached.
    pub async fn ask(&self, call: Call, ask: Ask) -> Reply {
        self.route(Envelope { hops: forward::MAX_HOPS, call, ask }).await
    }

    /// Answers a call that another instance has passed on.
    ///
    /// # Errors
    ///
    /// As for [`Self::ask`].
    pub async fn route(&self, envelope: Envelope) -> Reply {
        let place = self
            .handle
            .inspect(|machine, _, _| (machine.is_owner(), machine.owner().cloned()))
            .await;
        match place {
            Some((true, _)) => self.answer(envelope.call, envelope.ask).await,
            Some((false, Some(owner))) if owner != self.me && envelope.hops > 0 => {
                self.pass_on(&owner, envelope).await
            }
            Some(_) => Err(views::no_owner()),
            None => Err(Refusal::not_run(Reason::ShuttingDown, "the instance is stopping")),
        }
    }

    async fn pass_on(&self, owner: &Instance, mut envelope: Envelope) -> Reply {
        envelope.hops -= 1;
        envelope.call.within = forward::within(envelope.call.within);
        let within = envelope.call.within;
        let change = envelope.ask.is_change();
        let result: Result<Reply, _> =
            self.peers.call(owner.peer, forward::CALL, &envelope, within).await;
        result.unwrap_or_else(|error| Err(lost_call(owner, change, &error)))
    }

    async fn answer(&self, call: Call, ask: Ask) -> Reply {
        match ask {
            Ask::Submit(submission) => self.submit_here(call, submission).await,
            Ask::Cancel(job) => self.cancel_here(call, job).await,
            Ask::Job(id) => self
                .look(move |machine, _, _| views::job(machine, id))
                .await
                .map(|job| Tell::Job(Box::new(job))),
            Ask::Jobs(filter, cut) => self
                .look(move |machine, _, _| Ok(views::jobs(machine, &filter, &cut)))
                .await
                .map(Tell::Jobs),
            Ask::Explain(id) => self
                .look(move |machine, _, unix| views::explain(machine, id, unix))
                .await
                .map(Tell::Explanation),
            Ask::Workers => self
                .look(|machine, _, _| views::active(machine).map(views::workers))
                .await
                .map(Tell::Workers),
            Ask::GiveUp(name) => self.give_up_here(call, name).await,
            Ask::Alerts(all, cut) => self
                .look(move |machine, _, _| {
                    view::alert::page(&machine.domain, machine.board(), all, &cut)
                })
                .await
                .map(Tell::Alerts),
            Ask::Acknowledge(id) => self.acknowledge_here(call, &id).await,
            Ask::Status => self.status_here().await.map(|status| Tell::Status(Box::new(status))),
        }
    }

    /// Reads from the state machine.
    async fn look<T: 'static>(
        &self,
        look: impl FnOnce(
            &machine::Machine,
            crate::clock::Instant,
            crate::clock::Unix,
        ) -> Result<T, Refusal>
        + 'static,
    ) -> Result<T, Refusal> {
        let stopping = || Refusal::not_run(Reason::ShuttingDown, "the instance is stopping");
        self.handle.inspect(look).await.ok_or_else(stopping)?
    }

    async fn submit_here(&self, call: Call, submission: view::job::Submission) -> Reply {
        let id = submission.id();
        let view::job::Submission { key, spec } = submission;
        let change = machine::Call::Submit { job: id, key, spec };
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::Accepted { duplicate } => Ok(Tell::Accepted(view::job::Accepted {
                job: id,
                durability: view::job::Durability::Log,
                duplicate,
            })),
            other => Err(refusal("job", &id.to_string(), other)),
        }
    }

    async fn cancel_here(&self, call: Call, id: job::Id) -> Reply {
        let change = machine::Call::Cancel(id);
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::Cancelled => self
                .look(move |machine, _, _| views::job(machine, id))
                .await
                .map(|job| Tell::Job(Box::new(job))),
            other => Err(refusal("job", &id.to_string(), other)),
        }
    }

    async fn show_worker(&self, name: worker::Name) -> Result<view::worker::Worker, Refusal> {
        self.look(move |machine, _, _| {
            let active = views::active(machine)?;
            let session = active.sessions.get(&name).ok_or_else(|| unknown_worker(&name))?;
            Ok(views::show_worker(&name, session))
        })
        .await
    }

    async fn give_up_here(&self, call: Call, name: worker::Name) -> Reply {
        let change = machine::Call::GiveUp(name.clone());
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::GivenUp => self.show_worker(name).await.map(Tell::Worker),
            Answer::NotFound => Err(unknown_worker(&name)),
            other => Err(refusal("worker", name.as_str(), other)),
        }
    }

    async fn acknowledge_here(&self, call: Call, text: &str) -> Reply {
        let unknown = || Refusal::not_run(Reason::NotFound, format!("no alert {text} is known"));
        let id = alert::Id::parse(text).ok_or_else(unknown)?;
        let by = call.by.unwrap_or_default();
        let change = machine::Call::Acknowledge { alert: id, by };
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::Acknowledged => {}
            Answer::NotFound => return Err(unknown()),
            other => return Err(refusal("alert", text, other)),
        }
        self.look(move |machine, _, _| {
            let alert = machine.board().get(id);
            Ok(alert.map(|alert| view::alert::Alert::of(&machine.domain, alert)))
        })
        .await?
        .map(Tell::Alert)
        .ok_or_else(unknown)
    }

    async fn status_here(&self) -> Result<view::status::Domain, Refusal> {
        let domain = self.domain.clone();
        self.look(move |machine, now, _| {
            let state = views::status(machine, now);
            Ok(view::status::Domain {
                name: domain,
                owner: state.owner,
                epoch: state.epoch,
                preset: ordinary(),
                heard: Duration::ZERO,
                staleness: Duration::ZERO,
                workers: state.workers,
                load: state.load,
                log: state.log,
                open_alerts: u64::try_from(machine.board().open_count()).unwrap_or(u64::MAX),
            })
        })
        .await
    }
}

fn ordinary() -> view::preset::InForce {
    view::preset::InForce {
        preset: "ordinary".to_owned(),
        version: 0,
        by: "default".to_owned(),
        at: crate::clock::Unix::from_millis(0),
    }
}

fn unknown_worker(name: &worker::Name) -> Refusal {
    let message = format!("no worker {} is known in this failure domain", name.as_str());
    Refusal::not_run(Reason::NotFound, message)
}

/// Refusal for a call whose way to the owner broke.
fn lost_call(owner: &Instance, change: bool, error: &peer::Error) -> Refusal {
    log::warn!("event=entry.forward_failed owner={} {error}", owner.name);
    if change && error.sent {
        let message = "the owner did not answer; ask again with the same key to learn the outcome";
        return Refusal::unknown(Reason::NoOwner, message).after(OWNER_PAUSE);
    }
    Refusal::not_run(Reason::NoOwner, "the owner cannot be reached; try again shortly")
        .after(OWNER_PAUSE)
}

fn refusal(what: &str, id: &str, answer: Answer) -> Refusal {
    let cause = match answer {
        Answer::Refused(cause) => cause,
        Answer::NotFound => {
            return Refusal::not_run(Reason::NotFound, format!("no {what} {id} is known here"));
        }
        Answer::Unknown
        | Answer::Accepted { .. }
        | Answer::Cancelled
        | Answer::Acknowledged
        | Answer::GivenUp => {
            let message = "the log did not answer in time; repeat with the same key to learn more";
            return Refusal::unknown(Reason::LogUnavailable, message).after(LOG_PAUSE);
        }
    };
    match cause {
        machine::Refusal::NotOwner(_) => views::no_owner(),
        machine::Refusal::WorkerAnswers => Refusal::not_run(
            Reason::AlreadyEnded,
            format!("worker {id} answers, so what it runs is known; drain it instead"),
        ),
        machine::Refusal::KeyReused => Refusal::not_run(
            Reason::KeyReused,
            format!("the idempotency key already stands for job {id} with other contents"),
        ),
        machine::Refusal::Impossible(reason) => {
            Refusal::not_run(Reason::Impossible, reason.to_string())
        }
        machine::Refusal::Busy => {
            Refusal::not_run(Reason::Overloaded, "too much waits for the log").after(OWNER_PAUSE)
        }
        machine::Refusal::LogAway => {
            let message = "the platform's log cannot be reached, so nothing can be recorded";
            Refusal::not_run(Reason::LogUnavailable, message).after(LOG_PAUSE)
        }
        machine::Refusal::Expired => {
            Refusal::not_run(Reason::Deadline, "time ran out before anything was recorded")
        }
    }
}

/// Answer of another kind than the question, which only a fault in the owner can bring about.
fn mismatch() -> Refusal {
    Refusal::unknown(Reason::Internal, "the owner answered another question")
}

/// Asks the owner and picks the expected kind of answer.
macro_rules! ask {
    ($self:ident, $call:ident, $ask:expr, $kind:path) => {
        async move {
            match $self.ask($call, $ask).await? {
                $kind(answer) => Ok(answer),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    };
}

impl Backend for Entry {
    fn identity(&self) -> view::Identity {
        view::Identity {
            instance: self.me.name.clone(),
            run: self.me.run,
            domain: self.domain.clone(),
        }
    }

    fn readiness(&self) -> view::Readiness {
        view::Readiness { ready: true, reasons: Vec::new() }
    }

    fn submit(
        &self,
        call: Call,
        submission: view::job::Submission,
    ) -> api::Answer<'_, view::job::Accepted> {
        ask!(self, call, Ask::Submit(submission), Tell::Accepted)
    }

    fn cancel(&self, call: Call, job: job::Id) -> api::Answer<'_, view::job::Job> {
        async move {
            match self.ask(call, Ask::Cancel(job)).await? {
                Tell::Job(job) => Ok(*job),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    }

    fn job(&self, call: Call, job: job::Id) -> api::Answer<'_, view::job::Job> {
        async move {
            match self.ask(call, Ask::Job(job)).await? {
                Tell::Job(job) => Ok(*job),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    }

    fn jobs(
        &self,
        call: Call,
        filter: view::job::Filter,
        cut: view::Cut<job::Id>,
    ) -> api::Answer<'_, view::Page<view::job::Summary, job::Id>> {
        ask!(self, call, Ask::Jobs(filter, cut), Tell::Jobs)
    }

    fn explain(&self, call: Call, job: job::Id) -> api::Answer<'_, view::job::Explanation> {
        ask!(self, call, Ask::Explain(job), Tell::Explanation)
    }

    fn alerts(
        &self,
        call: Call,
        all: bool,
        cut: view::Cut<String>,
    ) -> api::Answer<'_, view::Page<view::alert::Alert, String>> {
        ask!(self, call, Ask::Alerts(all, cut), Tell::Alerts)
    }

    fn acknowledge(&self, call: Call, alert: String) -> api::Answer<'_, view::alert::Alert> {
        ask!(self, call, Ask::Acknowledge(alert), Tell::Alert)
    }

    fn presets(&self, _call: Call) -> api::Answer<'_, view::preset::Choice> {
        async { Ok(view::preset::Choice { current: ordinary(), version: 0, presets: Vec::new() }) }
            .boxed_local()
    }

    fn set_preset(
        &self,
        _call: Call,
        _change: view::preset::Change,
    ) -> api::Answer<'_, view::preset::InForce> {
        async { Err(Refusal::not_run(Reason::Internal, "presets are not connected")) }.boxed_local()
    }

    fn preset_history(
        &self,
        _call: Call,
        _cut: view::Cut<u64>,
    ) -> api::Answer<'_, view::Page<view::preset::InForce, u64>> {
        async { Ok(view::Page { items: Vec::new(), next: None }) }.boxed_local()
    }

    fn quotas(&self, _call: Call) -> api::Answer<'_, view::quota::Table> {
        async { Ok(view::quota::Table { version: 0, teams: Vec::new() }) }.boxed_local()
    }

    fn set_quota(
        &self,
        _call: Call,
        _change: view::quota::Change,
    ) -> api::Answer<'_, view::quota::Table> {
        async { Err(Refusal::not_run(Reason::Internal, "quotas are not connected")) }.boxed_local()
    }

    fn workers(&self, call: Call) -> api::Answer<'_, Vec<view::worker::Worker>> {
        ask!(self, call, Ask::Workers, Tell::Workers)
    }

    fn order_worker(
        &self,
        call: Call,
        worker: worker::Name,
        order: view::worker::Order,
    ) -> api::Answer<'_, view::worker::Worker> {
        match order {
            view::worker::Order::Lost => ask!(self, call, Ask::GiveUp(worker), Tell::Worker),
            // Drains are settings, which are not connected yet.
            view::worker::Order::Drain | view::worker::Order::Undrain => {
                let message = "drains are not connected";
                async move { Err(Refusal::not_run(Reason::Internal, message)) }.boxed_local()
            }
        }
    }

    fn status(&self, call: Call) -> api::Answer<'_, view::status::Status> {
        async move {
            let domain = match self.ask(call, Ask::Status).await {
                Ok(Tell::Status(status)) => *status,
                _ => self.status_here().await?,
            };
            let preset = domain.preset.clone();
            Ok(view::status::Status { instance: self.identity(), preset, domains: vec![domain] })
        }
        .boxed_local()
    }

    fn dump(&self, _call: Call) -> api::Answer<'_, serde_json::Value> {
        async move {
            self.look(|machine, _, _| Ok(serde_json::json!({ "machine": format!("{machine:?}") })))
                .await
        }
        .boxed_local()
    }

    fn set_log_level(&self, _call: Call, level: log::LevelFilter) -> api::Answer<'_, ()> {
        log::set_max_level(level);
        async { Ok(()) }.boxed_local()
    }
}
