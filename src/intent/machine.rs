//! Decision logic of one instance for all partitions, without I/O.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::admission_decision::AdmissionDecision;
use super::context::Context;
use super::key::Request;
use super::partition::Partition;
use super::partition_client::PartitionClient;
use super::policy::{PARTITIONS, Policy};
use super::queue::WriterId;
use super::record::Entry;
use super::token_bucket::TokenBucket;
use crate::clock::{Instant, Unix};
use crate::store::{AppendOutcome, Offset, Page};

/// Identity of a request at one machine, chosen by the machine's caller.
pub type RequestId = u64;

/// Current time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock.
    pub instant: Instant,
    /// Wall clock.
    pub unix: Unix,
}

/// Input of a machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Read every partition before the first request arrives.
    Preload,
    /// A request asks to be executed.
    Submit {
        /// Identity of the request.
        request_id: RequestId,
        /// The request.
        request: Request,
        /// How long it may wait for the log.
        timeout: Duration,
    },
    /// A withdrawal or outcome to append to the log.
    Record(Entry),
    /// A call to the log has ended.
    CallEnded {
        /// Partition of the call.
        partition: u16,
        /// Result of the call.
        call: CallResult,
    },
    /// Time has passed.
    Tick,
}

/// Result of a call to the log.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// An append: its offset, or whether it may have been written.
    Append(Result<Offset, AppendOutcome>),
    /// A read: the page, or `None` if it failed.
    Read(Option<Page>),
}

/// Action that the machine's caller has to perform.
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
        /// First offset to read.
        from: Offset,
    },
    /// Answer a request. Each submitted request is answered exactly once.
    Reply {
        /// The request.
        request_id: RequestId,
        /// Answer to it.
        decision: AdmissionDecision,
    },
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Intents sent to the log.
    pub intents: u64,
    /// Appends made.
    pub appends: u64,
    /// Reads made.
    pub reads: u64,
    /// Appends that failed without showing whether the record was written.
    pub unconfirmed: u64,
    /// Batches written at the offset that their writer would have read next: no other writer
    /// appended in between.
    pub contiguous: u64,
}

/// Decision logic of one instance.
#[derive(Debug)]
pub struct Machine {
    clients: Vec<PartitionClient>,
    writer: WriterId,
    budget: TokenBucket,
    stats: Stats,
}

impl Machine {
    /// Creates a machine for the instance `name`; `run` identifies the process.
    pub fn new(name: &str, run: u64, policy: Policy) -> Self {
        let budget = TokenBucket::new(policy.appends_per_second, policy.burst);
        let policy = Rc::new(policy);
        let clients = (0..PARTITIONS)
            .map(|number| PartitionClient::new(number, Rc::clone(&policy)))
            .collect();
        let writer = WriterId { name: name.to_owned(), run, serial: 0 };
        Self { clients, writer, budget, stats: Stats::default() }
    }

    /// Handles an input and returns the actions to perform.
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
            Input::Preload => self.clients.iter_mut().for_each(PartitionClient::preload),
            Input::Submit { request_id, request, timeout } => {
                let client = &mut self.clients[usize::from(request.key.partition())];
                client.submit(request_id, request, timeout, &mut context);
            }
            Input::Record(entry) => {
                let client = &mut self.clients[usize::from(entry.key().partition())];
                client.enqueue_record(entry, now.instant);
            }
            Input::CallEnded { partition, call } => {
                let client = &mut self.clients[usize::from(partition)];
                match call {
                    CallResult::Append(answer) => client.append_ended(answer, &mut context),
                    CallResult::Read(page) => client.read_ended(page.as_ref(), &mut context),
                }
            }
            Input::Tick => {}
        }
        // Partitions share the append limit: the one that has waited longest goes first.
        let mut order: Vec<&mut PartitionClient> = self.clients.iter_mut().collect();
        order.sort_by_key(|client| client.oldest());
        for client in order {
            client.advance(&mut context);
        }
        effects
    }

    /// Time by which the machine needs an [`Input::Tick`].
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        self.clients.iter().filter_map(|client| client.next_wakeup(&self.budget, now)).min()
    }

    /// Whether no request or record waits for the log.
    pub fn is_idle(&self) -> bool {
        self.clients.iter().all(PartitionClient::is_idle)
    }

    /// State of each partition.
    pub fn partitions(&self) -> impl Iterator<Item = &Partition> {
        self.clients.iter().map(PartitionClient::partition)
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }
}
