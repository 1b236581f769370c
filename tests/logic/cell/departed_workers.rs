//! Runs that earlier owners placed on workers that later owners never reach.

use std::rc::Rc;

use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{PollReport, RosterUpdate};
use oriolefork::cell::job::{Run, RunOutcome, Step, StepKey, TaskKey};
use oriolefork::cell::machine::{Call, Effect, Message};
use oriolefork::cell::record::{Batch, Record};
use oriolefork::cell::state::State;
use oriolefork::cell::timings::{LEASE, LEASE_GRANT_WINDOW};
use oriolefork::clock::{Instant, Unix};

use super::harness::{OwnerHarness, UNIX_START_MS, WORKER_CLOCK_MS};
use super::model::{self, cores, id};

/// Time within which a job must restart while workers are free and no faults occur, in
/// milliseconds.
const RESTART_BOUND_MS: u64 = 14_000;

/// The same bound once another incarnation of the worker has answered, in milliseconds.
const NEXT_INCARNATION_BOUND_MS: u64 = 1_000;

/// Returns the state with a gang of two, one of whose members is on a worker that left while the
/// cell's owner changed.
fn state_with_departed_worker(first: &str) -> (State, [Run; 2]) {
    let job = model::job(1, Step { gang: true, ..model::step(2, cores(1)) });
    let step = StepKey { job: id(1), occurrence: 0, step: 0 };
    let runs = [0, 1].map(|index| Run { task: TaskKey { step, index }, number: 1 });
    let placed = |worker: &str, run| Record::Placed { worker: worker.into(), runs: vec![run] };
    let accepted = Record::Accepted { at: Unix::from_millis(UNIX_START_MS), job };
    let records = vec![accepted, placed(first, runs[0]), placed("gone", runs[1])];
    let mut state = State::default();
    state.apply_batch(model::claim(Epoch(1), Unix::from_millis(UNIX_START_MS)));
    state.apply_batch(Batch { epoch: Epoch(1), at: Unix::from_millis(UNIX_START_MS), records });
    state.apply_batch(model::claim(Epoch(2), Unix::from_millis(UNIX_START_MS)));
    (state, runs)
}

/// A job was delayed by 22 s beside free workers. A member of its gang was on a worker that drained
/// and left while the cell's owner changed. The last owner never reached that worker, and waited
/// until all leases that former owners could grant had expired.
#[test]
fn gang_restarts_without_a_departed_worker() {
    let (state, runs) = state_with_departed_worker("w0");
    let mut harness = OwnerHarness::from_state(state, 3);
    let mut started = None;
    while started.is_none() && harness.now < 2 * RESTART_BOUND_MS {
        harness.advance(100);
        harness.complete_appends();
        for worker in 0..3 {
            harness.report(worker, &[], &[]);
        }
        started = harness
            .drain_starts()
            .into_iter()
            .map(|(_, start)| start.run)
            .find(|run| *run != runs[1]);
    }
    assert!(started.is_some_and(|run| run.number > 1), "{started:?}");
    assert!(harness.now <= RESTART_BOUND_MS, "after {} ms", harness.now);
}

/// Guards against the rest of a gang that keeps running as long as its leases are renewed, because
/// the owner died between the end of one member and the commands to stop the others.
#[test]
fn gang_without_a_member_is_stopped_by_the_next_owner() {
    let (mut state, runs) = state_with_departed_worker("w3");
    let ended = Record::Ended {
        run: runs[1],
        worker: "gone".into(),
        outcome: RunOutcome::WorkerLost,
        checkpoint: String::new(),
    };
    let batch = |epoch, records| Batch { epoch, at: Unix::from_millis(UNIX_START_MS), records };
    state.apply_batch(batch(Epoch(2), vec![ended]));
    state.apply_batch(model::claim(Epoch(3), Unix::from_millis(UNIX_START_MS)));
    let mut harness = OwnerHarness::from_state(state, 3);
    harness.deliver(Message::WorkersChanged(model::roster(4, cores(8))));
    harness.advance(10);
    harness.report(3, &runs[..1], &[]);
    harness.advance(10);
    assert_eq!(harness.drain_stops(), runs[..1]);
}

/// Guards against waiting for the leases of a former incarnation although its worker already
/// answers as the next one, under the same name.
#[test]
fn gang_restarts_once_the_next_incarnation_of_its_worker_answers() {
    let (state, _) = state_with_departed_worker("w0@1");
    let mut harness = OwnerHarness::from_state(state, 3);
    let present = ["gone@2", "w0@2"].map(|name| (name.into(), Rc::new(model::listed(5, cores(8)))));
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: present.into(),
        ..RosterUpdate::default()
    }));
    while !harness.effects.iter().any(|effect| matches!(effect, Effect::Start { .. })) {
        assert!(harness.now < NEXT_INCARNATION_BOUND_MS, "no task is started yet");
        for worker in ["gone@2", "w0@2"] {
            let report =
                PollReport { clock_ms: WORKER_CLOCK_MS + harness.now, ..PollReport::default() };
            let sent = Instant::from_millis(harness.now);
            let outcome = Ok(report);
            harness.deliver(Message::Polled { worker: worker.into(), sent, outcome });
        }
        harness.advance(100);
        harness.complete_appends();
    }
}

/// Guards against placing tasks on a worker that has left the list, where the removal names it
/// without its incarnation.
#[test]
fn unlisted_worker_gets_no_tasks() {
    let mut harness = OwnerHarness::new(0);
    let listed = Rc::new(model::listed(5, cores(8)));
    let present = vec![("w5@1".into(), listed)];
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: present,
        ..RosterUpdate::default()
    }));
    let report = PollReport { clock_ms: WORKER_CLOCK_MS, ..PollReport::default() };
    let sent = Instant::from_millis(harness.now);
    harness.deliver(Message::Polled { worker: "w5@1".into(), sent, outcome: Ok(report) });
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        removed: vec!["w5".into()],
        ..RosterUpdate::default()
    }));
    harness.call(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(100);
    assert_eq!(harness.drain_starts().len(), 0);
}

/// Guards against placing tasks on a former incarnation because its worker is listed again.
#[test]
fn former_incarnation_of_a_listed_worker_gets_no_tasks() {
    let mut harness = OwnerHarness::new(0);
    let listed = Rc::new(model::listed(5, cores(8)));
    for incarnation in ["w5@1", "w5@2"] {
        let present = vec![(incarnation.into(), listed.clone())];
        harness.deliver(Message::WorkersChanged(RosterUpdate {
            changed: present,
            ..RosterUpdate::default()
        }));
        if incarnation == "w5@1" {
            let report = PollReport { clock_ms: WORKER_CLOCK_MS, ..PollReport::default() };
            let sent = Instant::from_millis(harness.now);
            harness.deliver(Message::Polled {
                worker: incarnation.into(),
                sent,
                outcome: Ok(report),
            });
        }
    }
    harness.call(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(100);
    let placed = harness.effects.iter().any(|effect| matches!(effect, Effect::Start { .. }));
    assert!(!placed, "a task is placed on the former incarnation");
}

/// The worker is only unreachable for the new owner, and the former owner, which has lost the store
/// as well, keeps renewing its lease. If the run were counted as lost at once, the task would run
/// twice.
#[test]
fn gang_waits_while_the_former_owner_may_renew_leases() {
    let (state, _) = state_with_departed_worker("w0");
    let mut harness = OwnerHarness::from_state(state, 3);
    let until = (LEASE_GRANT_WINDOW + LEASE).as_millis() as u64;
    while harness.now < until {
        harness.advance(100);
        harness.complete_appends();
        for worker in 0..3 {
            harness.report(worker, &[], &[]);
        }
        assert!(harness.drain_starts().is_empty(), "after {} ms", harness.now);
    }
}
