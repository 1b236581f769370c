//! Requests that wait for a slot, the one that is due first at the front.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::runner::request::Id;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When it should start; decides its place.
    pub due: Instant,
    /// The request.
    pub id: Id,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// A queue ordered by due time; equal ones keep the order of identities.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<(Instant, Id), Instant>,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, entry: Entry) {
        self.waiting.insert((entry.due, entry.id), entry.deadline);
    }

    /// The request that is due first.
    pub fn first(&self) -> Option<Entry> {
        self.iter().next()
    }

    /// All that wait, in their order.
    pub fn iter(&self) -> impl Iterator<Item = Entry> + '_ {
        let entry = |((due, id), deadline): (&(Instant, Id), &Instant)| Entry {
            due: *due,
            id: *id,
            deadline: *deadline,
        };
        self.waiting.iter().map(entry)
    }

    /// Removes a request; false when it does not wait.
    pub fn remove(&mut self, due: Instant, id: Id) -> bool {
        self.waiting.remove(&(due, id)).is_some()
    }

    /// Requests that go before one that is due at this moment.
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
