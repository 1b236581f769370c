//! Non-idempotent work at most once: stories of failures, then drawn histories.

mod history;
mod world;

use std::time::Duration;

use oriolefork::intent::{
    Attempt, Batch, Entry, Input, Intent, Outcome, PARTITIONS, Policy, Reason, Request, Ruling,
    Scope, decode, encode,
};
use test_case::test_case;
use world::{End, World, is_done, is_unknown, is_won, reason};

fn pair() -> World {
    let mut world = World::new(2, Policy::default());
    for number in 0..2 {
        world.input(number, Input::Warm);
    }
    world.calm();
    world
}

/// Submits at an instance and lets its intent's append end as `end`.
fn append(world: &mut World, number: usize, request: &Request, end: End) -> u64 {
    let ticket = world.submit(number, request);
    world.advance(5);
    assert_eq!(world.instances[number].calls(), 1);
    world.deliver(number, end);
    ticket
}

#[test]
fn submit_race() {
    // The portal's client times out and sends the renewal again through another hall while the
    // first is still on its way. Both intents reach the log. Only the first in log order may run.
    let mut world = pair();
    let request = world.request("renew-7");
    let first = world.submit(0, &request);
    let second = world.submit(1, &request);
    world.calm();
    let won = [first, second].map(|ticket| is_won(&world.rulings[&ticket]));
    assert_eq!(won.iter().filter(|won| **won).count(), 1);
    let lost = if won[0] { second } else { first };
    assert!(is_unknown(&world.rulings[&lost]));
}

#[test]
fn submit_answer_lost() {
    // The log writes the intent, and its answer is lost. The renewal must still run: the instance
    // finds its own record by reading back, and it is the first.
    let mut world = pair();
    let request = world.request("renew-7");
    let ticket = append(&mut world, 0, &request, End::AnswerLost);
    world.calm();
    assert!(is_won(&world.rulings[&ticket]));
}

#[test]
fn submit_late_write() {
    // The log's answer is lost while the write is still on its way. The instance reads, finds
    // nothing, and answers "not run". Then the write lands. The renewal must not run from it, and
    // a retry, here through another hall, must be able to run.
    let mut world = pair();
    let request = world.request("renew-7");
    let ticket = append(&mut world, 0, &request, End::Late);
    world.calm();
    assert_eq!(reason(&world.rulings[&ticket]), Reason::Unsettled);
    world.land();
    assert!(is_won(&world.ask(1, &request)));
    world.begin_try(1);
    assert!(is_unknown(&world.ask(0, &request)));
}

#[test]
fn submit_late_write_first() {
    // As before, but the late write lands before the withdrawal does. A retry in between is told
    // "unknown", which is all that hall can know; once the withdrawal lands, a retry runs.
    let mut world = pair();
    let request = world.request("renew-7");
    let ticket = append(&mut world, 0, &request, End::Late);
    for _ in 0..200 {
        world.advance(10);
        if world.rulings.contains_key(&ticket) {
            break;
        }
        world.deliver(0, End::Whole);
    }
    assert_eq!(reason(&world.rulings[&ticket]), Reason::Unsettled);
    world.land();
    let between = world.submit(1, &request);
    for _ in 0..20 {
        world.deliver(1, End::Whole);
        world.advance(1);
    }
    assert!(is_unknown(&world.rulings[&between]));
    world.calm();
    assert!(is_won(&world.ask(1, &request)));
}

#[test]
fn submit_withdrawal_lost() {
    // The write is late, the instance answers "not run" and dies before its withdrawal is written;
    // then the write lands. No one can tell that the renewal has not run: a retry is told
    // "unknown" and nothing ever runs.
    let mut world = pair();
    let request = world.request("renew-7");
    let ticket = append(&mut world, 0, &request, End::Late);
    while !world.rulings.contains_key(&ticket) {
        world.advance(50);
        world.deliver(0, End::Vanished);
    }
    world.restart(0);
    world.land();
    assert!(is_unknown(&world.ask(1, &request)));
    assert!(is_unknown(&world.ask(0, &request)));
}

#[test]
fn submit_crash_before_try() {
    // The instance wins the key and dies before the request leaves it. The record alone cannot
    // tell this from a death just after: a retry is told "unknown" and is never tried.
    let mut world = pair();
    let request = world.request("renew-7");
    assert!(is_won(&world.ask(0, &request)));
    world.restart(0);
    assert!(is_unknown(&world.ask(1, &request)));
    assert!(is_unknown(&world.ask(0, &request)));
}

#[test]
fn submit_crash_before_outcome() {
    // The renewal runs, and the instance dies before its outcome is recorded. A retry is told
    // "unknown"; the padlock is renewed once.
    let mut world = pair();
    let request = world.request("renew-7");
    world.ask(0, &request);
    world.begin_try(0);
    world.restart(0);
    assert!(is_unknown(&world.ask(1, &request)));
    assert_eq!(world.tried[&request.key].len(), 1);
}

#[test]
fn submit_outcome_told() {
    // The answer to the caller is lost after the renewal ran. The retry, through another hall, is
    // told the recorded outcome.
    let mut world = pair();
    let request = world.request("renew-7");
    world.ask(0, &request);
    world.begin_try(0);
    assert!(is_unknown(&world.ask(1, &request)));
    world.finish_try(0);
    world.calm();
    assert!(is_done(&world.ask(1, &request)));
    assert!(is_done(&world.ask(0, &request)));
}

#[test]
fn submit_outage() {
    // The log is down. A renewal is refused as "not run" before anything is sent, and soon at once
    // instead of after a wait. When the log is back, the retry runs.
    let mut world = pair();
    let request = world.request("renew-7");
    let mut last = 0;
    for _ in 0..5 {
        last = append_or_refuse(&mut world, &request);
    }
    assert_eq!(reason(&world.rulings[&last]), Reason::NoLog);
    let before = world.now;
    let at_once = world.submit(0, &request);
    assert_eq!(reason(&world.rulings[&at_once]), Reason::NoLog);
    assert_eq!(world.now, before);
    world.calm();
    world.advance(2000);
    world.calm();
    assert!(is_won(&world.ask(0, &request)));
}

fn append_or_refuse(world: &mut World, request: &Request) -> u64 {
    let ticket = world.submit(0, request);
    while !world.rulings.contains_key(&ticket) {
        world.advance(20);
        world.deliver(0, End::Refused);
    }
    ticket
}

#[test]
fn submit_crossed_append_answer() {
    // The log's answer to another call reaches the instance, which then believes its intent is
    // written though it is not. The record itself decides, not the answer: nothing runs.
    let mut world = pair();
    let request = world.request("renew-7");
    let ticket = append(&mut world, 0, &request, End::Crossed);
    world.calm();
    assert_eq!(reason(&world.rulings[&ticket]), Reason::Unsettled);
    assert!(is_won(&world.ask(1, &request)));
}

#[test]
fn submit_permit_returned() {
    // No runner can be reached, so the winner gives the key back without a byte sent. "Not run" is
    // true, and a retry elsewhere runs.
    let mut world = pair();
    let request = world.request("renew-7");
    world.ask(0, &request);
    world.withdraw(0);
    world.calm();
    assert!(is_won(&world.ask(1, &request)));
}

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
    assert_eq!(reason(&world.ask(0, &request)), Reason::Expired);
    assert!(is_done(&world.ask(1, &request)));
    world.advance(5000);
    let fresh = world.request("fresh");
    assert!(is_won(&world.ask(0, &fresh)));
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
        let rulings: Vec<_> = (0..16).map(|n| world.request(&format!("n-{n}"))).collect();
        let won = rulings.iter().filter(|request| is_won(&world.ask(0, request))).count();
        assert_eq!(won == rulings.len(), safe);
        world.advance(5000);
        let fresh = Request { created: world.unix(), ..waiting };
        assert!(is_won(&world.ask(0, &fresh)));
        let old = world.ask(0, &request);
        assert_eq!(reason(&old), Reason::Expired);
    }
}

#[test_case(-25 * 3600, Reason::Expired ; "older_than_window")]
#[test_case(60, Reason::Ahead ; "from_the_future")]
fn submit_creation_time(seconds: i64, expected: Reason) {
    let mut world = pair();
    let created = world.unix().as_millis().saturating_add_signed(seconds * 1000);
    let request = Request {
        created: oriolefork::clock::Unix::from_millis(created),
        ..world.request("renew-7")
    };
    assert_eq!(reason(&world.ask(0, &request)), expected);
}

#[test]
fn submit_other_work() {
    // A caller uses one key for two different syncs. The second is refused rather than told the
    // first one's outcome.
    let mut world = pair();
    let request = world.request("sync-1");
    world.ask(0, &request);
    let other = Request { fingerprint: request.fingerprint + 1, ..request };
    assert_eq!(reason(&world.ask(1, &other)), Reason::Reused);
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
    assert_eq!(reason(&world.ask(1, &request)), Reason::Expired);
    world.advance(5000);
    let fresh = Request { created: world.unix(), ..world.request("renew-8") };
    assert!(is_won(&world.ask(1, &fresh)));
}

#[test]
fn submit_memory_short() {
    // More keys than memory holds. The oldest are forgotten, and a retry of such a key is refused
    // instead of run again.
    let policy = Policy { partition_bytes: 4000, ..Policy::default() };
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
    assert_eq!(reason(&world.ask(0, &request)), Reason::Expired);
}

#[test]
fn submit_shared_append() {
    // Renewals that arrive while an append is under way share the next one.
    let mut world = pair();
    let before = world.machine(0).stats();
    let requests: Vec<_> = (0..200).map(|n| world.request(&format!("renew-{n}"))).collect();
    let tickets: Vec<_> = requests.iter().map(|request| world.submit(0, request)).collect();
    world.calm();
    assert!(tickets.iter().all(|ticket| is_won(&world.rulings[ticket])));
    let appends = world.machine(0).stats().appends - before.appends;
    assert!(appends <= 2 * u64::from(PARTITIONS), "{appends} appends for 200 intents");
}

#[test]
fn place_job_two_domains() {
    // A client submits a backup through one hall, times out and submits it through another with
    // the same key. Both submissions must name one failure domain, or two owners run it.
    let mut world = pair();
    let first = world.submit(0, &world.job("backup", "kurow-hall"));
    let second = world.submit(1, &world.job("backup", "oamaru-hall"));
    world.calm();
    let domains: Vec<_> = [first, second].iter().map(|t| domain_of(&world, *t)).collect();
    assert_eq!(domains[0], domains[1]);
}

#[test]
fn place_job_late_write() {
    // The first submission's write is late and it is told "not run". Whichever intent is first in
    // the log fixes the domain for all later ones; a job's intent is never withdrawn, since another
    // hall may already have handed the job over by it.
    let mut world = pair();
    let job = world.job("backup", "kurow-hall");
    let ticket = append(&mut world, 0, &job, End::Late);
    world.calm();
    assert_eq!(reason(&world.rulings[&ticket]), Reason::Unsettled);
    world.land();
    let retry = world.submit(1, &world.job("backup", "oamaru-hall"));
    world.calm();
    assert_eq!(domain_of(&world, retry), "kurow-hall");
    let again = world.submit(0, &world.job("backup", "palmerston-hall"));
    world.calm();
    assert_eq!(domain_of(&world, again), "kurow-hall");
}

/// The domain that the log fixes for the job of `ticket`.
fn domain_of(world: &World, ticket: u64) -> String {
    match &world.rulings[&ticket] {
        Ruling::Won(attempt) => intent_domain(world, *attempt),
        Ruling::Duplicate(state) => state.domain.as_ref().expect("a job").to_string(),
        Ruling::NotRun(refusal) => panic!("{refusal}"),
    }
}

fn intent_domain(world: &World, attempt: Attempt) -> String {
    let records = world.streams.iter().flat_map(|stream| &stream.records);
    let entries = records.flat_map(|record| decode(record).expect("a batch").entries);
    let mut domains = entries.filter_map(|entry| match entry {
        Entry::Intent(intent) if intent.attempt == attempt => intent.domain,
        _ => None,
    });
    domains.next().expect("the intent is in the log").to_string()
}

#[test]
fn refusal_scope() {
    // "Not run" speaks for the key only when the log was read; else an earlier request may have
    // run, and the answer says so.
    let mut world = pair();
    let request = world.request("renew-7");
    let looked = append(&mut world, 0, &request, End::Vanished);
    world.calm();
    let unread = append_or_refuse(&mut world, &request);
    let scope = |ticket| match &world.rulings[&ticket] {
        Ruling::NotRun(refusal) => refusal.scope,
        other => panic!("{other:?}"),
    };
    assert_eq!((scope(looked), scope(unread)), (Scope::Key, Scope::Request));
}

#[test]
fn decode_truncated() {
    // A record cut anywhere, or with bytes added, is an error, never a shorter batch.
    let world = World::new(1, Policy::default());
    let request = world.request("renew-7");
    let attempt = Attempt { run: 7, serial: 1 };
    let intent = Intent {
        attempt,
        key: request.key.clone(),
        created: request.created,
        fingerprint: 9,
        domain: None,
    };
    let outcome = Entry::Outcome {
        attempt,
        key: request.key,
        created: request.created,
        outcome: Outcome::Lost,
    };
    let batch = Batch {
        partition: 1,
        writer: "erie-1".to_owned(),
        id: attempt,
        seen: 3,
        horizon: request.created,
        entries: vec![Entry::Intent(intent), outcome],
    };
    let payload = encode(&batch);
    assert_eq!(decode(&payload), Ok(batch));
    for length in 0..payload.len() {
        assert!(decode(&payload[..length]).is_err(), "cut to {length} bytes");
    }
    assert!(decode(&[&payload[..], b"x"].concat()).is_err());
}
