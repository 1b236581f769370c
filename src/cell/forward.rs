//! Forwarding of callers' calls to the owner of their cell.

use std::rc::Rc;
use std::time::Duration;

use super::Id;
use super::caller::Caller;
use super::job;
use super::machine::{Answer, Call};
use super::node::Node;
use super::peer::{CALL, ForwardedCall, Reply};
use super::retry::{AttemptOutcome, RetryDecision, RetryPolicy};

/// Delay between two attempts while no owner answers.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The owner answered.
    Answer(Answer),
    /// The call was not executed.
    // The name is printed in log lines (`call.unanswered`).
    NotDone,
    /// The call may have been executed.
    Unknown,
}

/// Forwards calls to owners.
#[derive(Clone)]
pub struct CallForwarder {
    node: Rc<Node>,
}

impl CallForwarder {
    /// Creates a forwarder for calls that reach `node`.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    /// Cell that a job belongs to, by a hash of the job's ID.
    pub fn cell_of(&self, job: &job::Id) -> Id {
        let hash = xxhash_rust::xxh3::xxh3_64(job.to_string().as_bytes());
        Id((hash % u64::from(self.node.cells)) as u32)
    }

    /// Counts the waiting jobs of a queue over all cells.
    pub async fn count_waiting(
        &self,
        queue: &str,
        caller: &Caller,
        timeout: Duration,
    ) -> CallOutcome {
        let mut total = 0;
        for cell in 0..self.node.cells {
            match self.call(Id(cell), Call::Waiting(queue.to_owned()), caller, timeout).await {
                CallOutcome::Answer(Answer::Waiting(waiting)) => total += waiting,
                other => return other,
            }
        }
        CallOutcome::Answer(Answer::Waiting(total))
    }

    /// Forwards `call` to the owner of `cell`, for a `caller` that waits for `timeout`.
    ///
    /// Every call is idempotent by the job's ID, so it is repeated at the next owner when the
    /// former one does not answer. A call that fails is [`CallOutcome::Unknown`] if it changes a
    /// job and one of its attempts may have been executed, else [`CallOutcome::NotDone`].
    pub async fn call(
        &self,
        cell: Id,
        call: Call,
        caller: &Caller,
        timeout: Duration,
    ) -> CallOutcome {
        let clock = self.node.deps.clock.clone();
        let is_write = matches!(call, Call::Submit(_) | Call::Cancel(_));
        let mut policy = RetryPolicy::new(clock.now(), timeout, self.node.owner_heard_at(cell));
        let mut next = policy.next(clock.now());
        let mut may_have_run = false;
        loop {
            let timeout = match next {
                RetryDecision::Attempt(timeout) => timeout,
                RetryDecision::Unknown if is_write => return CallOutcome::Unknown,
                RetryDecision::Unknown | RetryDecision::NotExecuted => {
                    return CallOutcome::NotDone;
                }
            };
            let outcome = match self.attempt(cell, &call, caller, timeout).await {
                Ok(answer) => return outcome_of(answer, may_have_run),
                Err(outcome) => outcome,
            };
            may_have_run |= outcome == AttemptOutcome::Unknown;
            next = policy.after_attempt(outcome, clock.now());
            if matches!(next, RetryDecision::Attempt(_)) {
                clock.sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn attempt(
        &self,
        cell: Id,
        call: &Call,
        caller: &Caller,
        timeout: Duration,
    ) -> Result<Answer, AttemptOutcome> {
        let answer = match self.node.owner_handle(cell) {
            Some(owner) => {
                let answer = owner.call(call.clone(), caller.clone());
                match monoio::time::timeout(timeout, answer).await {
                    Ok(Some(answer)) => answer,
                    Ok(None) | Err(_) => return Err(AttemptOutcome::Unknown),
                }
            }
            None => self.call_owner(cell, call, caller, timeout).await?,
        };
        if answer == Answer::Unavailable { Err(AttemptOutcome::Refused) } else { Ok(answer) }
    }

    async fn call_owner(
        &self,
        cell: Id,
        call: &Call,
        caller: &Caller,
        timeout: Duration,
    ) -> Result<Answer, AttemptOutcome> {
        let owner = self.node.owner(cell).filter(|owner| *owner != self.node.me);
        let owner = owner.ok_or(AttemptOutcome::NotDelivered)?;
        let envelope = ForwardedCall { cell, call: call.clone() };
        let reply: Result<Reply, _> =
            self.node.deps.peers.call(owner, &caller.method(CALL), &envelope, timeout).await;
        match reply {
            Ok(Reply::Answer(answer)) => Ok(answer),
            Ok(Reply::NotOwner(_)) => Err(AttemptOutcome::NotDelivered),
            Ok(Reply::Interrupted) => Err(AttemptOutcome::Unknown),
            Err(error) if error.sent => Err(AttemptOutcome::Unknown),
            Err(_) => Err(AttemptOutcome::NotDelivered),
        }
    }
}

/// Result of a call that was answered, after an attempt that may have been executed or not.
///
/// Guards against a job that its caller takes for refused and that runs: an attempt without an
/// answer may still reach the owner after a later one was refused.
///
/// ```
/// use oriolefork::cell::forward::{CallOutcome, outcome_of};
/// use oriolefork::cell::machine::Answer;
/// let busy = Answer::Busy { retry_after_ms: 2_000 };
/// assert_eq!(outcome_of(busy, false), CallOutcome::Answer(busy));
/// assert_eq!(outcome_of(busy, true), CallOutcome::Unknown);
/// assert_eq!(outcome_of(Answer::Accepted, true), CallOutcome::Answer(Answer::Accepted));
/// ```
pub const fn outcome_of(answer: Answer, may_have_run: bool) -> CallOutcome {
    match answer {
        Answer::Busy { .. } if may_have_run => CallOutcome::Unknown,
        _ => CallOutcome::Answer(answer),
    }
}
