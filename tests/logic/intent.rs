//! Non-idempotent work at most once: stories of failures, then drawn histories.

mod history;
mod jobs;
mod partition;
mod retention;
mod world;

use oriolefork::intent::{
    AttemptId, Batch, Entry, ExecutionOutcome, Input, Intent, PARTITIONS, Policy, Refusal, Request,
    decode, encode,
};
use world::{End, World, is_done, is_unknown, is_won, refusal};

fn pair() -> World {
    let mut world = World::new(2, Policy::default());
    for number in 0..2 {
        world.input(number, Input::Preload);
    }
    world.calm();
    world
}

/// Submits at an instance and lets its intent's append end as `end`.
fn append(world: &mut World, number: usize, request: &Request, end: End) -> u64 {
    let request_id = world.submit(number, request);
    world.advance(5);
    assert_eq!(world.instances[number].calls(), 1);
    world.deliver(number, end);
    request_id
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
    let won = [first, second].map(|request_id| is_won(&world.decisions[&request_id]));
    assert_eq!(won.iter().filter(|won| **won).count(), 1);
    let lost = if won[0] { second } else { first };
    assert!(is_unknown(&world.decisions[&lost]));
}

#[test]
fn submit_answer_lost() {
    // The log writes the intent, and its answer is lost. The renewal must still run: the instance
    // finds its own record by reading back, and it is the first.
    let mut world = pair();
    let request = world.request("renew-7");
    let request_id = append(&mut world, 0, &request, End::AnswerLost);
    world.calm();
    assert!(is_won(&world.decisions[&request_id]));
}

#[test]
fn submit_late_write() {
    // The log's answer is lost while the write is still on its way. The instance reads, finds
    // nothing, and answers "not run". Then the write lands. The renewal must not run from it, and
    // a retry, here through another hall, must be able to run.
    let mut world = pair();
    let request = world.request("renew-7");
    let request_id = append(&mut world, 0, &request, End::Late);
    world.calm();
    assert_eq!(refusal(&world.decisions[&request_id]), Refusal::Unconfirmed);
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
    let request_id = append(&mut world, 0, &request, End::Late);
    for _ in 0..200 {
        world.advance(10);
        if world.decisions.contains_key(&request_id) {
            break;
        }
        world.deliver(0, End::Whole);
    }
    assert_eq!(refusal(&world.decisions[&request_id]), Refusal::Unconfirmed);
    world.land();
    let between = world.submit(1, &request);
    for _ in 0..20 {
        world.deliver(1, End::Whole);
        world.advance(1);
    }
    assert!(is_unknown(&world.decisions[&between]));
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
    let request_id = append(&mut world, 0, &request, End::Late);
    while !world.decisions.contains_key(&request_id) {
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
    assert_eq!(refusal(&world.decisions[&last]), Refusal::LogUnavailable);
    let before = world.now;
    let at_once = world.submit(0, &request);
    assert_eq!(refusal(&world.decisions[&at_once]), Refusal::LogUnavailable);
    assert_eq!(world.now, before);
    world.calm();
    world.advance(2000);
    world.calm();
    assert!(is_won(&world.ask(0, &request)));
}

fn append_or_refuse(world: &mut World, request: &Request) -> u64 {
    let request_id = world.submit(0, request);
    while !world.decisions.contains_key(&request_id) {
        world.advance(20);
        world.deliver(0, End::Refused);
    }
    request_id
}

#[test]
fn submit_crossed_append_answer() {
    // The log's answer to another call reaches the instance, which then believes its intent is
    // written though it is not. The record itself decides, not the answer: nothing runs.
    let mut world = pair();
    let request = world.request("renew-7");
    let request_id = append(&mut world, 0, &request, End::Crossed);
    world.calm();
    assert_eq!(refusal(&world.decisions[&request_id]), Refusal::Unconfirmed);
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
fn submit_other_work() {
    // A caller uses one key for two different syncs. The second is refused rather than told the
    // first one's outcome.
    let mut world = pair();
    let request = world.request("sync-1");
    world.ask(0, &request);
    let other = Request { fingerprint: request.fingerprint + 1, ..request };
    assert_eq!(refusal(&world.ask(1, &other)), Refusal::KeyReused);
}

#[test]
fn submit_withdrawal_resent() {
    // The winner gives its key back, and the log refuses the record and then loses the answer of a
    // second try. The withdrawal is kept and written later, so the key is not blocked for good.
    let mut world = pair();
    let request = world.request("renew-7");
    world.ask(0, &request);
    world.withdraw(0);
    for end in [End::Refused, End::Vanished] {
        while world.instances[0].calls() == 0 {
            world.advance(50);
        }
        world.deliver(0, end);
    }
    world.calm();
    assert!(is_won(&world.ask(1, &request)));
}

#[test]
fn submit_append_hangs() {
    // The log takes the append and answers only after the caller's timeout is over. The caller was
    // told "not run" by then; the intent that is found afterwards is not run from, and it does not
    // block the retry.
    let mut world = pair();
    let request = world.request("renew-7");
    let request_id = world.submit(0, &request);
    world.advance(5);
    world.advance(world::TIMEOUT.as_millis() as u64);
    assert_eq!(refusal(&world.decisions[&request_id]), Refusal::Unconfirmed);
    world.calm();
    assert!(is_won(&world.ask(1, &request)));
}

#[test]
fn submit_batch_bounded() {
    // A burst of requests, or of withdrawals, does not grow one record of the log beyond its bound.
    let policy = Policy { max_batch_bytes: 1000, ..Policy::default() };
    let mut world = World::new(1, policy);
    for number in 0..100 {
        let request = world.request(&format!("renew-{number}"));
        world.submit(0, &request);
    }
    world.calm();
    (0..100).for_each(|_| world.withdraw(0));
    world.calm();
    let mut records = world.streams.iter().flat_map(|stream| &stream.records);
    assert!(records.all(|record| record.len() <= 1000));
}

#[test]
fn submit_shared_append() {
    // Renewals that arrive while an append is under way share the next one.
    let mut world = pair();
    let before = world.machine(0).stats();
    let requests: Vec<_> = (0..200).map(|n| world.request(&format!("renew-{n}"))).collect();
    let tickets: Vec<_> = requests.iter().map(|request| world.submit(0, request)).collect();
    world.calm();
    assert!(tickets.iter().all(|request_id| is_won(&world.decisions[request_id])));
    let appends = world.machine(0).stats().appends - before.appends;
    assert!(appends <= 2 * u64::from(PARTITIONS), "{appends} appends for 200 intents");
}

#[test]
fn decode_truncated() {
    // A record cut anywhere, or with bytes added, is an error, never a shorter batch.
    let world = World::new(1, Policy::default());
    let request = world.request("renew-7");
    let attempt = AttemptId { run: 7, serial: 1 };
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
        outcome: ExecutionOutcome::ResponseLost,
    };
    let batch = Batch {
        partition: 1,
        writer: "erie-1".to_owned(),
        id: attempt,
        read_until: 3,
        latest_created: request.created,
        entries: vec![Entry::Intent(intent), outcome],
    };
    let payload = encode(&batch);
    assert_eq!(decode(&payload), Ok(batch));
    for length in 0..payload.len() {
        assert!(decode(&payload[..length]).is_err(), "cut to {length} bytes");
    }
    assert!(decode(&[&payload[..], b"x"].concat()).is_err());
}
