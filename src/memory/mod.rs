//! Budget of the memory in which this process receives messages.
//!
//! Each message that does not arrive at once holds a [`Reservation`] until it has been answered. If
//! nothing is left, the message that holds the most gives way, of several the oldest one: a peer that
//! stops short of the end of a large message cannot keep others from being served. One that has held
//! its memory only for a short time does not give way yet, so that clients which come back at once
//! wait and do not push each other out all the time. Messages that are complete are being handled and
//! do not give way. A part of the budget is kept for small messages.

mod eviction;
mod queue;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use monoio::time::Instant;

pub use self::eviction::{Cause, Eviction};
use self::queue::{Grant, Queue};
use crate::shutdown::Shutdown;

/// Largest size of a small message, in bytes.
pub const SMALL_MESSAGE_BYTES: usize = 16 * 1024;

/// Time for which a message holds its memory before it may have to give way.
const MIN_HOLD: Duration = Duration::from_secs(1);

/// Interval at which a waiting message looks for others that may have to give way by now.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Part of the budget (one in this many) that only small messages may use.
const SMALL_DIVISOR: usize = 4;

/// A message cannot be received: nothing is left, and no other message holds more.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no memory left for a message of {bytes} bytes ({in_use} of {limit} bytes in use)")]
pub struct Exhausted {
    /// Bytes that the message needs.
    pub bytes: usize,
    /// Bytes in use.
    pub in_use: usize,
    /// Limit of the budget.
    pub limit: usize,
}

/// Order in which messages give way: the last one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    bytes: usize,
    age: Reverse<u64>,
}

/// An incomplete message.
#[derive(Clone, Debug)]
struct Holder {
    since: Instant,
    signal: Shutdown,
}

/// Number of bytes that messages may hold, and how many they hold.
///
/// ```
/// use std::rc::Rc;
/// use std::time::Duration;
/// use oriolefork::memory::{Budget, Eviction};
/// use oriolefork::shutdown::Shutdown;
/// let budget = Budget::new(1_000, Eviction::of("api")).with_min_hold(Duration::ZERO);
/// let budget = Rc::new(budget);
/// let signal = Shutdown::new();
/// let mut large = budget.reservation(signal.clone());
/// assert!(large.try_hold(900).is_ok());
/// let mut small = budget.reservation(Shutdown::new());
/// assert!(small.try_hold(200).is_err() && signal.is_triggered());
/// drop(large);
/// assert!(small.try_hold(200).is_ok());
/// ```
pub struct Budget {
    limit: usize,
    in_use: Cell<usize>,
    /// Bytes of the messages that have been told to give way and still hold them.
    yielding: Cell<usize>,
    next_age: Cell<u64>,
    incomplete: RefCell<BTreeMap<Rank, Holder>>,
    min_hold: Duration,
    waiting: Queue,
    eviction: Eviction,
}

impl Budget {
    /// Creates a budget of `limit` bytes, whose evictions are counted by `eviction`.
    pub fn new(limit: usize, eviction: Eviction) -> Self {
        Self {
            limit,
            in_use: Cell::new(0),
            yielding: Cell::new(0),
            next_age: Cell::new(0),
            incomplete: RefCell::default(),
            min_hold: MIN_HOLD,
            waiting: Queue::default(),
            eviction,
        }
    }

    /// Sets the time for which a message holds its memory before it may have to give way.
    #[must_use]
    pub fn with_min_hold(self, min_hold: Duration) -> Self {
        Self { min_hold, ..self }
    }

    /// Bytes in use.
    pub const fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Records that a client has to give way, or is refused.
    pub fn note_evicted(&self, cause: Cause) {
        self.eviction.note(cause, self.in_use());
    }

    /// Creates a reservation that holds nothing yet. `signal` is triggered when its message has to
    /// give way; its owner then drops it.
    pub fn reservation(self: &Rc<Self>, signal: Shutdown) -> Reservation {
        let age = self.next_age.get();
        self.next_age.set(age + 1);
        let since = Instant::now();
        Reservation { budget: self.clone(), signal, age, since, bytes: 0, is_complete: false }
    }

    /// Bytes that messages of `bytes` bytes may use together with all others.
    const fn limit_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_MESSAGE_BYTES {
            self.limit
        } else {
            self.limit - self.limit / SMALL_DIVISOR
        }
    }

    const fn fits(&self, total: usize, more: usize) -> bool {
        self.in_use.get() + more <= self.limit_for(total)
    }

    fn change(&self, by: isize) {
        self.in_use.set(self.in_use.get().saturating_add_signed(by));
        self.eviction.note_in_use(self.in_use.get());
    }

    /// Tells messages that hold at least `total` bytes to give way until `more` bytes will be free.
    fn make_room(&self, total: usize, more: usize) -> Result<(), Exhausted> {
        let limit = self.limit_for(total);
        let mut incomplete = self.incomplete.borrow_mut();
        if incomplete.last_key_value().is_some_and(|(largest, _)| largest.bytes < total) {
            self.note_evicted(Cause::Memory);
            return Err(Exhausted { bytes: total, in_use: self.in_use.get(), limit });
        }
        while self.in_use.get() - self.yielding.get() + more > limit {
            let mut holders = incomplete.iter().rev().take_while(|(rank, _)| rank.bytes >= total);
            let evicted = holders.find(|(_, holder)| holder.since.elapsed() >= self.min_hold);
            // Without one, those that are being handled or have just begun free their bytes soon.
            let Some((&rank, _)) = evicted else { break };
            let holder = incomplete.remove(&rank);
            self.yielding.set(self.yielding.get() + rank.bytes);
            self.note_evicted(Cause::Memory);
            holder.inspect(|holder| holder.signal.trigger());
        }
        Ok(())
    }

    fn release(self: &Rc<Self>, bytes: usize) {
        if bytes > 0 {
            self.change(-bytes.cast_signed());
        }
        while let Some(wanted) = self.waiting.next(|wanted| self.fits(wanted.total, wanted.more)) {
            self.change(wanted.more.cast_signed());
            let grant = Grant::new(self.clone(), wanted.more);
            // A waiter that is gone returns the grant by dropping it.
            let _ = wanted.sender.send(grant);
        }
        // Others may have taken what was made free for a waiter.
        if let Some((total, more)) = self.waiting.first() {
            let _ = self.make_room(total, more);
        }
    }
}

/// Bytes that one message holds until it is dropped.
pub struct Reservation {
    budget: Rc<Budget>,
    signal: Shutdown,
    age: u64,
    since: Instant,
    bytes: usize,
    is_complete: bool,
}

impl Reservation {
    const fn rank(&self) -> Rank {
        Rank { bytes: self.bytes, age: Reverse(self.age) }
    }

    /// Makes the message hold `bytes` bytes, if it holds fewer; waits until those that give way have
    /// freed theirs.
    ///
    /// # Errors
    /// Fails if no other message holds as much that could give way.
    pub async fn hold(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let Some(more) = self.missing(bytes) else { return Ok(()) };
        if !self.budget.fits(bytes, more) {
            self.budget.make_room(bytes, more)?;
            let mut granted = pin!(self.budget.waiting.wait(bytes, more));
            let mut grant = loop {
                match monoio::time::timeout(RETRY_INTERVAL, &mut granted).await {
                    Ok(grant) => break grant,
                    Err(_) => self.budget.make_room(bytes, more)?,
                }
            };
            grant.take();
        } else {
            self.budget.change(more.cast_signed());
        }
        self.set(bytes);
        Ok(())
    }

    /// The same without a wait.
    ///
    /// # Errors
    /// Fails also if others have yet to free their bytes.
    pub fn try_hold(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let Some(more) = self.missing(bytes) else { return Ok(()) };
        if !self.budget.fits(bytes, more) {
            self.budget.make_room(bytes, more)?;
            let (in_use, limit) = (self.budget.in_use(), self.budget.limit_for(bytes));
            return Err(Exhausted { bytes, in_use, limit });
        }
        self.budget.change(more.cast_signed());
        self.set(bytes);
        Ok(())
    }

    fn missing(&self, bytes: usize) -> Option<usize> {
        bytes.checked_sub(self.bytes).filter(|more| *more > 0)
    }

    fn set(&mut self, bytes: usize) {
        if self.is_complete {
            self.bytes = bytes;
            return;
        }
        let mut incomplete = self.budget.incomplete.borrow_mut();
        // Once told to give way it is not listed, and its bytes count as yielding.
        let is_listed = incomplete.remove(&self.rank()).is_some();
        let is_yielding = self.bytes > 0 && !is_listed;
        if is_yielding {
            self.budget.yielding.set(self.budget.yielding.get() + bytes - self.bytes);
        }
        self.bytes = bytes;
        if !is_yielding {
            let holder = Holder { since: self.since, signal: self.signal.clone() };
            incomplete.insert(self.rank(), holder);
        }
    }

    /// Records that the message has arrived whole: it is handled now and gives way no more.
    pub fn complete(&mut self) {
        self.unlist();
        self.is_complete = true;
    }

    fn unlist(&mut self) {
        if self.is_complete || self.bytes == 0 {
            return;
        }
        if self.budget.incomplete.borrow_mut().remove(&self.rank()).is_none() {
            self.budget.yielding.set(self.budget.yielding.get() - self.bytes);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.unlist();
        self.budget.release(std::mem::take(&mut self.bytes));
    }
}
