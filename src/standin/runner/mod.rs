//! Stand-in of a runner, an upstream that answers quick requests by echoing them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::{HeaderName, HeaderValue, Method, StatusCode};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use super::{Bound, reply};
use crate::clock::{Clock, System};
use crate::http::{Handler, Request, Response};

mod state;

pub use state::{State, Tally};

/// Header that carries the identity of a request and of its answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Connections for control beside those for requests.
const CONTROL_CONNECTIONS: usize = 4;

/// Identity in the answers of a runner that lies.
const WRONG_ID: HeaderValue = HeaderValue::from_static("wrong");

/// What the runner has and how long it takes.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Requests it works on at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Time that a request takes.
    pub latency: Duration,
}

/// Body of `POST /control`; what is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Time that a request takes, in milliseconds.
    pub latency_ms: Option<u64>,
    /// Answer 500 to every request.
    pub fail: Option<bool>,
    /// Answer with the identity of another request.
    pub lie: Option<bool>,
}

/// Body of the answer to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Requests begun.
    pub requests: u64,
    /// Requests begun whose identity had been seen before.
    pub repeated: u64,
    /// Requests in work now.
    pub in_flight: u32,
    /// Most requests in work at once.
    pub most_in_flight: u32,
    /// Requests begun while every slot was taken.
    pub beyond_slots: u64,
    /// Most connections with a request in work at once.
    pub most_connections: u32,
    /// Requests by identity with how often each was begun.
    pub served: BTreeMap<String, u32>,
}

impl From<&State> for Snapshot {
    fn from(state: &State) -> Self {
        let Tally { requests, repeated, in_flight, .. } = state.tally;
        let Tally { most_in_flight, beyond_slots, most_connections, .. } = state.tally;
        let served = state.served().clone();
        Self {
            requests,
            repeated,
            in_flight,
            most_in_flight,
            beyond_slots,
            most_connections,
            served,
        }
    }
}

/// Takes an address for a runner.
///
/// # Errors
///
/// Fails when the address cannot be taken.
pub fn bind(addr: SocketAddr, options: Options) -> io::Result<Bound> {
    let connections = usize::try_from(options.connections).unwrap_or(usize::MAX);
    let connections = connections.saturating_add(CONTROL_CONNECTIONS);
    Bound::new(addr, connections, Rc::new(Runner::new(options)))
}

struct Runner {
    state: RefCell<State>,
    latency: Cell<Duration>,
    fail: Cell<bool>,
    lie: Cell<bool>,
    clock: System,
}

impl Runner {
    fn new(options: Options) -> Self {
        Self {
            state: RefCell::new(State::new(options.slots)),
            latency: Cell::new(options.latency),
            fail: Cell::new(false),
            lie: Cell::new(false),
            clock: System::start(),
        }
    }

    async fn answer(&self, peer: SocketAddr, request: Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => self.control(&request),
            (&Method::GET, "/v1/state") => reply::json(&Snapshot::from(&*self.state.borrow())),
            (&Method::POST, "/v1/run") => self.run(peer, request).await,
            _ => reply::unknown(),
        }
    }

    fn control(&self, request: &Request) -> Response {
        reply::control(request, |control: &Control| {
            let latency = control.latency_ms.map(Duration::from_millis);
            self.latency.set(latency.unwrap_or(self.latency.get()));
            self.fail.set(control.fail.unwrap_or(self.fail.get()));
            self.lie.set(control.lie.unwrap_or(self.lie.get()));
        })
    }

    async fn run(&self, peer: SocketAddr, request: Request) -> Response {
        let id = request.headers().get(REQUEST_ID).cloned();
        let Some(id) = id.filter(|id| id.to_str().is_ok()) else {
            return reply::text(StatusCode::BAD_REQUEST, "no x-request-id");
        };
        let running = Running::begin(&self.state, peer, id.to_str().unwrap_or_default());
        self.clock.sleep(self.latency.get()).await;
        drop(running);
        if self.fail.get() {
            return reply::text(StatusCode::INTERNAL_SERVER_ERROR, "told to fail");
        }
        let mut response = Response::new(request.into_body());
        let id = if self.lie.get() { WRONG_ID } else { id };
        response.headers_mut().insert(REQUEST_ID, id);
        response
    }
}

/// A request in work, which ends when dropped.
struct Running<'a> {
    state: &'a RefCell<State>,
    peer: SocketAddr,
}

impl<'a> Running<'a> {
    fn begin(state: &'a RefCell<State>, peer: SocketAddr, id: &str) -> Self {
        state.borrow_mut().begin(peer, id);
        Self { state, peer }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.state.borrow_mut().end(self.peer);
    }
}

impl Handler for Runner {
    fn handle(&self, peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        self.answer(peer, request).boxed_local()
    }
}
