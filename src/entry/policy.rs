//! The task that applies changes of the operators' settings within the process.

use std::rc::Rc;

use log::LevelFilter;

use crate::config::{Value, Values};
use crate::entry::controller::Handle;
use crate::entry::readiness::Readiness;
use crate::owner::machine::Message;
use crate::placement::{Objective, Policy};
use crate::telemetry::names;

/// Receivers of the settings in force.
pub struct ConfigSubscriber {
    /// The state machine of the failure domain.
    pub owner: Handle,
    /// What placement optimizes.
    pub objective: Objective,
    /// Log level if the settings in force contain none.
    pub log_level: LevelFilter,
    /// Whether this instance should receive traffic.
    pub readiness: Rc<Readiness>,
}

impl ConfigSubscriber {
    /// Applies each version of the settings when it comes into force.
    pub async fn run(self, mut values: Values) {
        let mut level = None;
        while let Some(value) = values.recv().await {
            self.apply(&value);
            // A level that an operator set for this process alone stays until the level in the
            // settings changes.
            if value.log_level != level {
                level = value.log_level;
                log::set_max_level(level.unwrap_or(self.log_level));
            }
        }
    }

    fn apply(&self, value: &Rc<Value>) {
        let policy = Policy::for_preset(value.preset.into(), self.objective);
        self.owner.send(Message::Policy(policy));
        self.owner.send(Message::Settings(value.clone()));
        self.readiness.set_settings_known();
        names::PRESET_VERSION.set(value.version.raw() as f64, &[]);
    }
}
