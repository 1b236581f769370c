//! A bounded number of permits for things that may exist at once, such as connections and calls.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;

/// Waiters at which the first search for abandoned ones takes place.
const FIRST_PRUNE: usize = 32;

/// Hands out permits, to waiters in the order in which they came.
///
/// The channels' crate has a semaphore, but it panics when a wait is dropped between the grant and
/// the next poll, as happens whenever a caller is cancelled at the wrong moment. Here each grant
/// travels through a channel of its own, and a grant that nobody takes returns by itself.
///
/// ```
/// use oriolefork::permit::Pool;
/// let pool = Pool::new(1);
/// let permit = pool.try_take().unwrap();
/// assert!(pool.try_take().is_none());
/// drop(permit);
/// assert!(pool.try_take().is_some());
/// ```
#[derive(Debug)]
pub struct Pool {
    shared: Rc<Shared>,
    size: usize,
}

/// The right to one of the things that the pool counts; returns to the pool when dropped.
#[derive(Debug)]
pub struct Permit {
    pool: Option<Rc<Shared>>,
}

#[derive(Debug)]
struct Shared {
    free: Cell<usize>,
    waiting: RefCell<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    queue: VecDeque<oneshot::Sender<Permit>>,
    prune_at: usize,
}

impl Pool {
    /// Builds a pool of `size` permits.
    pub fn new(size: usize) -> Self {
        let waiting = Waiting { queue: VecDeque::new(), prune_at: FIRST_PRUNE };
        let shared = Shared { free: Cell::new(size), waiting: RefCell::new(waiting) };
        Self { shared: Rc::new(shared), size }
    }

    /// A permit, when one is free at once.
    pub fn try_take(&self) -> Option<Permit> {
        let rest = self.shared.free.get().checked_sub(1)?;
        self.shared.free.set(rest);
        Some(Permit { pool: Some(self.shared.clone()) })
    }

    /// A permit, once one is free.
    pub async fn take(&self) -> Permit {
        loop {
            if let Some(permit) = self.try_take() {
                return permit;
            }
            let (sender, receiver) = oneshot::channel();
            self.shared.waiting.borrow_mut().push(sender);
            if let Ok(permit) = receiver.await {
                return permit;
            }
        }
    }

    /// Completes once every permit is back; no new one is handed out meanwhile.
    pub async fn all(&self) {
        let mut held = Vec::with_capacity(self.size);
        while held.len() < self.size {
            held.push(self.take().await);
        }
    }

    /// Permits that are out.
    pub fn used(&self) -> usize {
        self.size - self.shared.free.get()
    }

    /// Whether any permit is out.
    pub fn is_used(&self) -> bool {
        self.used() > 0
    }
}

impl Waiting {
    /// Callers that gave up leave their place behind. Places are cleared whenever their number has
    /// doubled, so that they stay bounded by the callers even while no permit returns.
    fn push(&mut self, sender: oneshot::Sender<Permit>) {
        if self.queue.len() >= self.prune_at {
            self.queue.retain(|waiter| !waiter.is_closed());
            self.prune_at = FIRST_PRUNE.max(self.queue.len() * 2);
        }
        self.queue.push_back(sender);
    }
}

impl Shared {
    fn next_waiter(&self) -> Option<oneshot::Sender<Permit>> {
        self.waiting.borrow_mut().queue.pop_front()
    }

    fn release(self: Rc<Self>) {
        let mut permit = Permit { pool: Some(self.clone()) };
        while let Some(waiter) = self.next_waiter() {
            match waiter.send(permit) {
                Ok(()) => return,
                Err(returned) => permit = returned,
            }
        }
        permit.pool = None;
        self.free.set(self.free.get() + 1);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.take() {
            pool.release();
        }
    }
}
