//! Stand-in of the platform's append-only log.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::{Method, StatusCode};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use super::signal::Signal;
use super::{Bound, reply};
use crate::clock::{Clock, Instant, System};
use crate::http::{Handler, Request, Response};
use crate::store::wire;

mod state;

pub use state::{Bounds, State, Tally};

/// Records kept of each stream unless told otherwise.
pub const RETENTION: usize = 100_000;

const CONNECTIONS: usize = 1_024;
const PAGE_RECORDS: u64 = 1_000;

/// Largest record, and payload bytes of one page. In base64 it stays within the body that a client
/// takes by default.
const PAGE_BYTES: usize = 512 << 10;
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Time after which a dropped answer's connection is given up.
const DROPPED_FOR: Duration = Duration::from_secs(30);

/// Prefix of the paths of streams.
const STREAMS: &str = "/v1/streams/";

/// How the log starts.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Records kept of each stream.
    pub retention: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { retention: RETENTION }
    }
}

/// Body of `POST /control`; what is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Answer 503 to everything and change nothing.
    pub outage: Option<bool>,
    /// Appends to carry out without ever answering, from now on.
    pub drop_answers: Option<u32>,
    /// Delay before each answer, in milliseconds.
    pub latency_ms: Option<u64>,
    /// Records kept of each stream.
    pub retention: Option<usize>,
}

/// Body of the answer to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Reads that wait for a record.
    pub waiting: u32,
    /// Counts of each stream.
    pub streams: BTreeMap<String, Counts>,
}

/// JSON form of [`Tally`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Oldest offset still kept.
    pub oldest: u64,
    /// Appends ever made.
    pub appends: u64,
    /// Payload bytes ever appended.
    pub bytes: u64,
    /// Reads answered.
    pub reads: u64,
}

impl From<Tally> for Counts {
    fn from(tally: Tally) -> Self {
        let Tally { oldest, end, bytes, reads } = tally;
        Self { oldest, appends: end, bytes, reads }
    }
}

/// Takes an address for a log.
///
/// # Errors
///
/// Fails when the address cannot be taken.
pub fn bind(addr: SocketAddr, options: Options) -> io::Result<Bound> {
    Bound::new(addr, CONNECTIONS, Rc::new(Log::new(options)))
}

struct Log {
    state: RefCell<State>,
    outage: Cell<bool>,
    drop_answers: Cell<u32>,
    latency: Cell<Duration>,
    waiting: Cell<u32>,
    changed: Signal,
    clock: System,
}

impl Log {
    fn new(options: Options) -> Self {
        Self {
            state: RefCell::new(State::new(options.retention)),
            outage: Cell::new(false),
            drop_answers: Cell::new(0),
            latency: Cell::new(Duration::ZERO),
            waiting: Cell::new(0),
            changed: Signal::default(),
            clock: System::start(),
        }
    }

    async fn answer(&self, request: Request) -> Response {
        let path = request.uri().path();
        match (request.method(), path, path.strip_prefix(STREAMS)) {
            (&Method::POST, "/control", _) => self.control(&request),
            (&Method::GET, "/v1/state", _) => reply::json(&self.snapshot()),
            (&Method::POST, _, Some(stream)) => self.append(stream, &request).await,
            (&Method::GET, _, Some(stream)) => self.read(stream, &request).await,
            _ => reply::unknown(),
        }
    }

    fn control(&self, request: &Request) -> Response {
        reply::control(request, |control: &Control| {
            self.outage.set(control.outage.unwrap_or(self.outage.get()));
            self.drop_answers.set(control.drop_answers.unwrap_or(self.drop_answers.get()));
            let latency = control.latency_ms.map(Duration::from_millis);
            self.latency.set(latency.unwrap_or(self.latency.get()));
            if let Some(retention) = control.retention {
                self.state.borrow_mut().set_retention(retention);
            }
            self.changed.raise();
        })
    }

    fn snapshot(&self) -> Snapshot {
        let state = self.state.borrow();
        let streams = state.tallies().map(|(name, tally)| (name.to_owned(), tally.into()));
        Snapshot { waiting: self.waiting.get(), streams: streams.collect() }
    }

    async fn append(&self, stream: &str, request: &Request) -> Response {
        self.delay().await;
        if self.outage.get() {
            return reply::unavailable();
        }
        if request.body().len() > PAGE_BYTES {
            return reply::text(StatusCode::PAYLOAD_TOO_LARGE, "record too large");
        }
        let offset = self.state.borrow_mut().append(stream, request.body().clone());
        self.changed.raise();
        if let Some(left) = self.drop_answers.get().checked_sub(1) {
            self.drop_answers.set(left);
            self.clock.sleep(DROPPED_FOR).await;
            return reply::text(StatusCode::GATEWAY_TIMEOUT, "answer dropped");
        }
        reply::json(&wire::Appended { offset })
    }

    async fn read(&self, stream: &str, request: &Request) -> Response {
        self.delay().await;
        let number = |name| reply::number(request, name);
        let from = number("from").unwrap_or(0);
        let limit = number("limit").unwrap_or(PAGE_RECORDS).clamp(1, PAGE_RECORDS);
        let records = usize::try_from(limit).unwrap_or(usize::MAX);
        let bounds = Bounds { records, bytes: PAGE_BYTES };
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(LONGEST_WAIT);
        let until = self.clock.now().after(wait);
        loop {
            if self.outage.get() {
                return reply::unavailable();
            }
            let now = self.clock.now();
            if now >= until || self.has_records(stream, from) {
                let page = self.state.borrow_mut().read(stream, from, bounds);
                return reply::json(&wire::Page::from(&page));
            }
            self.wait(now, until).await;
        }
    }

    fn has_records(&self, stream: &str, from: u64) -> bool {
        self.state.borrow().tally(stream).end > from
    }

    async fn wait(&self, now: Instant, until: Instant) {
        self.waiting.set(self.waiting.get() + 1);
        self.changed.raised_within(until.since(now)).await;
        self.waiting.set(self.waiting.get() - 1);
    }

    async fn delay(&self) {
        if !self.latency.get().is_zero() {
            self.clock.sleep(self.latency.get()).await;
        }
    }
}

impl Handler for Log {
    fn handle(&self, _peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        self.answer(request).boxed_local()
    }
}
