//! The order in which instances try to take a cell over.

use std::time::Duration;

use super::reason::TakeoverReason;
use super::{Election, READ_RETRY};
use crate::cell::timings::{FAST_STORE_READ, RANK_DELAY};

/// Time over which instances of one rank that have just begun are spread, in milliseconds: a claim and
/// its sign take 15.
const SPREAD_MS: u64 = 80;

/// Places by which an instance half as strong as the last owner comes later, and the most of them: a
/// second.
const CPU_DELAY: u32 = 6;
const MAX_CPU_DELAY: u32 = 25;

/// Places by which an instance comes later that has not kept up with the journal.
const NO_REPLAY_DELAY: u32 = 3;

/// Bounds the rank, so that the last instance of many does not wait for long.
pub(super) const LOWEST_RANK: u32 = 8;

impl Election {
    /// Waits for the instance's turn; whether it should take the cell over, as far as the owner's
    /// sign tells.
    pub(super) async fn wait_for_turn(&mut self, motive: TakeoverReason) -> bool {
        if matches!(motive, TakeoverReason::Struggling(_)) && !self.is_store_fast().await {
            // The store is slow or away for all.
            self.node.deps.clock.sleep(READ_RETRY).await;
            return false;
        }
        // The store comes first: when it is back after an outage all find out at once, and the wait for
        // their turns begins.
        if !self.is_unowned(motive).await {
            return false;
        }
        let known = self.node.epoch(self.cell);
        let place = self.delay_steps().await;
        for _ in 0..place {
            self.node.deps.clock.sleep(RANK_DELAY).await;
            if self.node.epoch(self.cell) > known {
                return false;
            }
        }
        place == 0 || self.is_unowned(motive).await
    }

    /// Whether the store answers and names no owner to follow instead.
    async fn is_unowned(&mut self, motive: TakeoverReason) -> bool {
        match self.owner_record().await {
            Ok(sign) => !self.follows_record(sign, motive),
            Err(()) => {
                // Without the store nobody can take over; the owner may come back.
                self.node.deps.clock.sleep(READ_RETRY).await;
                false
            }
        }
    }

    /// Place of this instance in the order of those that try.
    async fn delay_steps(&self) -> u32 {
        if let Some(rank) = self.rank {
            let cold = if self.replay.has_snapshot { 0 } else { NO_REPLAY_DELAY };
            return rank + cold + cpu_delay(self.node.cpu_millis, self.owner_cpu_millis);
        }
        let spread = Duration::from_millis(self.node.incarnation % SPREAD_MS);
        self.node.deps.clock.sleep(spread).await;
        // All come at once after a loss of power, and the strongest should win; those as strong as the
        // last owner need not wait for each other.
        match self.last_owner_record {
            Some(sign) if sign.cpu_millis > 0 => cpu_delay(self.node.cpu_millis, sign.cpu_millis),
            _ => self.node.cpu_rank(LOWEST_RANK),
        }
    }

    /// Whether the store answers this instance in its usual time.
    async fn is_store_fast(&self) -> bool {
        let asked = self.node.deps.clock.now();
        let sign = self.owner_record().await;
        sign.is_ok() && self.node.deps.clock.now().since(asked) <= FAST_STORE_READ
    }
}

/// Places that an instance of `strength` stands behind those as strong as the last owner.
///
/// Guards against a weak one that is there first: it reads a long journal for two seconds on a thin link,
/// while strong ones that would be through sooner begin a moment later.
fn cpu_delay(strength: u32, owner: u32) -> u32 {
    let lacking = owner.saturating_sub(strength);
    (CPU_DELAY * lacking / strength.max(1)).min(MAX_CPU_DELAY)
}
