//! Binds each submission to a failure domain, so that repeating it at any instance yields one job.

use std::rc::Rc;
use std::time::Duration;

use crate::api::{CallContext, Refusal, view};
use crate::clock::Clock;
use crate::intent::{self, AttemptId, Deduplicator, DomainBinding, Key, Kind, Request};
use crate::{codec, domain};

/// Divisor of the caller's timeout that yields the timeout of binding.
const BIND_TIMEOUT_DIVISOR: u32 = 2;
/// Time after which a caller should retry if the submission could not be bound.
const BIND_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Binds submissions to failure domains.
pub struct DomainBinder {
    /// Records of idempotency keys in the log.
    pub deduplicator: Deduplicator,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// This instance's failure domain, to which new jobs are bound.
    pub domain: domain::Name,
}

/// A submission bound to a failure domain.
pub struct BoundSubmission {
    /// The failure domain.
    pub domain: domain::Name,
    /// Whether the log records that its owner has accepted the job.
    pub accepted: bool,
    request: Request,
    attempt: AttemptId,
}

impl DomainBinder {
    /// Binds a submission to this failure domain, or to that of an earlier submission with the same
    /// key at any instance.
    ///
    /// # Errors
    ///
    /// Refuses if the log cannot be read to find an earlier submission, or if the key was used for
    /// a different job. Nothing has been sent to an owner then.
    pub async fn bind(
        &self,
        call: &CallContext,
        submission: &view::job::Submission,
    ) -> Result<BoundSubmission, Refusal> {
        let request = self.request(submission)?;
        let binding =
            self.deduplicator.bind_job(request.clone(), call.within / BIND_TIMEOUT_DIVISOR).await;
        match binding {
            DomainBinding::Bound { attempt, domain, accepted, .. } => {
                Ok(BoundSubmission { domain, accepted, request, attempt })
            }
            DomainBinding::NotRun(refusal) => {
                Err(Refusal::from(refusal).with_retry_after(BIND_RETRY_AFTER))
            }
        }
    }

    /// Records that the owner has accepted the job, so that a late retry finds it accepted even
    /// after the owner has removed the ended job.
    pub fn record_acceptance(&self, bound: &BoundSubmission) {
        self.deduplicator.record_acceptance(&bound.request, bound.attempt, bound.domain.clone());
    }

    /// A key that is not a version 7 UUID has no creation time and is treated as created now. As
    /// long as its record is kept it identifies the earlier submission; after that it counts as a
    /// new key.
    fn request(&self, submission: &view::job::Submission) -> Result<Request, Refusal> {
        let view::job::Submission { key, spec } = submission;
        let invalid = |cause: String| Refusal::invalid("idempotency-key", cause);
        let work = codec::encode(spec).map_err(|error| invalid(error.to_string()))?;
        Ok(Request {
            created: intent::creation_time(key).unwrap_or_else(|| self.clock.unix()),
            key: Key::new(Kind::Job, &spec.team, key)
                .map_err(|error| invalid(error.to_string()))?,
            fingerprint: intent::fingerprint(&work),
            domain: Some(self.domain.clone()),
        })
    }
}
