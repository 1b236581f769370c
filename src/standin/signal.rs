//! Wakes every task that waits for a change.

use std::cell::RefCell;
use std::time::Duration;

use local_sync::oneshot;

/// A change that many tasks may wait for.
#[derive(Debug, Default)]
pub struct Signal {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Signal {
    /// Wakes all that wait now.
    pub fn raise(&self) {
        for waiter in self.waiting.take() {
            // A waiter that has given up no longer listens.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next [`Self::raise`].
    pub async fn raised(&self) {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.waiting.borrow_mut();
            waiting.retain(|waiter| !waiter.is_closed());
            waiting.push(sender);
        }
        let _ = receiver.await;
    }

    /// Waits for the next [`Self::raise`], at most for `limit`.
    pub async fn raised_within(&self, limit: Duration) {
        let _ = monoio::time::timeout(limit, self.raised()).await;
    }
}
