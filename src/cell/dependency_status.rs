//! Whether something that is asked again and again answers.

/// Says in the log when a dependency is lost and when it is back, each time once.
#[derive(Debug)]
pub(super) struct DependencyStatus {
    name: &'static str,
    is_lost: bool,
}

impl DependencyStatus {
    /// Speaks of the dependency as `name`, which answers until it does not.
    pub(super) const fn new(name: &'static str) -> Self {
        Self { name, is_lost: false }
    }

    /// Takes in an answer.
    pub(super) fn record_success(&mut self) {
        if self.is_lost {
            log::info!("event={}.regained", self.name);
        }
        self.is_lost = false;
    }

    /// Takes in that none came.
    pub(super) fn record_failure(&mut self, cause: &str) {
        if !self.is_lost {
            log::warn!("event={}.lost cause={cause:?}", self.name);
        }
        self.is_lost = true;
    }
}
