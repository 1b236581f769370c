//! How long an owner delays its responses to its followers.

use std::time::Duration;

use oriolefork::cell::timings::{WATCH_HOLD, WATCH_TIMEOUT};
use oriolefork::cell::watch::{Hold, MAX_WATCH_RATE, SUCCESSORS};
use test_case::test_case;

/// Hold, timeout and probe interval change only on sites of more than 300 instances.
#[test_case(1, 200, 700, 100)]
#[test_case(30, 200, 700, 100)]
#[test_case(298, 200, 700, 100)]
#[test_case(300, 200, 700, 100)]
#[test_case(600, 405, 905, 202)]
#[test_case(1_000, 679, 1_179, 339)]
#[test_case(3_000, 2_049, 2_549, 1_024)]
fn hold_grows_with_followers(followers: usize, hold: u128, timeout: u128, keepalive: u128) {
    let last = Hold::new(Some(SUCCESSORS), followers);
    let durations = [last.duration(), last.timeout(), last.keepalive()];
    assert_eq!(durations.map(|duration| duration.as_millis()), [hold, timeout, keepalive]);
}

/// Up to 298 instances send the same messages with the same timeouts as those of earlier versions.
#[test]
fn hold_of_few_followers_is_the_former_one() {
    for followers in 0..=298 {
        let hold = Hold::new(Some(SUCCESSORS), followers).random_part(followers as u64);
        assert_eq!(hold.duration(), WATCH_HOLD);
        assert_eq!(hold.timeout(), WATCH_TIMEOUT);
        assert_eq!(hold.keepalive(), Duration::from_millis(100));
        assert_eq!(hold.extension(), Duration::ZERO);
        assert_eq!(hold.method(), "cell/watch");
    }
}

/// The owner of 1,000 instances answered 5,000 watches a second and had no time left for its work.
/// Its watches have a constant rate.
#[test]
fn hold_limits_the_rate_of_watches() {
    for followers in 1..=7_000_usize {
        let rate = |position| 1.0 / Hold::new(Some(position), followers).duration().as_secs_f64();
        let first = followers.min(SUCCESSORS as usize);
        let others = followers - first;
        let total = first as f64 * rate(0) + others as f64 * rate(SUCCESSORS);
        assert!(total <= f64::from(MAX_WATCH_RATE) + 0.01, "{followers} followers: {total}");
    }
}

/// A lost owner has to be noticed as soon on a large site as on a small one, by those that replace
/// it. An instance without a position may be one of them.
#[test]
fn hold_of_successors_stays_short() {
    for position in (0..SUCCESSORS).map(Some).chain([None]) {
        assert_eq!(Hold::new(position, 1_000), Hold::SHORTEST);
    }
}

/// All instances begin to follow a new owner at once. Their watches would otherwise arrive, and be
/// answered, all together.
#[test]
fn hold_begins_with_a_random_part() {
    let hold = Hold::new(Some(SUCCESSORS), 1_000);
    let parts: Vec<Hold> = (0..1_024).map(|seed| hold.random_part(seed)).collect();
    assert!(parts.iter().all(|part| part.is_extended() && *part <= hold));
    let early = parts.iter().filter(|part| part.extension() < hold.extension() / 2).count();
    assert!((500..=524).contains(&early), "{early} of 1,024 in the first half");
}

/// An earlier version sends no query and times out after 700 ms: it gets the shortest hold, as does
/// a request that states none or a shorter one.
#[test_case("")]
#[test_case("hold_ms=")]
#[test_case("hold_ms=0")]
#[test_case("hold_ms=-1")]
#[test_case("hold_ms=199")]
#[test_case("hold_s=1")]
fn hold_is_the_shortest_unless_stated(query: &str) {
    assert_eq!(Hold::from_query(query), Hold::SHORTEST);
}

/// A malformed request could otherwise occupy the owner without a limit.
#[test]
fn hold_stated_is_limited() {
    let longest = Hold::from_query("hold_ms=18446744073709551615").duration();
    assert_eq!(longest, Duration::from_secs(5));
}

/// Owner and follower agree on the hold by what the follower states.
#[test]
fn hold_is_read_from_its_method() {
    let hold = Hold::new(Some(SUCCESSORS), 1_000);
    let method = hold.method();
    let (name, query) = method.split_once('?').expect("a query");
    assert_eq!(name, "cell/watch");
    assert_eq!(Hold::from_query(query).duration().as_millis(), hold.duration().as_millis());
}
