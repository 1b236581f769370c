//! A semaphore that limits how many things, such as connections or calls, exist at once.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;

/// Number of waiters from which on abandoned ones are removed.
const FIRST_PRUNE: usize = 32;

/// A pool of permits, given to waiters in first-in, first-out order.
///
/// The semaphore of `local_sync` panics when a wait is dropped between the grant and the next poll,
/// which happens when a caller is cancelled at that moment. Here each permit is sent through a
/// channel of its own, and returns to the pool if the receiver is gone.
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

/// A permit, which returns to the pool when dropped.
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
    /// Creates a pool of `size` permits.
    pub fn new(size: usize) -> Self {
        let waiting = Waiting { queue: VecDeque::new(), prune_at: FIRST_PRUNE };
        let shared = Shared { free: Cell::new(size), waiting: RefCell::new(waiting) };
        Self { shared: Rc::new(shared), size }
    }

    /// Takes a permit; `None` if none is free now.
    pub fn try_take(&self) -> Option<Permit> {
        let rest = self.shared.free.get().checked_sub(1)?;
        self.shared.free.set(rest);
        Some(Permit { pool: Some(self.shared.clone()) })
    }

    /// Takes a permit, waiting until one is free.
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

    /// Waits until all permits are free at once. Collects them one by one and returns them all when
    /// it completes, so that later callers wait meanwhile.
    pub async fn all(&self) {
        let mut held = Vec::with_capacity(self.size);
        while held.len() < self.size {
            held.push(self.take().await);
        }
    }

    /// Number of permits in use.
    pub fn used(&self) -> usize {
        self.size - self.shared.free.get()
    }

    /// Whether any permit is in use.
    pub fn is_used(&self) -> bool {
        self.used() > 0
    }
}

impl Waiting {
    /// Adds a waiter. Cancelled callers leave their entries in the queue, so entries of such
    /// callers are removed whenever the queue has doubled. Its length thus stays in proportion to
    /// the number of live waiters even while no permit returns.
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
