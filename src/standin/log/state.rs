//! Streams in memory with limited retention.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::store::{Offset, Page, Record};

/// All streams of the log.
#[derive(Debug)]
pub struct State {
    streams: BTreeMap<String, Stream>,
    retention: usize,
}

/// Counts of one stream, for measuring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Oldest offset still kept.
    pub oldest: Offset,
    /// Offset that the next append will get, which is the count of all appends.
    pub end: Offset,
    /// Bytes of all payloads ever appended.
    pub bytes: u64,
    /// Reads answered.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct Stream {
    records: VecDeque<Bytes>,
    tally: Tally,
}

/// Bounds of one page.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most records.
    pub records: usize,
    /// Most payload bytes, exceeded only by a first record that is larger.
    pub bytes: usize,
}

impl State {
    /// Starts without streams, keeping the newest `retention` records of each.
    ///
    /// ```
    /// use oriolefork::standin::log::State;
    /// let mut log = State::new(1);
    /// log.append("a", "first".into());
    /// assert_eq!(log.append("a", "second".into()), 1);
    /// assert_eq!(log.tally("a").oldest, 1);
    /// ```
    pub fn new(retention: usize) -> Self {
        Self { streams: BTreeMap::new(), retention }
    }

    /// Changes how many records of each stream are kept, from the next append on.
    pub fn set_retention(&mut self, retention: usize) {
        self.retention = retention;
    }

    /// Appends one record and returns its offset.
    pub fn append(&mut self, stream: &str, payload: Bytes) -> Offset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.tally.end;
        stream.tally.end += 1;
        stream.tally.bytes += payload.len() as u64;
        stream.records.push_back(payload);
        while stream.records.len() > self.retention {
            stream.records.pop_front();
            stream.tally.oldest += 1;
        }
        offset
    }

    /// Reads from `from`, or from the oldest record kept when that lies later.
    pub fn read(&mut self, stream: &str, from: Offset, bounds: Bounds) -> Page {
        let Some(stream) = self.streams.get_mut(stream) else {
            return Page { records: Vec::new(), oldest: 0, end: 0 };
        };
        stream.tally.reads += 1;
        let Tally { oldest, end, .. } = stream.tally;
        let first = from.max(oldest);
        let skipped = usize::try_from(first - oldest).unwrap_or(usize::MAX);
        let mut room = bounds.bytes;
        let kept = stream.records.iter().skip(skipped).zip(first..);
        let fitting = kept.enumerate().take_while(|(taken, (payload, _))| {
            let fits = *taken == 0 || payload.len() <= room;
            room = room.saturating_sub(payload.len());
            fits
        });
        let records = fitting
            .take(bounds.records)
            .map(|(_, (payload, offset))| Record { offset, payload: payload.clone() })
            .collect();
        Page { records, oldest, end }
    }

    /// Counts of one stream.
    pub fn tally(&self, stream: &str) -> Tally {
        self.streams.get(stream).map(|stream| stream.tally).unwrap_or_default()
    }

    /// Counts of every stream.
    pub fn tallies(&self) -> impl Iterator<Item = (&str, Tally)> {
        self.streams.iter().map(|(name, stream)| (name.as_str(), stream.tally))
    }
}
