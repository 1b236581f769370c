//! Borders to the outside with their calls counted and timed.
//!
//! Each type wraps the adapter of one border and is one itself, so that neither side knows.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{Counter, Histogram, names};
use crate::membership::{self, Member, Source};
use crate::runner::transport as runner;
use crate::store::{self, AppendOutcome, Offset, Page};
use crate::worker::{self, Exchange, Fault, Report};

/// The platform's log, measured.
pub struct Store(pub Rc<dyn store::Store>);

impl store::Store for Store {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, store::Error>> {
        names::LOG_APPEND_BYTES.add(payload.len() as u64, &[]);
        let append = self.0.append(stream, payload);
        measured(append, names::LOG_APPENDS, names::LOG_APPEND, |result| match result {
            Ok(_) => "written",
            Err(error) if error.outcome == AppendOutcome::NotWritten => "not_written",
            Err(_) => "unknown",
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, store::Error>> {
        let read = self.0.read(stream, from, wait);
        counted(read, names::LOG_READS, |result| match result {
            Ok(_) => "answered",
            Err(_) => "failed",
        })
    }
}

/// The workers, measured.
pub struct Workers(pub Rc<dyn worker::Link>);

impl worker::Link for Workers {
    fn exchange<'a>(
        &'a self,
        peer: SocketAddr,
        exchange: &'a Exchange,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Report, worker::Error>> {
        let exchange = self.0.exchange(peer, exchange, timeout);
        counted(exchange, names::EXCHANGES, |result| match result.as_ref().map_err(|e| &e.fault) {
            Ok(_) => "answered",
            Err(Fault::Fenced(_)) => "fenced",
            Err(Fault::NotSent(_)) => "not_sent",
            Err(Fault::Unknown(_)) => "unknown",
        })
    }
}

/// The runners, measured.
pub struct Runners(pub Rc<dyn runner::RunnerTransport>);

impl runner::RunnerTransport for Runners {
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        call: &'a runner::Call,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<runner::Answer, runner::Error>> {
        let call = self.0.call(peer, call, timeout);
        measured(call, names::RUNNER_CALLS, names::RUNNER_CALL, |result| {
            match result.as_ref().map_err(|e| &e.fault) {
                Ok(_) => "answered",
                Err(runner::Fault::NotSent(_)) => "not_sent",
                Err(runner::Fault::Broken(_)) => "broken",
                Err(runner::Fault::Mismatched) => "mismatched",
            }
        })
    }
}

/// The platform's list of instances, measured.
pub struct List(pub Rc<dyn Source>);

impl Source for List {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, membership::Error>> {
        counted(self.0.list(), names::LIST_FETCHES, |result| match result {
            Ok(_) => "answered",
            Err(_) => "failed",
        })
    }
}

fn counted<'a, T: 'a>(
    call: LocalBoxFuture<'a, T>,
    counter: Counter,
    outcome: impl Fn(&T) -> &'static str + 'a,
) -> LocalBoxFuture<'a, T> {
    call.inspect(move |result| counter.increment(&[("outcome", outcome(result))])).boxed_local()
}

fn measured<'a, T: 'a>(
    call: LocalBoxFuture<'a, T>,
    counter: Counter,
    span: Histogram,
    outcome: impl Fn(&T) -> &'static str + 'a,
) -> LocalBoxFuture<'a, T> {
    let start = Instant::now();
    let timed = call.inspect(move |_| span.record(start.elapsed(), &[])).boxed_local();
    counted(timed, counter, outcome)
}
