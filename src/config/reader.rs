//! Follows the settings stream, also across records that retention has dropped.

use std::collections::VecDeque;

use super::compaction::Mark;
use super::publish::{Id, Publication};
use super::state::{ApplyResult, State};
use super::value::Version;
use super::wire;
use crate::clock::Unix;
use crate::store::{Offset, Page};

/// Most records kept while a usable snapshot is looked for.
const TAIL: usize = 8_192;

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A change.
    Change(Publication),
    /// The state after an earlier prefix, written before retention drops that prefix.
    Snapshot {
        /// The state.
        state: State,
        /// When it was written.
        at: Unix,
    },
}

/// Records read after a gap, kept until a state is found that reaches up to them.
#[derive(Debug)]
struct Tail {
    from: Offset,
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
        if self.records.len() == TAIL {
            self.records.pop_front();
            self.from += 1;
        }
        self.records.push_back(record);
    }
}

/// What was read back of one change.
pub(super) type ReadBack = (Id, ApplyResult);

/// The state applied so far and the place in the stream.
#[derive(Debug, Default)]
pub(super) struct Reader {
    state: Option<State>,
    tail: Option<Tail>,
    mark: Option<Mark>,
    oldest: Offset,
    end: Offset,
}

impl Reader {
    /// The state applied so far.
    pub(super) fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// The version applied so far.
    pub(super) fn version(&self) -> Version {
        self.state.as_ref().map(|state| state.value.version).unwrap_or_default()
    }

    /// The next offset to read.
    pub(super) fn position(&self) -> Offset {
        let applied = self.state.as_ref().map_or(0, |state| state.next);
        self.tail.as_ref().map_or(applied, Tail::end)
    }

    /// Oldest offset that the log still kept at the last read.
    pub(super) fn oldest(&self) -> Offset {
        self.oldest
    }

    /// End of the stream at the last read.
    pub(super) fn end(&self) -> Offset {
        self.end
    }

    /// The newest snapshot read.
    pub(super) fn mark(&self) -> Option<Mark> {
        self.mark
    }

    /// Whether the state covers the stream up to `offset` without a gap.
    pub(super) fn covers(&self, offset: Offset) -> bool {
        self.tail.is_none() && self.state.as_ref().is_some_and(|state| state.next >= offset)
    }

    /// Applies a page and returns the results on the changes in it.
    pub(super) fn read(&mut self, page: &Page) -> Vec<ReadBack> {
        self.oldest = self.oldest.max(page.oldest);
        self.end = page.end;
        self.find_gap(page.oldest);
        let mut results = Vec::new();
        for record in &page.records {
            // A page that was asked for before a peer's state moved us on repeats old records.
            if record.offset < self.position() {
                continue;
            }
            if record.offset > self.position() {
                break;
            }
            let decoded = wire::decode(&record.payload).ok();
            self.take(record.offset, decoded, &mut results);
        }
        results
    }

    /// Takes a state from a peer or a snapshot if it is further on than ours.
    ///
    /// A state with a smaller version is never taken, whatever prefix it claims: the value shown
    /// must not go back.
    pub(super) fn adopt(&mut self, state: State, results: &mut Vec<ReadBack>) -> bool {
        let further = match &self.state {
            Some(own) => state.next > own.next && state.value.version >= own.value.version,
            None => true,
        };
        if further {
            self.state = Some(state);
            self.close_gap(results);
        }
        further
    }

    /// Starts collecting a tail when retention has dropped records that were not read yet.
    ///
    /// Without it, the first change after the gap would meet a state that lacks the dropped ones
    /// and be judged otherwise than at the instances that read them.
    fn find_gap(&mut self, oldest: Offset) {
        if self.state.is_none() && self.tail.is_none() && oldest == 0 {
            self.state = Some(State::default());
        }
        let unread = self.position() < oldest || self.state.is_none() && self.tail.is_none();
        if unread {
            self.tail = Some(Tail::new(oldest));
        }
    }

    fn take(&mut self, offset: Offset, record: Option<Record>, results: &mut Vec<ReadBack>) {
        self.note_mark(offset, record.as_ref());
        if let Some(tail) = &mut self.tail {
            let snapshot = match &record {
                Some(Record::Snapshot { state, .. }) if state.next >= tail.from => {
                    Some(state.clone())
                }
                _ => None,
            };
            tail.push(record);
            if let Some(state) = snapshot {
                self.adopt(state, results);
            }
            return;
        }
        if let Some(state) = &mut self.state {
            apply(state, record, results);
        }
    }

    /// Applies the tail once the state reaches up to it.
    fn close_gap(&mut self, results: &mut Vec<ReadBack>) {
        let Some(state) = &mut self.state else { return };
        let Some(tail) = self.tail.take_if(|tail| state.next >= tail.from) else { return };
        let known = usize::try_from(state.next - tail.from).unwrap_or(usize::MAX);
        for record in tail.records.into_iter().skip(known) {
            apply(state, record, results);
        }
    }

    fn note_mark(&mut self, offset: Offset, record: Option<&Record>) {
        let Some(Record::Snapshot { state, at }) = record else { return };
        let newer = self.mark.is_none_or(|mark| mark.next <= state.next);
        if newer && state.next <= offset {
            self.mark = Some(Mark { next: state.next, at: *at });
        }
    }
}

fn apply(state: &mut State, record: Option<Record>, results: &mut Vec<ReadBack>) {
    match record {
        Some(Record::Change(publication)) => {
            let result = state.apply(&publication);
            results.push((publication.id, result));
        }
        // A record that cannot be read is passed over by every instance alike.
        Some(Record::Snapshot { .. }) | None => state.skip(),
    }
}
