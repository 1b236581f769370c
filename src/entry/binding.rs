//! Fixes the failure domain that takes a job, so that a submission repeated anywhere is one job.

use std::rc::Rc;
use std::time::Duration;

use crate::api::{Call, Refusal, view};
use crate::clock::Clock;
use crate::intent::{self, Attempt, Guard, Key, Kind, Placement, Request};
use crate::{codec, domain};

/// Part of the caller's time that fixing the failure domain may take.
const BIND_TIMEOUT_DIVISOR: u32 = 2;
/// Pause that a caller is asked to make when the failure domain could not be fixed.
const BIND_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What binds submissions to failure domains.
pub struct DomainBinder {
    /// Intents in the log.
    pub guard: Guard,
    /// Time.
    pub clock: Rc<dyn Clock>,
    /// This instance's failure domain, which takes new jobs.
    pub domain: domain::Name,
}

/// A submission whose failure domain is fixed.
pub struct BoundSubmission {
    /// The failure domain.
    pub domain: domain::Name,
    /// Whether its owner is recorded to have accepted the job.
    pub accepted: bool,
    request: Request,
    attempt: Attempt,
}

impl DomainBinder {
    /// Fixes the failure domain of a submission: this one's, or that of an earlier submission with
    /// the same key through any instance.
    ///
    /// # Errors
    ///
    /// Refuses when the log cannot tell whether there was an earlier one, or when the key stands for
    /// another job. Nothing was handed over then.
    pub async fn bind(
        &self,
        call: &Call,
        submission: &view::job::Submission,
    ) -> Result<BoundSubmission, Refusal> {
        let request = self.request(submission)?;
        let placement =
            self.guard.place_job(request.clone(), call.within / BIND_TIMEOUT_DIVISOR).await;
        match placement {
            Placement::Placed { attempt, domain, accepted, .. } => {
                Ok(BoundSubmission { domain, accepted, request, attempt })
            }
            Placement::NotRun(refusal) => Err(Refusal::from(refusal).after(BIND_RETRY_AFTER)),
        }
    }

    /// Records that the owner has accepted the job, so that a late retry finds it accepted even
    /// when the owner has forgotten the ended job.
    pub fn record_acceptance(&self, bound: &BoundSubmission) {
        self.guard.accept_job(&bound.request, bound.attempt, bound.domain.clone());
    }

    /// A key that is no version 7 UUID counts as made now: while its record is known, the key
    /// decides, and after that it is a new one.
    fn request(&self, submission: &view::job::Submission) -> Result<Request, Refusal> {
        let view::job::Submission { key, spec } = submission;
        let invalid = |cause: String| Refusal::invalid("idempotency-key", cause);
        let work = codec::encode(spec).map_err(|error| invalid(error.to_string()))?;
        Ok(Request {
            created: intent::created_of(key).unwrap_or_else(|| self.clock.unix()),
            key: Key::new(Kind::Job, &spec.team, key)
                .map_err(|error| invalid(error.to_string()))?,
            fingerprint: intent::fingerprint(&work),
            domain: Some(self.domain.clone()),
        })
    }
}
