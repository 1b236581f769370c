//! The order in which instances try to take a cell over.

use super::motive::Motive;
use super::{Election, READ_RETRY};
use crate::cell::link::Sign;
use crate::cell::timings::{RANK_DELAY, STORE_QUICK};

/// Rank of an instance that no owner has told its place.
pub(super) const UNRANKED: u32 = 3;

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
        let mut rank = self.rank;
        if motive == Motive::Unknown && !self.reading.begun {
            let sign = self.sign().await.unwrap_or_default();
            if self.follows_sign(sign, motive) {
                return false;
            }
            rank = self.first_rank(sign);
            if rank == 0 {
                return true;
            }
        }
        let known = self.node.epoch(self.cell);
        for _ in 0..rank {
            self.node.borders.clock.sleep(RANK_DELAY).await;
            if self.node.epoch(self.cell) > known {
                return false;
            }
        }
        let sign = self.sign().await.unwrap_or_default();
        !self.follows_sign(sign, motive)
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
