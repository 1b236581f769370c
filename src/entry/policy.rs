//! The task that passes the settings in force on to those who act by them.

use std::rc::Rc;

use log::LevelFilter;

use crate::config::{Value, Values};
use crate::entry::controller::Handle;
use crate::entry::readiness::Readiness;
use crate::owner::machine::Message;
use crate::placement::{Objective, Policy};
use crate::telemetry::names;

/// Who acts by the settings in force.
pub struct ConfigSubscriber {
    /// The state machine of the failure domain.
    pub owner: Handle,
    /// What the deployment weighs more.
    pub objective: Objective,
    /// Level of the log while the settings in force name none.
    pub log_level: LevelFilter,
    /// Whether this instance should get traffic.
    pub readiness: Rc<Readiness>,
}

impl ConfigSubscriber {
    /// Passes on every value as it comes into force.
    pub async fn run(self, mut values: Values) {
        let mut level = None;
        while let Some(value) = values.recv().await {
            self.pass_on(&value);
            // A level that an operator set for this process alone holds until the common one
            // changes.
            if value.log_level != level {
                level = value.log_level;
                log::set_max_level(level.unwrap_or(self.log_level));
            }
        }
    }

    fn pass_on(&self, value: &Rc<Value>) {
        let policy = Policy::for_preset(value.preset.into(), self.objective);
        self.owner.send(Message::Policy(policy));
        self.owner.send(Message::Settings(value.clone()));
        self.readiness.set_settings_known();
        names::PRESET_VERSION.set(value.version.raw() as f64, &[]);
    }
}
