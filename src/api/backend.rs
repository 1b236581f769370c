//! Interface between the HTTP layer and the scheduler.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::{domain, job, worker};

/// Future that resolves to the result of a backend call.
pub type BackendFuture<'a, T> = LocalBoxFuture<'a, Result<T, Refusal>>;

/// Time limit and author of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallContext {
    /// Time left until the caller stops waiting for the response.
    pub within: Duration,
    /// Operator who makes the call, as named in the request; `None` for calls without a name.
    pub by: Option<String>,
}

/// Operations that the scheduler offers to callers and operators.
///
/// The HTTP layer drops the future when the call's time limit passes, and then responds `unknown`
/// to calls that change state. Implementations must stay consistent when a future is dropped
/// before it completes.
pub trait Backend {
    /// Identity of this instance.
    fn identity(&self) -> view::Identity;

    /// Whether this instance should receive traffic.
    fn readiness(&self) -> view::Readiness;

    /// Accepts a job under its team and idempotency key; a repeated call returns the same job.
    ///
    /// The owner refuses a job whose deadline has passed, unless its key is already recorded.
    /// Otherwise a delayed submission could be accepted after a retry of it was refused as not run.
    fn submit(
        &self,
        call: CallContext,
        submission: view::job::Submission,
    ) -> BackendFuture<'_, view::job::Accepted>;

    /// Cancels a job; a repeated call succeeds as well.
    fn cancel(&self, call: CallContext, job: job::Id) -> BackendFuture<'_, view::job::Job>;

    /// State of one job with its tasks, including a job whose record is not yet committed.
    fn job(&self, call: CallContext, job: job::Id) -> BackendFuture<'_, view::job::Job>;

    /// One page of the jobs that match `filter`, ordered by id.
    fn jobs(
        &self,
        call: CallContext,
        filter: view::job::Filter,
        page: view::PageRequest<job::Id>,
    ) -> BackendFuture<'_, view::Page<view::job::Summary, job::Id>>;

    /// Explains why a job waits.
    fn explain(&self, call: CallContext, job: job::Id)
    -> BackendFuture<'_, view::job::Explanation>;

    /// One page of the failure domain's alerts; acknowledged ones only if `all` is set.
    fn alerts(
        &self,
        call: CallContext,
        all: bool,
        page: view::PageRequest<String>,
    ) -> BackendFuture<'_, view::Page<view::alert::Alert, String>>;

    /// Marks an alert as acknowledged by `call.by`; a repeated call keeps the first name.
    fn acknowledge(
        &self,
        call: CallContext,
        alert: String,
    ) -> BackendFuture<'_, view::alert::Alert>;

    /// The active preset and all available presets.
    fn presets(&self, call: CallContext) -> BackendFuture<'_, view::preset::PresetList>;

    /// Activates a preset; completes once the change has been read back from the log.
    fn set_preset(
        &self,
        call: CallContext,
        change: view::preset::Change,
    ) -> BackendFuture<'_, view::preset::ActivePreset>;

    /// One page of past activations of presets, newest first; the cursor is a version.
    fn preset_history(
        &self,
        call: CallContext,
        page: view::PageRequest<u64>,
    ) -> BackendFuture<'_, view::Page<view::preset::ActivePreset, u64>>;

    /// Quotas of all teams that have a quota.
    fn quotas(&self, call: CallContext) -> BackendFuture<'_, view::quota::Table>;

    /// Sets or removes a team's quota; completes once the change has been read back from the log.
    fn set_quota(
        &self,
        call: CallContext,
        change: view::quota::Change,
    ) -> BackendFuture<'_, view::quota::Table>;

    /// Workers of the failure domain, ordered by name.
    fn workers(&self, call: CallContext) -> BackendFuture<'_, Vec<view::worker::Worker>>;

    /// Drains or undrains a worker, or declares it lost.
    fn apply_worker_action(
        &self,
        call: CallContext,
        worker: worker::Name,
        action: view::worker::Action,
    ) -> BackendFuture<'_, view::worker::Worker>;

    /// Status of the scheduler, with one entry per failure domain.
    fn status(&self, call: CallContext) -> BackendFuture<'_, view::status::Status>;

    /// Complete state of the process for diagnosis, without secrets.
    fn dump(&self, call: CallContext) -> BackendFuture<'_, serde_json::Value>;

    /// Sets the log level of the process.
    fn set_log_level(&self, call: CallContext, level: log::LevelFilter) -> BackendFuture<'_, ()>;

    /// Failure domain of this instance.
    fn domain(&self) -> domain::Name {
        self.identity().domain
    }
}
