//! Calls about jobs that another failure domain has taken.

use std::time::Duration;

use futures_util::future::join_all;

use super::{Entry, OWNER_PAUSE, forward_error};
use crate::api::{Call, Reason, Refusal};
use crate::domain::{self, Instance};
use crate::entry::forward::{self, ForwardedCall, OwnerRequest, Reply};
use crate::job;

/// Longest that one instance of another failure domain is waited for with a question.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// Instances of another failure domain that are tried.
const MAX_ATTEMPTS: usize = 2;

impl Entry {
    /// Asks about a job wherever it is: at the own failure domain first, then at the others.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the domain that has the job, or one that says that none knows it or
    /// which could not be asked.
    pub(super) async fn call_any_domain(
        &self,
        call: Call,
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
                    format!("no job {job} is known here, and {domain} could not be asked");
                Err(Refusal::not_run(Reason::NoOwner, message).after(OWNER_PAUSE))
            }
            Lookup::Unanswered(_) | Lookup::NotFound => Err(refusal),
        }
    }

    /// Looks for a job in the other failure domains, all at once.
    async fn find_job(&self, call: &Call, job: job::Id) -> Lookup {
        let within = LOOKUP_TIMEOUT.min(call.within / 3);
        let call = Call { within, ..call.clone() };
        let others = self.directory.other_domains();
        let ask = |domain| self.call_domain_owner(domain, call.clone(), OwnerRequest::Job(job));
        let answers = join_all(others.iter().map(ask)).await;
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

    /// Asks the owner of another failure domain through an entry instance there.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or one that says whether the call may have taken effect.
    pub(super) async fn call_domain_owner(
        &self,
        domain: &domain::Name,
        call: Call,
        request: OwnerRequest,
    ) -> Reply {
        let change = request.is_change();
        let within = forward::owner_timeout(call.within);
        let call = Call { within, ..call };
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

/// Where a job was found.
enum Lookup {
    Found(domain::Name),
    Unanswered(domain::Name),
    NotFound,
}

fn unreachable_domain(domain: &domain::Name) -> Refusal {
    let message = format!("no instance of failure domain {domain} can be reached");
    Refusal::not_run(Reason::NoOwner, message).after(OWNER_PAUSE)
}
