//! The order in which instances try to take a cell over.

use std::time::Duration;

use super::motive::Motive;
use super::{Election, READ_RETRY};
use crate::cell::link::Sign;
use crate::cell::timings::{RANK_DELAY, STORE_QUICK};

/// Time over which instances of one rank that have just begun are spread, in milliseconds: a claim and
/// its sign take 15.
const SPREAD_MS: u64 = 80;

/// Bounds the rank, so that the last instance of many does not wait for long.
pub(super) const LOWEST_RANK: u32 = 8;

impl Election {
    /// Waits for the instance's turn; whether it should take the cell over, as far as the owner's
    /// sign tells.
    pub(super) async fn may_claim(&mut self, motive: Motive) -> bool {
        if matches!(motive, Motive::Struggling(_)) && !self.reaches_store_quickly().await {
            // The store is slow or away for all.
            self.node.borders.clock.sleep(READ_RETRY).await;
            return false;
        }
        let known = self.node.epoch(self.cell);
        for _ in 0..self.place().await {
            self.node.borders.clock.sleep(RANK_DELAY).await;
            if self.node.epoch(self.cell) > known {
                return false;
            }
        }
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
            return rank;
        }
        let spread = Duration::from_millis(self.node.incarnation % SPREAD_MS);
        self.node.borders.clock.sleep(spread).await;
        self.first_rank(self.followed)
    }

    /// Whether the store answers this instance in its usual time.
    async fn reaches_store_quickly(&self) -> bool {
        let asked = self.node.borders.clock.now();
        let sign = self.sign().await;
        sign.is_ok() && self.node.borders.clock.now().since(asked) <= STORE_QUICK
    }

    /// Place in the order in which instances that have just begun take over.
    ///
    /// All come at once, and the strongest should win; where one owned the cell before, those that
    /// are as strong need not wait for each other. Buys 0.16 s after each loss of all instances of a
    /// quarter of a core (from the begin of a process to its claim, 0.29 s before).
    fn first_rank(&self, sign: Option<Sign>) -> u32 {
        match sign {
            Some(sign) if sign.strength > 0 && self.node.strength >= sign.strength => 0,
            _ => self.node.weakness(LOWEST_RANK),
        }
    }
}
