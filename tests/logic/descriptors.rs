//! Counting, dividing and giving back descriptors.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use oriolefork::descriptors::{Budget, Class, Guard, IdleHolder, Offer, OfferId, Shares};
use proptest::prelude::{any, proptest};
use proptest::{prop_assert, prop_assert_eq};
use test_case::test_case;

/// Keeps idle connections, as a pool does.
#[derive(Default)]
struct Pool {
    idle: RefCell<Vec<(Offer, Guard)>>,
}

impl Pool {
    fn put(self: &Rc<Self>, connection: Guard) {
        let holder: Weak<Self> = Rc::downgrade(self);
        let offer = connection.offer(holder).unwrap();
        self.idle.borrow_mut().push((offer, connection));
    }

    fn take(&self, index: usize) -> Guard {
        self.idle.borrow_mut().remove(index).1
    }

    fn len(&self) -> usize {
        self.idle.borrow().len()
    }
}

impl IdleHolder for Pool {
    fn close_idle(&self, offer: OfferId) {
        self.idle.borrow_mut().retain(|(idle, _)| idle.id() != offer);
    }
}

fn budget(limit: usize, shares: Shares) -> Rc<Budget> {
    Rc::new(Budget::new(limit, shares))
}

/// More than any budget of these tests.
const MOST: usize = 20;

const KEPT_FOR_CONTROL: Shares = Shares { control: 2, polls: 0, commands: 0, callers: 0 };

fn take_all(budget: &Rc<Budget>, class: Class) -> Vec<Guard> {
    (0..MOST).map_while(|_| budget.acquire(class).ok()).collect()
}

// Polls, commands or callers that take every descriptor would leave none for the store.
#[test_case(Class::Poll; "polls")]
#[test_case(Class::Command; "commands")]
#[test_case(Class::Caller; "callers")]
fn acquire_leaves_the_share_of_others(greedy: Class) {
    let budget = budget(5, KEPT_FOR_CONTROL);
    let taken = take_all(&budget, greedy);
    assert_eq!(taken.len(), 3);
    assert_eq!(take_all(&budget, Class::Control).len(), 2);
}

// Connections of a class beyond its share must not count against the others twice.
#[test]
fn acquire_beyond_the_own_share() {
    let budget = budget(5, KEPT_FOR_CONTROL);
    let control = take_all(&budget, Class::Control);
    assert_eq!(control.len(), 5);
    drop(control);
    let control: Vec<_> = (0..3).map(|_| budget.acquire(Class::Control).ok().unwrap()).collect();
    assert_eq!(take_all(&budget, Class::Poll).len(), 2);
    assert_eq!(control.len(), 3);
}

#[test]
fn acquire_refused_names_the_cause() {
    let budget = budget(1, Shares::default());
    let _held = budget.acquire(Class::Command).ok().unwrap();
    let refused = budget.acquire(Class::Poll).err().unwrap();
    assert_eq!(refused.to_string(), "no descriptor left for a poll connection (1 of 1 in use)");
}

#[test]
fn shares_beyond_the_limit_are_cut() {
    let shares = Shares { control: 3, polls: 2, commands: 2, callers: 2 };
    let budget = budget(4, shares);
    assert_eq!(take_all(&budget, Class::Caller).len(), 0);
    assert_eq!(take_all(&budget, Class::Poll).len(), 1);
    assert_eq!(take_all(&budget, Class::Control).len(), 3);
}

// The connection that was idle longest is the least likely to be used again; one that was used in
// between is not.
#[test]
fn acquire_closes_the_longest_idle() {
    let budget = budget(3, Shares::default());
    let (polls, commands) = (Rc::new(Pool::default()), Rc::new(Pool::default()));
    polls.put(budget.acquire(Class::Poll).ok().unwrap());
    commands.put(budget.acquire(Class::Command).ok().unwrap());
    polls.put(budget.acquire(Class::Poll).ok().unwrap());
    polls.put(polls.take(0));
    let _first = budget.acquire(Class::Poll).ok().unwrap();
    assert_eq!((polls.len(), commands.len()), (2, 0));
    let _second = budget.acquire(Class::Caller).ok().unwrap();
    assert_eq!(polls.len(), 1);
    let _third = budget.acquire(Class::Control).ok().unwrap();
    assert_eq!(polls.len(), 0);
    assert!(budget.acquire(Class::Control).is_err());
    assert_eq!(budget.in_use(), 3);
}

// A connection within the share of its class makes no room for another class. Closing it all the
// same would cost a worker its connection in vain.
#[test]
fn acquire_closes_nothing_in_vain() {
    let budget = budget(2, Shares { polls: 1, ..Shares::default() });
    let polls = Rc::new(Pool::default());
    polls.put(budget.acquire(Class::Poll).ok().unwrap());
    let _command = budget.acquire(Class::Command).ok().unwrap();
    assert!(budget.acquire(Class::Command).is_err());
    assert_eq!(polls.len(), 1);
    assert!(budget.acquire(Class::Poll).is_ok());
    assert_eq!(polls.len(), 0);
}

#[test]
fn acquire_closes_nothing_while_descriptors_are_left() {
    let budget = budget(3, Shares::default());
    let polls = Rc::new(Pool::default());
    polls.put(budget.acquire(Class::Poll).ok().unwrap());
    let _others = [budget.acquire(Class::Poll), budget.acquire(Class::Control)];
    assert_eq!(polls.len(), 1);
}

// A pool that is gone has closed its connections; the offers of these must hold nobody up.
#[test]
fn acquire_after_a_pool_was_dropped() {
    let budget = budget(1, Shares::default());
    let polls = Rc::new(Pool::default());
    polls.put(budget.acquire(Class::Poll).ok().unwrap());
    drop(polls);
    assert!(budget.acquire(Class::Poll).is_ok());
}

proptest! {
    // For random sequences of opening, closing and resting, the limit is never exceeded, each class
    // gets its share, and none is lost.
    #[test]
    fn budget_conserves_descriptors(
        limit in 4..12_usize,
        shares in proptest::array::uniform4(0..3_usize),
        steps in proptest::collection::vec(any::<u16>(), 1..120),
    ) {
        let [control, polls, commands, callers] = shares;
        let budget = budget(limit, Shares { control, polls, commands, callers });
        let pool = Rc::new(Pool::default());
        let mut held: Vec<Vec<Guard>> = Class::ALL.iter().map(|_| Vec::new()).collect();
        for step in steps {
            let index = usize::from(step / 4) % Class::ALL.len();
            let class = Class::ALL[index];
            match step % 4 {
                0 | 1 => held[index].extend(budget.acquire(class).ok()),
                2 => drop(held[index].pop()),
                _ if matches!(class, Class::Poll | Class::Command) => {
                    if let Some(connection) = held[index].pop() {
                        pool.put(connection);
                    }
                }
                _ => {}
            }
            let counted = held.iter().map(Vec::len).sum::<usize>() + pool.len();
            prop_assert!(counted <= limit);
            prop_assert_eq!(budget.in_use(), counted);
        }
        if shares.iter().sum::<usize>() <= limit {
            for (index, share) in shares.into_iter().enumerate() {
                while held[index].len() < share {
                    let guard = budget.acquire(Class::ALL[index]);
                    prop_assert!(guard.is_ok());
                    held[index].extend(guard.ok());
                }
            }
        }
        held.clear();
        pool.idle.borrow_mut().clear();
        prop_assert_eq!(budget.in_use(), 0);
    }
}
