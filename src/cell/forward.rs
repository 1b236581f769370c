//! Callers' calls on their way to the owner of their cell.

use std::rc::Rc;
use std::time::Duration;

use super::Id;
use super::job;
use super::machine::{Answer, Call};
use super::node::Node;
use super::peer::{CALL, ForwardedCall, Reply};
use super::retry::{AttemptOutcome, RetryDecision, RetryPolicy};

/// Rest between two tries while no owner answers.
const RETRY_REST: Duration = Duration::from_millis(30);

/// What a caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The owner's answer.
    Answer(Answer),
    /// Surely not carried out.
    NotExecuted,
    /// May have been carried out.
    Unknown,
}

/// Passes calls to owners.
#[derive(Clone)]
pub struct CallForwarder {
    node: Rc<Node>,
}

impl CallForwarder {
    /// Passes calls on in the name of `node`.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    /// The cell of a job.
    pub fn cell_of(&self, job: &job::Id) -> Id {
        let hash = xxhash_rust::xxh3::xxh3_64(job.to_string().as_bytes());
        Id((hash % u64::from(self.node.cells)) as u32)
    }

    /// Counts the waiting jobs of a queue over all cells.
    pub async fn count_waiting(&self, queue: &str, patience: Duration) -> CallOutcome {
        let mut total = 0;
        for cell in 0..self.node.cells {
            match self.call(Id(cell), Call::Waiting(queue.to_owned()), patience).await {
                CallOutcome::Answer(Answer::Waiting(waiting)) => total += waiting,
                other => return other,
            }
        }
        CallOutcome::Answer(Answer::Waiting(total))
    }

    /// Passes `call` to the owner of `cell`, for a caller who waits for `span`.
    ///
    /// Every call is idempotent by the job's identity, so that it is repeated at the next owner
    /// when the one before has gone silent. Whether one of the tries may have been carried out
    /// decides between the two ways to say no.
    pub async fn call(&self, cell: Id, call: Call, span: Duration) -> CallOutcome {
        let clock = self.node.deps.clock.clone();
        let changes = matches!(call, Call::Submit(_) | Call::Cancel(_));
        let mut patience = RetryPolicy::new(clock.now(), span, self.node.owner_heard_at(cell));
        let mut next = patience.next(clock.now());
        loop {
            let limit = match next {
                RetryDecision::Attempt(limit) => limit,
                RetryDecision::Unknown if changes => return CallOutcome::Unknown,
                RetryDecision::Unknown | RetryDecision::NotExecuted => {
                    return CallOutcome::NotExecuted;
                }
            };
            let trial = match self.attempt(cell, &call, limit).await {
                Ok(answer) => return CallOutcome::Answer(answer),
                Err(trial) => trial,
            };
            next = patience.after_attempt(trial, clock.now());
            if matches!(next, RetryDecision::Attempt(_)) {
                clock.sleep(RETRY_REST).await;
            }
        }
    }

    async fn attempt(
        &self,
        cell: Id,
        call: &Call,
        limit: Duration,
    ) -> Result<Answer, AttemptOutcome> {
        let answer = match self.node.owner_handle(cell) {
            Some(owning) => match monoio::time::timeout(limit, owning.call(call.clone())).await {
                Ok(Some(answer)) => answer,
                Ok(None) | Err(_) => return Err(AttemptOutcome::Unknown),
            },
            None => self.call_owner(cell, call, limit).await?,
        };
        if answer == Answer::Unavailable { Err(AttemptOutcome::Refused) } else { Ok(answer) }
    }

    async fn call_owner(
        &self,
        cell: Id,
        call: &Call,
        limit: Duration,
    ) -> Result<Answer, AttemptOutcome> {
        let owner = self.node.owner(cell).filter(|owner| *owner != self.node.me);
        let owner = owner.ok_or(AttemptOutcome::NotDelivered)?;
        let envelope = ForwardedCall { cell, call: call.clone() };
        let reply: Result<Reply, _> =
            self.node.deps.peers.call(owner, CALL, &envelope, limit).await;
        match reply {
            Ok(Reply::Answer(answer)) => Ok(answer),
            Ok(Reply::NotOwner(_)) => Err(AttemptOutcome::NotDelivered),
            Ok(Reply::Interrupted) => Err(AttemptOutcome::Unknown),
            Err(error) if error.sent => Err(AttemptOutcome::Unknown),
            Err(_) => Err(AttemptOutcome::NotDelivered),
        }
    }
}
