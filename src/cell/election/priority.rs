//! The order in which instances claim a cell.

use std::time::Duration;

use super::reason::TakeoverReason;
use super::{Election, READ_RETRY_DELAY};
use crate::cell::timings::{FAST_STORE_READ, RANK_DELAY};
use crate::cell::watch::SUCCESSORS;

/// Range of the random delay of instances that have just started and have no rank, in milliseconds.
/// A claim and the owner record take 15 ms.
const JITTER_MS: u64 = 80;

/// Delay of an instance with half the CPU of the last owner, in steps of `RANK_DELAY`, and the
/// maximum of this delay: a second.
const CPU_DELAY: u32 = 6;
const MAX_CPU_DELAY: u32 = 25;

/// Delay of an instance that has not replayed the journal in advance, in steps of `RANK_DELAY`.
const NO_REPLAY_DELAY: u32 = 3;

/// Maximum rank, so that the last of many instances does not wait for long.
pub(super) const MAX_RANK: u32 = 8;

// Otherwise the rank would not tell who is among the successors.
const _: () = assert!(MAX_RANK >= SUCCESSORS);

impl Election {
    /// Waits for the instance's turn; returns whether it should claim the cell, judged by the owner
    /// record.
    pub(super) async fn wait_for_turn(&mut self, reason: TakeoverReason) -> bool {
        if matches!(reason, TakeoverReason::Struggling(_)) && !self.is_store_fast().await {
            // The store is slow or unreachable for all instances.
            self.node.deps.clock.sleep(READ_RETRY_DELAY).await;
            return false;
        }
        // The store is read first: after an outage all instances notice its recovery at once, and
        // their delays start from there.
        if !self.is_unowned(reason).await {
            return false;
        }
        let known = self.node.epoch(self.cell);
        let steps = self.delay_steps().await;
        for _ in 0..steps {
            self.node.deps.clock.sleep(RANK_DELAY).await;
            if self.node.epoch(self.cell) > known {
                return false;
            }
        }
        steps == 0 || self.is_unowned(reason).await
    }

    /// Whether the store answers and names no owner to follow instead.
    async fn is_unowned(&mut self, reason: TakeoverReason) -> bool {
        match self.owner_record().await {
            Ok(record) => !self.try_follow_record(record, reason),
            Err(()) => {
                // Without the store no instance can take over; the owner may return.
                self.node.deps.clock.sleep(READ_RETRY_DELAY).await;
                false
            }
        }
    }

    /// Delay of this instance before its claim, in steps of `RANK_DELAY`.
    async fn delay_steps(&self) -> u32 {
        if let Some(rank) = self.rank {
            let replay_delay = if self.replay.has_snapshot { 0 } else { NO_REPLAY_DELAY };
            return rank + replay_delay + cpu_delay(self.node.cpu_millis, self.owner_cpu_millis);
        }
        let jitter = Duration::from_millis(self.node.incarnation % JITTER_MS);
        self.node.deps.clock.sleep(jitter).await;
        // After a power loss all instances start at once, and the one with the most CPU should win.
        // Those with as much CPU as the last owner need not wait for each other.
        match self.last_owner_record {
            Some(record) if record.cpu_millis > 0 => {
                cpu_delay(self.node.cpu_millis, record.cpu_millis)
            }
            _ => self.node.cpu_rank(MAX_RANK),
        }
    }

    /// Whether the store answers this instance within its usual time.
    async fn is_store_fast(&self) -> bool {
        let sent = self.node.deps.clock.now();
        let record = self.owner_record().await;
        record.is_ok() && self.node.deps.clock.now().since(sent) <= FAST_STORE_READ
    }
}

/// Delay of an instance with less CPU than the last owner, in steps of `RANK_DELAY`.
///
/// Guards against an instance with little CPU that claims first: it reads a long journal over a
/// slow link for two seconds, while larger instances would be ready sooner although they start
/// later.
fn cpu_delay(cpu_millis: u32, owner_cpu_millis: u32) -> u32 {
    let missing = owner_cpu_millis.saturating_sub(cpu_millis);
    (CPU_DELAY * missing / cpu_millis.max(1)).min(MAX_CPU_DELAY)
}
