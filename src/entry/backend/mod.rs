//! What an entry instance does for callers and operators.

mod alerts;
mod dump;
mod elsewhere;
mod jobs;
mod settings;
pub mod status;

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;

use crate::api::{self, Backend, CallContext, Configuration, Reason, Refusal, view};
use crate::clock::{Clock, Instant, Unix};
use crate::domain::Instance;
use crate::entry::binding::Binding;
use crate::entry::controller::Handle;
use crate::entry::directory::Directory;
use crate::entry::forward::{self, Ask, Envelope, Reply, Tell};
use crate::entry::readiness::Readiness;
use crate::entry::views;
use crate::entry::witness::Witness;
use crate::owner::machine::Machine;
use crate::runner::Proxy;
use crate::{config, domain, job, peer, worker};

/// Pause that a refused caller is asked to make while the domain changes owners.
const OWNER_PAUSE: Duration = Duration::from_secs(1);

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
    /// Quick requests.
    pub requests: Proxy,
    /// Time.
    pub clock: Rc<dyn Clock>,
    /// Which instances there are.
    pub directory: Rc<Directory>,
    /// Who hears whether other instances answer.
    pub witness: Rc<Witness>,
    /// The task of the settings in force.
    pub config: config::Handle,
    /// Operators' way to the settings in force.
    pub configuration: Configuration,
    /// Whether this instance should get traffic.
    pub readiness: Rc<Readiness>,
    /// What was last heard of other failure domains.
    pub memory: status::Memory,
    /// What binds submissions to failure domains.
    pub binding: Binding,
}

impl Entry {
    /// Answers a call here when this instance owns the domain, and otherwise at the owner.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or one that says that the owner cannot be reached.
    pub async fn ask(&self, call: CallContext, ask: Ask) -> Reply {
        let domain = self.domain.clone();
        self.route(Envelope { domain, hops: forward::MAX_HOPS, call, ask }).await
    }

    /// Answers a call that another instance has passed on.
    ///
    /// # Errors
    ///
    /// As for [`Self::ask`].
    pub async fn route(&self, envelope: Envelope) -> Reply {
        if envelope.domain != self.domain {
            return Err(views::no_owner());
        }
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

    /// Submits a job to the failure domain that its key is bound to.
    async fn submit_bound(
        &self,
        call: CallContext,
        submission: view::job::Submission,
    ) -> Result<view::job::Accepted, Refusal> {
        let started = self.clock.now();
        let job = submission.id();
        let bound = self.binding.fix(&call, &submission).await?;
        if bound.accepted {
            let durability = view::job::Durability::Log;
            return Ok(view::job::Accepted { job, durability, duplicate: true });
        }
        let spent = self.clock.now().since(started);
        let call = CallContext { within: call.within.saturating_sub(spent), ..call };
        let ask = Ask::Submit(submission);
        let reply = match bound.domain == self.domain {
            true => self.ask(call, ask).await,
            false => self.ask_domain_owner(&bound.domain, call, ask).await,
        };
        match reply? {
            Tell::Accepted(accepted) => {
                self.binding.accept(&bound);
                Ok(accepted)
            }
            _ => Err(mismatch()),
        }
    }

    async fn pass_on(&self, owner: &Instance, mut envelope: Envelope) -> Reply {
        envelope.hops -= 1;
        envelope.call.within = forward::within(envelope.call.within);
        let within = envelope.call.within;
        let change = envelope.ask.is_change();
        let result: Result<Reply, _> =
            self.peers.call(owner.peer, forward::CALL, &envelope, within).await;
        self.witness.called(owner.peer, &result);
        result.unwrap_or_else(|error| Err(lost_call(owner, change, &error)))
    }

    fn identity_view(&self) -> view::Identity {
        view::Identity {
            instance: self.me.name.clone(),
            run: self.me.run,
            domain: self.domain.clone(),
        }
    }

    async fn answer(&self, call: CallContext, ask: Ask) -> Reply {
        match ask {
            Ask::Submit(submission) => self.submit_here(call, submission).await,
            Ask::Cancel(job) => self.cancel_here(call, job).await,
            Ask::Job(id) => self
                .look(move |machine, _, _| views::job(machine, id))
                .await
                .map(|job| Tell::Job(Box::new(job))),
            Ask::Jobs(filter, page) => self
                .look(move |machine, _, _| Ok(views::jobs(machine, &filter, &page)))
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
            Ask::Worker(name) => self.show_worker(name).await.map(Tell::Worker),
            Ask::GiveUp(name) => self.give_up_here(call, name).await,
            Ask::Alerts(all, page) => self
                .look(move |machine, _, _| {
                    view::alert::page(&machine.domain, machine.board(), all, &page)
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
        look: impl FnOnce(&Machine, Instant, Unix) -> Result<T, Refusal> + 'static,
    ) -> Result<T, Refusal> {
        let stopping = || Refusal::not_run(Reason::ShuttingDown, "the instance is stopping");
        self.handle.inspect(look).await.ok_or_else(stopping)?
    }
}

/// Refusal for a call whose way to the owner broke.
fn lost_call(owner: &Instance, change: bool, error: &peer::Error) -> Refusal {
    log::warn!("event=entry.forward_failed owner={} {error}", owner.name);
    if change && error.sent {
        let message = "the owner did not answer; ask again with the same key to learn the outcome";
        return Refusal::unknown(Reason::NoOwner, message).with_retry_after(OWNER_PAUSE);
    }
    Refusal::not_run(Reason::NoOwner, "the owner cannot be reached; try again shortly")
        .with_retry_after(OWNER_PAUSE)
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
        self.identity_view()
    }

    fn readiness(&self) -> view::Readiness {
        self.readiness.view()
    }

    fn submit(
        &self,
        call: CallContext,
        submission: view::job::Submission,
    ) -> api::BackendFuture<'_, view::job::Accepted> {
        self.submit_bound(call, submission).boxed_local()
    }

    fn cancel(&self, call: CallContext, job: job::Id) -> api::BackendFuture<'_, view::job::Job> {
        async move {
            match self.ask_anywhere(call, job, Ask::Cancel(job)).await? {
                Tell::Job(job) => Ok(*job),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    }

    fn job(&self, call: CallContext, job: job::Id) -> api::BackendFuture<'_, view::job::Job> {
        async move {
            match self.ask_anywhere(call, job, Ask::Job(job)).await? {
                Tell::Job(job) => Ok(*job),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    }

    fn jobs(
        &self,
        call: CallContext,
        filter: view::job::Filter,
        page: view::PageRequest<job::Id>,
    ) -> api::BackendFuture<'_, view::Page<view::job::Summary, job::Id>> {
        ask!(self, call, Ask::Jobs(filter, page), Tell::Jobs)
    }

    fn explain(
        &self,
        call: CallContext,
        job: job::Id,
    ) -> api::BackendFuture<'_, view::job::Explanation> {
        async move {
            match self.ask_anywhere(call, job, Ask::Explain(job)).await? {
                Tell::Explanation(explanation) => Ok(explanation),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    }

    fn alerts(
        &self,
        call: CallContext,
        all: bool,
        page: view::PageRequest<String>,
    ) -> api::BackendFuture<'_, view::Page<view::alert::Alert, String>> {
        ask!(self, call, Ask::Alerts(all, page), Tell::Alerts)
    }

    fn acknowledge(
        &self,
        call: CallContext,
        alert: String,
    ) -> api::BackendFuture<'_, view::alert::Alert> {
        ask!(self, call, Ask::Acknowledge(alert), Tell::Alert)
    }

    fn presets(&self, _call: CallContext) -> api::BackendFuture<'_, view::preset::PresetList> {
        self.configuration.presets().boxed_local()
    }

    fn set_preset(
        &self,
        call: CallContext,
        change: view::preset::Change,
    ) -> api::BackendFuture<'_, view::preset::ActivePreset> {
        async move { self.configuration.set_preset(&call, &change).await }.boxed_local()
    }

    fn preset_history(
        &self,
        _call: CallContext,
        page: view::PageRequest<u64>,
    ) -> api::BackendFuture<'_, view::Page<view::preset::ActivePreset, u64>> {
        async move { self.configuration.preset_history(&page).await }.boxed_local()
    }

    fn quotas(&self, _call: CallContext) -> api::BackendFuture<'_, view::quota::Table> {
        self.configuration.quotas().boxed_local()
    }

    fn set_quota(
        &self,
        call: CallContext,
        change: view::quota::Change,
    ) -> api::BackendFuture<'_, view::quota::Table> {
        async move { self.configuration.set_quota(&call, &change).await }.boxed_local()
    }

    fn workers(&self, call: CallContext) -> api::BackendFuture<'_, Vec<view::worker::Worker>> {
        ask!(self, call, Ask::Workers, Tell::Workers)
    }

    fn apply_worker_action(
        &self,
        call: CallContext,
        worker: worker::Name,
        order: view::worker::Action,
    ) -> api::BackendFuture<'_, view::worker::Worker> {
        self.order(call, worker, order).boxed_local()
    }

    fn status(&self, call: CallContext) -> api::BackendFuture<'_, view::status::Status> {
        self.status_of_all(call).boxed_local()
    }

    fn dump(&self, _call: CallContext) -> api::BackendFuture<'_, serde_json::Value> {
        self.dump_all().boxed_local()
    }

    fn set_log_level(
        &self,
        _call: CallContext,
        level: log::LevelFilter,
    ) -> api::BackendFuture<'_, ()> {
        log::set_max_level(level);
        async { Ok(()) }.boxed_local()
    }
}
