//! Reading the stream: where to start, and how far this instance has read.

use std::time::Duration;

use crate::clock::{Instant, Unix};
use crate::codec;
use crate::domain::Epoch;
use crate::owner::machine::{Effect, Machine};
use crate::owner::record::{Record, ReplayPoint};
use crate::owner::replica::Replica;
use crate::store::{self, Offset, Page};

/// Number of records at the end of the stream in which a new reader first looks for a replay point.
const TAIL_WINDOW: Offset = 64;

/// Factor by which that window grows while it contains no replay point.
const TAIL_WINDOW_GROWTH: Offset = 16;

/// Pause after a failed read.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Progress of this instance in reading the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Reads the end offset of the stream.
    FindEnd,
    /// Reads from this offset to the end to find a replay point.
    FindReplayPoint(Offset),
    /// Reads from the replay point to this offset, the end of the stream when reading began.
    CatchUp(Offset),
    /// Has read everything up to that end, and follows new records.
    Live,
}

impl Machine {
    /// Issues the next read unless one is in flight.
    ///
    /// An owner receives the offsets of its own records in the answers to its appends. It reads
    /// only to fill a gap or, at a slow pace, to find the claim of a rival.
    pub(in crate::owner) fn read_on(&mut self, now: Instant) {
        if self.election.read_in_flight || now < self.election.next_read_at {
            return;
        }
        let wait = if self.is_owner() { Duration::ZERO } else { self.timings.read_wait };
        let (from, wait) = match self.election.progress {
            Progress::FindEnd => (Offset::MAX, Duration::ZERO),
            Progress::FindReplayPoint(start) => (start, Duration::ZERO),
            Progress::CatchUp(_) => (self.replica.next_offset(), Duration::ZERO),
            Progress::Live => (self.replica.next_offset(), wait),
        };
        self.election.read_in_flight = true;
        self.out.push(Effect::Read { from, wait });
    }

    /// Makes the next read due at once, to find the result of an append.
    pub(in crate::owner) fn read_soon(&mut self, now: Instant) {
        self.election.next_read_at = now;
    }

    pub(in crate::owner) fn on_read(
        &mut self,
        result: Result<Page, store::Error>,
        now: Instant,
        unix: Unix,
    ) {
        self.election.read_in_flight = false;
        let page = match result {
            Ok(page) => page,
            Err(error) => {
                log::warn!("event=owner.read_failed domain={} {error}", self.domain);
                self.election.read_failing_since.get_or_insert(now);
                self.election.next_read_at = now.after(READ_RETRY_PAUSE);
                return;
            }
        };
        self.election.read_failing_since = None;
        self.election.next_read_at =
            if self.is_owner() { now.after(self.timings.rival_check_interval) } else { now };
        match self.election.progress {
            Progress::FindEnd => self.on_end(&page),
            Progress::FindReplayPoint(start) => self.on_tail(start, &page),
            Progress::CatchUp(_) | Progress::Live => self.on_page(&page, now, unix),
        }
    }

    fn on_end(&mut self, page: &Page) {
        let start = page.end.saturating_sub(TAIL_WINDOW).max(page.oldest);
        self.election.progress = Progress::FindReplayPoint(start);
    }

    fn on_tail(&mut self, start: Offset, page: &Page) {
        let point = find_replay_point(page).filter(|point| point.offset >= page.oldest);
        let reaches_oldest = start <= page.oldest;
        match point {
            Some(point) => self.start_at(point, page.end),
            None if reaches_oldest => self.start_at(oldest_replay_point(page), page.end),
            None => {
                let window = (page.end.saturating_sub(start)).saturating_mul(TAIL_WINDOW_GROWTH);
                let wider = page.end.saturating_sub(window).max(page.oldest);
                self.election.progress = Progress::FindReplayPoint(wider);
            }
        }
    }

    fn start_at(&mut self, point: ReplayPoint, end: Offset) {
        self.replica = Replica::starting_at(point);
        self.election.progress = Progress::CatchUp(end);
    }

    fn on_page(&mut self, page: &Page, now: Instant, unix: Unix) {
        if self.replica.has_gap(page) {
            self.restart_reading("records_dropped");
            return;
        }
        for record in &page.records {
            if record.offset == self.replica.next_offset() {
                self.apply_record(record.offset, &record.payload, now, unix);
            }
        }
        let behind = self.replica.next_offset() < page.end;
        if behind {
            self.read_soon(now);
        }
        if let Progress::CatchUp(end) = self.election.progress
            && self.replica.next_offset() >= end
        {
            log::info!(
                "event=owner.caught_up domain={} offset={} jobs={}",
                self.domain,
                end,
                self.replica.table.len()
            );
            self.election.progress = Progress::Live;
            self.election.record_owner_alive(now);
        }
    }

    /// Starts reading again from a replay point near the end. Retention has dropped records that
    /// this instance never read, so any part of its state may be wrong.
    fn restart_reading(&mut self, cause: &str) {
        log::warn!("event=owner.reading_restarted domain={} cause={cause}", self.domain);
        self.step_down(cause);
        self.election.restart_replay();
    }
}

/// The latest replay point that a batch of the page names.
fn find_replay_point(page: &Page) -> Option<ReplayPoint> {
    let replay_point = |payload| match codec::decode::<Record>(payload) {
        Ok(Record::Batch(batch)) => Some(batch.replay_point),
        _ => None,
    };
    page.records
        .iter()
        .filter_map(|record| replay_point(&record.payload))
        .max_by_key(|point| point.offset)
}

/// Replay point to use if no batch names one: the oldest record, with the epoch and sequence number
/// that let it take effect.
fn oldest_replay_point(page: &Page) -> ReplayPoint {
    let Some(first) = page.records.first() else {
        return ReplayPoint { offset: page.oldest, ..ReplayPoint::default() };
    };
    let (epoch, sequence) = match codec::decode::<Record>(&first.payload) {
        Ok(Record::Batch(batch)) => (batch.epoch, batch.sequence),
        Ok(Record::Claim(claim)) => (previous(claim.epoch), 0),
        Err(_) => (Epoch::default(), 0),
    };
    ReplayPoint { offset: page.oldest, epoch, sequence }
}

fn previous(epoch: Epoch) -> Epoch {
    match epoch.sub {
        0 => Epoch { term: epoch.term.saturating_sub(1), sub: 0 },
        sub => Epoch { term: epoch.term, sub: sub - 1 },
    }
}
