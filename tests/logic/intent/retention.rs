//! Keys whose records the log, or an instance's memory, no longer holds.

use std::time::Duration;

use oriolefork::clock::Unix;
use oriolefork::intent::{Policy, Refusal, Request};
use test_case::test_case;

use super::world::{End, World, is_done, is_won, refusal};
use super::{append, pair};

#[test]
fn submit_dropped_record() {
    // The renewal ran long ago and the log has dropped its record. A retry with the old key comes
    // to an instance that was replaced since and cannot know. It must not run again, while a key
    // made after the lost records still runs.
    let mut world = pair();
    let request = world.request("renew-7");
    world.ask(0, &request);
    world.begin_try(0);
    world.finish_try(0);
    world.calm();
    for other in 0..20 {
        world.advance(60_000);
        let later = world.request(&format!("later-{other}"));
        world.ask(1, &later);
    }
    world.cut(1);
    world.restart(0);
    assert_eq!(refusal(&world.ask(0, &request)), Refusal::Expired);
    assert!(is_done(&world.ask(1, &request)));
    world.advance(5000);
    let fresh = world.request("fresh");
    assert!(is_won(&world.ask(0, &fresh)));
}

#[test]
fn submit_dropped_meanwhile() {
    // An instance has read the log, then is slow. Meanwhile the renewal runs elsewhere and the log
    // drops its record. The slow instance appends its intent for the same key and finds it in the
    // log with a gap before it: the key may have run in the gap, so it must not run.
    let mut world = pair();
    let request = world.request("renew-7");
    world.ask(1, &request);
    world.begin_try(1);
    let request_id = append(&mut world, 0, &request, End::Whole);
    world.cut(1);
    world.calm();
    assert_eq!(refusal(&world.decisions[&request_id]), Refusal::Expired);
}

#[test]
fn submit_log_restored() {
    // The log loses records, as after a restore from an old copy. An instance that had read further
    // than the log now reaches notices it, and refuses the keys whose records it may have missed.
    let mut world = pair();
    for number in 0..40 {
        let other = world.request(&format!("other-{number}"));
        world.ask(1, &other);
    }
    let request = world.request("renew-7");
    world.ask(0, &request);
    world.begin_try(0);
    for stream in &mut world.streams {
        stream.records.clear();
    }
    assert_eq!(refusal(&world.ask(1, &request)), Refusal::Expired);
    world.advance(5000);
    let fresh = neighbour(&world, &request);
    assert!(is_won(&world.ask(1, &fresh)));
}

/// A request whose key shares the partition of another.
fn neighbour(world: &World, other: &Request) -> Request {
    let mut requests = (0..).map(|number| world.request(&format!("fresh-{number}")));
    let partition = other.key.partition();
    requests.find(|request| request.key.partition() == partition).expect("endless")
}

#[test]
fn submit_all_dropped() {
    // A quiet week: the log has dropped everything, and nothing in it tells how old the dropped
    // records were. Unless the settings say how long the log keeps records, only keys made after
    // the first look are safe.
    for (retention, safe) in [(Duration::ZERO, false), (Duration::from_secs(3600), true)] {
        let mut world = World::new(1, Policy { retention, ..Policy::default() });
        let request = world.request("renew-7");
        world.ask(0, &request);
        world.advance(7 * 24 * 3_600_000);
        world.cut(0);
        world.restart(0);
        let waiting = world.request("renew-8");
        // Both keys share the first one's partition only by chance, so look at all of them.
        let decisions: Vec<_> = (0..16).map(|n| world.request(&format!("n-{n}"))).collect();
        let won = decisions.iter().filter(|request| is_won(&world.ask(0, request))).count();
        assert_eq!(won == decisions.len(), safe);
        world.advance(5000);
        let fresh = Request { created: world.unix(), ..waiting };
        assert!(is_won(&world.ask(0, &fresh)));
        let old = world.ask(0, &request);
        assert_eq!(refusal(&old), Refusal::Expired);
    }
}

#[test_case(-25 * 3600, Refusal::Expired ; "older_than_window")]
#[test_case(60, Refusal::CreatedInFuture ; "from_the_future")]
fn submit_creation_time(seconds: i64, expected: Refusal) {
    let mut world = pair();
    let created = world.unix().as_millis().saturating_add_signed(seconds * 1000);
    let request = Request { created: Unix::from_millis(created), ..world.request("renew-7") };
    assert_eq!(refusal(&world.ask(0, &request)), expected);
}

#[test]
fn submit_unreadable_record() {
    // A truncated record lies in the stream. It may be any key's intent, so keys made before it
    // was met are refused and none of them runs twice; later keys run.
    let mut world = pair();
    let request = world.request("renew-7");
    world.ask(0, &request);
    world.begin_try(0);
    let stream = &mut world.streams[usize::from(request.key.partition())];
    let last = stream.records.pop().expect("the intent");
    stream.records.push(last.slice(..last.len() / 2));
    world.restart(1);
    assert_eq!(refusal(&world.ask(1, &request)), Refusal::Expired);
    world.advance(5000);
    let fresh = Request { created: world.unix(), ..world.request("renew-8") };
    assert!(is_won(&world.ask(1, &fresh)));
}

#[test]
fn submit_memory_short() {
    // More keys than memory holds. The oldest are forgotten, and a retry of such a key is refused
    // instead of run again.
    let policy = Policy { max_partition_bytes: 4000, ..Policy::default() };
    let mut world = World::new(1, policy);
    let request = world.request("renew-7");
    world.ask(0, &request);
    world.begin_try(0);
    for other in 0..100 {
        world.advance(1000);
        let later = world.request(&format!("later-{other}"));
        world.ask(0, &later);
    }
    assert!(world.machine(0).partitions().all(|partition| partition.bytes() <= 4000));
    assert_eq!(refusal(&world.ask(0, &request)), Refusal::Expired);
}
