//! Connections of a server that wait for their peer: for a request, its end, or for room to write.
//!
//! If no connection is left for a new peer, the one that has waited longest is closed, so that peers
//! that do nothing cannot keep others from being served. One that has waited only for a short time
//! stays open: its peer may be about to send.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::Instant;

use crate::shutdown::Shutdown;

/// Time for which a connection waits before it may be closed for another one.
pub const MIN_WAIT: Duration = Duration::from_secs(1);

/// Waiting connections of one server, in the order in which they began to wait.
///
/// ```
/// use std::rc::Rc;
/// use oriolefork::shutdown::Shutdown;
/// use oriolefork::waiting::{MIN_WAIT, Registry};
/// let registry = Rc::new(Registry::default());
/// let signal = Shutdown::new();
/// let entry = registry.enter(&signal);
/// assert!(!registry.evict_longest());
/// std::thread::sleep(MIN_WAIT);
/// assert!(registry.evict_longest() && signal.is_triggered());
/// # drop(entry);
/// ```
#[derive(Debug, Default)]
pub struct Registry {
    next: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, Waiting>>,
}

#[derive(Debug)]
struct Waiting {
    since: Instant,
    signal: Shutdown,
}

impl Registry {
    /// Lists a connection until the entry is dropped. `signal` is triggered when it has to close.
    pub fn enter(self: &Rc<Self>, signal: &Shutdown) -> Entry {
        let number = self.next.get();
        self.next.set(number + 1);
        let waiting = Waiting { since: Instant::now(), signal: signal.clone() };
        self.waiting.borrow_mut().insert(number, waiting);
        Entry { registry: self.clone(), number }
    }

    /// Tells the connection that has waited longest to close; returns `false` if none has waited for
    /// [`MIN_WAIT`].
    pub fn evict_longest(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let Some(longest) = waiting.first_entry() else { return false };
        if longest.get().since.elapsed() < MIN_WAIT {
            return false;
        }
        longest.remove().signal.trigger();
        true
    }
}

/// Lists one waiting connection until dropped.
#[derive(Debug)]
pub struct Entry {
    registry: Rc<Registry>,
    number: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.registry.waiting.borrow_mut().remove(&self.number);
    }
}
