//! Operators' orders about workers.

use std::time::Duration;

use super::jobs::refusal;
use super::{Entry, unexpected_response};
use crate::api::view::worker::{Action, State, Worker};
use crate::api::{CallContext, Reason, Refusal};
use crate::entry::forward::{OwnerRequest, OwnerResponse, Reply};
use crate::entry::views;
use crate::owner::machine::{self, Answer};
use crate::worker;

/// Pause between two polls of whether the owner applies a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of these polls.
const MAX_POLLS: u32 = 40;

impl Entry {
    /// Executes an operator's order about a worker of this failure domain.
    pub(super) async fn execute_order(
        &self,
        call: CallContext,
        name: worker::Name,
        order: Action,
    ) -> Result<Worker, Refusal> {
        let is_drained = match order {
            Action::Drain => true,
            Action::Undrain => false,
            Action::Lost => return self.request_worker(call, OwnerRequest::GiveUp(name)).await,
        };
        // The worker is queried first, so that a mistyped name is refused before a drain is
        // recorded.
        self.request_worker(call.clone(), OwnerRequest::Worker(name.clone())).await?;
        self.configuration.drain(&call, &self.domain, &name, is_drained).await?;
        self.await_drain_state(call, name, is_drained).await
    }

    /// Waits until the owner applies a drain, so that the response shows it.
    async fn await_drain_state(
        &self,
        call: CallContext,
        name: worker::Name,
        is_drained: bool,
    ) -> Result<Worker, Refusal> {
        let mut polls = 0;
        loop {
            let worker =
                self.request_worker(call.clone(), OwnerRequest::Worker(name.clone())).await?;
            polls += 1;
            if (worker.state == State::Draining) == is_drained || polls == MAX_POLLS {
                return Ok(worker);
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }

    async fn request_worker(
        &self,
        call: CallContext,
        request: OwnerRequest,
    ) -> Result<Worker, Refusal> {
        match self.call_owner(call, request).await? {
            OwnerResponse::Worker(worker) => Ok(worker),
            _ => Err(unexpected_response()),
        }
    }

    /// Returns a worker, as the owner.
    pub(super) async fn show_worker(&self, name: worker::Name) -> Result<Worker, Refusal> {
        self.read_state(move |machine, _, _| {
            let worker = views::worker(views::active(machine)?, &name);
            worker.ok_or_else(|| unknown_worker(&name))
        })
        .await
    }

    /// Declares a worker lost, as the owner.
    pub(super) async fn give_up_here(&self, call: CallContext, name: worker::Name) -> Reply {
        let change = machine::Call::GiveUp(name.clone());
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::GivenUp => self.show_worker(name).await.map(OwnerResponse::Worker),
            Answer::NotFound => Err(unknown_worker(&name)),
            other => Err(refusal("worker", name.as_str(), other)),
        }
    }
}

/// Refusal because the failure domain has no worker of this name.
fn unknown_worker(name: &worker::Name) -> Refusal {
    let message = format!("no worker {} is known in this failure domain", name.as_str());
    Refusal::not_run(Reason::NotFound, message)
}
