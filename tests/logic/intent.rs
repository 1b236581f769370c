//! At-most-once execution of non-idempotent work: single failures, then randomized histories.

mod history;
mod jobs;
mod partition;
mod retention;
mod simulation;

use oriolefork::intent::{
    AttemptId, Batch, Entry, ExecutionOutcome, Input, Intent, PARTITIONS, Policy, Refusal, Request,
    decode, encode,
};
use simulation::{CallEnding, Simulation, is_done, is_unknown, is_won, refusal};

fn two_instances() -> Simulation {
    let mut simulation = Simulation::new(2, Policy::default());
    for number in 0..2 {
        simulation.input(number, Input::Preload);
    }
    simulation.run_until_idle();
    simulation
}

/// Submits a request at an instance and ends the append of its intent as `ending`.
fn append(
    simulation: &mut Simulation,
    number: usize,
    request: &Request,
    ending: CallEnding,
) -> u64 {
    let request_id = simulation.submit(number, request);
    simulation.advance(5);
    assert_eq!(simulation.instances[number].calls(), 1);
    simulation.deliver(number, ending);
    request_id
}

#[test]
fn submit_race() {
    // A client times out and repeats its request through another instance while the first one is
    // still in progress. Both intents reach the log. Only the first in log order may run.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    let first = simulation.submit(0, &request);
    let second = simulation.submit(1, &request);
    simulation.run_until_idle();
    let won = [first, second].map(|request_id| is_won(&simulation.decisions[&request_id]));
    assert_eq!(won.iter().filter(|won| **won).count(), 1);
    let lost = if won[0] { second } else { first };
    assert!(is_unknown(&simulation.decisions[&lost]));
}

#[test]
fn submit_answer_lost() {
    // The log writes the intent, but its response is lost. The request still runs: the instance
    // reads its own record back, which is the first for the key.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    let request_id = append(&mut simulation, 0, &request, CallEnding::AnswerLost);
    simulation.run_until_idle();
    assert!(is_won(&simulation.decisions[&request_id]));
}

#[test]
fn submit_late_write() {
    // The append gets no response and its write is delayed. The instance does not find the record
    // and answers NotRun. Then the record is written. The request must not run from it, and a
    // retry, here through another instance, must be able to run.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    let request_id = append(&mut simulation, 0, &request, CallEnding::Late);
    simulation.run_until_idle();
    assert_eq!(refusal(&simulation.decisions[&request_id]), Refusal::Unconfirmed);
    simulation.complete_late_append();
    assert!(is_won(&simulation.submit_and_wait(1, &request)));
    simulation.begin_execution(1);
    assert!(is_unknown(&simulation.submit_and_wait(0, &request)));
}

#[test]
fn submit_late_write_first() {
    // As in submit_late_write, but the late record is written before the withdrawal. A retry in
    // between is answered that the outcome is unknown, since its instance has read only the intent.
    // After the withdrawal is written, a retry runs.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    let request_id = append(&mut simulation, 0, &request, CallEnding::Late);
    for _ in 0..200 {
        simulation.advance(10);
        if simulation.decisions.contains_key(&request_id) {
            break;
        }
        simulation.deliver(0, CallEnding::Success);
    }
    assert_eq!(refusal(&simulation.decisions[&request_id]), Refusal::Unconfirmed);
    simulation.complete_late_append();
    let between = simulation.submit(1, &request);
    for _ in 0..20 {
        simulation.deliver(1, CallEnding::Success);
        simulation.advance(1);
    }
    assert!(is_unknown(&simulation.decisions[&between]));
    simulation.run_until_idle();
    assert!(is_won(&simulation.submit_and_wait(1, &request)));
}

#[test]
fn submit_withdrawal_lost() {
    // The write is late, and the instance answers NotRun and crashes before its withdrawal is
    // written. Then the late record is written. The log does not show that the request has not run:
    // a retry is answered that the outcome is unknown, and nothing ever runs.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    let request_id = append(&mut simulation, 0, &request, CallEnding::Late);
    while !simulation.decisions.contains_key(&request_id) {
        simulation.advance(50);
        simulation.deliver(0, CallEnding::Dropped);
    }
    simulation.restart(0);
    simulation.complete_late_append();
    assert!(is_unknown(&simulation.submit_and_wait(1, &request)));
    assert!(is_unknown(&simulation.submit_and_wait(0, &request)));
}

#[test]
fn submit_crash_before_try() {
    // The instance wins the key and crashes before it sends the request. The log does not
    // distinguish this from a crash just after: a retry is answered that the outcome is unknown and
    // is never executed.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    assert!(is_won(&simulation.submit_and_wait(0, &request)));
    simulation.restart(0);
    assert!(is_unknown(&simulation.submit_and_wait(1, &request)));
    assert!(is_unknown(&simulation.submit_and_wait(0, &request)));
}

#[test]
fn submit_crash_before_outcome() {
    // The request runs, and the instance crashes before the outcome is recorded. A retry is
    // answered that the outcome is unknown, and the request has run once.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(0, &request);
    simulation.begin_execution(0);
    simulation.restart(0);
    assert!(is_unknown(&simulation.submit_and_wait(1, &request)));
    assert_eq!(simulation.executed[&request.key].len(), 1);
}

#[test]
fn submit_outcome_told() {
    // The response to the caller is lost after the request ran. The retry through another instance
    // is answered with the recorded outcome.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(0, &request);
    simulation.begin_execution(0);
    assert!(is_unknown(&simulation.submit_and_wait(1, &request)));
    simulation.finish_execution(0);
    simulation.run_until_idle();
    assert!(is_done(&simulation.submit_and_wait(1, &request)));
    assert!(is_done(&simulation.submit_and_wait(0, &request)));
}

#[test]
fn submit_outage() {
    // The log is down. Requests are answered NotRun before anything is sent; after repeated
    // failures they are refused at once instead of after a wait. When the log is back, the retry
    // runs.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    let mut last = 0;
    for _ in 0..5 {
        last = append_or_refuse(&mut simulation, &request);
    }
    assert_eq!(refusal(&simulation.decisions[&last]), Refusal::LogUnavailable);
    let before = simulation.now;
    let at_once = simulation.submit(0, &request);
    assert_eq!(refusal(&simulation.decisions[&at_once]), Refusal::LogUnavailable);
    assert_eq!(simulation.now, before);
    simulation.run_until_idle();
    simulation.advance(2000);
    simulation.run_until_idle();
    assert!(is_won(&simulation.submit_and_wait(0, &request)));
}

fn append_or_refuse(simulation: &mut Simulation, request: &Request) -> u64 {
    let request_id = simulation.submit(0, request);
    while !simulation.decisions.contains_key(&request_id) {
        simulation.advance(20);
        simulation.deliver(0, CallEnding::Refused);
    }
    request_id
}

#[test]
fn submit_crossed_append_answer() {
    // The log's response to another call reaches the instance and reports that the intent was
    // written, although it was not. Only the record read back counts, so nothing runs.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    let request_id = append(&mut simulation, 0, &request, CallEnding::Misdelivered);
    simulation.run_until_idle();
    assert_eq!(refusal(&simulation.decisions[&request_id]), Refusal::Unconfirmed);
    assert!(is_won(&simulation.submit_and_wait(1, &request)));
}

#[test]
fn submit_permit_returned() {
    // No runner can be reached, so the winner releases the key before it sends any byte. A retry
    // through another instance runs.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(0, &request);
    simulation.withdraw(0);
    simulation.run_until_idle();
    assert!(is_won(&simulation.submit_and_wait(1, &request)));
}

#[test]
fn submit_other_work() {
    // A caller uses one key for two different requests. The second is refused and does not get the
    // outcome of the first.
    let mut simulation = two_instances();
    let request = simulation.request("sync-1");
    simulation.submit_and_wait(0, &request);
    let other = Request { fingerprint: request.fingerprint + 1, ..request };
    assert_eq!(refusal(&simulation.submit_and_wait(1, &other)), Refusal::KeyReused);
}

#[test]
fn submit_withdrawal_resent() {
    // The winner releases its key. The log refuses the first append of the withdrawal and drops the
    // second without a response. The withdrawal is kept and appended again, so the key does not
    // stay blocked.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    simulation.submit_and_wait(0, &request);
    simulation.withdraw(0);
    for ending in [CallEnding::Refused, CallEnding::Dropped] {
        while simulation.instances[0].calls() == 0 {
            simulation.advance(50);
        }
        simulation.deliver(0, ending);
    }
    simulation.run_until_idle();
    assert!(is_won(&simulation.submit_and_wait(1, &request)));
}

#[test]
fn submit_append_hangs() {
    // The log writes the append and answers only after the request's timeout. The request was
    // answered NotRun by then. The intent that is read back afterwards is not executed and does not
    // block the retry.
    let mut simulation = two_instances();
    let request = simulation.request("renew-7");
    let request_id = simulation.submit(0, &request);
    simulation.advance(5);
    simulation.advance(simulation::TIMEOUT.as_millis() as u64);
    assert_eq!(refusal(&simulation.decisions[&request_id]), Refusal::Unconfirmed);
    simulation.run_until_idle();
    assert!(is_won(&simulation.submit_and_wait(1, &request)));
}

#[test]
fn submit_batch_bounded() {
    // A burst of requests or withdrawals does not make a record larger than `max_batch_bytes`.
    let policy = Policy { max_batch_bytes: 1000, ..Policy::default() };
    let mut simulation = Simulation::new(1, policy);
    for number in 0..100 {
        let request = simulation.request(&format!("renew-{number}"));
        simulation.submit(0, &request);
    }
    simulation.run_until_idle();
    (0..100).for_each(|_| simulation.withdraw(0));
    simulation.run_until_idle();
    let mut records = simulation.streams.iter().flat_map(|stream| &stream.records);
    assert!(records.all(|record| record.len() <= 1000));
}

#[test]
fn submit_shared_append() {
    // Requests that arrive while an append is in progress share the next one.
    let mut simulation = two_instances();
    let before = simulation.machine(0).stats();
    let requests: Vec<_> = (0..200).map(|n| simulation.request(&format!("renew-{n}"))).collect();
    let tickets: Vec<_> = requests.iter().map(|request| simulation.submit(0, request)).collect();
    simulation.run_until_idle();
    assert!(tickets.iter().all(|request_id| is_won(&simulation.decisions[request_id])));
    let appends = simulation.machine(0).stats().appends - before.appends;
    assert!(appends <= 2 * u64::from(PARTITIONS), "{appends} appends for 200 intents");
}

#[test]
fn decode_truncated() {
    // A record that is truncated anywhere or has trailing bytes is an error, not a shorter batch.
    let simulation = Simulation::new(1, Policy::default());
    let request = simulation.request("renew-7");
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
