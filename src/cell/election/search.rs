//! Replay of the journal that stops when a new owner appears.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{self, Either};

use super::Election;
use crate::cell::dependencies::OwnerRecord;
use crate::cell::node::Node;
use crate::cell::{Epoch, Id};

/// Interval between reads of the owner record while the journal is replayed. A journal of usual
/// length is read in 20 ms; after a loss of all instances the first one owns the cell after 1.5 s.
const OWNER_RECORD_INTERVAL: Duration = Duration::from_millis(250);

/// How the replay ended.
pub(super) enum ReplayResult {
    /// The whole journal was replayed.
    Complete,
    /// Another instance owns the cell.
    OwnerFound,
    /// The store does not answer.
    StoreUnavailable,
}

impl Election {
    /// Replays the journal to its end, unless another instance writes an owner record of an epoch
    /// after `before` meanwhile.
    ///
    /// Guards against unnecessary replays after a power loss. All instances wanted the cell and
    /// read megabytes through the same store: 24 of 30 were busy with it for 13 s and neither
    /// accepted calls nor queried the policy service, although the first of them owned the cell
    /// after two seconds.
    pub(super) async fn read_unless_owned(&mut self, before: Epoch) -> ReplayResult {
        let new_owner = newer_owner_record(self.node.clone(), self.cell, before);
        match race(self.read(), new_owner).await {
            Ok(true) => ReplayResult::Complete,
            Ok(false) => ReplayResult::StoreUnavailable,
            Err(record) => {
                self.follow_record(record);
                ReplayResult::OwnerFound
            }
        }
    }
}

/// Returns the result of the replay, or the record of a new owner, whichever comes first.
async fn race<T>(
    reading: impl Future<Output = T>,
    new_owner: impl Future<Output = OwnerRecord>,
) -> Result<T, OwnerRecord> {
    match future::select(pin!(reading), pin!(new_owner)).await {
        Either::Left((read, _)) => Ok(read),
        Either::Right((record, _)) => Err(record),
    }
}

/// Waits for the record of another instance that owns the cell in an epoch after `before`.
async fn newer_owner_record(node: Rc<Node>, cell: Id, before: Epoch) -> OwnerRecord {
    loop {
        node.deps.clock.sleep(OWNER_RECORD_INTERVAL).await;
        // Only the store's own timeout applies: behind the journals that other instances read, a
        // response may take longer than the usual timeout for an owner record.
        if let Ok(Some(record)) = node.deps.journal.owner_record(cell).await
            && record.epoch > before
            && record.peer != node.me
        {
            log::info!(
                "event=owner.shown cell={cell} owner={} epoch={}",
                record.peer,
                record.epoch
            );
            return record;
        }
    }
}
