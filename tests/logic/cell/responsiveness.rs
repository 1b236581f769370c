//! Timeouts of calls to workers that leave some of them unanswered.

use std::time::Duration;

use oriolefork::cell::dependencies::WorkerError;
use oriolefork::cell::machine::{Effect, Message};
use oriolefork::cell::timings::{POLL_TIMEOUT, POLL_WAIT};
use oriolefork::clock::Instant;

use super::harness::OwnerHarness;

/// Timeout of a poll to a worker that answers all its calls.
const USUAL: Duration = POLL_WAIT.saturating_add(POLL_TIMEOUT);

/// Time after the last unanswered call after which the timeouts are the usual ones again.
const PERIOD_MS: u64 = 10_000;

fn next_timeout(harness: &mut OwnerHarness) -> Duration {
    harness.effects.clear();
    harness.advance(400);
    let timeout = |effect: &Effect| match effect {
        Effect::Poll { timeout, .. } => Some(*timeout),
        _ => None,
    };
    harness.effects.iter().find_map(timeout).expect("a poll")
}

fn lose_poll(harness: &mut OwnerHarness) {
    let sent = Instant::from_millis(harness.now);
    let outcome = Err(WorkerError::Unknown("timeout".to_owned()));
    harness.deliver(Message::Polled { worker: "w0".into(), sent, outcome });
}

/// A worker leaves some calls unanswered. Its next polls have short timeouts, so that ends on it
/// are heard soon, until it has answered all calls for a while.
#[test]
fn lost_poll_shortens_the_next_ones() {
    let mut harness = OwnerHarness::new(1);
    harness.report(0, &[], &[]);
    assert_eq!(next_timeout(&mut harness), USUAL);
    lose_poll(&mut harness);
    assert!(next_timeout(&mut harness) < USUAL / 4);
    harness.report(0, &[], &[]);
    assert!(next_timeout(&mut harness) < USUAL / 4, "also after an answer");
    for _ in 0..PERIOD_MS / 400 {
        harness.report(0, &[], &[]);
        next_timeout(&mut harness);
    }
    harness.report(0, &[], &[]);
    assert_eq!(next_timeout(&mut harness), USUAL);
}

/// A worker that is cut off answers nothing. Calls in quick succession would only use up its
/// connections.
#[test]
fn silent_worker_is_polled_at_the_usual_pace() {
    let mut harness = OwnerHarness::new(1);
    harness.report(0, &[], &[]);
    next_timeout(&mut harness);
    let timeouts: Vec<Duration> = (0..5)
        .map(|_| {
            lose_poll(&mut harness);
            next_timeout(&mut harness)
        })
        .collect();
    assert!(timeouts[1] < POLL_TIMEOUT, "{timeouts:?}");
    assert_eq!(timeouts[3..], [POLL_TIMEOUT, POLL_TIMEOUT]);
}
