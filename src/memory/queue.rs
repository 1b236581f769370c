//! Messages that wait for memory, small ones first.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;

use super::{Budget, SMALL_MESSAGE_BYTES};

/// Bytes granted to a waiting message, which return to the budget unless they are taken.
pub(super) struct Grant {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Grant {
    pub(super) const fn new(budget: Rc<Budget>, bytes: usize) -> Self {
        Self { budget, bytes }
    }

    /// Makes the receiver responsible for the bytes.
    pub(super) const fn take(&mut self) {
        self.bytes = 0;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.release(self.bytes);
        }
    }
}

/// What a waiting message needs.
pub(super) struct Wanted {
    /// Bytes of the message with what it needs.
    pub(super) total: usize,
    /// Bytes that it needs.
    pub(super) more: usize,
    pub(super) sender: oneshot::Sender<Grant>,
}

/// Waiting messages, in two first-in, first-out queues.
#[derive(Default)]
pub(super) struct Queue {
    small: RefCell<VecDeque<Wanted>>,
    large: RefCell<VecDeque<Wanted>>,
}

impl Queue {
    /// Waits until `more` bytes are granted to a message that then has `total` bytes.
    pub(super) async fn wait(&self, total: usize, more: usize) -> Grant {
        loop {
            let (sender, receiver) = oneshot::channel();
            let queue = if total <= SMALL_MESSAGE_BYTES { &self.small } else { &self.large };
            queue.borrow_mut().push_back(Wanted { total, more, sender });
            if let Ok(grant) = receiver.await {
                return grant;
            }
        }
    }

    /// What the first waiting message needs: its bytes in total, and those that it does not have yet.
    pub(super) fn first(&self) -> Option<(usize, usize)> {
        let first = |queue: &RefCell<VecDeque<Wanted>>| {
            queue.borrow().front().map(|wanted| (wanted.total, wanted.more))
        };
        first(&self.small).or_else(|| first(&self.large))
    }

    /// Removes the next waiting message if `fits` returns true for it.
    pub(super) fn next(&self, fits: impl Fn(&Wanted) -> bool) -> Option<Wanted> {
        [&self.small, &self.large].into_iter().find_map(|queue| {
            let mut queue = queue.borrow_mut();
            while queue.front().is_some_and(|wanted| wanted.sender.is_closed()) {
                queue.pop_front();
            }
            queue.front().is_some_and(&fits).then(|| queue.pop_front()).flatten()
        })
    }
}
