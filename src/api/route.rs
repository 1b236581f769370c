//! Routes of the interface: paths and methods.

use ::http::Method;
use percent_encoding::percent_decode_str;

use crate::api::view::worker::Action;
use crate::{job, worker};

/// A route with the parameters from its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// `POST /v1/jobs`
    Submit,
    /// `GET /v1/jobs`
    Jobs,
    /// `GET /v1/jobs/{id}`
    Job(job::Id),
    /// `POST /v1/jobs/{id}/cancel`
    Cancel(job::Id),
    /// `GET /v1/jobs/{id}/explanation`
    Explain(job::Id),
    /// `GET /v1/alerts`
    Alerts,
    /// `POST /v1/alerts/{id}/acknowledge`
    Acknowledge(String),
    /// `GET /v1/preset`
    Presets,
    /// `PUT /v1/preset`
    SetPreset,
    /// `GET /v1/preset/history`
    PresetHistory,
    /// `GET /v1/quotas`
    Quotas,
    /// `PUT /v1/quotas/{team}`
    SetQuota(String),
    /// `GET /v1/workers`
    Workers,
    /// `POST /v1/workers/{name}/{action}`
    WorkerAction(worker::Name, Action),
    /// `GET /v1/status`
    Status,
    /// `PUT /v1/log-level`
    LogLevel,
    /// `POST /v1/services/{service}/requests`
    Request,
    /// `GET /healthz`
    Health,
    /// `GET /readyz`
    Ready,
    /// `GET /metrics`
    Metrics,
    /// `GET /dump`
    Dump,
}

/// Why no route matches a path and method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route has this path.
    NotFound,
    /// The id in the path is not a valid job id.
    InvalidJobId,
    /// The path supports only these methods, formatted as in the `allow` header.
    MethodNotAllowed(&'static str),
}

impl Route {
    /// Finds the route for a method and a path.
    ///
    /// ```
    /// use http::Method;
    /// use oriolefork::api::route::{Route, RouteError};
    /// assert_eq!(Route::find(&Method::GET, "/v1/status"), Ok(Route::Status));
    /// let wrong_method = Route::find(&Method::PUT, "/v1/status");
    /// assert_eq!(wrong_method, Err(RouteError::MethodNotAllowed("GET")));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns why no route matches: unknown path, invalid job id or wrong method.
    pub fn find(method: &Method, path: &str) -> Result<Self, RouteError> {
        let segments = segments(path).ok_or(RouteError::NotFound)?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        match segments.as_slice() {
            ["healthz"] => get(method, Self::Health),
            ["readyz"] => get(method, Self::Ready),
            ["metrics"] => get(method, Self::Metrics),
            ["dump"] => get(method, Self::Dump),
            ["v1", rest @ ..] => Self::find_v1(method, rest),
            _ => Err(RouteError::NotFound),
        }
    }

    fn find_v1(method: &Method, segments: &[&str]) -> Result<Self, RouteError> {
        match segments {
            ["jobs", rest @ ..] => Self::find_job(method, rest),
            ["alerts"] => get(method, Self::Alerts),
            ["alerts", id, "acknowledge"] => post(method, Self::Acknowledge((*id).to_owned())),
            ["preset"] if *method == Method::GET => Ok(Self::Presets),
            ["preset"] if *method == Method::PUT => Ok(Self::SetPreset),
            ["preset"] => Err(RouteError::MethodNotAllowed("GET, PUT")),
            ["preset", "history"] => get(method, Self::PresetHistory),
            ["quotas"] => get(method, Self::Quotas),
            ["quotas", team] => put(method, Self::SetQuota((*team).to_owned())),
            ["workers"] => get(method, Self::Workers),
            ["workers", name, action] => {
                let action = parse_action(action).ok_or(RouteError::NotFound)?;
                post(method, Self::WorkerAction((*name).into(), action))
            }
            ["status"] => get(method, Self::Status),
            ["log-level"] => put(method, Self::LogLevel),
            ["services", _, "requests"] => post(method, Self::Request),
            _ => Err(RouteError::NotFound),
        }
    }

    fn find_job(method: &Method, segments: &[&str]) -> Result<Self, RouteError> {
        match segments {
            [] if *method == Method::GET => Ok(Self::Jobs),
            [] if *method == Method::POST => Ok(Self::Submit),
            [] => Err(RouteError::MethodNotAllowed("GET, POST")),
            [id] => get(method, Self::Job(job_id(id)?)),
            [id, "cancel"] => post(method, Self::Cancel(job_id(id)?)),
            [id, "explanation"] => get(method, Self::Explain(job_id(id)?)),
            _ => Err(RouteError::NotFound),
        }
    }

    /// Returns the route's name in logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Jobs => "jobs",
            Self::Job(_) => "job",
            Self::Cancel(_) => "cancel",
            Self::Explain(_) => "explain",
            Self::Alerts => "alerts",
            Self::Acknowledge(_) => "acknowledge",
            Self::Presets => "presets",
            Self::SetPreset => "set-preset",
            Self::PresetHistory => "preset-history",
            Self::Quotas => "quotas",
            Self::SetQuota(_) => "set-quota",
            Self::Workers => "workers",
            Self::WorkerAction(..) => "order-worker",
            Self::Status => "status",
            Self::LogLevel => "log-level",
            Self::Request => "request",
            Self::Health => "health",
            Self::Ready => "ready",
            Self::Metrics => "metrics",
            Self::Dump => "dump",
        }
    }

    /// Whether the route requires the operator token when one is configured.
    pub const fn requires_operator_token(&self) -> bool {
        matches!(
            self,
            Self::Acknowledge(_)
                | Self::SetPreset
                | Self::SetQuota(_)
                | Self::WorkerAction(..)
                | Self::LogLevel
                | Self::Dump
        )
    }

    /// Whether the route changes state, so that the outcome is unknown when the response is lost.
    pub const fn is_change(&self) -> bool {
        matches!(
            self,
            Self::Submit
                | Self::Cancel(_)
                | Self::Acknowledge(_)
                | Self::SetPreset
                | Self::SetQuota(_)
                | Self::WorkerAction(..)
                | Self::LogLevel
                | Self::Request
        )
    }
}

/// Splits a path and percent-decodes its segments; `None` if a segment is not UTF-8.
fn segments(path: &str) -> Option<Vec<String>> {
    let decode = |segment| Some(percent_decode_str(segment).decode_utf8().ok()?.into_owned());
    path.strip_prefix('/')?.split('/').map(decode).collect()
}

fn job_id(text: &str) -> Result<job::Id, RouteError> {
    job::Id::parse(text).ok_or(RouteError::InvalidJobId)
}

fn parse_action(text: &str) -> Option<Action> {
    [Action::Drain, Action::Undrain, Action::Lost]
        .into_iter()
        .find(|action| action.to_string() == text)
}

fn get(method: &Method, route: Route) -> Result<Route, RouteError> {
    if *method == Method::GET { Ok(route) } else { Err(RouteError::MethodNotAllowed("GET")) }
}

fn post(method: &Method, route: Route) -> Result<Route, RouteError> {
    if *method == Method::POST { Ok(route) } else { Err(RouteError::MethodNotAllowed("POST")) }
}

fn put(method: &Method, route: Route) -> Result<Route, RouteError> {
    if *method == Method::PUT { Ok(route) } else { Err(RouteError::MethodNotAllowed("PUT")) }
}
