//! Whether this instance should get traffic.

use std::cell::Cell;

use crate::api::view;
use crate::shutdown::Shutdown;

/// What readiness depends on, as the tasks concerned last said.
pub struct Readiness {
    stop: Shutdown,
    is_caught_up: Cell<bool>,
    settings_known: Cell<bool>,
}

impl Readiness {
    /// An instance that knows nothing yet and stops with `stop`.
    pub fn new(stop: Shutdown) -> Self {
        Self { stop, is_caught_up: Cell::new(false), settings_known: Cell::new(false) }
    }

    /// Takes in whether the state read from the log is as new as the log.
    pub fn set_caught_up(&self, is_caught_up: bool) {
        self.is_caught_up.set(is_caught_up);
    }

    /// Takes in that the settings in force are known.
    pub fn set_settings_known(&self) {
        self.settings_known.set(true);
    }

    /// Whether this instance should get traffic, and why not.
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
