//! Applies the settings stream, also when retention has dropped records that were not read.

use std::collections::VecDeque;

use super::compaction::SnapshotInfo;
use super::publish::{Id, Publication};
use super::state::{ApplyResult, State};
use super::value::Version;
use super::wire;
use crate::clock::Unix;
use crate::store::{Offset, Page};

/// Maximum number of records kept until a snapshot that they can be applied to is found.
const MAX_TAIL_RECORDS: usize = 8_192;

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A change.
    Change(Publication),
    /// The state after an earlier prefix of the stream, written before retention drops that prefix.
    Snapshot {
        /// The state.
        state: State,
        /// Time at which it was written.
        at: Unix,
    },
}

/// Records read after a gap, kept until a state is found that covers the stream up to them.
#[derive(Debug)]
struct Tail {
    /// Offset of the first record.
    from: Offset,
    /// The consecutive records; `None` for one that cannot be decoded.
    records: VecDeque<Option<Record>>,
}

impl Tail {
    fn new(from: Offset) -> Self {
        Self { from, records: VecDeque::new() }
    }

    fn end(&self) -> Offset {
        self.from + self.records.len() as Offset
    }

    fn push(&mut self, record: Option<Record>) {
        if self.records.len() == MAX_TAIL_RECORDS {
            self.records.pop_front();
            self.from += 1;
        }
        self.records.push_back(record);
    }
}

/// A change that was read from the stream, and the result of applying it.
pub(super) type AppliedChange = (Id, ApplyResult);

/// The state applied so far and the position in the stream.
#[derive(Debug, Default)]
pub(super) struct StreamReader {
    state: Option<State>,
    tail: Option<Tail>,
    latest_snapshot: Option<SnapshotInfo>,
    oldest: Offset,
    end: Offset,
}

impl StreamReader {
    /// Returns the state applied so far.
    pub(super) fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Returns the version applied so far.
    pub(super) fn version(&self) -> Version {
        self.state.as_ref().map(|state| state.value.version).unwrap_or_default()
    }

    /// Returns the next offset to read.
    pub(super) fn position(&self) -> Offset {
        let applied = self.state.as_ref().map_or(0, |state| state.next);
        self.tail.as_ref().map_or(applied, Tail::end)
    }

    /// Returns the oldest offset that the log still kept at the last read.
    pub(super) fn oldest(&self) -> Offset {
        self.oldest
    }

    /// Returns the end of the stream at the last read.
    pub(super) fn end(&self) -> Offset {
        self.end
    }

    /// Returns the latest snapshot read.
    pub(super) fn latest_snapshot(&self) -> Option<SnapshotInfo> {
        self.latest_snapshot
    }

    /// Whether the state covers the stream up to `offset` without a gap.
    pub(super) fn covers(&self, offset: Offset) -> bool {
        self.tail.is_none() && self.state.as_ref().is_some_and(|state| state.next >= offset)
    }

    /// Applies a page and returns the results of the changes in it.
    pub(super) fn read(&mut self, page: &Page) -> Vec<AppliedChange> {
        self.oldest = self.oldest.max(page.oldest);
        self.end = page.end;
        self.detect_gap(page.oldest);
        let mut results = Vec::new();
        for record in &page.records {
            // A page requested before a peer's state was adopted repeats records that it covers.
            if record.offset < self.position() {
                continue;
            }
            if record.offset > self.position() {
                break;
            }
            let decoded = wire::decode(&record.payload).ok();
            self.apply_record(record.offset, decoded, &mut results);
        }
        results
    }

    /// Replaces the state by one from a peer or a snapshot if that covers a longer prefix.
    ///
    /// A state with a smaller version is never adopted, whatever prefix it claims to cover: the
    /// version in force must not decrease.
    pub(super) fn advance_to(&mut self, state: State, results: &mut Vec<AppliedChange>) -> bool {
        let is_ahead = match &self.state {
            Some(own) => state.next > own.next && state.value.version >= own.value.version,
            None => true,
        };
        if is_ahead {
            self.state = Some(state);
            self.close_gap(results);
        }
        is_ahead
    }

    /// Starts collecting a tail when retention has dropped records that were not read yet.
    ///
    /// Otherwise the first change after the gap would be applied to a state without the dropped
    /// changes, and its result would differ from that at instances which read them.
    fn detect_gap(&mut self, oldest: Offset) {
        if self.state.is_none() && self.tail.is_none() && oldest == 0 {
            self.state = Some(State::default());
        }
        let missed_records =
            self.position() < oldest || self.state.is_none() && self.tail.is_none();
        if missed_records {
            self.tail = Some(Tail::new(oldest));
        }
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        record: Option<Record>,
        results: &mut Vec<AppliedChange>,
    ) {
        self.record_snapshot(offset, record.as_ref());
        if let Some(tail) = &mut self.tail {
            let snapshot = match &record {
                Some(Record::Snapshot { state, .. }) if state.next >= tail.from => {
                    Some(state.clone())
                }
                _ => None,
            };
            tail.push(record);
            if let Some(state) = snapshot {
                self.advance_to(state, results);
            }
            return;
        }
        if let Some(state) = &mut self.state {
            apply(state, record, results);
        }
    }

    /// Applies the tail once the state covers the stream up to it.
    fn close_gap(&mut self, results: &mut Vec<AppliedChange>) {
        let Some(state) = &mut self.state else { return };
        let Some(tail) = self.tail.take_if(|tail| state.next >= tail.from) else { return };
        let known = usize::try_from(state.next - tail.from).unwrap_or(usize::MAX);
        for record in tail.records.into_iter().skip(known) {
            apply(state, record, results);
        }
    }

    fn record_snapshot(&mut self, offset: Offset, record: Option<&Record>) {
        let Some(Record::Snapshot { state, at }) = record else { return };
        let newer = self.latest_snapshot.is_none_or(|latest| latest.next <= state.next);
        if newer && state.next <= offset {
            self.latest_snapshot = Some(SnapshotInfo { next: state.next, at: *at });
        }
    }
}

fn apply(state: &mut State, record: Option<Record>, results: &mut Vec<AppliedChange>) {
    match record {
        Some(Record::Change(publication)) => {
            let result = state.apply(&publication);
            results.push((publication.id, result));
        }
        // A snapshot changes no state. A record that cannot be decoded is skipped by every
        // instance.
        Some(Record::Snapshot { .. }) | None => state.skip(),
    }
}
