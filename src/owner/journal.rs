//! Group commit of an owner's changes to the log.
//!
//! At most one batch is under way. Its epoch and sequence make it idempotent, so a batch whose
//! answer was lost is appended again until the stream shows it.

use std::time::Duration;

use bytes::Bytes;

use crate::clock::Instant;
use crate::codec;
use crate::domain::Epoch;
use crate::owner::Ticket;
use crate::owner::record::{Batch, Entry, Record, ReplayPoint};

/// Bound on the entries of one batch.
const MAX_ENTRIES: usize = 512;
/// Bound on the bytes of one batch, exceeded only by a first entry that is larger.
const MAX_BYTES: usize = 256 * 1024;
/// Bound on the entries that wait; beyond it new work is refused.
pub const MAX_PENDING: usize = 16_384;
/// First pause before a batch is appended again.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest pause before a batch is appended again.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// What an append carries, so that its answer is matched to it.
///
/// Answers may cross: a batch whose answer was late is appended twice, and the second answer comes
/// when the next batch is under way already. Taken for that one's, it would pass a batch for
/// written that is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag {
    /// A claim.
    Claim,
    /// A batch.
    Batch {
        /// Epoch of the owner.
        epoch: Epoch,
        /// Its place in the epoch.
        sequence: u64,
    },
}

/// A record to append.
#[derive(Clone, Debug)]
pub struct AppendRequest {
    /// What it carries.
    pub tag: Tag,
    /// Its bytes.
    pub payload: Bytes,
}

/// A change that waits for the log, with the caller to answer once it is there.
#[derive(Clone, Debug)]
struct PendingEntry {
    entry: Entry,
    ticket: Option<Ticket>,
    bytes: usize,
}

/// The batch under way.
#[derive(Clone, Debug)]
struct InFlight {
    sequence: u64,
    payload: Bytes,
    tickets: Vec<Ticket>,
    retry_at: Option<Instant>,
    retries: u32,
}

/// Changes on their way to the log.
#[derive(Clone, Debug)]
pub struct Journal {
    epoch: Epoch,
    delay: Duration,
    pending: Vec<PendingEntry>,
    in_flight: Option<InFlight>,
    last_sent_at: Option<Instant>,
    failing_since: Option<Instant>,
    /// Whether a batch is owed even when it is empty: the first one, so that the end of the stream
    /// soon names a floor for new readers, and those that show others that the owner lives.
    send_empty: bool,
}

/// Place of a batch in its epoch, and the floor it names.
#[derive(Clone, Copy, Debug)]
pub struct BatchPosition {
    /// Count of earlier batches.
    pub sequence: u64,
    /// Where new readers start.
    pub replay_point: ReplayPoint,
}

impl Journal {
    /// A journal of the owner of `epoch` that leaves at least `delay` between appends.
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

    /// Adds a change. Callers' fields are bounded far below what one record may hold.
    pub fn push(&mut self, entry: Entry, ticket: Option<Ticket>) {
        let bytes = codec::encode(&entry).map_or(MAX_BYTES, |encoded| encoded.len());
        self.pending.push(PendingEntry { entry, ticket, bytes });
    }

    /// Whether no further change should be taken in.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING
    }

    /// Whether everything pushed is in the log.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Since when the log has not taken a batch.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing_since
    }

    /// The payload of the batch under way, when it is due to be appended again.
    pub fn retry(&mut self, now: Instant) -> Option<AppendRequest> {
        let batch = self.in_flight.as_mut()?;
        batch.retry_at.take_if(|at| now >= *at)?;
        self.append_request()
    }

    /// Makes the next batch go out even when empty, unless one set out within `span`.
    pub fn keep_alive(&mut self, now: Instant, interval: Duration) {
        self.send_empty |= self.last_sent_at.is_none_or(|sent| now.since(sent) >= interval);
    }

    /// Whether a new batch may set out.
    pub fn is_idle(&self, now: Instant) -> bool {
        let too_early = self.last_sent_at.is_some_and(|sent| now.since(sent) < self.delay);
        self.in_flight.is_none() && !too_early
    }

    /// Forms the next batch and returns the payload to append; `None` when there is nothing.
    ///
    /// `snapshots` describe the state just before the batch, so they go ahead of the changes.
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
            // Bounded entries make this unreachable; an empty record is void to every reader.
            log::error!("event=owner.batch_unwritable entries={count} cause=\"{error}\"");
            Bytes::new()
        });
        self.in_flight = Some(InFlight { sequence, payload, tickets, retry_at: None, retries: 0 });
        self.append_request()
    }

    /// How many of the waiting changes the next batch takes.
    fn next_batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |pending: &&PendingEntry| {
            let first = bytes == 0;
            bytes += pending.bytes;
            first || bytes <= MAX_BYTES
        };
        self.pending.iter().take(MAX_ENTRIES).take_while(fits).count()
    }

    /// Notes that the append failed or that its outcome is unknown; it is due again after a pause.
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

    /// Content of the batch under way, if it is the one that `tag` names.
    pub fn payload(&self, tag: Tag) -> Option<Bytes> {
        let batch = self.in_flight.as_ref().filter(|batch| self.tag(batch.sequence) == tag)?;
        Some(batch.payload.clone())
    }

    /// What the batch under way is.
    pub fn in_flight_tag(&self) -> Option<Tag> {
        self.in_flight.as_ref().map(|batch| self.tag(batch.sequence))
    }

    /// Place and content of the batch under way.
    pub fn in_flight(&self) -> Option<(u64, &Bytes)> {
        self.in_flight.as_ref().map(|batch| (batch.sequence, &batch.payload))
    }

    /// Takes the batch under way out of the log's hands, for it took effect otherwise. Its callers
    /// stay to be answered by [`Self::committed`].
    pub fn stop_retries(&mut self) -> Option<AppendRequest> {
        let batch = self.in_flight.as_mut()?;
        batch.retry_at = None;
        self.append_request()
    }

    /// Notes that the log takes records again.
    pub fn mark_log_available(&mut self) {
        self.failing_since = None;
    }

    /// Makes the batch under way due for the log, which it was not handed to before.
    pub fn schedule_append(&mut self, now: Instant) {
        if let Some(batch) = &mut self.in_flight {
            batch.retry_at.get_or_insert(now);
        }
    }

    /// Notes that the log does not take records.
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

    /// Notes that the batch `sequence` took effect and returns the callers to answer.
    pub fn committed(&mut self, sequence: u64) -> Vec<Ticket> {
        match self.in_flight.take_if(|batch| batch.sequence == sequence) {
            Some(batch) => batch.tickets,
            None => Vec::new(),
        }
    }

    /// Gives up, as after losing the domain.
    pub fn abandon(&mut self) -> Abandoned {
        let unknown = self.in_flight.take().map(|batch| batch.tickets).unwrap_or_default();
        let unsent = self.pending.drain(..).filter_map(|pending| pending.ticket).collect();
        Abandoned { unsent, unknown }
    }

    /// Takes back the changes of `ticket` that were not handed to the log yet; false when one may
    /// already be there.
    pub fn retract(&mut self, ticket: Ticket) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| pending.ticket != Some(ticket));
        self.pending.len() < before
    }
}

/// Callers whose changes were given up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Abandoned {
    /// Nothing of these was handed to the log.
    pub unsent: Vec<Ticket>,
    /// These may be in the log.
    pub unknown: Vec<Ticket>,
}
