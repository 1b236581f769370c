//! Backoff for workers that leave commands unanswered.

use std::time::Duration;

use crate::clock::Instant;

/// Pause in new tasks after an unanswered command: about one poll.
const PAUSE: Duration = Duration::from_secs(1);

/// Maximum multiple of that pause. It equals the length of a lease, after which a start without a
/// response may be attempted elsewhere.
const MAX_PAUSES: u32 = 8;

/// Time after a pause in which other workers are preferred. It is longer than a lease, so that two
/// workers that answer no commands cannot hold the same tasks alternately.
const LOW_PREFERENCE: Duration = Duration::from_secs(20);

/// Backoff of one worker.
///
/// Guards against a worker that answers polls but no commands: it kept receiving tasks, and each
/// was delayed by a lease or longer. The worker gets no tasks for a second, a second more for each
/// consecutive pause, and has the lowest preference for a while. Commands that are outstanding at
/// the same time count once, and one response clears the backoff. A short network cut therefore
/// costs a healthy worker one second, however many commands were outstanding.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandBackoff {
    consecutive: u32,
    paused_until: Option<Instant>,
}

impl CommandBackoff {
    /// Records a start that was given up without a response; `true` when a pause begins with it.
    pub fn record_unanswered_start(&mut self, now: Instant) -> bool {
        if self.is_active(now) {
            return false;
        }
        let previous = if self.is_deprioritized(now) { self.consecutive } else { 0 };
        self.consecutive = (previous + 1).min(MAX_PAUSES);
        self.paused_until = Some(now.after(PAUSE * self.consecutive));
        true
    }

    /// Records a stop without a response, which is sent again; the pause is extended.
    pub fn record_unanswered_stop(&mut self, now: Instant) {
        self.consecutive = self.consecutive.max(1);
        self.paused_until = self.paused_until.max(Some(now.after(PAUSE)));
    }

    /// Clears the backoff after any response to a command.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Whether the worker gets no new tasks.
    pub fn is_active(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Whether the worker gets tasks only where no other has free capacity.
    pub fn is_deprioritized(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until.after(LOW_PREFERENCE))
    }

    /// Times at which the pause ends and at which the lower preference ends.
    pub fn deadlines(&self) -> impl Iterator<Item = Instant> {
        self.paused_until.into_iter().flat_map(|until| [until, until.after(LOW_PREFERENCE)])
    }

    /// Number of consecutive pauses, up to a maximum.
    pub const fn consecutive(&self) -> u32 {
        self.consecutive
    }
}
