//! A list whose changes show late.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::membership::Member;

/// The list shown and the changes that do not show yet.
#[derive(Debug)]
pub struct State {
    shown: Vec<Member>,
    pending: VecDeque<Change>,
}

#[derive(Debug)]
struct Change {
    at: Instant,
    members: Vec<Member>,
}

impl State {
    /// Starts with a list that shows at once.
    pub fn new(members: Vec<Member>) -> Self {
        Self { shown: members, pending: VecDeque::new() }
    }

    /// Replaces the list; the change shows after the lag.
    pub fn replace(&mut self, at: Instant, members: Vec<Member>) {
        self.pending.push_back(Change { at, members });
    }

    /// The list as it was `lag` before `now`.
    pub fn shown(&mut self, now: Instant, lag: Duration) -> &[Member] {
        while let Some(change) = self.pending.pop_front_if(|change| now.since(change.at) >= lag) {
            self.shown = change.members;
        }
        &self.shown
    }
}
