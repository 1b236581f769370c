//! Turns of the tasks of a thread, none of which may run for long.
//!
//! The runtime polls a task that has work for as long as it does not wait for anything, and as long
//! as any task is ready it fires no timer. A peer that sends without a pause would so keep the thread
//! from its leases and time limits. A task that serves peers ends its turn after a while instead.

use std::time::Duration;

/// Time for which a task waits between two turns. Any timer makes the runtime look at all others.
pub const PAUSE: Duration = Duration::from_millis(1);

/// Usual length of a turn, in bytes received.
const BYTES: usize = 64 * 1024;

/// Work done in the present turn.
///
/// ```
/// let mut turn = oriolefork::turn::Turn::default();
/// turn.add(1_000);
/// assert!(!turn.is_over());
/// turn.add(100_000);
/// assert!(turn.is_over());
/// turn.restart();
/// assert!(!turn.is_over());
/// ```
#[derive(Debug)]
pub struct Turn {
    bytes: usize,
    limit: usize,
}

impl Default for Turn {
    fn default() -> Self {
        Self::of(BYTES)
    }
}

impl Turn {
    /// Creates a turn that is over after the work of `limit` received bytes.
    pub const fn of(limit: usize) -> Self {
        Self { bytes: 0, limit }
    }

    /// Adds the work of `bytes` received bytes.
    pub const fn add(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Whether the task has to pause before it goes on.
    pub const fn is_over(&self) -> bool {
        self.bytes >= self.limit
    }

    /// Begins a new turn, after the task has waited.
    pub const fn restart(&mut self) {
        self.bytes = 0;
    }

    /// Pauses if the turn is over.
    pub async fn pause_if_over(&mut self) {
        if self.is_over() {
            monoio::time::sleep(PAUSE).await;
            self.restart();
        }
    }
}
