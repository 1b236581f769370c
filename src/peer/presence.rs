//! Whether a connection waits for its peer, or some of its calls are being handled.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::shutdown::Shutdown;
use crate::waiting::{Entry, Registry};

/// Calls of one connection. It waits for its peer while none of them is being handled.
pub(super) struct Presence {
    registry: Rc<Registry>,
    evicted: Shutdown,
    entry: RefCell<Option<Entry>>,
    calls: Cell<usize>,
    handled: Cell<usize>,
}

impl Presence {
    pub(super) fn new(registry: Rc<Registry>) -> Rc<Self> {
        let evicted = Shutdown::new();
        let entry = RefCell::new(Some(registry.enter(&evicted)));
        Rc::new(Self { registry, evicted, entry, calls: Cell::new(0), handled: Cell::new(0) })
    }

    /// Signal that is triggered when the connection has to close for others.
    pub(super) fn evicted(&self) -> Shutdown {
        self.evicted.clone()
    }

    /// Whether any call has begun and not ended.
    pub(super) fn has_calls(&self) -> bool {
        self.calls.get() > 0
    }

    /// Counts a call until the guard is dropped.
    pub(super) fn begin(self: &Rc<Self>) -> OpenCall {
        self.calls.set(self.calls.get() + 1);
        OpenCall { presence: self.clone() }
    }
}

/// A call that has begun.
pub(super) struct OpenCall {
    presence: Rc<Presence>,
}

impl OpenCall {
    /// Counts the call as being handled until the guard is dropped.
    pub(super) fn handle(&self) -> HandledCall {
        let presence = self.presence.clone();
        presence.handled.set(presence.handled.get() + 1);
        presence.entry.take();
        HandledCall { presence }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.presence.calls.set(self.presence.calls.get() - 1);
    }
}

/// A call that has arrived whole.
pub(super) struct HandledCall {
    presence: Rc<Presence>,
}

impl Drop for HandledCall {
    fn drop(&mut self) {
        let presence = &self.presence;
        presence.handled.set(presence.handled.get() - 1);
        if presence.handled.get() == 0 {
            presence.entry.replace(Some(presence.registry.enter(&presence.evicted)));
        }
    }
}
