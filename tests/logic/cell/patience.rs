//! How long a caller's call is held, and when it is refused.

use std::time::Duration;

use oriolefork::cell::retry::{AttemptOutcome, RetryDecision, RetryPolicy};
use oriolefork::cell::timings::{ANSWER_MARGIN, NO_OWNER_WAIT};
use oriolefork::clock::Instant;

/// What callers of the sites wait.
const SPAN: Duration = Duration::from_secs(3);

const NOW: Instant = Instant::from_millis(60_000);

fn in_contact() -> RetryPolicy {
    RetryPolicy::new(NOW, SPAN, Some(NOW))
}

/// The store is away for four seconds. Callers were held for 0.7 s at each try, so that the second
/// try ended with too little time left for a third, and the store's return found nobody there.
#[test]
fn after_refused_gives_up_at_once() {
    let mut patience = in_contact();
    assert_eq!(patience.after_attempt(AttemptOutcome::Refused, NOW), RetryDecision::NotExecuted);
}

/// An owner dies and its successor claims the cell 0.3 s later: a call waits for that.
#[test]
fn after_untaken_waits_for_a_change_of_owner() {
    let mut patience = in_contact();
    let soon = NOW.after(NO_OWNER_WAIT / 2);
    assert!(matches!(
        patience.after_attempt(AttemptOutcome::NotDelivered, soon),
        RetryDecision::Attempt(_)
    ));
    assert_eq!(
        patience.after_attempt(AttemptOutcome::NotDelivered, NOW.after(NO_OWNER_WAIT)),
        RetryDecision::NotExecuted
    );
}

/// A failure domain is cut off from the owner. Its instances held each call as if an owner might
/// come; their callers had one try more, instead of three, when the platform sent them elsewhere.
#[test]
fn next_without_contact_gives_up_at_once() {
    let patience = RetryPolicy::new(NOW, SPAN, Some(NOW.before(NO_OWNER_WAIT)));
    assert_eq!(patience.next(NOW), RetryDecision::NotExecuted);
}

/// A process has just begun and knows of no owner yet.
#[test]
fn next_before_the_first_contact_tries() {
    assert!(matches!(RetryPolicy::new(NOW, SPAN, None).next(NOW), RetryDecision::Attempt(_)));
}

/// A call goes out on a connection that a cut has killed. It was held until its caller's time was up,
/// though the caller's own repeat elsewhere would have settled it.
#[test]
fn after_doubtful_says_unknown_when_the_hold_ends() {
    let mut patience = in_contact();
    assert!(matches!(
        patience.after_attempt(AttemptOutcome::Unknown, NOW),
        RetryDecision::Attempt(_)
    ));
    let end = NOW.after(NO_OWNER_WAIT);
    assert_eq!(patience.after_attempt(AttemptOutcome::NotDelivered, end), RetryDecision::Unknown);
}

/// Once a try may have been carried out, no later one makes *not done* true again.
#[test]
fn after_refused_stays_unknown_once_doubtful() {
    let mut patience = in_contact();
    patience.after_attempt(AttemptOutcome::Unknown, NOW);
    assert_eq!(patience.after_attempt(AttemptOutcome::Refused, NOW), RetryDecision::Unknown);
}

#[test]
fn next_never_outlasts_the_caller() {
    let span = Duration::from_millis(400);
    let patience = RetryPolicy::new(NOW, span, Some(NOW));
    assert_eq!(patience.next(NOW), RetryDecision::Attempt(span - ANSWER_MARGIN));
    assert_eq!(patience.next(NOW.after(span - ANSWER_MARGIN)), RetryDecision::NotExecuted);
}
