//! Queue of requests that wait for a slot, ordered by due time.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::runner::request::Id;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time at which it should start; orders the queue.
    pub due: Instant,
    /// The request.
    pub id: Id,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// A queue ordered by due time, then by request identity.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<(Instant, Id), Instant>,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, entry: Entry) {
        self.waiting.insert((entry.due, entry.id), entry.deadline);
    }

    /// The request that is served first.
    pub fn first(&self) -> Option<Entry> {
        self.iter().next()
    }

    /// All queued requests in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = Entry> + '_ {
        let entry = |((due, id), deadline): (&(Instant, Id), &Instant)| Entry {
            due: *due,
            id: *id,
            deadline: *deadline,
        };
        self.waiting.iter().map(entry)
    }

    /// Removes a request; returns false when it is not queued.
    pub fn remove(&mut self, due: Instant, id: Id) -> bool {
        self.waiting.remove(&(due, id)).is_some()
    }

    /// Number of queued requests that are served before one that is due at `due`.
    ///
    /// ```
    /// use oriolefork::clock::Instant;
    /// use oriolefork::runner::queue::{Entry, Queue};
    /// use oriolefork::runner::request::Id;
    /// let at = Instant::from_millis;
    /// let mut queue = Queue::default();
    /// queue.push(Entry { due: at(5), id: Id::from_raw(1), deadline: at(20) });
    /// queue.push(Entry { due: at(9), id: Id::from_raw(2), deadline: at(10) });
    /// assert_eq!(queue.ahead_of(at(7)), 1);
    /// ```
    pub fn ahead_of(&self, due: Instant) -> usize {
        match self.waiting.last_key_value() {
            Some(((last, _), _)) if *last <= due => self.waiting.len(),
            _ => self.waiting.range(..=(due, Id::from_raw(u64::MAX))).count(),
        }
    }
}
