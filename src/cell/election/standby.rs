//! Instances that take over first keep up with the journal.
//!
//! The pattern that this answers: an owner is lost on a site of a hundred instances, whose journal has
//! grown to megabytes. Whoever takes over needs all of it, and callers wait for as long as that takes.
//! The first in the order of succession therefore have it already, and read a short tail.

use std::time::Duration;

use super::Election;
use crate::cell::replay::JournalReplay;

/// Instances that keep up with the journal, the first in the order of succession.
const STANDBYS: u32 = 3;

/// Place from which an instance gives up what it has read: places change a little now and then.
const DROP_REPLAY_RANK: u32 = STANDBYS * 2;

/// Rest between two readings of what has been added.
const REST: Duration = Duration::from_millis(500);

/// Time after a change of owner in which the whole journal is left to the new owner, and what each place
/// adds to it, so that heirs read it one after the other.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(3);
const PAUSE_PER_RANK: Duration = Duration::from_millis(700);

/// Longest time in which an heir reads and does not watch the owner: for a tail, and for all of it.
const TAIL_TIMEOUT: Duration = Duration::from_millis(200);
const WHOLE_TIMEOUT: Duration = Duration::from_secs(1);

impl Election {
    /// Reads what has been added to the journal, if it is time to and this instance is an heir.
    pub(super) async fn catch_up(&mut self) {
        let Some(rank) = self.rank else { return };
        if rank >= DROP_REPLAY_RANK {
            self.replay = JournalReplay::default();
        }
        if rank >= STANDBYS || self.node.deps.clock.now() < self.next_catch_up {
            return;
        }
        // What has been read before the timeout stays.
        let timeout = if self.replay.has_snapshot { TAIL_TIMEOUT } else { WHOLE_TIMEOUT };
        let _ = monoio::time::timeout(timeout, self.read()).await;
        let retention = self.node.timings.status_retention;
        self.replay.state.remove_expired(self.node.deps.clock.unix(), retention);
        self.next_catch_up = self.node.deps.clock.now().after(REST);
    }

    /// Leaves the store to a new owner for a while.
    pub(super) fn postpone_catch_up(&mut self) {
        let rest = if self.replay.has_snapshot {
            REST
        } else {
            TAKEOVER_PAUSE + self.rank.map_or(Duration::ZERO, |rank| PAUSE_PER_RANK * rank)
        };
        self.next_catch_up = self.node.deps.clock.now().after(rest);
    }
}
