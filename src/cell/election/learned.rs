//! Reading what an earlier owner had learned, beside the replay of the journal.
//!
//! Nothing waits for the read. A record that arrives after the owner has begun is a message to it.

use local_sync::oneshot;

use super::Election;
pub(super) use crate::cell::learned::Record;
use crate::cell::machine::Message;
use crate::cell::owner::OwnerHandle;
use crate::cell::timings::LEARNED_READ_TIMEOUT;

impl Election {
    /// Begins to read the record; `None` if the site's owners learn nothing.
    pub(super) fn begin_reading_learned(&self) -> Option<oneshot::Receiver<Record>> {
        if !self.node.timings.features.any_learned() {
            return None;
        }
        let (journal, cell) = (self.node.deps.journal.clone(), self.cell);
        let (sender, receiver) = oneshot::channel();
        monoio::spawn(async move {
            let read = monoio::time::timeout(LEARNED_READ_TIMEOUT, journal.learned(cell)).await;
            let decoded = match read {
                Ok(Ok(Some(bytes))) => Record::decode(&bytes),
                Ok(Ok(None)) => return,
                Ok(Err(cause)) => Err(cause),
                Err(_) => Err("timeout".to_owned()),
            };
            match decoded {
                // The send fails when this instance does not own the cell after all.
                Ok(record) => drop(sender.send(record)),
                Err(cause) => log::warn!("event=learned.ignored cell={cell} cause={cause:?}"),
            }
        });
        Some(receiver)
    }

    /// Sends the record to the owner that begins, once it has been read.
    pub(super) fn hand_over_learned(&mut self, owner: &OwnerHandle) {
        let Some(learned) = self.learned.take() else { return };
        let owner = owner.clone();
        monoio::spawn(async move {
            if let Ok(record) = learned.await {
                owner.send(Message::LearnedRead(Box::new(record)));
            }
        });
    }
}
