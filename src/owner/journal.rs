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
use crate::owner::record::{Batch, Entry, Floor, Record};

/// Bound on the entries of one batch.
const MAX_ENTRIES: usize = 512;
/// Bound on the bytes of one batch, exceeded only by a first entry that is larger.
const MAX_BYTES: usize = 256 * 1024;
/// Bound on the entries that wait; beyond it new work is refused.
pub const MAX_WAITING: usize = 16_384;
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
pub struct Parcel {
    /// What it carries.
    pub tag: Tag,
    /// Its bytes.
    pub payload: Bytes,
}

/// A change that waits for the log, with the caller to answer once it is there.
#[derive(Clone, Debug)]
struct Change {
    entry: Entry,
    ticket: Option<Ticket>,
    bytes: usize,
}

/// The batch under way.
#[derive(Clone, Debug)]
struct Flight {
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
    waiting: Vec<Change>,
    flight: Option<Flight>,
    sent_at: Option<Instant>,
    failing_since: Option<Instant>,
    /// Whether a batch is owed even when it is empty: the first one, so that the end of the stream
    /// soon names a floor for new readers, and those that show others that the owner lives.
    announce: bool,
}

/// Place of a batch in its epoch, and the floor it names.
#[derive(Clone, Copy, Debug)]
pub struct Position {
    /// Count of earlier batches.
    pub sequence: u64,
    /// Where new readers start.
    pub floor: Floor,
}

impl Journal {
    /// A journal of the owner of `epoch` that leaves at least `delay` between appends.
    pub fn new(epoch: Epoch, delay: Duration) -> Self {
        Self {
            epoch,
            delay,
            waiting: Vec::new(),
            flight: None,
            sent_at: None,
            failing_since: None,
            announce: true,
        }
    }

    /// Adds a change. Callers' fields are bounded far below what one record may hold.
    pub fn push(&mut self, entry: Entry, ticket: Option<Ticket>) {
        let bytes = codec::encode(&entry).map_or(MAX_BYTES, |encoded| encoded.len());
        self.waiting.push(Change { entry, ticket, bytes });
    }

    /// Whether no further change should be taken in.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    /// Whether everything pushed is in the log.
    pub fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.flight.is_none()
    }

    /// Since when the log has not taken a batch.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing_since
    }

    /// The payload of the batch under way, when it is due to be appended again.
    pub fn retry(&mut self, now: Instant) -> Option<Parcel> {
        let flight = self.flight.as_mut()?;
        flight.retry_at.take_if(|at| now >= *at)?;
        self.parcel()
    }

    /// Makes the next batch go out even when empty, unless one set out within `span`.
    pub fn keep_alive(&mut self, now: Instant, span: Duration) {
        self.announce |= self.sent_at.is_none_or(|sent| now.since(sent) >= span);
    }

    /// Whether a new batch may set out.
    pub fn is_idle(&self, now: Instant) -> bool {
        let early = self.sent_at.is_some_and(|sent| now.since(sent) < self.delay);
        self.flight.is_none() && !early
    }

    /// Forms the next batch and returns the payload to append; `None` when there is nothing.
    ///
    /// `statements` describe the state just before the batch, so they go ahead of the changes.
    pub fn depart(&mut self, now: Instant, at: Position, statements: Vec<Entry>) -> Option<Parcel> {
        if self.waiting.is_empty() && statements.is_empty() && !self.announce {
            return None;
        }
        self.announce = false;
        self.sent_at = Some(now);
        let count = self.fitting();
        let changes: Vec<Change> = self.waiting.drain(..count).collect();
        let tickets = changes.iter().filter_map(|change| change.ticket).collect();
        let changed = changes.into_iter().map(|change| change.entry);
        let entries = statements.into_iter().chain(changed).collect();
        let Position { sequence, floor } = at;
        let batch = Batch { epoch: self.epoch, sequence, floor, entries };
        let payload = codec::encode(&Record::Batch(batch)).unwrap_or_else(|error| {
            // Bounded entries make this unreachable; an empty record is void to every reader.
            log::error!("event=owner.batch_unwritable entries={count} cause=\"{error}\"");
            Bytes::new()
        });
        self.flight = Some(Flight { sequence, payload, tickets, retry_at: None, retries: 0 });
        self.parcel()
    }

    /// How many of the waiting changes the next batch takes.
    fn fitting(&self) -> usize {
        let mut bytes = 0;
        let fits = |change: &&Change| {
            let first = bytes == 0;
            bytes += change.bytes;
            first || bytes <= MAX_BYTES
        };
        self.waiting.iter().take(MAX_ENTRIES).take_while(fits).count()
    }

    /// Notes that the append failed or that its outcome is unknown; it is due again after a pause.
    pub fn failed(&mut self, tag: Tag, now: Instant) {
        let epoch = self.epoch;
        let named = |flight: &&mut Flight| tag == Tag::Batch { epoch, sequence: flight.sequence };
        if let Some(flight) = self.flight.as_mut().filter(named) {
            self.failing_since.get_or_insert(now);
            let pause = RETRY_MIN.saturating_mul(1 << flight.retries.min(5)).min(RETRY_MAX);
            flight.retries += 1;
            flight.retry_at = Some(now.after(pause));
        }
    }

    /// Content of the batch under way, if it is the one that `tag` names.
    pub fn payload(&self, tag: Tag) -> Option<Bytes> {
        let flight = self.flight.as_ref().filter(|flight| self.tag(flight.sequence) == tag)?;
        Some(flight.payload.clone())
    }

    /// What the batch under way is.
    pub fn flight_tag(&self) -> Option<Tag> {
        self.flight.as_ref().map(|flight| self.tag(flight.sequence))
    }

    /// Place and content of the batch under way.
    pub fn flight(&self) -> Option<(u64, &Bytes)> {
        self.flight.as_ref().map(|flight| (flight.sequence, &flight.payload))
    }

    /// Takes the batch under way out of the log's hands, for it took effect otherwise. Its callers
    /// stay to be answered by [`Self::committed`].
    pub fn take_flight(&mut self) -> Option<Parcel> {
        let flight = self.flight.as_mut()?;
        flight.retry_at = None;
        self.parcel()
    }

    /// Notes that the log takes records again.
    pub fn recovered(&mut self) {
        self.failing_since = None;
    }

    /// Makes the batch under way due for the log, which it was not handed to before.
    pub fn rearm(&mut self, now: Instant) {
        if let Some(flight) = &mut self.flight {
            flight.retry_at.get_or_insert(now);
        }
    }

    /// Notes that the log does not take records.
    pub fn failing(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    fn parcel(&self) -> Option<Parcel> {
        let Flight { sequence, payload, .. } = self.flight.as_ref()?;
        Some(Parcel { tag: self.tag(*sequence), payload: payload.clone() })
    }

    fn tag(&self, sequence: u64) -> Tag {
        Tag::Batch { epoch: self.epoch, sequence }
    }

    /// Notes that the batch `sequence` took effect and returns the callers to answer.
    pub fn committed(&mut self, sequence: u64) -> Vec<Ticket> {
        match self.flight.take_if(|flight| flight.sequence == sequence) {
            Some(flight) => flight.tickets,
            None => Vec::new(),
        }
    }

    /// Gives up, as after losing the domain.
    pub fn abandon(&mut self) -> Abandoned {
        let unknown = self.flight.take().map(|flight| flight.tickets).unwrap_or_default();
        let unsent = self.waiting.drain(..).filter_map(|change| change.ticket).collect();
        Abandoned { unsent, unknown }
    }

    /// Takes back the changes of `ticket` that were not handed to the log yet; false when one may
    /// already be there.
    pub fn retract(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|change| change.ticket != Some(ticket));
        self.waiting.len() < before
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
