//! How long a caller's call waits for an owner, and when it is refused.

use std::time::Duration;

use oriolefork::cell::retry::{AttemptOutcome, RetryDecision, RetryPolicy};
use oriolefork::cell::timings::{ANSWER_MARGIN, NO_OWNER_WAIT};
use oriolefork::clock::Instant;

/// Time for which callers of the sites wait.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

const NOW: Instant = Instant::from_millis(60_000);

fn in_contact() -> RetryPolicy {
    RetryPolicy::new(NOW, CALLER_TIMEOUT, Some(NOW))
}

/// The store is unreachable for four seconds. Callers were held for 0.7 s at each attempt, so that
/// the second attempt left too little time for a third, and no caller was left when the store
/// recovered.
#[test]
fn refused_attempt_ends_the_call() {
    let mut policy = in_contact();
    assert_eq!(policy.after_attempt(AttemptOutcome::Refused, NOW), RetryDecision::NotExecuted);
}

/// An owner dies and its successor claims the cell 0.3 s later: a call waits for that.
#[test]
fn undelivered_attempt_waits_for_a_change_of_owner() {
    let mut policy = in_contact();
    let soon = NOW.after(NO_OWNER_WAIT / 2);
    assert!(matches!(
        policy.after_attempt(AttemptOutcome::NotDelivered, soon),
        RetryDecision::Attempt(_)
    ));
    assert_eq!(
        policy.after_attempt(AttemptOutcome::NotDelivered, NOW.after(NO_OWNER_WAIT)),
        RetryDecision::NotExecuted
    );
}

/// A failure domain is cut off from the owner. Its instances held each call as if an owner could
/// appear, so that callers had one more attempt instead of three when the platform sent them
/// elsewhere.
#[test]
fn call_without_owner_contact_fails_at_once() {
    let policy = RetryPolicy::new(NOW, CALLER_TIMEOUT, Some(NOW.before(NO_OWNER_WAIT)));
    assert_eq!(policy.next(NOW), RetryDecision::NotExecuted);
}

/// A process that has just started has not heard of an owner yet.
#[test]
fn call_before_the_first_contact_is_attempted() {
    assert!(matches!(
        RetryPolicy::new(NOW, CALLER_TIMEOUT, None).next(NOW),
        RetryDecision::Attempt(_)
    ));
}

/// A call is sent on a connection that a network cut has broken. It was held until its caller timed
/// out, although the caller's own retry elsewhere would have settled it.
#[test]
fn unknown_outcome_is_reported_when_the_wait_ends() {
    let mut policy = in_contact();
    assert!(matches!(
        policy.after_attempt(AttemptOutcome::Unknown, NOW),
        RetryDecision::Attempt(_)
    ));
    let end = NOW.after(NO_OWNER_WAIT);
    assert_eq!(policy.after_attempt(AttemptOutcome::NotDelivered, end), RetryDecision::Unknown);
}

/// Once an attempt may have been executed, no later attempt can show that the call was not.
#[test]
fn refused_after_unknown_stays_unknown() {
    let mut policy = in_contact();
    policy.after_attempt(AttemptOutcome::Unknown, NOW);
    assert_eq!(policy.after_attempt(AttemptOutcome::Refused, NOW), RetryDecision::Unknown);
}

#[test]
fn attempt_ends_before_the_caller_times_out() {
    let timeout = Duration::from_millis(400);
    let policy = RetryPolicy::new(NOW, timeout, Some(NOW));
    assert_eq!(policy.next(NOW), RetryDecision::Attempt(timeout - ANSWER_MARGIN));
    assert_eq!(policy.next(NOW.after(timeout - ANSWER_MARGIN)), RetryDecision::NotExecuted);
}
