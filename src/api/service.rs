//! HTTP handler of the interface: finds the route, checks the operator token, limits the time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, FutureExt, LocalBoxFuture, select};

use crate::api::backend::{Backend, CallContext};
use crate::api::endpoint::{self, RoutedRequest};
use crate::api::refusal::{ExecutionStatus, Reason, Refusal};
use crate::api::route::{Route, RouteError};
use crate::api::{header, reply};
use crate::clock::Clock;
use crate::http::{Handler, Request, Response};
use crate::telemetry::names;

/// Renders the metrics of the process as text.
pub type MetricsRenderer = Box<dyn Fn() -> String>;

/// Compares a text with the operator token, in time that does not depend on the text.
pub type TokenCheck = Box<dyn Fn(&str) -> bool>;

/// Options of a [`Service`].
pub struct Options {
    /// Checks the operator token; `None` if no token is configured.
    pub operator_token: Option<TokenCheck>,
    /// Renders the body of `/metrics`.
    pub metrics: MetricsRenderer,
    /// Handles quick requests of services; `None` if this instance does not accept them.
    pub requests: Option<Rc<dyn Handler>>,
}

/// HTTP handler of the interface.
pub struct Service {
    backend: Rc<dyn Backend>,
    clock: Rc<dyn Clock>,
    options: Options,
}

impl Service {
    /// Creates a handler that calls `backend`.
    pub fn new(backend: Rc<dyn Backend>, clock: Rc<dyn Clock>, options: Options) -> Self {
        Self { backend, clock, options }
    }

    async fn respond(&self, peer: SocketAddr, request: Request) -> Response {
        let route = match Route::find(request.method(), request.uri().path()) {
            Ok(route) => route,
            Err(error) => return route_error_response(error),
        };
        let name = route.name();
        let start = self.clock.now();
        let response = match self.dispatch(peer, route, request).await {
            Ok(response) => response,
            Err(refusal) => {
                log_refusal(peer, name, &refusal);
                reply::refusal(refusal)
            }
        };
        names::API_REQUESTS
            .increment(&[("route", name), ("status", status_class(response.status()))]);
        names::API_REQUEST.record(self.clock.now().since(start), &[("route", name)]);
        response
    }

    async fn dispatch(
        &self,
        peer: SocketAddr,
        route: Route,
        request: Request,
    ) -> Result<Response, Refusal> {
        self.authorize(&route, &request)?;
        match route {
            Route::Request => self.forward(peer, request).await,
            Route::Metrics => Ok(reply::text((self.options.metrics)())),
            route => {
                let call = CallContext { within: header::timeout(request.headers())?, by: None };
                let within = call.within;
                let on_timeout = timeout_refusal(&route, within);
                let routed = RoutedRequest { peer, call, route, request };
                let response = endpoint::handle(&*self.backend, &*self.clock, routed);
                self.with_timeout(within, on_timeout, response.boxed_local()).await
            }
        }
    }

    fn authorize(&self, route: &Route, request: &Request) -> Result<(), Refusal> {
        let Some(is_token) = &self.options.operator_token else { return Ok(()) };
        if !route.requires_operator_token() {
            return Ok(());
        }
        let message = match header::bearer(request.headers()) {
            Some(token) if is_token(token) => return Ok(()),
            Some(_) => "the operator token is wrong",
            None => "this call requires the operator token as `authorization: Bearer ...`",
        };
        Err(Refusal::not_run(Reason::Unauthorized, message))
    }

    async fn forward(&self, peer: SocketAddr, request: Request) -> Result<Response, Refusal> {
        let message = "this instance does not accept requests of services";
        let handler = self.options.requests.as_ref();
        let handler = handler.ok_or_else(|| Refusal::not_run(Reason::NotFound, message))?;
        Ok(handler.handle(peer, request).await)
    }

    /// Drops the call when its time limit passes, so that a caller gets a response even if the
    /// backend hangs.
    async fn with_timeout(
        &self,
        within: Duration,
        on_timeout: Refusal,
        response: LocalBoxFuture<'_, Result<Response, Refusal>>,
    ) -> Result<Response, Refusal> {
        match select(response, self.clock.sleep(within)).await {
            Either::Left((response, _)) => response,
            Either::Right(_) => Err(on_timeout),
        }
    }
}

impl Handler for Service {
    fn handle(&self, peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        async move {
            let mut response = self.respond(peer, request).await;
            reply::set_identity(&mut response, &self.backend.identity());
            response
        }
        .boxed_local()
    }
}

fn timeout_refusal(route: &Route, within: Duration) -> Refusal {
    let waited = within.as_millis();
    if route.is_change() {
        let message = format!("no answer within {waited} ms; it may still take effect");
        return Refusal::unknown(Reason::Deadline, message);
    }
    Refusal::not_run(Reason::Deadline, format!("no answer within {waited} ms"))
}

fn route_error_response(error: RouteError) -> Response {
    match error {
        RouteError::NotFound => {
            let message = "no route has this path; docs/API.md lists all paths";
            reply::refusal(Refusal::not_run(Reason::NotFound, message))
        }
        RouteError::InvalidJobId => {
            let message = "a job's id has 16 hexadecimal digits";
            reply::refusal(Refusal::invalid("id", message))
        }
        RouteError::MethodNotAllowed(allowed) => {
            let message = format!("this path supports {allowed} only");
            let refusal = Refusal::not_run(Reason::MethodNotAllowed, message);
            let mut response = reply::refusal(refusal);
            reply::set_allow(&mut response, allowed);
            response
        }
    }
}

/// Logs a refusal: as a warning if the outcome is unknown or the error internal, else at debug
/// level, because the caller receives the reason.
fn log_refusal(peer: SocketAddr, route: &str, refusal: &Refusal) {
    let Refusal { ran, reason, .. } = refusal;
    if *ran == ExecutionStatus::Unknown || *reason == Reason::Internal {
        log::warn!("event=api.refused route={route} peer={peer} reason={reason} ran={ran}");
    } else {
        log::debug!("event=api.refused route={route} peer={peer} reason={reason} ran={ran}");
    }
}

/// Returns the class of a status code, which keeps the number of metric label values small.
fn status_class(status: ::http::StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        2 => "2xx",
        4 => "4xx",
        5 => "5xx",
        _ => "other",
    }
}
