//! Reads of the configuration that callers wait for.
//!
//! An instance may not know a key or a queue because its configuration is behind by a moment. Before
//! it refuses a caller, it makes sure that no newer configuration exists. All callers share the
//! reads, and there are few of them in a second, so that a flood of wrong keys costs the store and
//! the owner next to nothing.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use super::Node;
use crate::cell::peer::FRESH_CONFIG;
use crate::clock::Instant;
use crate::shutdown::Shutdown;
use crate::telemetry::names;

/// Shortest interval between the beginnings of two reads.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a read from the store, before the owner is asked.
const STORE_TIMEOUT: Duration = Duration::from_millis(150);

/// Reads of the configuration that callers wait for.
#[derive(Default)]
pub(super) struct Refresh {
    /// When the last read began.
    began: Cell<Option<Instant>>,
    /// When the last read that was answered began.
    confirmed: Cell<Option<Instant>>,
    /// Triggered when the read in flight ends.
    in_flight: RefCell<Option<Shutdown>>,
}

impl Node {
    /// Makes sure that this instance has the newest configuration of a time after the call; `false`
    /// if neither the store answered nor an owner that the store answers.
    pub(super) async fn refresh_config(&self) -> bool {
        let clock = self.deps.clock.clone();
        let asked = clock.now();
        loop {
            if self.refresh.confirmed.get().is_some_and(|at| at >= asked) {
                return true;
            }
            if self.refresh.began.get().is_some_and(|at| at >= asked)
                && self.refresh.in_flight.borrow().is_none()
            {
                return false;
            }
            let in_flight = self.refresh.in_flight.borrow().clone();
            if let Some(ended) = in_flight {
                ended.wait().await;
                continue;
            }
            let now = clock.now();
            match self.refresh.began.get().map(|at| at.after(MIN_INTERVAL)) {
                Some(next) if next > now => clock.sleep(next.since(now)).await,
                _ => self.begin_refresh(now),
            }
        }
    }

    fn begin_refresh(&self, now: Instant) {
        let Some(node) = self.this.upgrade() else { return };
        let ended = Shutdown::new();
        self.refresh.began.set(Some(now));
        *self.refresh.in_flight.borrow_mut() = Some(ended.clone());
        monoio::spawn(async move {
            let answered = node.read_config_once().await;
            let outcome = if answered { "answered" } else { "unanswered" };
            names::CONFIG_REFRESHES.increment(&[("outcome", outcome)]);
            if answered {
                node.refresh.confirmed.set(Some(now));
            }
            *node.refresh.in_flight.borrow_mut() = None;
            ended.trigger();
        });
    }

    /// Reads the configuration from the store, or else through the owners of the cells; `true` if
    /// the store answered one of them.
    async fn read_config_once(&self) -> bool {
        let read = self.deps.discovery.newer_config(self.config().version, Duration::ZERO);
        match monoio::time::timeout(STORE_TIMEOUT, read).await {
            Ok(Ok(newer)) => {
                if let Some(config) = newer {
                    self.apply_config(config);
                }
                return true;
            }
            Ok(Err(cause)) => log::info!("event=config.not_read cause={cause:?}"),
            Err(_) => log::info!("event=config.not_read cause=\"no answer in time\""),
        }
        for owner in self.other_owners() {
            if self.fetch_config(owner, FRESH_CONFIG).await {
                return true;
            }
        }
        false
    }
}
