//! The right to one try, and its end.

use local_sync::mpsc::unbounded::Tx;

use super::deduplicator::Message;
use super::key::Key;
use super::record::{AttemptId, Entry, ExecutionOutcome};
use crate::clock::Unix;

/// What a permit and a try stand for.
#[derive(Debug)]
struct Claim {
    attempt: AttemptId,
    key: Key,
    created: Unix,
}

/// The right to try a key once.
///
/// Dropping it unused gives the key back: the withdrawal is recorded, and a retry may win.
pub struct Permit {
    attempt: AttemptId,
    claim: Option<Claim>,
    home: Tx<Message>,
}

/// The one try of a key. From here on its work may have run.
///
/// Dropping it without [`finish`](Self::finish) records that its outcome was lost.
pub struct Execution {
    claim: Option<Claim>,
    home: Tx<Message>,
}

impl Permit {
    pub(super) fn new(attempt: AttemptId, key: Key, created: Unix, home: Tx<Message>) -> Self {
        Self { attempt, claim: Some(Claim { attempt, key, created }), home }
    }

    /// Identity of the attempt, unique among all instances.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Lets the intent stand without a try here, as for a job that others may hand over as well.
    pub(super) fn keep(mut self) {
        self.claim = None;
    }

    /// Begins the try; call it before the first byte of the work may leave.
    pub fn start(mut self) -> Execution {
        Execution { claim: self.claim.take(), home: self.home.clone() }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(Claim { attempt, key, .. }) = self.claim.take() else { return };
        send(&self.home, Entry::Withdrawal { attempt, key });
    }
}

impl Execution {
    /// Records how the try ended. The record is written soon; a caller need not wait for it.
    pub fn finish(mut self, outcome: ExecutionOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: ExecutionOutcome) {
        let Some(Claim { attempt, key, created }) = self.claim.take() else { return };
        send(&self.home, Entry::Outcome { attempt, key, created, outcome });
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.record(ExecutionOutcome::ResponseLost);
    }
}

/// A deduplicator that has ended takes no record any more; the key then stays unknown to retries.
fn send(home: &Tx<Message>, entry: Entry) {
    if home.send(Message::Record(entry)).is_err() {
        log::warn!("event=intent.record_lost cause=\"the deduplicator has ended\"");
    }
}
