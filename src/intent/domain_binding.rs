//! Fixing the failure domain that takes a job.

use super::admission_decision::Refusal;
use super::key::{Kind, Request};
use super::partition::{KeyState, Progress};
use super::record::{AttemptId, ExecutionOutcome};
use crate::domain;

/// Where a job goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DomainBinding {
    /// Hand the job to the owner of this failure domain, whoever asks and as often as it takes:
    /// the owner tells a repeated submission by the job's identity.
    Bound {
        /// The submission that fixed it.
        attempt: AttemptId,
        /// The failure domain.
        domain: domain::Name,
        /// Whether an earlier submission has fixed it.
        duplicate: bool,
        /// Whether that domain's owner is recorded to have accepted the job. Then the job is not
        /// to be handed over again, also when the owner no longer remembers it.
        accepted: bool,
    },
    /// Nothing was handed over, and nothing of this submission ever will be.
    NotRun(Refusal),
}

impl DomainBinding {
    /// Reads the binding that an earlier submission has fixed.
    pub(super) fn repeated(state: KeyState) -> Self {
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
