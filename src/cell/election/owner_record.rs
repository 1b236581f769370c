//! The sign that an owner leaves beside the journal, by which instances find it.

use super::reason::TakeoverReason;
use super::{Election, READ_RETRY};
use crate::cell::Epoch;
use crate::cell::dependencies::{AppendError, OwnerRecord};
use crate::cell::timings::OWNER_RECORD_TIMEOUT;

/// Tries to leave a sign of a new owner; with the rests between them they outlast a store that is
/// down for six seconds. Without a sign, instances read the journal.
const PUBLISH_TRIES: u32 = 40;

impl Election {
    /// What the last owner says of itself; `None` without one.
    pub(super) async fn owner_record(&self) -> Result<Option<OwnerRecord>, ()> {
        let read = self.node.deps.journal.owner_record(self.cell);
        let cause = match monoio::time::timeout(OWNER_RECORD_TIMEOUT, read).await {
            Ok(Ok(sign)) => return Ok(sign),
            Ok(Err(cause)) => cause,
            Err(_) => format!("no answer within {} ms", OWNER_RECORD_TIMEOUT.as_millis()),
        };
        log::warn!("event=owner.sign_unread cell={} cause={cause:?}", self.cell);
        Err(())
    }

    /// Whether an owner other than the one to be replaced has left a sign, which this instance has
    /// not yet followed in vain.
    ///
    /// Guards against small instances that never learn who owns the cell: once all have come back
    /// after a loss of power, reading a journal of megabytes over a link of 10 Mbit/s took longer
    /// than its timeout again and again, and 24 of 30 instances turned their callers away.
    pub(super) fn follows_record(
        &mut self,
        sign: Option<OwnerRecord>,
        motive: TakeoverReason,
    ) -> bool {
        let Some(sign) = sign else { return false };
        let known = self.last_owner_record == Some(sign) || motive.replaced() == Some(sign.peer);
        if known || sign.peer == self.node.me {
            return false;
        }
        self.follow_record(sign);
        true
    }

    /// Follows the owner that left the sign.
    pub(super) fn follow_record(&mut self, sign: OwnerRecord) {
        self.last_owner_record = Some(sign);
        self.node.note_epoch(self.cell, sign.epoch);
        self.node.set_owner(self.cell, Some(sign.peer));
    }

    /// Leaves a sign for instances that do not know the owner.
    pub(super) fn publish_owner(&self, epoch: Epoch) {
        let (node, cell) = (self.node.clone(), self.cell);
        let sign = OwnerRecord { epoch, peer: node.me, cpu_millis: node.cpu_millis };
        monoio::spawn(async move {
            let journal = node.deps.journal.clone();
            for _ in 0..PUBLISH_TRIES {
                match journal.publish_owner(cell, node.claim_sequence(), sign).await {
                    Ok(()) | Err(AppendError::Fenced) => return,
                    Err(rejected) => {
                        log::warn!("event=owner.sign_unwritten cell={cell} {rejected}");
                    }
                }
                node.deps.clock.sleep(READ_RETRY).await;
            }
        });
    }
}
