//! Waiting for, cancelling and returning permits.

use std::pin::pin;

use futures_util::FutureExt;
use futures_util::task::noop_waker_ref;
use oriolefork::permit::Pool;
use proptest::prelude::{any, proptest};
use proptest::{prop_assert, prop_assert_eq};

#[test]
fn take_waits_in_order() {
    let pool = Pool::new(1);
    let held = pool.try_take().unwrap();
    let mut context = std::task::Context::from_waker(noop_waker_ref());
    let (mut first, mut second) = (pin!(pool.take()), pin!(pool.take()));
    assert!(first.poll_unpin(&mut context).is_pending());
    assert!(second.poll_unpin(&mut context).is_pending());
    drop(held);
    assert!(second.poll_unpin(&mut context).is_pending());
    assert!(pool.try_take().is_none());
    assert!(first.poll_unpin(&mut context).is_ready());
    assert!(second.poll_unpin(&mut context).is_ready());
}

// A caller is cancelled after it was granted a permit and before it polled again. This must not
// panic, and the permit must go to the next waiter.
#[test]
fn take_dropped_after_grant() {
    let pool = Pool::new(1);
    let held = pool.try_take().unwrap();
    let mut context = std::task::Context::from_waker(noop_waker_ref());
    let mut next = pin!(pool.take());
    {
        let mut cancelled = pin!(pool.take());
        assert!(cancelled.poll_unpin(&mut context).is_pending());
        assert!(next.poll_unpin(&mut context).is_pending());
        drop(held);
    }
    assert!(next.poll_unpin(&mut context).is_ready());
}

#[test]
fn all_waits_for_each() {
    let pool = Pool::new(2);
    let held = pool.try_take().unwrap();
    assert!(pool.all().now_or_never().is_none());
    assert!(pool.is_used());
    drop(held);
    assert!(pool.all().now_or_never().is_some());
    assert!(!pool.is_used());
}

proptest! {
    // For random sequences of taking, waiting, cancelling and returning, no more permits are in use
    // than the pool has, and none is lost.
    #[test]
    fn pool_conserves(size in 1..4_usize, steps in proptest::collection::vec(any::<u8>(), 1..80)) {
        let pool = Pool::new(size);
        let mut context = std::task::Context::from_waker(noop_waker_ref());
        let mut held = Vec::new();
        let mut waiting = Vec::new();
        for step in steps {
            let at = usize::from(step / 4);
            match step % 4 {
                0 => held.extend(pool.try_take()),
                1 => waiting.push(Box::pin(pool.take())),
                2 if !held.is_empty() => drop(held.swap_remove(at % held.len())),
                3 if !waiting.is_empty() => drop(waiting.swap_remove(at % waiting.len())),
                _ => {}
            }
            if step % 3 == 0 {
                waiting.retain_mut(|wait| match wait.poll_unpin(&mut context) {
                    std::task::Poll::Ready(permit) => {
                        held.push(permit);
                        false
                    }
                    std::task::Poll::Pending => true,
                });
            }
            prop_assert!(held.len() <= size);
        }
        drop(waiting);
        held.clear();
        prop_assert!(!pool.is_used());
        let all: Vec<_> = std::iter::from_fn(|| pool.try_take()).collect();
        prop_assert_eq!(all.len(), size);
    }
}
