//! Readiness of an instance for callers, and closing of idle connections when it is not ready.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use super::view::CellView;
use crate::cell::Id;
use crate::cell::machine::StoreHealth;
use crate::clock::Instant;
use crate::shutdown::Shutdown;

/// Time without contact to an owner that reaches the store after which the instance reports that it
/// is not ready. A change of owner takes less. A failure domain that is cut off reports it in time
/// for the platform to send callers to another one.
const READY_CONTACT_AGE: Duration = Duration::from_millis(400);

/// Time without contact after which callers' idle connections are closed. A change of owner takes
/// less, and at about this time the platform begins to send new connections elsewhere.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(1_000);

/// Interval between the checks for that.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Node {
    /// Records the health of the store as observed by this instance, which owns the cell.
    pub(in crate::cell) fn apply_store_health(&self, cell: Id, health: StoreHealth) {
        if health != StoreHealth::Stuck {
            self.note_owner_heard(cell);
            self.note_serving_owner(cell);
        }
        let mut views = self.views.borrow_mut();
        let Some(view) = views.get_mut(&cell) else { return };
        match health {
            StoreHealth::Good if view.handover_due.is_triggered() => {
                view.handover_due = Shutdown::new()
            }
            StoreHealth::Good => {}
            StoreHealth::Degraded | StoreHealth::Stuck => view.handover_due.trigger(),
        }
    }

    /// Completes when this instance, which owns the cell, should hand it over.
    pub(in crate::cell) async fn until_handover_due(&self, cell: Id) {
        let handover_due = self.views.borrow().get(&cell).map(|view| view.handover_due.clone());
        match handover_due {
            Some(handover_due) => {
                futures_util::future::select(pin!(self.stop.wait()), pin!(handover_due.wait()))
                    .await;
            }
            None => self.stop.wait().await,
        }
    }

    /// Whether the instance is ready for callers.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_triggered()
            && self.config().version > 0
            && self.is_recent(READY_CONTACT_AGE, |view| view.serving_owner_heard_at)
    }

    /// Whether `moment` returns a time less than `limit` ago for every cell.
    fn is_recent(&self, limit: Duration, moment: impl Fn(&CellView) -> Option<Instant>) -> bool {
        let now = self.deps.clock.now();
        let recent = |view: &CellView| moment(view).is_some_and(|at| now.since(at) < limit);
        self.views.borrow().values().all(recent)
    }

    /// Signal that is triggered when callers' idle connections should be closed.
    ///
    /// Guards against callers that stay with an instance which is cut off. The platform sends new
    /// connections elsewhere after two seconds, but callers kept their connections throughout the
    /// cut, were refused at each first attempt and returned a second later. In a cut of six seconds
    /// all 45 jobs from there waited 1.08 s, and the short ones were late.
    pub fn close_idle_signal(&self) -> Shutdown {
        self.close_idle_signal.borrow().clone()
    }

    /// Updates the signal for idle connections until the instance leaves.
    pub(in crate::cell) async fn update_close_idle_signal(self: Rc<Self>) {
        while !self.left.get() {
            self.deps.clock.sleep(CHECK_INTERVAL).await;
            let lost = !self.is_recent(CLOSE_IDLE_AFTER, |view| view.owner_heard_at);
            let is_triggered = self.close_idle_signal.borrow().is_triggered();
            if lost && !is_triggered {
                log::warn!("event=callers.sent_away reason=no_owner");
                self.close_idle_signal.borrow().trigger();
            } else if is_triggered && !lost {
                log::info!("event=callers.welcome");
                self.close_idle_signal.replace(Shutdown::new());
            }
        }
    }
}
