//! Waiting for, cancelling and returning permits.

use std::pin::pin;

use futures_util::FutureExt;
use futures_util::task::noop_waker_ref;
use oriolefork::permit::Semaphore;
use proptest::prelude::{any, proptest};
use proptest::{prop_assert, prop_assert_eq};

#[test]
fn acquire_waits_in_order() {
    let semaphore = Semaphore::new(1);
    let held = semaphore.try_acquire().unwrap();
    let mut context = std::task::Context::from_waker(noop_waker_ref());
    let (mut first, mut second) = (pin!(semaphore.acquire()), pin!(semaphore.acquire()));
    assert!(first.poll_unpin(&mut context).is_pending());
    assert!(second.poll_unpin(&mut context).is_pending());
    drop(held);
    assert!(second.poll_unpin(&mut context).is_pending());
    assert!(semaphore.try_acquire().is_none());
    assert!(first.poll_unpin(&mut context).is_ready());
    assert!(second.poll_unpin(&mut context).is_ready());
}

// A caller is cancelled after it was granted a permit and before it polled again. This must not
// panic, and the permit must go to the next waiter.
#[test]
fn acquire_dropped_after_grant() {
    let semaphore = Semaphore::new(1);
    let held = semaphore.try_acquire().unwrap();
    let mut context = std::task::Context::from_waker(noop_waker_ref());
    let mut next = pin!(semaphore.acquire());
    {
        let mut cancelled = pin!(semaphore.acquire());
        assert!(cancelled.poll_unpin(&mut context).is_pending());
        assert!(next.poll_unpin(&mut context).is_pending());
        drop(held);
    }
    assert!(next.poll_unpin(&mut context).is_ready());
}

#[test]
fn wait_until_unused_waits_for_each() {
    let semaphore = Semaphore::new(2);
    let held = semaphore.try_acquire().unwrap();
    assert!(semaphore.wait_until_unused().now_or_never().is_none());
    assert!(semaphore.is_in_use());
    drop(held);
    assert!(semaphore.wait_until_unused().now_or_never().is_some());
    assert!(!semaphore.is_in_use());
}

proptest! {
    // For random sequences of taking, waiting, cancelling and returning, no more permits are in use
    // than the semaphore has, and none is lost.
    #[test]
    fn semaphore_conserves_permits(size in 1..4_usize, steps in proptest::collection::vec(any::<u8>(), 1..80)) {
        let semaphore = Semaphore::new(size);
        let mut context = std::task::Context::from_waker(noop_waker_ref());
        let mut held = Vec::new();
        let mut waiting = Vec::new();
        for step in steps {
            let at = usize::from(step / 4);
            match step % 4 {
                0 => held.extend(semaphore.try_acquire()),
                1 => waiting.push(Box::pin(semaphore.acquire())),
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
        prop_assert!(!semaphore.is_in_use());
        let all: Vec<_> = std::iter::from_fn(|| semaphore.try_acquire()).collect();
        prop_assert_eq!(all.len(), size);
    }
}
