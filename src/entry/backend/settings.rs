//! Settings that operators change while the system runs.

use std::time::Duration;

use super::jobs::refusal;
use super::{Entry, mismatch};
use crate::api::view::worker::{Action, State, Worker};
use crate::api::{CallContext, Reason, Refusal};
use crate::entry::forward::{Ask, Reply, Tell};
use crate::entry::views;
use crate::owner::machine::{self, Answer};
use crate::worker;

/// Rest between two looks at whether the owner acts by a drain.
const LOOK: Duration = Duration::from_millis(50);
/// Longest wait for that.
const LOOKS: u32 = 40;

impl Entry {
    /// Carries out an operator's order about a worker of this failure domain.
    pub(super) async fn order(
        &self,
        call: CallContext,
        name: worker::Name,
        order: Action,
    ) -> Result<Worker, Refusal> {
        let is_drained = match order {
            Action::Drain => true,
            Action::Undrain => false,
            Action::Lost => return self.ask_worker(call, Ask::GiveUp(name)).await,
        };
        // Asked first, so that a mistyped name is refused and drains nothing.
        self.ask_worker(call.clone(), Ask::Worker(name.clone())).await?;
        self.configuration.drain(&call, &self.domain, &name, is_drained).await?;
        self.settle(call, name, is_drained).await
    }

    /// Waits until the owner acts by a drain, so that the operator sees it done.
    async fn settle(
        &self,
        call: CallContext,
        name: worker::Name,
        is_drained: bool,
    ) -> Result<Worker, Refusal> {
        let mut looks = 0;
        loop {
            let worker = self.ask_worker(call.clone(), Ask::Worker(name.clone())).await?;
            looks += 1;
            if (worker.state == State::Draining) == is_drained || looks == LOOKS {
                return Ok(worker);
            }
            self.clock.sleep(LOOK).await;
        }
    }

    async fn ask_worker(&self, call: CallContext, ask: Ask) -> Result<Worker, Refusal> {
        match self.ask(call, ask).await? {
            Tell::Worker(worker) => Ok(worker),
            _ => Err(mismatch()),
        }
    }

    /// Shows a worker as the owner.
    pub(super) async fn show_worker(&self, name: worker::Name) -> Result<Worker, Refusal> {
        self.look(move |machine, _, _| {
            let worker = views::worker(views::active(machine)?, &name);
            worker.ok_or_else(|| unknown_worker(&name))
        })
        .await
    }

    /// Takes a worker for gone, as the owner.
    pub(super) async fn give_up_here(&self, call: CallContext, name: worker::Name) -> Reply {
        let change = machine::Call::GiveUp(name.clone());
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::GivenUp => self.show_worker(name).await.map(Tell::Worker),
            Answer::NotFound => Err(unknown_worker(&name)),
            other => Err(refusal("worker", name.as_str(), other)),
        }
    }
}

/// Refusal of a name that no worker of the failure domain has.
fn unknown_worker(name: &worker::Name) -> Refusal {
    let message = format!("no worker {} is known in this failure domain", name.as_str());
    Refusal::not_run(Reason::NotFound, message)
}
