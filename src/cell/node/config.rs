//! The configuration: read from the store or received from another instance, and sent to owners.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use crate::cell::config_message::{ConfigMessage, RouteTable};
use crate::cell::dependency_status::DependencyStatus;
use crate::cell::machine::Message;
use crate::cell::peer::{CONFIG, CONFIGURE, TABLE};
use crate::cell::queue::QueueConfig;
use crate::peer;

/// Time for which the platform delays its response to a read while there is no newer configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a failed read.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Timeout for sending the configuration to another instance, or for fetching it.
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
            "event=config.received version={} queues={} customers={}",
            config.version,
            config.queues().len(),
            config.customers.as_ref().map_or(0, |customers| customers.iter().count())
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

    /// Sends the configuration to owners of cells, which may be cut off from the store.
    fn push_config(&self) {
        let config = self.config();
        let owners: Vec<SocketAddr> = self.other_owners();
        for owner in owners {
            let (deps, config) = (self.deps.clone(), config.clone());
            monoio::spawn(async move {
                if let Err(error) = send_config(&deps.peers, owner, &config).await {
                    log::info!("event=config.not_passed owner={owner} cause={error:?}");
                }
            });
        }
    }

    /// Addresses of the known owners other than this instance.
    pub(super) fn other_owners(&self) -> Vec<SocketAddr> {
        let owners = self.views.borrow();
        let owners = owners.values().filter_map(|view| view.owner);
        owners.filter(|owner| *owner != self.me).collect()
    }

    /// Fetches the configuration from another instance whose version is `version`, if that is
    /// newer.
    pub(in crate::cell) fn note_config_version(&self, peer: SocketAddr, version: u64) {
        let Some(node) = self.this.upgrade() else { return };
        if version <= self.config().version || self.is_fetching_config.replace(true) {
            return;
        }
        monoio::spawn(async move {
            node.fetch_config(peer, CONFIG).await;
            node.is_fetching_config.set(false);
        });
    }

    /// Fetches and applies the configuration of another instance by [`CONFIG`] or [`FRESH_CONFIG`];
    /// `true` if it answered.
    pub(super) async fn fetch_config(&self, peer: SocketAddr, method: &str) -> bool {
        let fetched: Result<ConfigMessage, _> =
            self.deps.peers.call(peer, method, &(), CONFIG_TIMEOUT).await;
        match fetched {
            Ok(message) => {
                self.apply_message(message);
                true
            }
            Err(error) => {
                log::info!("event=config.not_fetched peer={peer} cause={error:?}");
                false
            }
        }
    }

    /// Applies a configuration that another instance sent.
    pub(super) fn apply_message(&self, message: ConfigMessage) {
        match QueueConfig::try_from(message) {
            Ok(config) => self.apply_config(config),
            Err(invalid) => log::error!("event=config.refused cause={:?}", invalid.to_string()),
        }
    }
}

/// Sends the configuration to an instance, in the form of earlier versions if it knows no other.
async fn send_config(
    peers: &peer::Client,
    to: SocketAddr,
    config: &QueueConfig,
) -> Result<(), peer::Error> {
    let message = ConfigMessage::from(config);
    match peers.call(to, CONFIGURE, &message, CONFIG_TIMEOUT).await {
        Err(error) if error.step == peer::CallPhase::Refused(peer::Code::UnknownMethod) => {
            peers.call(to, TABLE, &RouteTable::from(config), CONFIG_TIMEOUT).await
        }
        sent => sent,
    }
}
