//! Group commit of the owner's changes to the log.
//!
//! At most one batch is in flight. Its epoch and sequence number make it idempotent, so a batch
//! whose answer was lost is appended again until it is read from the stream.

use std::time::Duration;

use bytes::Bytes;

use crate::clock::Instant;
use crate::codec;
use crate::domain::Epoch;
use crate::owner::Ticket;
use crate::owner::record::{Batch, Entry, Record, ReplayPoint};

/// Maximum number of entries in one batch.
const MAX_ENTRIES: usize = 512;
/// Maximum size of one batch in bytes. Only a single larger entry exceeds it.
const MAX_BYTES: usize = 256 * 1024;
/// New work is refused while this many entries are pending.
pub const MAX_PENDING: usize = 16_384;
/// Pause before a batch is appended again for the first time; it doubles with every retry.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Upper limit of that pause.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Identifies an append, so that its answer is matched to it.
///
/// Answers can arrive out of order: a batch whose answer is late is appended twice, and the second
/// answer arrives when the next batch is already in flight. Without the tag it would be taken for
/// the answer to that batch, which may not have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag {
    /// A claim.
    Claim,
    /// A batch.
    Batch {
        /// Epoch of the owner.
        epoch: Epoch,
        /// Sequence number of the batch in that epoch.
        sequence: u64,
    },
}

/// A record to append.
#[derive(Clone, Debug)]
pub struct AppendRequest {
    /// Identifies the append.
    pub tag: Tag,
    /// The encoded record.
    pub payload: Bytes,
}

/// A change to be written, with the caller to answer once it is in the log.
#[derive(Clone, Debug)]
struct PendingEntry {
    entry: Entry,
    ticket: Option<Ticket>,
    bytes: usize,
}

/// The batch in flight.
#[derive(Clone, Debug)]
struct InFlight {
    sequence: u64,
    payload: Bytes,
    tickets: Vec<Ticket>,
    retry_at: Option<Instant>,
    retries: u32,
}

/// Changes to be written to the log, and the batch in flight.
#[derive(Clone, Debug)]
pub struct Journal {
    epoch: Epoch,
    delay: Duration,
    pending: Vec<PendingEntry>,
    in_flight: Option<InFlight>,
    last_sent_at: Option<Instant>,
    failing_since: Option<Instant>,
    /// Whether the next batch is sent even if it is empty: the first one, so that the stream soon
    /// contains a replay point for new readers, and those that show other instances that the owner
    /// is alive.
    send_empty: bool,
}

/// Sequence number of a batch, and the replay point that it names.
#[derive(Clone, Copy, Debug)]
pub struct BatchPosition {
    /// Number of earlier batches in the epoch.
    pub sequence: u64,
    /// Where a new reader starts its replay.
    pub replay_point: ReplayPoint,
}

impl Journal {
    /// Creates the journal of the owner of `epoch`, with at least `delay` between two batches.
    pub fn new(epoch: Epoch, delay: Duration) -> Self {
        Self {
            epoch,
            delay,
            pending: Vec::new(),
            in_flight: None,
            last_sent_at: None,
            failing_since: None,
            send_empty: true,
        }
    }

    /// Adds a change, with the caller to answer. The size of fields set by callers is limited far
    /// below the size limit of a record.
    pub fn push(&mut self, entry: Entry, ticket: Option<Ticket>) {
        let bytes = codec::encode(&entry).map_or(MAX_BYTES, |encoded| encoded.len());
        self.pending.push(PendingEntry { entry, ticket, bytes });
    }

    /// Whether new changes should be refused.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING
    }

    /// Whether no change is pending and no batch is in flight.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Time since which appends have failed.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing_since
    }

    /// The append of the batch in flight, if it is due again.
    pub fn retry(&mut self, now: Instant) -> Option<AppendRequest> {
        let batch = self.in_flight.as_mut()?;
        batch.retry_at.take_if(|at| now >= *at)?;
        self.append_request()
    }

    /// Makes the next batch due even if it is empty, unless one was sent within `interval`.
    pub fn keep_alive(&mut self, now: Instant, interval: Duration) {
        self.send_empty |= self.last_sent_at.is_none_or(|sent| now.since(sent) >= interval);
    }

    /// Whether a new batch may be sent.
    pub fn is_idle(&self, now: Instant) -> bool {
        let too_early = self.last_sent_at.is_some_and(|sent| now.since(sent) < self.delay);
        self.in_flight.is_none() && !too_early
    }

    /// Forms the next batch and returns its append; `None` if there is nothing to write.
    ///
    /// `snapshots` describe the state before the batch, so they precede its changes.
    pub fn send_batch(
        &mut self,
        now: Instant,
        position: BatchPosition,
        snapshots: Vec<Entry>,
    ) -> Option<AppendRequest> {
        if self.pending.is_empty() && snapshots.is_empty() && !self.send_empty {
            return None;
        }
        self.send_empty = false;
        self.last_sent_at = Some(now);
        let count = self.next_batch_len();
        let taken: Vec<PendingEntry> = self.pending.drain(..count).collect();
        let tickets = taken.iter().filter_map(|pending| pending.ticket).collect();
        let changes = taken.into_iter().map(|pending| pending.entry);
        let entries = snapshots.into_iter().chain(changes).collect();
        let BatchPosition { sequence, replay_point } = position;
        let batch = Batch { epoch: self.epoch, sequence, replay_point, entries };
        let payload = codec::encode(&Record::Batch(batch)).unwrap_or_else(|error| {
            // Unreachable, because the size of entries is limited; readers ignore an empty record.
            log::error!("event=owner.batch_unwritable entries={count} cause=\"{error}\"");
            Bytes::new()
        });
        self.in_flight = Some(InFlight { sequence, payload, tickets, retry_at: None, retries: 0 });
        self.append_request()
    }

    /// Number of pending changes that the next batch takes.
    fn next_batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |pending: &&PendingEntry| {
            let first = bytes == 0;
            bytes += pending.bytes;
            first || bytes <= MAX_BYTES
        };
        self.pending.iter().take(MAX_ENTRIES).take_while(fits).count()
    }

    /// Schedules the batch in flight again after its append failed or its outcome is unknown.
    pub fn on_append_failed(&mut self, tag: Tag, now: Instant) {
        let epoch = self.epoch;
        let is_in_flight =
            |batch: &&mut InFlight| tag == Tag::Batch { epoch, sequence: batch.sequence };
        if let Some(batch) = self.in_flight.as_mut().filter(is_in_flight) {
            self.failing_since.get_or_insert(now);
            let pause = RETRY_MIN.saturating_mul(1 << batch.retries.min(5)).min(RETRY_MAX);
            batch.retries += 1;
            batch.retry_at = Some(now.after(pause));
        }
    }

    /// Content of the batch in flight, if `tag` identifies it.
    pub fn payload(&self, tag: Tag) -> Option<Bytes> {
        let batch = self.in_flight.as_ref().filter(|batch| self.tag(batch.sequence) == tag)?;
        Some(batch.payload.clone())
    }

    /// Tag of the batch in flight.
    pub fn in_flight_tag(&self) -> Option<Tag> {
        self.in_flight.as_ref().map(|batch| self.tag(batch.sequence))
    }

    /// Sequence number and content of the batch in flight.
    pub fn in_flight(&self) -> Option<(u64, &Bytes)> {
        self.in_flight.as_ref().map(|batch| (batch.sequence, &batch.payload))
    }

    /// Stops retrying the batch in flight, because it took effect without the log, and returns its
    /// append. Its callers remain until [`Self::committed`].
    pub fn stop_retries(&mut self) -> Option<AppendRequest> {
        let batch = self.in_flight.as_mut()?;
        batch.retry_at = None;
        self.append_request()
    }

    /// Records that the log accepts records again.
    pub fn mark_log_available(&mut self) {
        self.failing_since = None;
    }

    /// Makes the batch in flight due to be appended, if no retry is scheduled.
    pub fn schedule_append(&mut self, now: Instant) {
        if let Some(batch) = &mut self.in_flight {
            batch.retry_at.get_or_insert(now);
        }
    }

    /// Records that the log does not accept records.
    pub fn mark_log_unavailable(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    fn append_request(&self) -> Option<AppendRequest> {
        let InFlight { sequence, payload, .. } = self.in_flight.as_ref()?;
        Some(AppendRequest { tag: self.tag(*sequence), payload: payload.clone() })
    }

    fn tag(&self, sequence: u64) -> Tag {
        Tag::Batch { epoch: self.epoch, sequence }
    }

    /// Removes the batch `sequence`, which took effect, and returns its callers.
    pub fn committed(&mut self, sequence: u64) -> Vec<Ticket> {
        match self.in_flight.take_if(|batch| batch.sequence == sequence) {
            Some(batch) => batch.tickets,
            None => Vec::new(),
        }
    }

    /// Drops all changes, after ownership has ended, and returns their callers.
    pub fn abandon(&mut self) -> Abandoned {
        let unknown = self.in_flight.take().map(|batch| batch.tickets).unwrap_or_default();
        let unsent = self.pending.drain(..).filter_map(|pending| pending.ticket).collect();
        Abandoned { unsent, unknown }
    }

    /// Withdraws the pending changes of `ticket`. Returns false if none was pending, in which case
    /// they may already be in the log.
    pub fn retract(&mut self, ticket: Ticket) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| pending.ticket != Some(ticket));
        self.pending.len() < before
    }
}

/// Callers whose changes were dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Abandoned {
    /// Their changes were never sent to the log.
    pub unsent: Vec<Ticket>,
    /// Their changes may be in the log.
    pub unknown: Vec<Ticket>,
}
