//! The border between the HTTP layer and the scheduler.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::{domain, job, worker};

/// Outcome of a call, once it is there.
pub type BackendFuture<'a, T> = LocalBoxFuture<'a, Result<T, Refusal>>;

/// Circumstances of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallContext {
    /// Time left until the caller stops waiting.
    pub within: Duration,
    /// Person who asks, by the name they gave.
    pub by: Option<String>,
}

/// What the scheduler does for callers and operators.
///
/// The HTTP layer drops a future whose caller's deadline has passed and answers `unknown` for
/// calls that change something. An implementation keeps its promises when dropped half way.
pub trait Backend {
    /// The instance that answers.
    fn identity(&self) -> view::Identity;

    /// Whether the instance should get traffic.
    fn readiness(&self) -> view::Readiness;

    /// Accepts a job under its team and key; a repeated call names the same job.
    ///
    /// A deadline that has passed when the owner takes the job up is refused, unless the key is
    /// known: a submission delayed on its way must not be accepted after its repetition was told
    /// that it did not run.
    fn submit(
        &self,
        call: CallContext,
        submission: view::job::Submission,
    ) -> BackendFuture<'_, view::job::Accepted>;

    /// Stops a job; a repeated call succeeds again.
    fn cancel(&self, call: CallContext, job: job::Id) -> BackendFuture<'_, view::job::Job>;

    /// The state of one job with its tasks; also of one that is still being recorded.
    fn job(&self, call: CallContext, job: job::Id) -> BackendFuture<'_, view::job::Job>;

    /// Jobs that match, in order of identity, after the cursor.
    fn jobs(
        &self,
        call: CallContext,
        filter: view::job::Filter,
        page: view::PageRequest<job::Id>,
    ) -> BackendFuture<'_, view::Page<view::job::Summary, job::Id>>;

    /// Why a job waits.
    fn explain(&self, call: CallContext, job: job::Id)
    -> BackendFuture<'_, view::job::Explanation>;

    /// Alerts of the failure domain, unacknowledged ones only unless `all` is set.
    fn alerts(
        &self,
        call: CallContext,
        all: bool,
        page: view::PageRequest<String>,
    ) -> BackendFuture<'_, view::Page<view::alert::Alert, String>>;

    /// Marks an alert as seen by `call.by`; a repeated call keeps the first person's name.
    fn acknowledge(
        &self,
        call: CallContext,
        alert: String,
    ) -> BackendFuture<'_, view::alert::Alert>;

    /// The preset in force and all presets to choose from.
    fn presets(&self, call: CallContext) -> BackendFuture<'_, view::preset::PresetList>;

    /// Puts a preset in force; answers once the change was read back from the log.
    fn set_preset(
        &self,
        call: CallContext,
        change: view::preset::Change,
    ) -> BackendFuture<'_, view::preset::ActivePreset>;

    /// Changes of preset, newest first, older than the cursor's version.
    fn preset_history(
        &self,
        call: CallContext,
        page: view::PageRequest<u64>,
    ) -> BackendFuture<'_, view::Page<view::preset::ActivePreset, u64>>;

    /// Quotas of all teams that have one.
    fn quotas(&self, call: CallContext) -> BackendFuture<'_, view::quota::Table>;

    /// Sets or removes a team's quota; answers once the change was read back from the log.
    fn set_quota(
        &self,
        call: CallContext,
        change: view::quota::Change,
    ) -> BackendFuture<'_, view::quota::Table>;

    /// Workers of the failure domain in order of name.
    fn workers(&self, call: CallContext) -> BackendFuture<'_, Vec<view::worker::Worker>>;

    /// Changes what a worker is used for.
    fn apply_worker_action(
        &self,
        call: CallContext,
        worker: worker::Name,
        action: view::worker::Action,
    ) -> BackendFuture<'_, view::worker::Worker>;

    /// What the scheduler is doing, a line for each failure domain.
    fn status(&self, call: CallContext) -> BackendFuture<'_, view::status::Status>;

    /// The whole state of the process, without secrets.
    fn dump(&self, call: CallContext) -> BackendFuture<'_, serde_json::Value>;

    /// Sets the level of the process's log.
    fn set_log_level(&self, call: CallContext, level: log::LevelFilter) -> BackendFuture<'_, ()>;

    /// Failure domain of the instance that answers.
    fn domain(&self) -> domain::Name {
        self.identity().domain
    }
}
