//! Connections that a server may have open, and how a new one gets the place of another.

use std::rc::Rc;
use std::time::Duration;

use crate::descriptors::{Budget, Class, Guard};
use crate::permit::{Semaphore, SemaphorePermit};
use crate::waiting::Registry;

/// Maximum number of new connections that wait for another one to close, or are being refused.
const MAX_ENTERING: usize = 64;

/// Interval and number of attempts to admit a new connection while another one is being closed for
/// it. Together they last longer than the closing.
const INTERVAL: Duration = Duration::from_millis(10);
const ATTEMPTS: u32 = 75;

/// Limits of a server's connections.
pub(crate) struct Slots {
    permits: Semaphore,
    entering: Semaphore,
    descriptors: Rc<Budget>,
    class: Class,
    waiting: Rc<Registry>,
}

/// What a connection takes of the limits until it is closed.
pub(crate) struct Slot {
    _permit: SemaphorePermit,
    _descriptor: Guard,
}

/// A new connection for which there is no slot.
pub(crate) struct Entering {
    slots: Rc<Slots>,
    /// Whether another connection is being closed for it.
    is_awaited: bool,
    _permit: SemaphorePermit,
}

impl Slots {
    /// Allows `connections`, which take their descriptors of `class` from `descriptors`, and close
    /// for others while they are listed in `waiting`.
    pub(crate) fn new(
        connections: usize,
        descriptors: Rc<Budget>,
        class: Class,
        waiting: Rc<Registry>,
    ) -> Self {
        let (permits, entering) = (Semaphore::new(connections), Semaphore::new(MAX_ENTERING));
        Self { permits, entering, descriptors, class, waiting }
    }

    /// Takes a slot; `None` if none is free.
    pub(crate) fn take(&self) -> Option<Slot> {
        let permit = self.permits.try_acquire()?;
        let descriptor = self.descriptors.acquire(self.class).ok()?;
        Some(Slot { _permit: permit, _descriptor: descriptor })
    }

    /// Tells the connection that has waited longest to close for a new one; `None` if too many new
    /// ones wait already.
    pub(crate) fn enter(self: &Rc<Self>) -> Option<Entering> {
        let permit = self.entering.try_acquire()?;
        let is_awaited = self.waiting.evict_longest();
        Some(Entering { slots: self.clone(), is_awaited, _permit: permit })
    }

    /// Waits until all connections are closed.
    pub(crate) async fn wait_until_unused(&self) {
        self.permits.wait_until_unused().await;
    }
}

impl Entering {
    /// Takes the slot of the connection that closes; `None` if none does, or not in time.
    pub(crate) async fn slot(&self) -> Option<Slot> {
        let attempts = if self.is_awaited { ATTEMPTS } else { 0 };
        for _ in 0..attempts {
            monoio::time::sleep(INTERVAL).await;
            if let Some(slot) = self.slots.take() {
                return Some(slot);
            }
        }
        None
    }
}
