//! Orders that a worker leaves without an answer.

use std::time::Duration;

use crate::clock::Instant;

/// Time without new tasks after an order got no answer: about one look.
const REST: Duration = Duration::from_secs(1);

/// Most rests of that length on end, one for each time in a row: as long as a lease, after which a
/// start without an answer may be tried elsewhere.
const MOST_RESTS: u32 = 8;

/// Time after a rest in which other workers go first: longer than a lease, so that two workers that
/// take no orders cannot hold the same tasks by turns.
const MEMORY: Duration = Duration::from_secs(20);

/// What a worker owes its owner in answers to orders.
///
/// Guards against a worker that answers looks and takes no orders: it went on getting tasks, and each
/// was held up for a lease or longer. It rests for a second, a second more each time in a row, and
/// comes last for a while. What is out at once counts once, and one answer ends it all, so that a
/// short cut costs a sound worker a second, however many orders were on their way.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandBackoff {
    times: u32,
    rests_until: Option<Instant>,
}

impl CommandBackoff {
    /// Notes a start that was given up without an answer; `true` when a rest begins with it.
    pub fn record_unanswered_start(&mut self, now: Instant) -> bool {
        if self.is_active(now) {
            return false;
        }
        let before = if self.is_deprioritized(now) { self.times } else { 0 };
        self.times = (before + 1).min(MOST_RESTS);
        self.rests_until = Some(now.after(REST * self.times));
        true
    }

    /// Notes a stop without an answer, which is sent again: the worker rests on.
    pub fn record_unanswered_stop(&mut self, now: Instant) {
        self.times = self.times.max(1);
        self.rests_until = self.rests_until.max(Some(now.after(REST)));
    }

    /// Notes that an order was answered, whatever the answer.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Whether the worker gets nothing new.
    pub fn is_active(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Whether the worker gets tasks only where no other has room.
    pub fn is_deprioritized(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until.after(MEMORY))
    }

    /// When its rest is over, and when that is forgotten.
    pub fn deadlines(&self) -> impl Iterator<Item = Instant> {
        self.rests_until.into_iter().flat_map(|until| [until, until.after(MEMORY)])
    }

    /// Times in a row.
    pub const fn consecutive(&self) -> u32 {
        self.times
    }
}
