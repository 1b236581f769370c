//! Logs when a dependency stops answering and when it answers again.

/// Availability of a dependency; each change is logged once.
#[derive(Debug)]
pub(super) struct DependencyStatus {
    name: &'static str,
    is_lost: bool,
}

impl DependencyStatus {
    /// Creates the status of the dependency `name`, which counts as available at first.
    pub(super) const fn new(name: &'static str) -> Self {
        Self { name, is_lost: false }
    }

    /// Records a successful call.
    pub(super) fn record_success(&mut self) {
        if self.is_lost {
            log::info!("event={}.regained", self.name);
        }
        self.is_lost = false;
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self, cause: &str) {
        if !self.is_lost {
            log::warn!("event={}.lost cause={cause:?}", self.name);
        }
        self.is_lost = true;
    }
}
