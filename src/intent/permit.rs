//! Permits to run a request once, and the recording of its outcome.

use local_sync::mpsc::unbounded::Tx;

use super::deduplicator::Message;
use super::key::Key;
use super::record::{AttemptId, Entry, ExecutionOutcome};
use crate::clock::Unix;

/// A key that was won, until its withdrawal or outcome is recorded.
#[derive(Debug)]
struct Claim {
    attempt: AttemptId,
    key: Key,
    created: Unix,
}

/// Permission to run the work of a key once.
///
/// Dropping it unused releases the key: a withdrawal is recorded, and a retry may run.
pub struct Permit {
    attempt: AttemptId,
    claim: Option<Claim>,
    sender: Tx<Message>,
}

/// The only execution of a key's work, which may have run from now on.
///
/// Dropping it without [`finish`](Self::finish) records [`ExecutionOutcome::ResponseLost`].
pub struct Execution {
    claim: Option<Claim>,
    sender: Tx<Message>,
}

impl Permit {
    pub(super) fn new(attempt: AttemptId, key: Key, created: Unix, sender: Tx<Message>) -> Self {
        Self { attempt, claim: Some(Claim { attempt, key, created }), sender }
    }

    /// Identity of the attempt, unique among all instances.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Keeps the key claimed without an execution, for a job that other instances may submit too.
    pub(super) fn retain_intent(mut self) {
        self.claim = None;
    }

    /// Starts the execution. Must be called before the first byte of the work may be sent.
    pub fn start(mut self) -> Execution {
        Execution { claim: self.claim.take(), sender: self.sender.clone() }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(Claim { attempt, key, .. }) = self.claim.take() else { return };
        send(&self.sender, Entry::Withdrawal { attempt, key });
    }
}

impl Execution {
    /// Records the outcome of the execution. Does not wait until the record is written.
    pub fn finish(mut self, outcome: ExecutionOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: ExecutionOutcome) {
        let Some(Claim { attempt, key, created }) = self.claim.take() else { return };
        send(&self.sender, Entry::Outcome { attempt, key, created, outcome });
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.record(ExecutionOutcome::ResponseLost);
    }
}

/// Sends a record to the task. If the task has ended, the record is lost and the outcome of the
/// key stays unknown to retries.
fn send(sender: &Tx<Message>, entry: Entry) {
    if sender.send(Message::Record(entry)).is_err() {
        log::warn!("event=intent.record_lost cause=\"the deduplicator has ended\"");
    }
}
