//! Submission and cancellation of jobs at the owner of the failure domain.

use std::time::Duration;

use super::{Entry, OWNER_PAUSE};
use crate::api::{CallContext, Reason, Refusal, view};
use crate::entry::forward::{OwnerResponse, Reply};
use crate::entry::views;
use crate::job;
use crate::owner::machine::{self, Answer};

/// Time after which a caller should retry while the log is unreachable or does not answer.
const LOG_PAUSE: Duration = Duration::from_secs(5);

impl Entry {
    /// Accepts a job as the owner.
    pub(super) async fn submit_here(
        &self,
        call: CallContext,
        submission: view::job::Submission,
    ) -> Reply {
        let id = submission.id();
        let view::job::Submission { key, spec } = submission;
        let change = machine::Call::Submit { job: id, key, spec };
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::Accepted { duplicate } => Ok(OwnerResponse::Accepted(view::job::Accepted {
                job: id,
                durability: view::job::Durability::Log,
                duplicate,
            })),
            other => Err(refusal("job", &id.to_string(), other)),
        }
    }

    /// Stops a job as the owner.
    pub(super) async fn cancel_here(&self, call: CallContext, id: job::Id) -> Reply {
        let change = machine::Call::Cancel(id);
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::Cancelled => self
                .read_state(move |machine, _, _| views::job(machine, id))
                .await
                .map(|job| OwnerResponse::Job(Box::new(job))),
            other => Err(refusal("job", &id.to_string(), other)),
        }
    }
}

/// Refusal of a change that the owner did not confirm.
pub(super) fn refusal(what: &str, id: &str, answer: Answer) -> Refusal {
    let cause = match answer {
        Answer::Refused(cause) => cause,
        Answer::NotFound => {
            return Refusal::not_run(Reason::NotFound, format!("no {what} {id} is known here"));
        }
        Answer::Unknown
        | Answer::Accepted { .. }
        | Answer::Cancelled
        | Answer::Acknowledged
        | Answer::GivenUp => {
            let message = "the log did not answer in time; repeat with the same key to learn more";
            return Refusal::unknown(Reason::LogUnavailable, message).with_retry_after(LOG_PAUSE);
        }
    };
    match cause {
        machine::Refusal::NotOwner(_) => views::no_owner(),
        machine::Refusal::WorkerReachable => Refusal::not_run(
            Reason::AlreadyEnded,
            format!("worker {id} is reachable, so it is known what it runs; drain it instead"),
        ),
        machine::Refusal::KeyReused => Refusal::not_run(
            Reason::KeyReused,
            format!("the idempotency key was already used for job {id} with different contents"),
        ),
        machine::Refusal::Impossible(reason) => {
            Refusal::not_run(Reason::Impossible, reason.to_string())
        }
        machine::Refusal::Busy => {
            Refusal::not_run(Reason::Overloaded, "too many changes wait for the log")
                .with_retry_after(OWNER_PAUSE)
        }
        machine::Refusal::LogUnavailable => {
            let message = "the platform's log cannot be reached, so nothing can be recorded";
            Refusal::not_run(Reason::LogUnavailable, message).with_retry_after(LOG_PAUSE)
        }
        machine::Refusal::DeadlineExceeded => {
            Refusal::not_run(Reason::Deadline, "time ran out before anything was recorded")
        }
    }
}
