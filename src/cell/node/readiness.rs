//! Whether callers are served well here, and what an instance does when they are not.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use super::view::CellView;
use crate::cell::Id;
use crate::cell::machine::Health;
use crate::clock::Instant;
use crate::shutdown::Shutdown;

/// Age of the last word of an owner that reaches the store from which the instance wants no
/// callers. A change of owner is over before; a failure domain that is cut off says no in time for
/// the platform to send callers to another one.
const CONTACT_LIMIT: Duration = Duration::from_millis(400);

/// Time without contact after which callers' resting connections are closed: long enough for a change
/// of owner, and about when the platform begins to send new connections elsewhere.
const RELIEF_AFTER: Duration = Duration::from_millis(1_000);

/// Rest between two looks at the contact for that.
const RELIEF_REST: Duration = Duration::from_millis(100);

impl Node {
    /// Takes in how the store serves this instance as the cell's owner.
    pub(in crate::cell) fn apply_store_health(&self, cell: Id, health: Health) {
        if health != Health::Stuck {
            self.note_owner_heard(cell);
            self.note_serving_owner(cell);
        }
        let mut views = self.views.borrow_mut();
        let Some(view) = views.get_mut(&cell) else { return };
        match health {
            Health::Good if view.handover_due.is_triggered() => view.handover_due = Shutdown::new(),
            Health::Good => {}
            Health::Struggling | Health::Stuck => view.handover_due.trigger(),
        }
    }

    /// Completes when the cell's owner, this instance, is to be relieved.
    pub(in crate::cell) async fn until_handover_due(&self, cell: Id) {
        let alarm = self.views.borrow().get(&cell).map(|view| view.handover_due.clone());
        match alarm {
            Some(alarm) => {
                futures_util::future::select(pin!(self.stop.wait()), pin!(alarm.wait())).await;
            }
            None => self.stop.wait().await,
        }
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_triggered()
            && self.config().version > 0
            && self.is_recent(CONTACT_LIMIT, |view| view.serving_owner_heard_at)
    }

    /// Whether what `moment` tells of each cell lies no longer back than `limit`.
    fn is_recent(&self, limit: Duration, moment: impl Fn(&CellView) -> Option<Instant>) -> bool {
        let now = self.deps.clock.now();
        let recent = |view: &CellView| moment(view).is_some_and(|at| now.since(at) < limit);
        self.views.borrow().values().all(recent)
    }

    /// A flag that is raised when callers' resting connections should close.
    ///
    /// Guards against callers that stay with an instance which is cut off: the platform sends new
    /// connections elsewhere after two seconds, but callers kept theirs through the whole cut, were
    /// refused at each first try and came back a second later. In a cut of six seconds all 45 jobs
    /// from there waited 1.08 s, and the quick ones were late.
    pub fn close_idle_signal(&self) -> Shutdown {
        self.close_idle_signal.borrow().clone()
    }

    /// Keeps the flag for resting connections.
    pub(in crate::cell) async fn update_close_idle_signal(self: Rc<Self>) {
        while !self.left.get() {
            self.deps.clock.sleep(RELIEF_REST).await;
            let lost = !self.is_recent(RELIEF_AFTER, |view| view.owner_heard_at);
            let raised = self.close_idle_signal.borrow().is_triggered();
            if lost && !raised {
                log::warn!("event=callers.sent_away reason=no_owner");
                self.close_idle_signal.borrow().trigger();
            } else if raised && !lost {
                log::info!("event=callers.welcome");
                self.close_idle_signal.replace(Shutdown::new());
            }
        }
    }
}
