//! The border between the HTTP layer and the scheduler.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::{domain, job, worker};

/// Outcome of a call, once it is there.
pub type Answer<'a, T> = LocalBoxFuture<'a, Result<T, Refusal>>;

/// Circumstances of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
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
        call: Call,
        submission: view::job::Submission,
    ) -> Answer<'_, view::job::Accepted>;

    /// Stops a job; a repeated call succeeds again.
    fn cancel(&self, call: Call, job: job::Id) -> Answer<'_, view::job::Job>;

    /// The state of one job with its tasks; also of one that is still being recorded.
    fn job(&self, call: Call, job: job::Id) -> Answer<'_, view::job::Job>;

    /// Jobs that match, in order of identity, after the cursor.
    fn jobs(
        &self,
        call: Call,
        filter: view::job::Filter,
        cut: view::Cut<job::Id>,
    ) -> Answer<'_, view::Page<view::job::Summary, job::Id>>;

    /// Why a job waits.
    fn explain(&self, call: Call, job: job::Id) -> Answer<'_, view::job::Explanation>;

    /// Alerts of the failure domain, unacknowledged ones only unless `all` is set.
    fn alerts(
        &self,
        call: Call,
        all: bool,
        cut: view::Cut<String>,
    ) -> Answer<'_, view::Page<view::alert::Alert, String>>;

    /// Marks an alert as seen by `call.by`; a repeated call keeps the first person's name.
    fn acknowledge(&self, call: Call, alert: String) -> Answer<'_, view::alert::Alert>;

    /// The preset in force and all presets to choose from.
    fn presets(&self, call: Call) -> Answer<'_, view::preset::Choice>;

    /// Puts a preset in force; answers once the change was read back from the log.
    fn set_preset(
        &self,
        call: Call,
        change: view::preset::Change,
    ) -> Answer<'_, view::preset::InForce>;

    /// Changes of preset, newest first, older than the cursor's version.
    fn preset_history(
        &self,
        call: Call,
        cut: view::Cut<u64>,
    ) -> Answer<'_, view::Page<view::preset::InForce, u64>>;

    /// Quotas of all teams that have one.
    fn quotas(&self, call: Call) -> Answer<'_, view::quota::Table>;

    /// Sets or removes a team's quota; answers once the change was read back from the log.
    fn set_quota(&self, call: Call, change: view::quota::Change) -> Answer<'_, view::quota::Table>;

    /// Workers of the failure domain in order of name.
    fn workers(&self, call: Call) -> Answer<'_, Vec<view::worker::Worker>>;

    /// Changes what a worker is used for.
    fn order_worker(
        &self,
        call: Call,
        worker: worker::Name,
        order: view::worker::Order,
    ) -> Answer<'_, view::worker::Worker>;

    /// What the scheduler is doing, a line for each failure domain.
    fn status(&self, call: Call) -> Answer<'_, view::status::Status>;

    /// The whole state of the process, without secrets.
    fn dump(&self, call: Call) -> Answer<'_, serde_json::Value>;

    /// Sets the level of the process's log.
    fn set_log_level(&self, call: Call, level: log::LevelFilter) -> Answer<'_, ()>;

    /// Failure domain of the instance that answers.
    fn domain(&self) -> domain::Name {
        self.identity().domain
    }
}
