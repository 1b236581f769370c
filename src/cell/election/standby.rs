//! Replay of the journal by the instances that would take over first.
//!
//! The problem arises when the owner of a site of a hundred instances is lost and the journal has
//! grown to megabytes: the new owner needs all of it, and callers wait meanwhile. The first
//! instances in the order of succession therefore replay it in advance, and have only a short tail
//! left to read.

use std::time::Duration;

use super::Election;
use crate::cell::replay::JournalReplay;

/// Number of standbys, the first in the order of succession.
const STANDBYS: u32 = 3;

/// Rank from which an instance discards its replayed state. It is above the number of standbys,
/// since ranks change a little now and then.
const DROP_REPLAY_RANK: u32 = STANDBYS * 2;

/// Interval between two reads of new records.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(500);

/// Time after a change of owner in which only the new owner reads the journal, and the addition to
/// it for each rank, so that standbys read the journal one after the other.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(3);
const PAUSE_PER_RANK: Duration = Duration::from_millis(700);

/// Maximum time for which a standby reads instead of following the owner: for the tail, and for the
/// whole journal.
const TAIL_TIMEOUT: Duration = Duration::from_millis(200);
const FULL_TIMEOUT: Duration = Duration::from_secs(1);

impl Election {
    /// Replays new records of the journal, if this instance is a standby and the interval has
    /// passed.
    pub(super) async fn catch_up(&mut self) {
        let Some(rank) = self.rank else { return };
        if rank >= DROP_REPLAY_RANK {
            self.replay = JournalReplay::default();
        }
        let is_due = self.node.deps.clock.now() >= self.next_catch_up;
        if rank >= STANDBYS || !is_due || self.are_claims_paused() {
            return;
        }
        // The records read before the timeout are kept.
        let timeout = if self.replay.has_snapshot { TAIL_TIMEOUT } else { FULL_TIMEOUT };
        let _ = monoio::time::timeout(timeout, self.read()).await;
        if self.replay.lost.is_some() {
            // The owner has what is missing, and saves a snapshot of it.
            self.drop_replay_with_losses();
            return self.postpone_catch_up();
        }
        let retention = self.node.timings.status_retention;
        self.replay.state.remove_expired(self.node.deps.clock.unix(), retention);
        self.next_catch_up = self.node.deps.clock.now().after(CATCH_UP_INTERVAL);
    }

    /// Postpones the replay after a change of owner, so that the new owner can read undisturbed.
    pub(super) fn postpone_catch_up(&mut self) {
        let delay = if self.replay.has_snapshot {
            CATCH_UP_INTERVAL
        } else {
            TAKEOVER_PAUSE + self.rank.map_or(Duration::ZERO, |rank| PAUSE_PER_RANK * rank)
        };
        self.next_catch_up = self.node.deps.clock.now().after(delay);
    }
}
