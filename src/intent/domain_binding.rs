//! Binds a job to the failure domain that takes it.

use super::admission_decision::Refusal;
use super::key::{Kind, Request};
use super::partition::{KeyState, Progress};
use super::record::{AttemptId, ExecutionOutcome};
use crate::domain;

/// Failure domain that a job is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DomainBinding {
    /// The job is bound to a failure domain. Any instance may submit it to that domain's owner, and
    /// may repeat the submission: the owner detects repeats by the job's identity.
    Bound {
        /// The submission that bound the job.
        attempt: AttemptId,
        /// The failure domain.
        domain: domain::Name,
        /// Whether an earlier submission bound the job.
        duplicate: bool,
        /// Whether the domain's owner is recorded to have accepted the job. The job must not be
        /// submitted again then, because the owner may already have deleted it.
        accepted: bool,
    },
    /// This submission was not passed to an owner and never will be.
    NotRun(Refusal),
}

impl DomainBinding {
    /// The binding that an earlier submission recorded.
    pub(super) fn from_state(state: KeyState) -> Self {
        let (domain, accepted) = match state.progress {
            Progress::Done(ExecutionOutcome::Accepted(domain)) => (Some(domain), true),
            _ => (state.domain, false),
        };
        match domain {
            Some(domain) => {
                Self::Bound { attempt: state.attempt, domain, duplicate: true, accepted }
            }
            None => Self::NotRun(Refusal::KeyReused),
        }
    }
}

/// Whether `request` submits a job and names the failure domain for it.
pub(super) fn is_job(request: &Request) -> bool {
    request.key.kind() == Kind::Job && request.domain.is_some()
}
