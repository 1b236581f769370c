//! Stand-in of the platform's lagging list of instances.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::header::{ETAG, IF_NONE_MATCH};
use ::http::{HeaderValue, Method, StatusCode};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Bound, reply};
use crate::clock::{Clock, System};
use crate::http::{Handler, Request, Response};
use crate::membership::{Member, wire};

mod state;

pub use state::State;

const CONNECTIONS: usize = 1_024;

/// How the list starts.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Time until a change shows.
    pub lag: Duration,
    /// The list shown at first.
    pub members: Vec<Member>,
}

/// Body of `POST /control`; what is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Answer 503 to every request for the list.
    pub outage: Option<bool>,
    /// Time until a change shows, in milliseconds.
    pub lag_ms: Option<u64>,
}

/// Takes an address for a list.
///
/// # Errors
///
/// Fails when the address cannot be taken.
pub fn bind(addr: SocketAddr, options: Options) -> io::Result<Bound> {
    Bound::new(addr, CONNECTIONS, Rc::new(Instances::new(options)))
}

struct Instances {
    state: RefCell<State>,
    lag: Cell<Duration>,
    outage: Cell<bool>,
    clock: System,
}

impl Instances {
    fn new(options: Options) -> Self {
        Self {
            state: RefCell::new(State::new(options.members)),
            lag: Cell::new(options.lag),
            outage: Cell::new(false),
            clock: System::start(),
        }
    }

    fn answer(&self, request: &Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => self.control(request),
            (&Method::GET, "/v1/instances") if self.outage.get() => reply::unavailable(),
            (&Method::GET, "/v1/instances") => self.list(request),
            (&Method::PUT, "/v1/instances") => self.replace(request),
            _ => reply::unknown(),
        }
    }

    fn control(&self, request: &Request) -> Response {
        reply::control(request, |control: &Control| {
            self.outage.set(control.outage.unwrap_or(self.outage.get()));
            self.lag.set(control.lag_ms.map_or(self.lag.get(), Duration::from_millis));
        })
    }

    /// Shows the list, without a body to a caller that names the version it has already.
    fn list(&self, request: &Request) -> Response {
        let mut state = self.state.borrow_mut();
        let members = state.shown(self.clock.now(), self.lag.get());
        let mut response = reply::json(&members.iter().map(wire::Member::from).collect::<Vec<_>>());
        let version = version(response.body());
        if request.headers().get(IF_NONE_MATCH) == Some(&version) {
            response = reply::empty(StatusCode::NOT_MODIFIED);
        }
        response.headers_mut().insert(ETAG, version);
        response
    }

    fn replace(&self, request: &Request) -> Response {
        let members = match reply::parse::<Vec<wire::Member>>(request) {
            Ok(members) => members,
            Err(response) => return *response,
        };
        match members.into_iter().map(Member::try_from).collect() {
            Ok(members) => {
                self.state.borrow_mut().replace(self.clock.now(), members);
                reply::text(StatusCode::OK, "")
            }
            Err(error) => reply::text(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

fn version(body: &[u8]) -> HeaderValue {
    let text = format!("\"{:016x}\"", xxh3_64(body));
    // Quoted hexadecimal digits always make a header.
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("\"\""))
}

impl Handler for Instances {
    fn handle(&self, _peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        std::future::ready(self.answer(&request)).boxed_local()
    }
}
