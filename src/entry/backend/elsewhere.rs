//! Calls about jobs that another failure domain has taken.

use std::time::Duration;

use futures_util::future::join_all;

use super::{Entry, OWNER_PAUSE, lost_call};
use crate::api::{CallContext, Reason, Refusal};
use crate::domain::{self, Instance};
use crate::entry::forward::{self, Ask, Envelope, Reply};
use crate::job;

/// Longest that one instance of another failure domain is waited for with a question.
const PATIENCE: Duration = Duration::from_secs(1);
/// Instances of another failure domain that are tried.
const TRIES: usize = 2;

impl Entry {
    /// Asks about a job wherever it is: at the own failure domain first, then at the others.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the domain that has the job, or one that says that none knows it or
    /// which could not be asked.
    pub(super) async fn ask_anywhere(&self, call: CallContext, job: job::Id, ask: Ask) -> Reply {
        let own = self.ask(call.clone(), ask.clone()).await;
        let Err(refusal) = own else { return own };
        if !matches!(refusal.reason, Reason::NotFound | Reason::NoOwner) {
            return Err(refusal);
        }
        match self.find(&call, job).await {
            Found::At(domain) => self.ask_domain_owner(&domain, call, ask).await,
            Found::Unasked(domain) if refusal.reason == Reason::NotFound => {
                let message =
                    format!("no job {job} is known here, and {domain} could not be asked");
                Err(Refusal::not_run(Reason::NoOwner, message).with_retry_after(OWNER_PAUSE))
            }
            Found::Unasked(_) | Found::Nowhere => Err(refusal),
        }
    }

    /// Looks for a job in the other failure domains, all at once.
    async fn find(&self, call: &CallContext, job: job::Id) -> Found {
        let within = PATIENCE.min(call.within / 3);
        let call = CallContext { within, ..call.clone() };
        let others = self.directory.other_domains();
        let ask = |domain| self.ask_domain_owner(domain, call.clone(), Ask::Job(job));
        let answers = join_all(others.iter().map(ask)).await;
        let mut unasked = None;
        for (domain, answer) in others.into_iter().zip(answers) {
            match answer {
                Ok(_) => return Found::At(domain),
                Err(refusal) if refusal.reason == Reason::NotFound => {}
                Err(_) => unasked = Some(domain),
            }
        }
        unasked.map_or(Found::Nowhere, Found::Unasked)
    }

    /// Asks the owner of another failure domain through an entry instance there.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or one that says whether the call may have taken effect.
    pub(super) async fn ask_domain_owner(
        &self,
        domain: &domain::Name,
        call: CallContext,
        ask: Ask,
    ) -> Reply {
        let change = ask.is_change();
        let within = forward::within(call.within);
        let call = CallContext { within, ..call };
        let envelope = Envelope { domain: domain.clone(), hops: forward::MAX_HOPS, call, ask };
        let mut refusal = cut_off(domain);
        for address in self.directory.entries_of(domain).into_iter().take(TRIES) {
            let answer: Result<Reply, _> =
                self.peers.call(address, forward::CALL, &envelope, within).await;
            self.witness.called(address, &answer);
            match answer {
                Ok(answer) => return answer,
                Err(error) => {
                    let name = domain.to_string();
                    let at = Instance { name, run: 0, peer: address };
                    refusal = lost_call(&at, change, &error);
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
enum Found {
    At(domain::Name),
    Unasked(domain::Name),
    Nowhere,
}

fn cut_off(domain: &domain::Name) -> Refusal {
    let message = format!("no instance of failure domain {domain} can be reached");
    Refusal::not_run(Reason::NoOwner, message).with_retry_after(OWNER_PAUSE)
}
