//! The handler of the interface: finds the route, checks the caller, bounds the time.

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

/// Renders the metrics of the process.
pub type MetricsRenderer = Box<dyn Fn() -> String>;

/// Tells whether a text is the operators' token, in a time that does not depend on the text.
pub type TokenCheck = Box<dyn Fn(&str) -> bool>;

/// What the handler needs besides the backend.
pub struct Options {
    /// Checks the token that operators have to present, when one is set.
    pub operator_token: Option<TokenCheck>,
    /// Renders what `/metrics` answers.
    pub metrics: MetricsRenderer,
    /// Answers the quick requests of services, when the instance takes them.
    pub requests: Option<Rc<dyn Handler>>,
}

/// The handler of the interface.
pub struct Service {
    backend: Rc<dyn Backend>,
    clock: Rc<dyn Clock>,
    options: Options,
}

impl Service {
    /// Builds the handler over a backend.
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
                let answer = endpoint::answer(&*self.backend, &*self.clock, routed);
                self.with_timeout(within, on_timeout, answer.boxed_local()).await
            }
        }
    }

    fn authorize(&self, route: &Route, request: &Request) -> Result<(), Refusal> {
        let Some(is_token) = &self.options.operator_token else { return Ok(()) };
        if !route.requires_operator_token() {
            return Ok(());
        }
        let message = match header::bearer(request.headers()) {
            Some(offered) if is_token(offered) => return Ok(()),
            Some(_) => "the operators' token is wrong",
            None => "this call needs the operators' token as `authorization: Bearer ...`",
        };
        Err(Refusal::not_run(Reason::Unauthorized, message))
    }

    async fn forward(&self, peer: SocketAddr, request: Request) -> Result<Response, Refusal> {
        let message = "this instance takes no requests of services";
        let handler = self.options.requests.as_ref();
        let handler = handler.ok_or_else(|| Refusal::not_run(Reason::NotFound, message))?;
        Ok(handler.handle(peer, request).await)
    }

    /// Drops an answer that does not come in time, so that a caller never hangs on a fault inside.
    async fn with_timeout(
        &self,
        within: Duration,
        on_timeout: Refusal,
        answer: LocalBoxFuture<'_, Result<Response, Refusal>>,
    ) -> Result<Response, Refusal> {
        match select(answer, self.clock.sleep(within)).await {
            Either::Left((answer, _)) => answer,
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
            let message = "nothing has this path; docs/API.md lists all paths";
            reply::refusal(Refusal::not_run(Reason::NotFound, message))
        }
        RouteError::InvalidJobId => {
            let message = "a job's id has 16 hexadecimal digits";
            reply::refusal(Refusal::invalid("id", message))
        }
        RouteError::MethodNotAllowed(allowed) => {
            let message = format!("this path takes {allowed} only");
            let refusal = Refusal::not_run(Reason::MethodNotAllowed, message);
            let mut response = reply::refusal(refusal);
            reply::set_allow(&mut response, allowed);
            response
        }
    }
}

/// Logs a refusal; what is the caller's own mistake is told to the caller and logged quietly.
fn log_refusal(peer: SocketAddr, route: &str, refusal: &Refusal) {
    let Refusal { ran, reason, .. } = refusal;
    if *ran == ExecutionStatus::Unknown || *reason == Reason::Internal {
        log::warn!("event=api.refused route={route} peer={peer} reason={reason} ran={ran}");
    } else {
        log::debug!("event=api.refused route={route} peer={peer} reason={reason} ran={ran}");
    }
}

/// The class of a status, as a label of few values.
fn status_class(status: ::http::StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        2 => "2xx",
        4 => "4xx",
        5 => "5xx",
        _ => "other",
    }
}
