//! Budget of the descriptors that this process may use for connections.
//!
//! Each connection holds a [`Guard`], which counts it in the [`Budget`] until it is closed. Each
//! [`Class`] of connections has a share of the budget that no other class can use; what is left
//! beyond the shares is open to all. If nothing is left, the longest idle connection that was
//! offered for closing makes room; without one, the new connection is refused at once.

mod shortage;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use derive_more::{Display, Error};

use self::shortage::Shortage;
use crate::telemetry::names;

/// Number of classes.
const CLASSES: usize = Class::ALL.len();

/// Part of the budget (one in this many) that must be free again for a shortage to have ended, so
/// that a budget that stays near its limit does not begin and end shortages in turn.
const RECOVERY_DIVISOR: usize = 16;

/// What a connection is for, most important first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Class {
    /// Store, policy service, other instances and readiness checks.
    #[display("control")]
    Control,
    /// Polls of workers, which renew their leases.
    #[display("poll")]
    Poll,
    /// Commands to workers.
    #[display("command")]
    Command,
    /// Callers' requests.
    #[display("caller")]
    Caller,
}

impl Class {
    /// All classes, most important first.
    pub const ALL: [Self; 4] = [Self::Control, Self::Poll, Self::Command, Self::Caller];

    const fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Poll => "poll",
            Self::Command => "command",
            Self::Caller => "caller",
        }
    }

    /// Whether idle connections of the class may be closed to make room for others.
    const fn yields_idle(self) -> bool {
        matches!(self, Self::Poll | Self::Command)
    }
}

/// Descriptors that only connections of one class may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    /// Share of [`Class::Control`].
    pub control: usize,
    /// Share of [`Class::Poll`].
    pub polls: usize,
    /// Share of [`Class::Command`].
    pub commands: usize,
    /// Share of [`Class::Caller`].
    pub callers: usize,
}

/// No descriptor is left for a connection of a class.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no descriptor left for a {class} connection ({in_use} of {limit} in use)")]
pub struct Exhausted {
    /// Class of the refused connection.
    pub class: Class,
    /// Descriptors in use.
    pub in_use: usize,
    /// Limit of the budget.
    pub limit: usize,
}

/// Keeps idle connections that it has offered for closing.
pub trait IdleHolder {
    /// Closes the idle connection of that offer, if it is still idle.
    fn close_idle(&self, offer: OfferId);
}

/// Identifies an [`Offer`]; later offers have higher identifiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId(u64);

/// Idle connections that may be closed, in the order in which they became idle.
type Offers = BTreeMap<OfferId, Weak<dyn IdleHolder>>;

/// Number of descriptors that this process may use for connections, and how many it uses.
///
/// ```
/// use std::rc::Rc;
/// use oriolefork::descriptors::{Budget, Class, Shares};
/// let budget = Rc::new(Budget::new(3, Shares { control: 1, ..Shares::default() }));
/// let poll = budget.acquire(Class::Poll).unwrap();
/// let command = budget.acquire(Class::Command).unwrap();
/// assert!(budget.acquire(Class::Caller).is_err());
/// let store = budget.acquire(Class::Control).unwrap();
/// drop(poll);
/// assert!(budget.acquire(Class::Caller).is_ok());
/// ```
pub struct Budget {
    limit: Option<usize>,
    shares: [usize; CLASSES],
    in_use: [Cell<usize>; CLASSES],
    offers: [RefCell<Offers>; CLASSES],
    next_offer: Cell<u64>,
    shortage: Shortage,
}

impl Budget {
    /// Creates a budget of `limit` descriptors. Shares that together exceed the limit are cut, the
    /// least important first.
    pub fn new(limit: usize, shares: Shares) -> Self {
        let mut left = limit;
        let shares = [shares.control, shares.polls, shares.commands, shares.callers].map(|share| {
            let granted = share.min(left);
            left -= granted;
            granted
        });
        names::DESCRIPTOR_LIMIT.set(limit as f64, &[]);
        Self::with_limit(Some(limit), shares)
    }

    /// Creates a budget that refuses nothing.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use oriolefork::descriptors::{Budget, Class};
    /// let budget = Rc::new(Budget::unlimited());
    /// let caller = budget.acquire(Class::Caller).unwrap();
    /// assert_eq!((budget.in_use(), budget.limit()), (1, None));
    /// ```
    pub fn unlimited() -> Self {
        Self::with_limit(None, [0; CLASSES])
    }

    fn with_limit(limit: Option<usize>, shares: [usize; CLASSES]) -> Self {
        Self {
            limit,
            shares,
            in_use: Default::default(),
            offers: Default::default(),
            next_offer: Cell::new(0),
            shortage: Shortage::default(),
        }
    }

    /// Limit of the budget; `None` if it is unlimited.
    pub const fn limit(&self) -> Option<usize> {
        self.limit
    }

    /// Descriptors in use by connections of all classes.
    pub fn in_use(&self) -> usize {
        self.in_use.iter().map(Cell::get).sum()
    }

    /// Takes a descriptor for a connection of `class`, and closes the longest idle connection that
    /// was offered if that is necessary to have one.
    ///
    /// # Errors
    /// Fails if no descriptor is left for the class and no connection may be closed for it.
    pub fn acquire(self: &Rc<Self>, class: Class) -> Result<Guard, Exhausted> {
        if let Some(limit) = self.limit
            && !self.has_room(class, limit)
        {
            self.make_room(class, limit)?;
        }
        self.change(class, 1);
        Ok(Guard { budget: self.clone(), class })
    }

    fn make_room(&self, class: Class, limit: usize) -> Result<(), Exhausted> {
        let is_closed = self.close_idlest(class);
        if is_closed && self.has_room(class, limit) {
            names::DESCRIPTORS_RECLAIMED.increment(&[("class", class.name())]);
            self.shortage.note_closed(self.in_use(), limit);
            return Ok(());
        }
        names::DESCRIPTORS_REFUSED.increment(&[("class", class.name())]);
        self.shortage.note_refused(self.in_use(), limit);
        Err(Exhausted { class, in_use: self.in_use(), limit })
    }

    /// Whether one more connection of `class` leaves the other classes their shares.
    fn has_room(&self, class: Class, limit: usize) -> bool {
        let others = Class::ALL.into_iter().filter(|other| *other != class);
        let taken: usize = others.map(|other| self.committed(other)).sum();
        taken + self.used_by(class) < limit
    }

    fn used_by(&self, class: Class) -> usize {
        self.in_use[class as usize].get()
    }

    /// Descriptors that other classes cannot use: those in use, or the share if it is larger.
    fn committed(&self, class: Class) -> usize {
        self.used_by(class).max(self.shares[class as usize])
    }

    /// Closes the longest idle connection whose descriptor a connection of `class` may use.
    ///
    /// One that is within the share of another class would be closed in vain.
    fn close_idlest(&self, class: Class) -> bool {
        let is_usable =
            |other: Class| other == class || self.used_by(other) > self.shares[other as usize];
        let idlest = |other: Class| {
            let offers = self.offers[other as usize].borrow();
            offers.keys().next().map(|offer| (*offer, other))
        };
        let usable = Class::ALL.into_iter().filter(|other| is_usable(*other));
        let Some((offer, owner)) = usable.filter_map(idlest).min_by_key(|(offer, _)| *offer) else {
            return false;
        };
        let holder = self.offers[owner as usize].borrow_mut().remove(&offer);
        if let Some(holder) = holder.and_then(|holder| holder.upgrade()) {
            holder.close_idle(offer);
        }
        true
    }

    fn change(&self, class: Class, by: isize) {
        let used = &self.in_use[class as usize];
        used.set(used.get().saturating_add_signed(by));
        if self.limit.is_some() {
            names::DESCRIPTORS_IN_USE.set(used.get() as f64, &[("class", class.name())]);
        }
    }

    fn release(&self, class: Class) {
        self.change(class, -1);
        let Some(limit) = self.limit else { return };
        if self.shortage.is_active() && self.has_recovered(limit) {
            self.shortage.end(self.in_use(), limit);
        }
    }

    /// Whether so much is free that a shortage has ended.
    fn has_recovered(&self, limit: usize) -> bool {
        let committed: usize = Class::ALL.into_iter().map(|class| self.committed(class)).sum();
        let beyond_shares = limit - self.shares.iter().sum::<usize>();
        let needed = (limit / RECOVERY_DIVISOR).min(beyond_shares / 2).max(1);
        limit.saturating_sub(committed) >= needed
    }
}

/// A descriptor in use, which returns to the budget when dropped.
pub struct Guard {
    budget: Rc<Budget>,
    class: Class,
}

impl Guard {
    /// Offers the connection, which is idle from now on, for closing until the offer is dropped.
    ///
    /// Returns `None` if idle connections of the class are not closed for others, or the budget is
    /// unlimited. `holder` closes the connection, and with it this guard.
    ///
    /// ```
    /// use std::rc::{Rc, Weak};
    /// use oriolefork::descriptors::{Budget, Class, IdleHolder, OfferId};
    /// struct Pool;
    /// impl IdleHolder for Pool {
    ///     fn close_idle(&self, _offer: OfferId) {}
    /// }
    /// let poll = Rc::new(Budget::unlimited()).acquire(Class::Poll).unwrap();
    /// let pool = Rc::new(Pool);
    /// assert!(poll.offer(Rc::downgrade(&pool) as Weak<dyn IdleHolder>).is_none());
    /// ```
    pub fn offer(&self, holder: Weak<dyn IdleHolder>) -> Option<Offer> {
        if self.budget.limit.is_none() || !self.class.yields_idle() {
            return None;
        }
        let id = OfferId(self.budget.next_offer.get());
        self.budget.next_offer.set(id.0 + 1);
        self.budget.offers[self.class as usize].borrow_mut().insert(id, holder);
        Some(Offer { budget: self.budget.clone(), class: self.class, id })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.budget.release(self.class);
    }
}

/// An idle connection that may be closed to make room for another; withdrawn when dropped.
pub struct Offer {
    budget: Rc<Budget>,
    class: Class,
    id: OfferId,
}

impl Offer {
    /// Identifier of the offer.
    pub const fn id(&self) -> OfferId {
        self.id
    }
}

impl Drop for Offer {
    fn drop(&mut self) {
        self.budget.offers[self.class as usize].borrow_mut().remove(&self.id);
    }
}
