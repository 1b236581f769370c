//! Stand-in of a worker, an upstream that runs tasks under leases.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::{Method, StatusCode};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::signal::Signal;
use super::{Bound, reply};
use crate::clock::{Clock, Instant, System};
use crate::domain::Epoch;
use crate::http::{Handler, Request, Response};
use crate::worker::{Exchange, wire};

mod instruction;
mod journal;
mod pace;
mod state;
mod view;

pub use instruction::{End, Instruction};
pub use journal::{Journal, Overcommit, Run};
pub use pace::{Factor, InvalidFactor, Pace};
pub use state::{Options, State};
pub use view::{Control, Snapshot, TaskView};

const CONNECTIONS: usize = 64;
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Takes an address for a worker.
///
/// # Errors
///
/// Fails when the address cannot be taken.
pub fn bind(addr: SocketAddr, options: Options) -> io::Result<Bound> {
    Bound::new(addr, CONNECTIONS, Rc::new(Worker::new(options)))
}

struct Worker {
    state: RefCell<State>,
    paused: Cell<bool>,
    changed: Signal,
    clock: System,
}

impl Worker {
    fn new(options: Options) -> Self {
        let run = u64::from(rand::random::<u32>()) << u16::BITS;
        Self {
            state: RefCell::new(State::new(options, run)),
            paused: Cell::new(false),
            changed: Signal::default(),
            clock: System::start(),
        }
    }

    async fn answer(&self, request: Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => self.control(&request),
            (&Method::GET, "/v1/state") => reply::json(&self.snapshot()),
            (&Method::POST, "/v1/exchange") => self.exchange(&request).await,
            _ => reply::unknown(),
        }
    }

    fn control(&self, request: &Request) -> Response {
        reply::control(request, |control: &Control| {
            self.paused.set(control.pause.unwrap_or(self.paused.get()));
            control.apply(&mut self.state.borrow_mut().options);
            self.changed.raise();
        })
    }

    fn snapshot(&self) -> Snapshot {
        let (now, unix) = (self.clock.now(), self.clock.unix());
        let mut state = self.state.borrow_mut();
        state.advance(now);
        Snapshot::new(&state, now, unix)
    }

    async fn exchange(&self, request: &Request) -> Response {
        self.while_paused().await;
        let exchange = reply::parse::<wire::Exchange>(request);
        let exchange = match exchange.map(Exchange::try_from) {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(error)) => return reply::text(StatusCode::BAD_REQUEST, &error.to_string()),
            Err(response) => return *response,
        };
        if let Err(epoch) = self.state.borrow_mut().apply(self.clock.now(), &exchange) {
            return fenced(epoch);
        }
        self.changed.raise();
        self.hold(&exchange).await;
        self.while_paused().await;
        self.report(&exchange)
    }

    /// Holds the answer back until there is something to report.
    async fn hold(&self, exchange: &Exchange) {
        let until = self.clock.now().after(exchange.wait.min(LONGEST_WAIT));
        loop {
            let now = self.clock.now();
            let Some(next) = self.next_event(now, exchange).filter(|_| now < until) else {
                return;
            };
            self.changed.raised_within(next.min(until).since(now)).await;
        }
    }

    /// When something will change for the caller, or `None` when something already has.
    fn next_event(&self, now: Instant, exchange: &Exchange) -> Option<Instant> {
        let mut state = self.state.borrow_mut();
        state.advance(now);
        let superseded = state.epoch() > exchange.epoch;
        if superseded || state.has_news(exchange.seen) {
            return None;
        }
        Some(state.next_event().unwrap_or(now.after(LONGEST_WAIT)))
    }

    fn report(&self, exchange: &Exchange) -> Response {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.advance(now);
        if state.epoch() > exchange.epoch {
            return fenced(state.epoch());
        }
        reply::json(&wire::Report::from(&state.report(now, exchange.seen)))
    }

    async fn while_paused(&self) {
        while self.paused.get() {
            self.changed.raised().await;
        }
    }
}

fn fenced(epoch: Epoch) -> Response {
    reply::json_with(StatusCode::CONFLICT, &wire::Fenced { fenced_by: epoch })
}

impl Handler for Worker {
    fn handle(&self, _peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        self.answer(request).boxed_local()
    }
}
