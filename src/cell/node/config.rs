//! The configuration: read from the store or received from another instance, and sent to owners.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use crate::cell::dependency_status::DependencyStatus;
use crate::cell::machine::Message;
use crate::cell::peer::TABLE;
use crate::cell::queue::QueueConfig;

/// Time for which the platform delays its response to a read while there is no newer configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a failed read.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Timeout for sending the configuration to an owner.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(500);

impl Node {
    /// The current configuration of this instance.
    pub fn config(&self) -> Rc<QueueConfig> {
        self.config.borrow().clone()
    }

    /// Applies a configuration if it is newer than the current one.
    ///
    /// Guards against a return to an older version that arrives late, from the store or from an
    /// instance that was cut off.
    pub fn apply_config(&self, config: QueueConfig) {
        if config.version <= self.config().version {
            return;
        }
        log::info!(
            "event=config.received version={} queues={}",
            config.version,
            config.queues.len()
        );
        let config = Rc::new(config);
        *self.config.borrow_mut() = config.clone();
        for view in self.views.borrow().values() {
            if let Some(handle) = &view.owner_handle {
                handle.send(Message::ConfigChanged(config.clone()));
            }
        }
    }

    /// Reads each new configuration and sends it to owners that may not have it.
    pub(in crate::cell) async fn follow_config(self: Rc<Self>) {
        let mut store = DependencyStatus::new("store");
        while !self.left.get() {
            let version = self.config().version;
            match self.deps.discovery.newer_config(version, CONFIG_WAIT).await {
                Ok(config) => {
                    store.record_success();
                    if let Some(config) = config {
                        self.apply_config(config);
                        self.push_config();
                    }
                }
                Err(cause) => {
                    store.record_failure(&cause);
                    self.deps.clock.sleep(CONFIG_RETRY_DELAY).await;
                }
            }
        }
    }

    fn push_config(&self) {
        let config = self.config();
        let owners: Vec<SocketAddr> =
            self.views.borrow().values().filter_map(|view| view.owner).collect();
        for owner in owners.into_iter().filter(|owner| *owner != self.me) {
            let (deps, config) = (self.deps.clone(), config.clone());
            monoio::spawn(async move {
                let result: Result<(), _> =
                    deps.peers.call(owner, TABLE, &*config, CONFIG_TIMEOUT).await;
                if let Err(error) = result {
                    log::info!("event=config.not_passed owner={owner} cause={error:?}");
                }
            });
        }
    }
}
