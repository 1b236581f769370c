//! Explanations for operators: the owner gives them, and every instance passes them on.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};

use super::Node;
use crate::cell::Id;
use crate::cell::explain::{RateLimit, Reply, Request, Subject};
use crate::cell::machine::Machine;
use crate::cell::peer::EXPLAIN;
use crate::clock::Instant;
use crate::peer::{CallPhase, Code};

/// Time for which an instance waits for the owner's report.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the owner's metrics are given out again before they are computed anew.
const METRICS_MAX_AGE: Duration = Duration::from_secs(1);

/// Time for which a scrape waits for the owner's metrics. Without them it has those of the process.
const METRICS_TIMEOUT: Duration = Duration::from_millis(500);

/// Explanations of an instance that may own cells.
#[derive(Default)]
pub(super) struct Explanations {
    limit: Cell<RateLimit>,
    /// When the owner's metrics were computed last, and the metrics.
    metrics: RefCell<Option<(Instant, String)>>,
}

/// A report in progress. It ends when it is dropped, also with a caller that has gone.
struct Turn<'a>(&'a Cell<RateLimit>);

impl<'a> Turn<'a> {
    fn begin(limit: &'a Cell<RateLimit>, now: Instant) -> Option<Self> {
        let mut next = limit.get();
        let begins = next.begin(now);
        limit.set(next);
        begins.then_some(Self(limit))
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut next = self.0.get();
        next.end();
        self.0.set(next);
    }
}

/// Why there is no explanation.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Unexplained {
    /// The owner does not know the job.
    #[display(
        "the owner neither knows this job nor has refused a call for it; calls that an instance \
         refused itself are counted in its metric oriolefork_callers_denied_total"
    )]
    UnknownJob,
    /// No owner is known.
    #[display("no owner of the cell is known to this instance; ask again in a second")]
    NoOwner,
    /// The owner is of a version that cannot explain.
    #[display(
        "the owner {owner} is of an earlier version, which cannot explain; ask again after its \
         upgrade, and look into its log until then"
    )]
    EarlierVersion {
        /// The owner.
        owner: SocketAddr,
    },
    /// The owner gives no more reports in this second.
    #[display("the owner gives few reports a second; ask again in a second")]
    Busy,
    /// The owner did not answer.
    #[display("the owner {owner} did not answer: {cause}")]
    NoAnswer {
        /// The owner.
        owner: SocketAddr,
        /// What happened.
        cause: String,
    },
}

impl Node {
    /// Returns the report of the cell's owner about `subject`, in JSON.
    ///
    /// # Errors
    /// Returns why there is none.
    pub async fn explain(&self, cell: Id, subject: Subject) -> Result<String, Unexplained> {
        let request = Request { cell, subject };
        if self.owner_handle(cell).is_some() {
            return report(self.me, self.answer_explain(request).await);
        }
        let mut owner = self.known_owner(cell).ok_or(Unexplained::NoOwner)?;
        let mut reply = self.ask_owner(owner, &request).await?;
        if let Reply::NotOwner(Some(next)) = reply
            && next != owner
        {
            owner = next;
            reply = self.ask_owner(owner, &request).await?;
        }
        report(owner, reply)
    }

    /// Explains a subject if this instance owns the cell.
    pub(super) async fn answer_explain(&self, request: Request) -> Reply {
        let Some(handle) = self.owner_handle(request.cell) else {
            return Reply::NotOwner(self.known_owner(request.cell));
        };
        let Some(_turn) = Turn::begin(&self.explanations.limit, self.deps.clock.now()) else {
            return Reply::Busy;
        };
        let explain = move |machine: &Machine, _| machine.explain(request.subject);
        handle.inspect(explain).await.unwrap_or(Reply::Interrupted)
    }

    /// Metrics of a cell in the Prometheus text format; empty if this instance does not own it.
    pub async fn owner_metrics(&self, cell: Id) -> String {
        let Some(handle) = self.owner_handle(cell) else { return String::new() };
        let now = self.deps.clock.now();
        let kept = self.explanations.metrics.borrow().clone();
        if let Some((_, metrics)) = kept.filter(|(at, _)| now.since(*at) < METRICS_MAX_AGE) {
            return metrics;
        }
        let read = handle.inspect(|machine: &Machine, _| machine.metrics());
        let metrics = monoio::time::timeout(METRICS_TIMEOUT, read).await.ok().flatten();
        let metrics = metrics.unwrap_or_default();
        *self.explanations.metrics.borrow_mut() = Some((now, metrics.clone()));
        metrics
    }

    fn known_owner(&self, cell: Id) -> Option<SocketAddr> {
        self.owner(cell).filter(|owner| *owner != self.me)
    }

    async fn ask_owner(&self, owner: SocketAddr, request: &Request) -> Result<Reply, Unexplained> {
        let reply = self.deps.peers.call(owner, EXPLAIN, request, TIMEOUT).await;
        reply.map_err(|error| match error.step {
            CallPhase::Refused(Code::UnknownMethod) => Unexplained::EarlierVersion { owner },
            _ => Unexplained::NoAnswer { owner, cause: error.to_string() },
        })
    }
}

fn report(owner: SocketAddr, reply: Reply) -> Result<String, Unexplained> {
    match reply {
        Reply::Report(report) => Ok(report),
        Reply::UnknownJob => Err(Unexplained::UnknownJob),
        Reply::NotOwner(_) => Err(Unexplained::NoOwner),
        Reply::Busy => Err(Unexplained::Busy),
        Reply::Interrupted => {
            let cause = "it ceased to own the cell".to_owned();
            Err(Unexplained::NoAnswer { owner, cause })
        }
    }
}
