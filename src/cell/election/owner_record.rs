//! The owner record beside the journal, by which instances find the owner.

use super::reason::TakeoverReason;
use super::{Election, READ_RETRY_DELAY};
use crate::cell::Epoch;
use crate::cell::dependencies::{AppendError, OwnerRecord};
use crate::cell::timings::OWNER_RECORD_TIMEOUT;

/// Number of attempts to write the record of a new owner. With the delays between them they outlast
/// a store outage of six seconds. Without a record, instances read the journal.
const PUBLISH_ATTEMPTS: u32 = 40;

impl Election {
    /// Reads the record of the last owner; `None` without one.
    pub(super) async fn owner_record(&self) -> Result<Option<OwnerRecord>, ()> {
        let read = self.node.deps.journal.owner_record(self.cell);
        let cause = match monoio::time::timeout(OWNER_RECORD_TIMEOUT, read).await {
            Ok(Ok(record)) => return Ok(record),
            Ok(Err(cause)) => cause,
            Err(_) => format!("no answer within {} ms", OWNER_RECORD_TIMEOUT.as_millis()),
        };
        log::warn!("event=owner.sign_unread cell={} cause={cause:?}", self.cell);
        Err(())
    }

    /// Whether the record names an owner other than the one to be replaced that this instance has
    /// not followed already; follows it if so.
    ///
    /// Guards against small instances that never find the owner. After a power loss, reading a
    /// journal of megabytes over a link of 10 Mbit/s repeatedly exceeded its timeout, and 24 of 30
    /// instances refused their callers.
    pub(super) fn try_follow_record(
        &mut self,
        record: Option<OwnerRecord>,
        reason: TakeoverReason,
    ) -> bool {
        let Some(record) = record else { return false };
        let known =
            self.last_owner_record == Some(record) || reason.replaced() == Some(record.peer);
        if known || record.peer == self.node.me {
            return false;
        }
        self.follow_record(record);
        true
    }

    /// Follows the owner named in the record.
    pub(super) fn follow_record(&mut self, record: OwnerRecord) {
        self.last_owner_record = Some(record);
        self.node.note_epoch(self.cell, record.epoch);
        self.node.set_owner(self.cell, Some(record.peer));
    }

    /// Writes the owner record for instances that do not know the owner.
    pub(super) fn publish_owner(&self, epoch: Epoch) {
        let (node, cell) = (self.node.clone(), self.cell);
        let record = OwnerRecord { epoch, peer: node.me, cpu_millis: node.cpu_millis };
        monoio::spawn(async move {
            let journal = node.deps.journal.clone();
            for _ in 0..PUBLISH_ATTEMPTS {
                match journal.publish_owner(cell, node.claim_sequence(), record).await {
                    Ok(()) | Err(AppendError::Fenced) => return,
                    Err(rejected) => {
                        log::warn!("event=owner.sign_unwritten cell={cell} {rejected}");
                    }
                }
                node.deps.clock.sleep(READ_RETRY_DELAY).await;
            }
        });
    }
}
