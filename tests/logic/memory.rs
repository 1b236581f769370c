//! Memory of messages: its limit, and which message gives way.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::memory::{Budget, Eviction, Reservation, SMALL_MESSAGE_BYTES};
use oriolefork::shutdown::Shutdown;
use proptest::prelude::{Just, Strategy, any, proptest};
use proptest::{prop_assert, prop_oneof};

const LIMIT: usize = 64 * SMALL_MESSAGE_BYTES;

/// A message, and whether it has to give way.
struct Message {
    reservation: Reservation,
    signal: Shutdown,
}

/// Runs a test in the runtime, whose timers waiting messages use.
fn run(test: impl FnOnce()) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async { test() });
}

fn budget() -> Rc<Budget> {
    Rc::new(Budget::new(LIMIT, Eviction::of("test")).with_min_hold(Duration::ZERO))
}

fn message(budget: &Rc<Budget>) -> Message {
    let signal = Shutdown::new();
    Message { reservation: budget.reservation(signal.clone()), signal }
}

fn holding(budget: &Rc<Budget>, bytes: usize) -> Message {
    let mut message = message(budget);
    message.reservation.try_hold(bytes).expect("room");
    message
}

/// Guards against a large message that takes the place of smaller ones.
#[test]
fn hold_larger_than_all_others() {
    run(|| {
        let budget = budget();
        let small: Vec<Message> = (0..48).map(|_| holding(&budget, SMALL_MESSAGE_BYTES)).collect();
        let mut large = message(&budget);
        assert!(
            large
                .reservation
                .hold(2 * SMALL_MESSAGE_BYTES)
                .now_or_never()
                .expect("at once")
                .is_err()
        );
        assert!(small.iter().all(|message| !message.signal.is_triggered()));
    });
}

/// Guards against clients that stop short of the end of large messages and keep small ones out.
#[test]
fn hold_small_beside_large_ones() {
    run(|| {
        let budget = budget();
        let large: Vec<Message> = (0..3).map(|_| holding(&budget, LIMIT / 4)).collect();
        let small: Vec<Message> = (0..16).map(|_| holding(&budget, SMALL_MESSAGE_BYTES)).collect();
        assert!(large.iter().all(|message| !message.signal.is_triggered()));
        let mut next = message(&budget);
        assert!(next.reservation.hold(SMALL_MESSAGE_BYTES).now_or_never().is_none());
        let evicted: Vec<bool> =
            large.iter().map(|message| message.signal.is_triggered()).collect();
        assert_eq!(
            evicted,
            [true, false, false],
            "of those that hold the most the oldest gives way"
        );
        drop(large);
        let held = next.reservation.hold(SMALL_MESSAGE_BYTES).now_or_never();
        assert!(held.expect("at once").is_ok());
        drop((small, next));
        assert_eq!(budget.in_use(), 0);
    });
}

/// Guards against a request that is being handled and is cut for another one.
#[test]
fn hold_beside_complete_messages() {
    run(|| {
        let budget = budget();
        let mut handled = holding(&budget, LIMIT * 3 / 4);
        handled.reservation.complete();
        let mut next = message(&budget);
        assert!(next.reservation.hold(LIMIT / 2).now_or_never().is_none());
        assert!(!handled.signal.is_triggered());
    });
}

/// Guards against memory that is lost with a message that stops waiting for it.
#[test]
fn hold_abandoned_after_its_grant() {
    run(|| {
        let budget = budget();
        let first = holding(&budget, LIMIT / 2);
        let mut second = message(&budget);
        {
            let mut waiting = Box::pin(second.reservation.hold(LIMIT / 2));
            assert!((&mut waiting).now_or_never().is_none());
            drop(first);
            assert_eq!(budget.in_use(), LIMIT / 2, "granted");
        }
        assert_eq!(budget.in_use(), 0);
    });
}

/// A step of a history: a message arrives, grows by a number of bytes, is complete, or ends.
#[derive(Clone, Copy, Debug)]
enum Step {
    Begin,
    Grow(usize, usize),
    Complete(usize),
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Begin),
        (any::<usize>(), 1..LIMIT / 4).prop_map(|(index, bytes)| Step::Grow(index, bytes)),
        any::<usize>().prop_map(Step::Complete),
        any::<usize>().prop_map(Step::End),
    ]
}

proptest! {
    /// Guards against messages that together hold more than the limit, and against bytes that are not
    /// given back.
    #[test]
    fn hold_random_histories(steps in proptest::collection::vec(step(), 1..200)) {
        let budget = budget();
        let mut messages: Vec<(Message, usize)> = Vec::new();
        for step in steps {
            let count = messages.len().max(1);
            match step {
                Step::Begin => messages.push((message(&budget), 0)),
                Step::Grow(index, bytes) => {
                    if let Some((message, held)) = messages.get_mut(index % count)
                        && message.reservation.try_hold(*held + bytes).is_ok()
                    {
                        *held += bytes;
                    }
                }
                Step::Complete(index) => {
                    if let Some((message, _)) = messages.get_mut(index % count) {
                        message.reservation.complete();
                    }
                }
                Step::End(index) if !messages.is_empty() => {
                    messages.swap_remove(index % count);
                }
                Step::End(_) => {}
            }
            messages.retain(|(message, _)| !message.signal.is_triggered());
            let held: usize = messages.iter().map(|(_, held)| held).sum();
            prop_assert!(budget.in_use() == held && held <= LIMIT, "{} {held}", budget.in_use());
        }
        messages.clear();
        prop_assert!(budget.in_use() == 0);
    }
}
