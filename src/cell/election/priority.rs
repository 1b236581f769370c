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
const HANDICAP: u32 = 6;
const MOST_HANDICAP: u32 = 25;

/// Places by which an instance comes later that has not kept up with the journal.
const COLD_HANDICAP: u32 = 3;

/// Bounds the rank, so that the last instance of many does not wait for long.
pub(super) const LOWEST_RANK: u32 = 8;

impl Election {
    /// Waits for the instance's turn; whether it should take the cell over, as far as the owner's
    /// sign tells.
    pub(super) async fn may_claim(&mut self, motive: TakeoverReason) -> bool {
        if matches!(motive, TakeoverReason::Struggling(_)) && !self.reaches_store_quickly().await {
            // The store is slow or away for all.
            self.node.borders.clock.sleep(READ_RETRY).await;
            return false;
        }
        // The store comes first: when it is back after an outage all find out at once, and the wait for
        // their turns begins.
        if !self.is_unowned(motive).await {
            return false;
        }
        let known = self.node.epoch(self.cell);
        let place = self.place().await;
        for _ in 0..place {
            self.node.borders.clock.sleep(RANK_DELAY).await;
            if self.node.epoch(self.cell) > known {
                return false;
            }
        }
        place == 0 || self.is_unowned(motive).await
    }

    /// Whether the store answers and names no owner to follow instead.
    async fn is_unowned(&mut self, motive: TakeoverReason) -> bool {
        match self.sign().await {
            Ok(sign) => !self.follows_sign(sign, motive),
            Err(()) => {
                // Without the store nobody can take over; the owner may come back.
                self.node.borders.clock.sleep(READ_RETRY).await;
                false
            }
        }
    }

    /// Place of this instance in the order of those that try.
    async fn place(&self) -> u32 {
        if let Some(rank) = self.rank {
            let cold = if self.reading.begun { 0 } else { COLD_HANDICAP };
            return rank + cold + handicap(self.node.strength, self.owner_strength);
        }
        let spread = Duration::from_millis(self.node.incarnation % SPREAD_MS);
        self.node.borders.clock.sleep(spread).await;
        // All come at once after a loss of power, and the strongest should win; those as strong as the
        // last owner need not wait for each other.
        match self.followed {
            Some(sign) if sign.cpu_millis > 0 => handicap(self.node.strength, sign.cpu_millis),
            _ => self.node.weakness(LOWEST_RANK),
        }
    }

    /// Whether the store answers this instance in its usual time.
    async fn reaches_store_quickly(&self) -> bool {
        let asked = self.node.borders.clock.now();
        let sign = self.sign().await;
        sign.is_ok() && self.node.borders.clock.now().since(asked) <= FAST_STORE_READ
    }
}

/// Places that an instance of `strength` stands behind those as strong as the last owner.
///
/// Guards against a weak one that is there first: it reads a long journal for two seconds on a thin link,
/// while strong ones that would be through sooner begin a moment later.
fn handicap(strength: u32, owner: u32) -> u32 {
    let lacking = owner.saturating_sub(strength);
    (HANDICAP * lacking / strength.max(1)).min(MOST_HANDICAP)
}
