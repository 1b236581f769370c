//! Operators' calls that read or change the shared configuration.

use std::rc::Rc;
use std::time::Duration;

use crate::api::backend::CallContext;
use crate::api::refusal::{Reason, Refusal};
use crate::api::view::{Page, PageRequest, preset, quota};
use crate::clock::Clock;
use crate::config::publish::Id;
use crate::config::{self, Handle, Proposal, PublishOutcome, Value, Version};
use crate::placement::Objective;
use crate::{domain, worker};

/// `Retry-After` while the configuration cannot be read or written.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Attempts to record a drain when concurrent changes make its version stale.
const DRAIN_ATTEMPTS: u32 = 8;

/// Lets operators read and change presets, quotas and drained workers.
#[derive(Clone)]
pub struct Configuration {
    handle: Handle,
    clock: Rc<dyn Clock>,
    objective: Objective,
}

impl Configuration {
    /// Creates the interface to the configuration task behind `handle`.
    ///
    /// `objective` is what placement optimizes in this deployment; presets are shown for it.
    pub fn new(handle: Handle, clock: Rc<dyn Clock>, objective: Objective) -> Self {
        Self { handle, clock, objective }
    }

    /// The active preset and all available presets.
    ///
    /// # Errors
    ///
    /// Refuses while this instance has not read the configuration.
    pub async fn presets(&self) -> Result<preset::PresetList, Refusal> {
        Ok(preset::PresetList::new(&*self.value().await?, self.objective))
    }

    /// The active preset.
    ///
    /// # Errors
    ///
    /// Refuses while this instance has not read the configuration.
    pub async fn active_preset(&self) -> Result<preset::ActivePreset, Refusal> {
        Ok((&*self.value().await?).into())
    }

    /// Activates a preset.
    ///
    /// # Errors
    ///
    /// Refuses a change that is based on a stale version, is invalid or could not be recorded.
    pub async fn set_preset(
        &self,
        call: &CallContext,
        change: &preset::Change,
    ) -> Result<preset::ActivePreset, Refusal> {
        let by = call.by.clone().unwrap_or_default();
        let base = Version::from_raw(change.based_on);
        let version = self.publish(Some(base), by.clone(), change.try_into()?).await?;
        // Describes this change, even if a later one has already replaced it.
        let at = self.clock.unix();
        Ok(preset::ActivePreset { preset: change.preset.clone(), version: version.raw(), by, at })
    }

    /// One page of the past activations of presets that this instance keeps, newest first.
    ///
    /// # Errors
    ///
    /// Refuses while this instance has not read the configuration.
    pub async fn preset_history(
        &self,
        page: &PageRequest<u64>,
    ) -> Result<Page<preset::ActivePreset, u64>, Refusal> {
        let value = self.value().await?;
        let newest_first = value.preset_history.iter().rev().map(preset::ActivePreset::from);
        let mut older = newest_first
            .filter(|activation| page.after.is_none_or(|after| activation.version < after));
        let items: Vec<_> = older.by_ref().take(page.limit).collect();
        let next = older.next().and(items.last().map(|activation| activation.version));
        Ok(Page { items, next })
    }

    /// Quotas of all teams that have a quota.
    ///
    /// # Errors
    ///
    /// Refuses while this instance has not read the configuration.
    pub async fn quotas(&self) -> Result<quota::Table, Refusal> {
        Ok((&*self.value().await?).into())
    }

    /// Sets or removes a team's quota.
    ///
    /// # Errors
    ///
    /// Refuses a change that is based on a stale version, is invalid or could not be recorded.
    pub async fn set_quota(
        &self,
        call: &CallContext,
        change: &quota::Change,
    ) -> Result<quota::Table, Refusal> {
        let by = call.by.clone().unwrap_or_default();
        let base = Version::from_raw(change.based_on);
        self.publish(Some(base), by, change.into()).await?;
        self.quotas().await
    }

    /// Drains a worker or puts it back in use.
    ///
    /// Drains of different workers commute, so a drain refused as stale because of a concurrent
    /// change is tried again on the new version.
    ///
    /// # Errors
    ///
    /// Refuses a change that is invalid or could not be recorded, and one that is still stale after
    /// the last attempt.
    pub async fn drain(
        &self,
        call: &CallContext,
        domain: &domain::Name,
        worker: &worker::Name,
        is_drained: bool,
    ) -> Result<(), Refusal> {
        let by = call.by.clone().unwrap_or_default();
        let drain = config::DrainTarget::Worker { domain: domain.clone(), worker: worker.clone() };
        let mut attempts = 0;
        loop {
            let value = self.value().await?;
            if value.drained.contains(&drain) == is_drained {
                return Ok(());
            }
            let change = if is_drained { config::Change::Drain } else { config::Change::Undrain };
            let change = change(drain.clone());
            attempts += 1;
            match self.publish(Some(value.version), by.clone(), change).await {
                Err(refusal)
                    if refusal.reason == Reason::StaleVersion && attempts < DRAIN_ATTEMPTS => {}
                outcome => return outcome.map(|_| ()),
            }
        }
    }

    async fn value(&self) -> Result<Rc<Value>, Refusal> {
        self.handle.value().await.ok_or_else(config_unavailable)
    }

    async fn publish(
        &self,
        base: Option<Version>,
        by: String,
        change: config::Change,
    ) -> Result<Version, Refusal> {
        let proposal = Proposal { id: Id::random(), base, by, change };
        publish_result(&self.handle.publish(proposal).await)
    }
}

fn config_unavailable() -> Refusal {
    let message = "this instance has not read the configuration yet";
    Refusal::not_run(Reason::LogUnavailable, message).with_retry_after(RETRY_DELAY)
}

/// Converts the outcome of a configuration change into its version or a refusal.
///
/// # Errors
///
/// Returns a refusal for every outcome except an accepted change.
pub fn publish_result(outcome: &PublishOutcome) -> Result<Version, Refusal> {
    let message = outcome.to_string();
    match outcome {
        PublishOutcome::Accepted(version) => Ok(*version),
        PublishOutcome::Superseded { .. } | PublishOutcome::BaseMismatch { .. } => {
            Err(Refusal::not_run(Reason::StaleVersion, message))
        }
        PublishOutcome::Invalid(_) => Err(Refusal::not_run(Reason::Invalid, message)),
        PublishOutcome::NotWritten => {
            Err(Refusal::not_run(Reason::LogUnavailable, message).with_retry_after(RETRY_DELAY))
        }
        PublishOutcome::NotReady => Err(config_unavailable()),
        PublishOutcome::Busy => {
            Err(Refusal::not_run(Reason::Overloaded, message).with_retry_after(RETRY_DELAY))
        }
        PublishOutcome::Unknown(_) => {
            let message = "the log did not respond in time; read the configuration to see whether \
                           the change took effect, or repeat it on the same version";
            Err(Refusal::unknown(Reason::LogUnavailable, message).with_retry_after(RETRY_DELAY))
        }
    }
}
