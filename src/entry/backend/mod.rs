//! The backend of the API at an entry instance.

mod alerts;
mod dump;
mod jobs;
mod other_domains;
mod settings;
pub mod status;

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;

use crate::api::{self, Backend, CallContext, Configuration, Reason, Refusal, view};
use crate::clock::{Clock, Instant, Unix};
use crate::domain::Instance;
use crate::entry::binding::DomainBinder;
use crate::entry::controller::Handle;
use crate::entry::directory::Directory;
use crate::entry::forward::{self, ForwardedCall, OwnerRequest, OwnerResponse, Reply};
use crate::entry::reachability::ReachabilityReporter;
use crate::entry::readiness::Readiness;
use crate::entry::views;
use crate::owner::machine::Machine;
use crate::runner::Proxy;
use crate::{config, domain, job, peer, worker};

/// Time after which a refused caller should retry while the owner of the domain changes.
const OWNER_PAUSE: Duration = Duration::from_secs(1);

/// Serves calls from the state machine of this instance, or forwards them to the owner.
pub struct Entry {
    /// This process.
    pub me: Instance,
    /// Its failure domain.
    pub domain: domain::Name,
    /// The controller of the state machine.
    pub handle: Handle,
    /// Calls to other instances.
    pub peers: Rc<peer::Client>,
    /// The proxy of quick requests.
    pub requests: Proxy,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Lookup of instances.
    pub directory: Rc<Directory>,
    /// Receives the results of calls to other instances.
    pub reachability: Rc<ReachabilityReporter>,
    /// The replication of the operators' settings.
    pub config: config::Handle,
    /// Reads and changes the operators' settings.
    pub configuration: Configuration,
    /// Whether this instance should receive traffic.
    pub readiness: Rc<Readiness>,
    /// Last status received from each other failure domain.
    pub last_statuses: status::LastStatuses,
    /// Binds submissions to failure domains.
    pub binder: DomainBinder,
}

impl Entry {
    /// Serves a call here if this instance owns the domain, and forwards it to the owner otherwise.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or a refusal because the owner cannot be reached.
    pub async fn call_owner(&self, call: CallContext, request: OwnerRequest) -> Reply {
        let domain = self.domain.clone();
        self.route(ForwardedCall { domain, hops: forward::MAX_HOPS, call, request }).await
    }

    /// Serves a call that another instance has forwarded.
    ///
    /// # Errors
    ///
    /// The same as those of [`Self::call_owner`].
    pub async fn route(&self, forwarded: ForwardedCall) -> Reply {
        if forwarded.domain != self.domain {
            return Err(views::no_owner());
        }
        let ownership = self
            .handle
            .inspect(|machine, _, _| (machine.is_owner(), machine.owner().cloned()))
            .await;
        match ownership {
            Some((true, _)) => self.serve_as_owner(forwarded.call, forwarded.request).await,
            Some((false, Some(owner))) if owner != self.me && forwarded.hops > 0 => {
                self.forward_to_owner(&owner, forwarded).await
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
        let bound = self.binder.bind(&call, &submission).await?;
        if bound.accepted {
            let durability = view::job::Durability::Log;
            return Ok(view::job::Accepted { job, durability, duplicate: true });
        }
        let spent = self.clock.now().since(started);
        let call = CallContext { within: call.within.saturating_sub(spent), ..call };
        let request = OwnerRequest::Submit(submission);
        let reply = match bound.domain == self.domain {
            true => self.call_owner(call, request).await,
            false => self.call_domain_owner(&bound.domain, call, request).await,
        };
        match reply? {
            OwnerResponse::Accepted(accepted) => {
                self.binder.record_acceptance(&bound);
                Ok(accepted)
            }
            _ => Err(unexpected_response()),
        }
    }

    async fn forward_to_owner(&self, owner: &Instance, mut forwarded: ForwardedCall) -> Reply {
        forwarded.hops -= 1;
        forwarded.call.within = forward::owner_timeout(forwarded.call.within);
        let within = forwarded.call.within;
        let change = forwarded.request.is_change();
        let result: Result<Reply, _> =
            self.peers.call(owner.peer, forward::CALL, &forwarded, within).await;
        self.reachability.record_call(owner.peer, &result);
        result.unwrap_or_else(|error| Err(forward_error(owner, change, &error)))
    }

    fn identity_view(&self) -> view::Identity {
        view::Identity {
            instance: self.me.name.clone(),
            run: self.me.run,
            domain: self.domain.clone(),
        }
    }

    async fn serve_as_owner(&self, call: CallContext, request: OwnerRequest) -> Reply {
        match request {
            OwnerRequest::Submit(submission) => self.submit_here(call, submission).await,
            OwnerRequest::Cancel(job) => self.cancel_here(call, job).await,
            OwnerRequest::Job(id) => self
                .read_state(move |machine, _, _| views::job(machine, id))
                .await
                .map(|job| OwnerResponse::Job(Box::new(job))),
            OwnerRequest::Jobs(filter, page) => self
                .read_state(move |machine, _, _| Ok(views::jobs(machine, &filter, &page)))
                .await
                .map(OwnerResponse::Jobs),
            OwnerRequest::Explain(id) => self
                .read_state(move |machine, _, unix| views::explain(machine, id, unix))
                .await
                .map(OwnerResponse::Explanation),
            OwnerRequest::Workers => self
                .read_state(|machine, _, _| views::active(machine).map(views::workers))
                .await
                .map(OwnerResponse::Workers),
            OwnerRequest::Worker(name) => self.show_worker(name).await.map(OwnerResponse::Worker),
            OwnerRequest::GiveUp(name) => self.give_up_here(call, name).await,
            OwnerRequest::Alerts(all, page) => self
                .read_state(move |machine, _, _| {
                    view::alert::page(&machine.domain, machine.board(), all, &page)
                })
                .await
                .map(OwnerResponse::Alerts),
            OwnerRequest::Acknowledge(id) => self.acknowledge_here(call, &id).await,
            OwnerRequest::Status => {
                self.status_here().await.map(|status| OwnerResponse::Status(Box::new(status)))
            }
        }
    }

    /// Reads from the state machine.
    async fn read_state<T: 'static>(
        &self,
        read: impl FnOnce(&Machine, Instant, Unix) -> Result<T, Refusal> + 'static,
    ) -> Result<T, Refusal> {
        let stopping = || Refusal::not_run(Reason::ShuttingDown, "the instance is stopping");
        self.handle.inspect(read).await.ok_or_else(stopping)?
    }
}

/// Refusal of a call that could not be forwarded to the owner.
fn forward_error(owner: &Instance, change: bool, error: &peer::Error) -> Refusal {
    log::warn!("event=entry.forward_failed owner={} {error}", owner.name);
    if change && error.sent {
        let message = "the owner did not answer; repeat with the same key to learn the outcome";
        return Refusal::unknown(Reason::NoOwner, message).with_retry_after(OWNER_PAUSE);
    }
    Refusal::not_run(Reason::NoOwner, "the owner cannot be reached; try again shortly")
        .with_retry_after(OWNER_PAUSE)
}

/// Refusal because the response does not match the request, which only a bug in the owner can
/// cause.
fn unexpected_response() -> Refusal {
    Refusal::unknown(Reason::Internal, "the owner answered another question")
}

/// Calls the owner and extracts the expected variant of the response.
macro_rules! call_owner {
    ($self:ident, $call:ident, $request:expr, $kind:path) => {
        async move {
            match $self.call_owner($call, $request).await? {
                $kind(answer) => Ok(answer),
                _ => Err(unexpected_response()),
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
            match self.call_any_domain(call, job, OwnerRequest::Cancel(job)).await? {
                OwnerResponse::Job(job) => Ok(*job),
                _ => Err(unexpected_response()),
            }
        }
        .boxed_local()
    }

    fn job(&self, call: CallContext, job: job::Id) -> api::BackendFuture<'_, view::job::Job> {
        async move {
            match self.call_any_domain(call, job, OwnerRequest::Job(job)).await? {
                OwnerResponse::Job(job) => Ok(*job),
                _ => Err(unexpected_response()),
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
        call_owner!(self, call, OwnerRequest::Jobs(filter, page), OwnerResponse::Jobs)
    }

    fn explain(
        &self,
        call: CallContext,
        job: job::Id,
    ) -> api::BackendFuture<'_, view::job::Explanation> {
        async move {
            match self.call_any_domain(call, job, OwnerRequest::Explain(job)).await? {
                OwnerResponse::Explanation(explanation) => Ok(explanation),
                _ => Err(unexpected_response()),
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
        call_owner!(self, call, OwnerRequest::Alerts(all, page), OwnerResponse::Alerts)
    }

    fn acknowledge(
        &self,
        call: CallContext,
        alert: String,
    ) -> api::BackendFuture<'_, view::alert::Alert> {
        call_owner!(self, call, OwnerRequest::Acknowledge(alert), OwnerResponse::Alert)
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
        call_owner!(self, call, OwnerRequest::Workers, OwnerResponse::Workers)
    }

    fn apply_worker_action(
        &self,
        call: CallContext,
        worker: worker::Name,
        order: view::worker::Action,
    ) -> api::BackendFuture<'_, view::worker::Worker> {
        self.execute_order(call, worker, order).boxed_local()
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
