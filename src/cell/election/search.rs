//! What an instance that wants a cell comes upon first: the end of the journal or a new owner.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{self, Either};

use super::Election;
use crate::cell::dependencies::OwnerRecord;
use crate::cell::node::Node;
use crate::cell::{Epoch, Id};

/// Rest between two looks for the sign of a new owner while the journal is read. A journal of
/// usual length is read in 20 ms; after a loss of all instances the first owns the cell after 1.5 s.
const SIGN_REST: Duration = Duration::from_millis(250);

/// What was found.
pub(super) enum ReplayResult {
    /// The whole journal.
    Journal,
    /// Another instance that owns the cell by now.
    Owner,
    /// A store that does not answer.
    Nothing,
}

impl Election {
    /// Reads the journal to its end, unless an owner of an epoch after `before` leaves its sign
    /// meanwhile.
    ///
    /// Guards against instances that all want the cell after a loss of power: they read megabytes
    /// through the same store, 24 of 30 were at it for 13 s, and neither took calls nor asked the
    /// policy service while the first of them had owned the cell since the second second.
    pub(super) async fn read_unless_owned(&mut self, before: Epoch) -> ReplayResult {
        let shown = newer_owner_record(self.node.clone(), self.cell, before);
        match race(self.read(), shown).await {
            Ok(true) => ReplayResult::Journal,
            Ok(false) => ReplayResult::Nothing,
            Err(sign) => {
                self.follow_record(sign);
                ReplayResult::Owner
            }
        }
    }
}

/// What ends first: the reading of the journal, or the wait for a new owner's sign.
async fn race<T>(
    reading: impl Future<Output = T>,
    shown: impl Future<Output = OwnerRecord>,
) -> Result<T, OwnerRecord> {
    match future::select(pin!(reading), pin!(shown)).await {
        Either::Left((read, _)) => Ok(read),
        Either::Right((sign, _)) => Err(sign),
    }
}

/// Waits for the sign of another instance that owns the cell in an epoch after `before`.
async fn newer_owner_record(node: Rc<Node>, cell: Id, before: Epoch) -> OwnerRecord {
    loop {
        node.deps.clock.sleep(SIGN_REST).await;
        // The store's own timeout applies: behind the journals that others read, an answer may take
        // longer than an instance usually waits for a sign.
        if let Ok(Some(sign)) = node.deps.journal.owner_record(cell).await
            && sign.epoch > before
            && sign.peer != node.me
        {
            log::info!("event=owner.shown cell={cell} owner={} epoch={}", sign.peer, sign.epoch);
            return sign;
        }
    }
}
