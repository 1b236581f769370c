//! Maps each route to a call of the backend.

use std::net::SocketAddr;

use ::http::StatusCode;
use bytes::Bytes;

use crate::api::backend::{Backend, CallContext};
use crate::api::query::Query;
use crate::api::refusal::{Reason, Refusal};
use crate::api::route::Route;
use crate::api::view::job::{Accepted, Submission};
use crate::api::{header, reply, view, wire};
use crate::clock::Clock;
use crate::http::{Request, Response};
use crate::job;
use crate::logging::value;

/// A request with its matched route.
pub struct RoutedRequest {
    /// Address of the sender.
    pub peer: SocketAddr,
    /// Time limit and author of the call.
    pub call: CallContext,
    /// The matched route.
    pub route: Route,
    /// The HTTP request.
    pub request: Request,
}

impl RoutedRequest {
    /// Parses the query parameters and refuses those that are not in `allowed`.
    fn query(&self, allowed: &[&str]) -> Result<Query, Refusal> {
        Query::parse(self.request.uri().query().unwrap_or_default(), allowed)
    }

    fn body(&self) -> &Bytes {
        self.request.body()
    }

    /// Returns the call with the operator named in the body, and logs it.
    fn operator_call(&self) -> Result<CallContext, Refusal> {
        let operator: wire::alert::OperatorName = wire::parse(self.body())?;
        Ok(self.logged_call(operator.into_name()?))
    }

    /// Returns the call with the name of the operator, and logs it.
    fn logged_call(&self, operator: String) -> CallContext {
        let (route, path) = (self.route.name(), value(self.request.uri().path()));
        let (by, peer) = (value(&operator), self.peer);
        log::info!("event=api.order route={route} path={path} by={by} peer={peer}");
        CallContext { by: Some(operator), ..self.call.clone() }
    }
}

/// Carries out a request with the backend and builds the response.
///
/// # Errors
///
/// Returns the backend's refusal, or one that names the malformed part of the request.
pub async fn handle(
    backend: &dyn Backend,
    clock: &dyn Clock,
    routed: RoutedRequest,
) -> Result<Response, Refusal> {
    let call = routed.call.clone();
    match &routed.route {
        Route::Submit => submit(backend, clock, &routed).await,
        Route::Jobs => jobs(backend, &routed).await,
        Route::Job(id) => {
            routed.query(&[])?;
            Ok(ok(&wire::job::Job::from(backend.job(call, *id).await?)))
        }
        Route::Cancel(id) => {
            routed.query(&[])?;
            Ok(ok(&wire::job::Job::from(backend.cancel(call, *id).await?)))
        }
        Route::Explain(id) => {
            Ok(ok(&wire::job::Explanation::from(backend.explain(call, *id).await?)))
        }
        Route::Alerts => alerts(backend, &routed).await,
        Route::Acknowledge(alert) => {
            let alert = backend.acknowledge(routed.operator_call()?, alert.clone()).await?;
            Ok(ok(&wire::alert::Alert::from(alert)))
        }
        Route::Presets => Ok(ok(&wire::preset::PresetList::from(backend.presets(call).await?))),
        Route::SetPreset => set_preset(backend, &routed).await,
        Route::PresetHistory => preset_history(backend, &routed).await,
        Route::Quotas => Ok(ok(&wire::quota::Table::from(backend.quotas(call).await?))),
        Route::SetQuota(team) => set_quota(backend, &routed, team).await,
        Route::Workers => Ok(ok(&wire::worker::List::from(backend.workers(call).await?))),
        Route::WorkerAction(name, action) => {
            let worker =
                backend.apply_worker_action(routed.operator_call()?, name.clone(), *action).await?;
            Ok(ok(&wire::worker::Worker::from(worker)))
        }
        Route::Status => Ok(ok(&wire::status::Status::from(backend.status(call).await?))),
        Route::LogLevel => set_log_level(backend, &routed).await,
        Route::Health => Ok(ok(&wire::status::Identity::from(backend.identity()))),
        Route::Ready => Ok(ready(backend)),
        Route::Dump => Ok(ok(&backend.dump(call).await?)),
        Route::Request | Route::Metrics => {
            Err(Refusal::not_run(Reason::Internal, "this route is served by another handler"))
        }
    }
}

fn ok(body: &impl serde::Serialize) -> Response {
    reply::json(StatusCode::OK, body)
}

async fn submit(
    backend: &dyn Backend,
    clock: &dyn Clock,
    routed: &RoutedRequest,
) -> Result<Response, Refusal> {
    routed.query(&[])?;
    let key = header::idempotency_key(routed.request.headers())?;
    let wire: wire::job::Spec = wire::parse(routed.body())?;
    let submission = Submission { key, spec: job::Spec::try_from(wire)? };
    let call = routed.call.clone();
    let accepted = match check_deadline(&submission, clock) {
        Ok(()) => backend.submit(call, submission).await?,
        Err(refusal) => find_earlier(backend, call, &submission, refusal).await?,
    };
    Ok(accepted_reply(accepted))
}

fn check_deadline(submission: &Submission, clock: &dyn Clock) -> Result<(), Refusal> {
    let check = |deadline| wire::check::deadline("deadline-unix-ms", deadline, clock.unix());
    submission.spec.deadline.map_or(Ok(()), check)
}

/// Looks up the job of a submission whose deadline has passed.
///
/// A caller that lost the response to its first submission may retry after the deadline. The first
/// submission may have been accepted, so a refusal as "not run" is correct only if no job exists.
async fn find_earlier(
    backend: &dyn Backend,
    call: CallContext,
    submission: &Submission,
    refusal: Refusal,
) -> Result<Accepted, Refusal> {
    match backend.job(call, submission.id()).await {
        Ok(job) => {
            let id = job.summary.id;
            Ok(Accepted { job: id, durability: job.durability, duplicate: true })
        }
        Err(Refusal { reason: Reason::NotFound, .. }) => Err(refusal),
        Err(cause) => Err(Refusal::unknown(cause.reason, cause.message)),
    }
}

fn accepted_reply(accepted: Accepted) -> Response {
    let status = if accepted.duplicate { StatusCode::OK } else { StatusCode::CREATED };
    let mut response = reply::json(status, &wire::job::Accepted::from(accepted));
    reply::set_location(&mut response, &format!("/v1/jobs/{}", accepted.job));
    response
}

async fn jobs(backend: &dyn Backend, routed: &RoutedRequest) -> Result<Response, Refusal> {
    let query = routed.query(&["after", "limit", "team", "name", "state"])?;
    let request = query.page_request_with(job::Id::parse)?;
    let page = backend.jobs(routed.call.clone(), query.job_filter()?, request).await?;
    Ok(ok(&wire::Page::<wire::job::Summary>::from(page)))
}

async fn alerts(backend: &dyn Backend, routed: &RoutedRequest) -> Result<Response, Refusal> {
    let query = routed.query(&["after", "limit", "all"])?;
    let request = query.page_request::<String>()?;
    let page = backend.alerts(routed.call.clone(), query.flag("all")?, request).await?;
    Ok(ok(&wire::Page::<wire::alert::Alert>::from(page)))
}

async fn set_preset(backend: &dyn Backend, routed: &RoutedRequest) -> Result<Response, Refusal> {
    let wire: wire::preset::Change = wire::parse(routed.body())?;
    let by = wire.by.clone();
    let change = view::preset::Change::try_from(wire)?;
    let call = routed.logged_call(by);
    Ok(ok(&wire::preset::ActivePreset::from(backend.set_preset(call, change).await?)))
}

async fn preset_history(
    backend: &dyn Backend,
    routed: &RoutedRequest,
) -> Result<Response, Refusal> {
    let request = routed.query(&["after", "limit"])?.page_request::<u64>()?;
    let page = backend.preset_history(routed.call.clone(), request).await?;
    Ok(ok(&wire::Page::<wire::preset::ActivePreset>::from(page)))
}

async fn set_quota(
    backend: &dyn Backend,
    routed: &RoutedRequest,
    team: &str,
) -> Result<Response, Refusal> {
    let wire: wire::quota::Change = wire::parse(routed.body())?;
    let by = wire.by.clone();
    let change = wire.into_change(team)?;
    let call = routed.logged_call(by);
    Ok(ok(&wire::quota::Table::from(backend.set_quota(call, change).await?)))
}

async fn set_log_level(backend: &dyn Backend, routed: &RoutedRequest) -> Result<Response, Refusal> {
    let log_level: wire::status::LogLevel = wire::parse(routed.body())?;
    let level = log::LevelFilter::try_from(&log_level)?;
    backend.set_log_level(routed.call.clone(), level).await?;
    Ok(ok(&log_level))
}

fn ready(backend: &dyn Backend) -> Response {
    let view::Readiness { ready, reasons } = backend.readiness();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let identity = backend.identity().into();
    reply::json(status, &wire::status::Readiness { ready, reasons, identity })
}
