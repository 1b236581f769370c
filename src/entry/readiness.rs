//! Whether this instance should receive traffic.

use std::cell::Cell;

use crate::api::view;
use crate::shutdown::Shutdown;

/// Conditions of readiness, as last set by the tasks concerned.
pub struct Readiness {
    stop: Shutdown,
    is_caught_up: Cell<bool>,
    settings_known: Cell<bool>,
}

impl Readiness {
    /// Creates the readiness of an instance that is not ready yet and stops with `stop`.
    pub fn new(stop: Shutdown) -> Self {
        Self { stop, is_caught_up: Cell::new(false), settings_known: Cell::new(false) }
    }

    /// Sets whether the failure domain's stream has been read to its end.
    pub fn set_caught_up(&self, is_caught_up: bool) {
        self.is_caught_up.set(is_caught_up);
    }

    /// Records that the settings in force are known.
    pub fn set_settings_known(&self) {
        self.settings_known.set(true);
    }

    /// Whether this instance should receive traffic, with the reasons if not.
    pub fn view(&self) -> view::Readiness {
        let conditions = [
            (!self.stop.is_triggered(), "the instance is stopping"),
            (self.is_caught_up.get(), "the failure domain's stream has not been read to its end"),
            (self.settings_known.get(), "the settings in force are not known"),
        ];
        let missing = conditions.iter().filter(|(holds, _)| !holds);
        let reasons: Vec<String> = missing.map(|(_, reason)| (*reason).to_owned()).collect();
        view::Readiness { ready: reasons.is_empty(), reasons }
    }
}
