//! Requests that wait for a slot, earliest deadline first.

use std::collections::BTreeSet;

use crate::clock::Instant;
use crate::runner::request::Id;

/// A queue ordered by deadline; equal deadlines keep the order of identities.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeSet<(Instant, Id)>,
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
    pub fn push(&mut self, deadline: Instant, id: Id) {
        self.waiting.insert((deadline, id));
    }

    /// The request whose deadline comes first.
    pub fn first(&self) -> Option<(Instant, Id)> {
        self.waiting.first().copied()
    }

    /// All that wait, earliest deadline first.
    pub fn iter(&self) -> impl Iterator<Item = (Instant, Id)> + '_ {
        self.waiting.iter().copied()
    }

    /// Removes a request; false when it does not wait.
    pub fn remove(&mut self, deadline: Instant, id: Id) -> bool {
        self.waiting.remove(&(deadline, id))
    }

    /// Requests that go before one with this deadline.
    ///
    /// ```
    /// use oriolefork::clock::Instant;
    /// use oriolefork::runner::{queue::Queue, request::Id};
    /// let mut queue = Queue::default();
    /// queue.push(Instant::from_millis(5), Id::from_raw(1));
    /// queue.push(Instant::from_millis(9), Id::from_raw(2));
    /// assert_eq!(queue.ahead_of(Instant::from_millis(7)), 1);
    /// ```
    pub fn ahead_of(&self, deadline: Instant) -> usize {
        match self.waiting.last() {
            Some((last, _)) if *last <= deadline => self.waiting.len(),
            _ => self.waiting.range(..=(deadline, Id::from_raw(u64::MAX))).count(),
        }
    }
}
