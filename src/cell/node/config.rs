//! The configuration: taken from the store or another instance, and passed on to owners.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use crate::cell::dependency_status::DependencyStatus;
use crate::cell::machine::Message;
use crate::cell::peer::TABLE;
use crate::cell::queue::QueueConfig;

/// Time that one read for a newer configuration waits at the platform.
const TABLE_WAIT: Duration = Duration::from_millis(1_000);

/// Rest after such a read failed.
const TABLE_RETRY: Duration = Duration::from_millis(250);

/// Time for passing the configuration to an owner.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);

impl Node {
    /// The configuration in force here.
    pub fn config(&self) -> Rc<QueueConfig> {
        self.config.borrow().clone()
    }

    /// Takes a configuration that is newer than the present one.
    ///
    /// Guards against going back: an older version that arrives late, from the store or from an
    /// instance that has been cut off, is passed over.
    pub fn apply_config(&self, table: QueueConfig) {
        if table.version <= self.config().version {
            return;
        }
        log::info!("event=config.received version={} queues={}", table.version, table.queues.len());
        let table = Rc::new(table);
        *self.config.borrow_mut() = table.clone();
        for view in self.views.borrow().values() {
            if let Some(owning) = &view.owner_handle {
                owning.send(Message::Table(table.clone()));
            }
        }
    }

    /// Reads the configuration as it changes, and passes it to owners that may not have it.
    pub(in crate::cell) async fn follow_config(self: Rc<Self>) {
        let mut store = DependencyStatus::new("store");
        while !self.left.get() {
            let version = self.config().version;
            match self.deps.discovery.newer_config(version, TABLE_WAIT).await {
                Ok(table) => {
                    store.record_success();
                    if let Some(table) = table {
                        self.apply_config(table);
                        self.push_config();
                    }
                }
                Err(cause) => {
                    store.record_failure(&cause);
                    self.deps.clock.sleep(TABLE_RETRY).await;
                }
            }
        }
    }

    fn push_config(&self) {
        let table = self.config();
        let owners: Vec<SocketAddr> =
            self.views.borrow().values().filter_map(|view| view.owner).collect();
        for owner in owners.into_iter().filter(|owner| *owner != self.me) {
            let (borders, table) = (self.deps.clone(), table.clone());
            monoio::spawn(async move {
                let told: Result<(), _> =
                    borders.peers.call(owner, TABLE, &*table, TABLE_TIMEOUT).await;
                if let Err(error) = told {
                    log::info!("event=config.not_passed owner={owner} cause={error:?}");
                }
            });
        }
    }
}
