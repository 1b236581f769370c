//! Operators' calls that the task of the settings in force answers.

use std::rc::Rc;
use std::time::Duration;

use crate::api::backend::Call;
use crate::api::refusal::{Reason, Refusal};
use crate::api::view::{Cut, Page, preset, quota};
use crate::clock::Clock;
use crate::config::publish::Id;
use crate::config::{self, Handle, Proposal, PublishOutcome, Value, Version};
use crate::placement::Objective;
use crate::{domain, worker};

/// Pause that an operator is asked to make while the settings are not readable or writable.
const PAUSE: Duration = Duration::from_secs(2);
/// Times that a drain is tried again after another change came first.
const DRAIN_TRIES: u32 = 8;

/// Presets, quotas and drained workers as operators see and change them.
#[derive(Clone)]
pub struct Configuration {
    handle: Handle,
    clock: Rc<dyn Clock>,
    weighs: Objective,
}

impl Configuration {
    /// Answers from the settings' task, in a deployment that weighs `weighs` more.
    pub fn new(handle: Handle, clock: Rc<dyn Clock>, weighs: Objective) -> Self {
        Self { handle, clock, weighs }
    }

    /// The preset in force and all presets to choose from.
    ///
    /// # Errors
    ///
    /// Refuses until this instance knows the settings in force.
    pub async fn presets(&self) -> Result<preset::Choice, Refusal> {
        Ok(preset::Choice::of(&*self.value().await?, self.weighs))
    }

    /// The preset in force.
    ///
    /// # Errors
    ///
    /// Refuses until this instance knows the settings in force.
    pub async fn in_force(&self) -> Result<preset::InForce, Refusal> {
        Ok((&*self.value().await?).into())
    }

    /// Puts a preset in force.
    ///
    /// # Errors
    ///
    /// Refuses a change that came too late, is invalid or could not be recorded.
    pub async fn set_preset(
        &self,
        call: &Call,
        change: &preset::Change,
    ) -> Result<preset::InForce, Refusal> {
        let by = call.by.clone().unwrap_or_default();
        let base = Version::from_raw(change.based_on);
        let version = self.publish(Some(base), by.clone(), change.try_into()?).await?;
        // A later change may be in force by now; the answer is about this one.
        let at = self.clock.unix();
        Ok(preset::InForce { preset: change.preset.clone(), version: version.raw(), by, at })
    }

    /// Changes of preset that this instance remembers, newest first.
    ///
    /// # Errors
    ///
    /// Refuses until this instance knows the settings in force.
    pub async fn preset_history(
        &self,
        cut: &Cut<u64>,
    ) -> Result<Page<preset::InForce, u64>, Refusal> {
        let value = self.value().await?;
        let newest_first = value.preset_history.iter().rev().map(preset::InForce::from);
        let mut older = newest_first
            .filter(|activation| cut.after.is_none_or(|after| activation.version < after));
        let items: Vec<_> = older.by_ref().take(cut.limit).collect();
        let next = older.next().and(items.last().map(|activation| activation.version));
        Ok(Page { items, next })
    }

    /// Quotas of all teams that have one.
    ///
    /// # Errors
    ///
    /// Refuses until this instance knows the settings in force.
    pub async fn quotas(&self) -> Result<quota::Table, Refusal> {
        Ok((&*self.value().await?).into())
    }

    /// Sets or removes a team's quota.
    ///
    /// # Errors
    ///
    /// Refuses a change that came too late, is invalid or could not be recorded.
    pub async fn set_quota(
        &self,
        call: &Call,
        change: &quota::Change,
    ) -> Result<quota::Table, Refusal> {
        let by = call.by.clone().unwrap_or_default();
        let base = Version::from_raw(change.based_on);
        self.publish(Some(base), by, change.into()).await?;
        self.quotas().await
    }

    /// Drains a worker or puts it back in use.
    ///
    /// Drains of several workers commute, so that one that lost the race is tried on the new
    /// version.
    ///
    /// # Errors
    ///
    /// Refuses a change that is invalid or could not be recorded.
    pub async fn drain(
        &self,
        call: &Call,
        domain: &domain::Name,
        worker: &worker::Name,
        is_drained: bool,
    ) -> Result<(), Refusal> {
        let by = call.by.clone().unwrap_or_default();
        let drain = config::DrainTarget::Worker { domain: domain.clone(), worker: worker.clone() };
        let mut tries = 0;
        loop {
            let value = self.value().await?;
            if value.drained.contains(&drain) == is_drained {
                return Ok(());
            }
            let change = if is_drained { config::Change::Drain } else { config::Change::Undrain };
            let change = change(drain.clone());
            tries += 1;
            match self.publish(Some(value.version), by.clone(), change).await {
                Err(refusal) if refusal.reason == Reason::StaleVersion && tries < DRAIN_TRIES => {}
                outcome => return outcome.map(|_| ()),
            }
        }
    }

    async fn value(&self) -> Result<Rc<Value>, Refusal> {
        self.handle.value().await.ok_or_else(unread)
    }

    async fn publish(
        &self,
        base: Option<Version>,
        by: String,
        change: config::Change,
    ) -> Result<Version, Refusal> {
        let proposal = Proposal { id: Id::random(), base, by, change };
        settle(&self.handle.publish(proposal).await)
    }
}

fn unread() -> Refusal {
    let message = "this instance has not read the settings in force yet";
    Refusal::not_run(Reason::LogUnavailable, message).after(PAUSE)
}

/// What an operator is told of a change.
///
/// # Errors
///
/// Refuses all but an accepted change.
pub fn settle(outcome: &PublishOutcome) -> Result<Version, Refusal> {
    let message = outcome.to_string();
    match outcome {
        PublishOutcome::Accepted(version) => Ok(*version),
        PublishOutcome::Superseded { .. } | PublishOutcome::BaseMismatch { .. } => {
            Err(Refusal::not_run(Reason::StaleVersion, message))
        }
        PublishOutcome::Invalid(_) => Err(Refusal::not_run(Reason::Invalid, message)),
        PublishOutcome::NotWritten => {
            Err(Refusal::not_run(Reason::LogUnavailable, message).after(PAUSE))
        }
        PublishOutcome::NotReady => Err(unread()),
        PublishOutcome::Busy => Err(Refusal::not_run(Reason::Overloaded, message).after(PAUSE)),
        PublishOutcome::Unknown(_) => {
            let message = "the log did not answer in time; read the settings to see whether the \
                           change is in force, or repeat it on the same version";
            Err(Refusal::unknown(Reason::LogUnavailable, message).after(PAUSE))
        }
    }
}
