//! A semaphore that limits how many things, such as connections or calls, exist at once.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;

/// Number of waiters from which on abandoned ones are removed.
const FIRST_PRUNE: usize = 32;

/// Permits, given to waiters in first-in, first-out order.
///
/// The semaphore of `local_sync` panics when a wait is dropped between the grant and the next poll,
/// which happens when a caller is cancelled at that moment. Here each permit is sent through a
/// channel of its own, and returns to the semaphore if the receiver is gone.
///
/// ```
/// use oriolefork::permit::Semaphore;
/// let semaphore = Semaphore::new(1);
/// let permit = semaphore.try_acquire().unwrap();
/// assert!(semaphore.try_acquire().is_none());
/// drop(permit);
/// assert!(semaphore.try_acquire().is_some());
/// ```
#[derive(Debug)]
pub struct Semaphore {
    shared: Rc<Shared>,
    size: usize,
}

/// A permit, which returns to the semaphore when dropped.
#[derive(Debug)]
pub struct SemaphorePermit {
    semaphore: Option<Rc<Shared>>,
}

#[derive(Debug)]
struct Shared {
    free: Cell<usize>,
    waiting: RefCell<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    queue: VecDeque<oneshot::Sender<SemaphorePermit>>,
    prune_at: usize,
}

impl Semaphore {
    /// Creates a semaphore with `size` permits.
    pub fn new(size: usize) -> Self {
        let waiting = Waiting { queue: VecDeque::new(), prune_at: FIRST_PRUNE };
        let shared = Shared { free: Cell::new(size), waiting: RefCell::new(waiting) };
        Self { shared: Rc::new(shared), size }
    }

    /// Takes a permit; `None` if none is free now.
    pub fn try_acquire(&self) -> Option<SemaphorePermit> {
        let rest = self.shared.free.get().checked_sub(1)?;
        self.shared.free.set(rest);
        Some(SemaphorePermit { semaphore: Some(self.shared.clone()) })
    }

    /// Takes a permit, waiting until one is free.
    pub async fn acquire(&self) -> SemaphorePermit {
        loop {
            if let Some(permit) = self.try_acquire() {
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
    pub async fn wait_until_unused(&self) {
        let mut held = Vec::with_capacity(self.size);
        while held.len() < self.size {
            held.push(self.acquire().await);
        }
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> usize {
        self.size - self.shared.free.get()
    }

    /// Whether any caller waits for a permit.
    ///
    /// ```
    /// assert!(!oriolefork::permit::Semaphore::new(1).has_waiting());
    /// ```
    pub fn has_waiting(&self) -> bool {
        self.shared.waiting.borrow().queue.iter().any(|waiter| !waiter.is_closed())
    }

    /// Whether any permit is in use.
    pub fn is_in_use(&self) -> bool {
        self.in_use() > 0
    }
}

impl Waiting {
    /// Adds a waiter. Cancelled callers leave their entries in the queue, so entries of such
    /// callers are removed whenever the queue has doubled. Its length thus stays in proportion to
    /// the number of live waiters even while no permit returns.
    fn push(&mut self, sender: oneshot::Sender<SemaphorePermit>) {
        if self.queue.len() >= self.prune_at {
            self.queue.retain(|waiter| !waiter.is_closed());
            self.prune_at = FIRST_PRUNE.max(self.queue.len() * 2);
        }
        self.queue.push_back(sender);
    }
}

impl Shared {
    fn next_waiter(&self) -> Option<oneshot::Sender<SemaphorePermit>> {
        self.waiting.borrow_mut().queue.pop_front()
    }

    fn release(self: Rc<Self>) {
        let mut permit = SemaphorePermit { semaphore: Some(self.clone()) };
        while let Some(waiter) = self.next_waiter() {
            match waiter.send(permit) {
                Ok(()) => return,
                Err(returned) => permit = returned,
            }
        }
        permit.semaphore = None;
        self.free.set(self.free.get() + 1);
    }
}

impl Drop for SemaphorePermit {
    fn drop(&mut self) {
        if let Some(semaphore) = self.semaphore.take() {
            semaphore.release();
        }
    }
}
