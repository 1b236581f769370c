//! Calls about jobs of other failure domains.

use std::time::Duration;

use futures_util::future::join_all;

use super::{Entry, OWNER_PAUSE, forward_error};
use crate::api::{CallContext, Reason, Refusal};
use crate::domain::{self, Instance};
use crate::entry::forward::{self, ForwardedCall, OwnerRequest, Reply};
use crate::job;

/// Maximum time to wait for one instance of another failure domain when looking for a job.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of instances of another failure domain to try.
const MAX_ATTEMPTS: usize = 2;

impl Entry {
    /// Sends a request about a job to this failure domain and, if the job is not there, to the
    /// domain that has it.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the domain that has the job, or a refusal because no domain has it or
    /// because a domain could not be queried.
    pub(super) async fn call_any_domain(
        &self,
        call: CallContext,
        job: job::Id,
        request: OwnerRequest,
    ) -> Reply {
        let own = self.call_owner(call.clone(), request.clone()).await;
        let Err(refusal) = own else { return own };
        if !matches!(refusal.reason, Reason::NotFound | Reason::NoOwner) {
            return Err(refusal);
        }
        match self.find_job(&call, job).await {
            Lookup::Found(domain) => self.call_domain_owner(&domain, call, request).await,
            Lookup::Unanswered(domain) if refusal.reason == Reason::NotFound => {
                let message =
                    format!("no job {job} is known here, and {domain} could not be queried");
                Err(Refusal::not_run(Reason::NoOwner, message).with_retry_after(OWNER_PAUSE))
            }
            Lookup::Unanswered(_) | Lookup::NotFound => Err(refusal),
        }
    }

    /// Looks for a job in all other failure domains concurrently.
    async fn find_job(&self, call: &CallContext, job: job::Id) -> Lookup {
        let within = LOOKUP_TIMEOUT.min(call.within / 3);
        let call = CallContext { within, ..call.clone() };
        let others = self.directory.other_domains();
        let find_in = |domain| self.call_domain_owner(domain, call.clone(), OwnerRequest::Job(job));
        let answers = join_all(others.iter().map(find_in)).await;
        let mut unanswered = None;
        for (domain, answer) in others.into_iter().zip(answers) {
            match answer {
                Ok(_) => return Lookup::Found(domain),
                Err(refusal) if refusal.reason == Reason::NotFound => {}
                Err(_) => unanswered = Some(domain),
            }
        }
        unanswered.map_or(Lookup::NotFound, Lookup::Unanswered)
    }

    /// Calls the owner of another failure domain through an entry instance there.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or a refusal that states whether the call may have taken
    /// effect.
    pub(super) async fn call_domain_owner(
        &self,
        domain: &domain::Name,
        call: CallContext,
        request: OwnerRequest,
    ) -> Reply {
        let change = request.is_change();
        let within = forward::owner_timeout(call.within);
        let call = CallContext { within, ..call };
        let forwarded =
            ForwardedCall { domain: domain.clone(), hops: forward::MAX_HOPS, call, request };
        let mut refusal = unreachable_domain(domain);
        for address in self.directory.entries_of(domain).into_iter().take(MAX_ATTEMPTS) {
            let answer: Result<Reply, _> =
                self.peers.call(address, forward::CALL, &forwarded, within).await;
            self.reachability.record_call(address, &answer);
            match answer {
                Ok(answer) => return answer,
                Err(error) => {
                    let name = domain.to_string();
                    let at = Instance { name, run: 0, peer: address };
                    refusal = forward_error(&at, change, &error);
                    if change && error.sent {
                        break;
                    }
                }
            }
        }
        Err(refusal)
    }
}

/// Result of looking for a job. `Unanswered` names a domain that could not be queried.
enum Lookup {
    Found(domain::Name),
    Unanswered(domain::Name),
    NotFound,
}

fn unreachable_domain(domain: &domain::Name) -> Refusal {
    let message = format!("no instance of failure domain {domain} can be reached");
    Refusal::not_run(Reason::NoOwner, message).with_retry_after(OWNER_PAUSE)
}
