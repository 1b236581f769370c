//! The decision logic of one instance over all partitions, without I/O.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::admission_decision::AdmissionDecision;
use super::context::Context;
use super::key::Request;
use super::lane::Lane;
use super::partition::Partition;
use super::policy::{PARTITIONS, Policy};
use super::queue::Writer;
use super::record::Entry;
use super::token_bucket::TokenBucket;
use crate::clock::{Instant, Unix};
use crate::store::{AppendOutcome, Offset, Page};

/// Identity of a request at one instance, chosen by whoever runs the machine.
pub type RequestId = u64;

/// The present on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// On the monotonic clock.
    pub instant: Instant,
    /// On the wall clock.
    pub unix: Unix,
}

/// What happens to a machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Read every partition before the first request needs it.
    Preload,
    /// A request wants to run.
    Submit {
        /// Its identity here.
        request_id: RequestId,
        /// The request.
        request: Request,
        /// How long it waits for the log.
        timeout: Duration,
    },
    /// A withdrawal or outcome is to be recorded.
    Record(Entry),
    /// A call to the log has ended.
    CallEnded {
        /// Partition it was made for.
        partition: u16,
        /// What it gave.
        call: CallResult,
    },
    /// Time has passed.
    Tick,
}

/// A call to the log that has ended.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// An append, with its offset or what is known of its effect.
    Append(Result<Offset, AppendOutcome>),
    /// A read; `None` when it failed.
    Read(Option<Page>),
}

/// What a machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append a record to a partition's stream.
    Append {
        /// The partition.
        partition: u16,
        /// The record.
        payload: Bytes,
    },
    /// Read a partition's stream.
    Read {
        /// The partition.
        partition: u16,
        /// First offset wanted.
        from: Offset,
    },
    /// Answer a request. Each submitted request is answered once.
    Reply {
        /// The request.
        request_id: RequestId,
        /// Its answer.
        decision: AdmissionDecision,
    },
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Intents sent to the log.
    pub intents: u64,
    /// Appends made.
    pub appends: u64,
    /// Reads made.
    pub reads: u64,
    /// Appends whose answer did not tell whether they took effect.
    pub unconfirmed: u64,
    /// Batches that landed where the writer had read to: nothing came in between.
    pub contiguous: u64,
}

/// The decision logic of one instance.
#[derive(Debug)]
pub struct Machine {
    lanes: Vec<Lane>,
    writer: Writer,
    budget: TokenBucket,
    stats: Stats,
}

impl Machine {
    /// Starts a machine for the process `run` of the instance `name`.
    pub fn new(name: &str, run: u64, policy: Policy) -> Self {
        let budget = TokenBucket::new(policy.appends_per_second, policy.burst);
        let policy = Rc::new(policy);
        let lanes = (0..PARTITIONS).map(|number| Lane::new(number, Rc::clone(&policy))).collect();
        let writer = Writer { name: name.to_owned(), run, serial: 0 };
        Self { lanes, writer, budget, stats: Stats::default() }
    }

    /// Takes one input and returns what is to be done.
    pub fn handle(&mut self, input: Input, now: Now) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut context = Context {
            now,
            writer: &mut self.writer,
            budget: &mut self.budget,
            stats: &mut self.stats,
            effects: &mut effects,
        };
        match input {
            Input::Preload => self.lanes.iter_mut().for_each(Lane::preload),
            Input::Submit { request_id, request, timeout } => {
                let lane = &mut self.lanes[usize::from(request.key.partition())];
                lane.submit(request_id, request, timeout, &mut context);
            }
            Input::Record(entry) => {
                let lane = &mut self.lanes[usize::from(entry.key().partition())];
                lane.owe(entry, now.instant);
            }
            Input::CallEnded { partition, call } => {
                let lane = &mut self.lanes[usize::from(partition)];
                match call {
                    CallResult::Append(answer) => lane.appended(answer, &mut context),
                    CallResult::Read(page) => lane.paged(page.as_ref(), &mut context),
                }
            }
            Input::Tick => {}
        }
        // The lane that has waited longest takes the scarce appends first.
        let mut order: Vec<&mut Lane> = self.lanes.iter_mut().collect();
        order.sort_by_key(|lane| lane.oldest());
        for lane in order {
            lane.advance(&mut context);
        }
        effects
    }

    /// When the machine wants a [`Input::Tick`] next.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        self.lanes.iter().filter_map(|lane| lane.next_wakeup(&self.budget, now)).min()
    }

    /// Whether nothing waits for the log.
    pub fn is_idle(&self) -> bool {
        self.lanes.iter().all(Lane::is_idle)
    }

    /// What is known of each partition.
    pub fn partitions(&self) -> impl Iterator<Item = &Partition> {
        self.lanes.iter().map(Lane::partition)
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }
}
