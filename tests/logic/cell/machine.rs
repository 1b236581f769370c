//! The owner's decisions, one story each.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use oriolefork::cell::Epoch;
use oriolefork::cell::job::{End, Phase, Run, Schedule, Step, StepKey, TaskKey};
use oriolefork::cell::link::{Fault, Listed, Roster};
use oriolefork::cell::machine::{Answer, Call, Effect, Message};
use oriolefork::cell::peer::Offer;
use oriolefork::cell::record::{Batch, Record};
use oriolefork::cell::state::State;
use oriolefork::cell::timings::{STORE_SILENCE, STORE_SLOW, STORE_STRUGGLE};
use oriolefork::clock::{Instant, Unix};

use super::model::{self, QUEUE, cores, id};
use super::story::{Story, UNIX, WORKER_CLOCK};

/// A caller is told that its job is accepted, and the owner dies before the record is stored: the
/// job is gone without a trace. So the answer waits for the store.
#[test]
fn submit_answers_once_stored() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    assert_eq!(story.answer(1), None);
    story.store();
    assert_eq!(story.answer(1), Some(Answer::Accepted));
}

#[test]
fn submit_again_is_one_job() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(1, cores(1)));
    story.ask(2, Call::Submit(model::job(1, model::step(1, cores(1)))));
    assert_eq!(story.answer(2), Some(Answer::Accepted));
    story.pass(100);
    assert_eq!((starts.len(), story.starts().len()), (1, 0));
}

/// An owner starts a task whose placement is not stored and dies; its successor, which cannot
/// reach that worker, starts the task a second time beside the first.
#[test]
fn start_waits_for_its_placement() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.pass(20);
    assert!(!story.machine.runs.is_empty(), "it is placed");
    assert!(story.starts().is_empty(), "the placement is not stored yet");
    story.store_all();
    assert_eq!(story.starts().len(), 1);
}

/// The store answers nobody for seconds. Callers whose jobs are queued behind the hanging append
/// could only be told that nobody knows whether they run; most of them would give up.
#[test]
fn submit_refused_while_the_store_is_stuck() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.pass(STORE_SLOW.as_millis() as u64 + 10);
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    assert_eq!(story.answer(2), None);
    story.pass(STORE_SILENCE.as_millis() as u64);
    assert_eq!(story.answer(2), Some(Answer::Unavailable));
    assert_eq!(story.answer(1), None, "it may be stored");
    story.ask(3, Call::Submit(model::job(3, model::step(1, cores(1)))));
    assert_eq!(story.answer(3), Some(Answer::Unavailable));
    assert!(!story.machine.state.jobs.contains_key(&id(2)));
}

/// The store answers all instances but the owner. Callers waited for a second until another took the
/// cell over, since the owner offered it only after the time that a slow store takes.
#[test]
fn offer_rises_while_an_append_hangs() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    assert_eq!(story.offer(), Offer::Kept);
    story.pass(STORE_STRUGGLE.as_millis() as u64 + 1);
    assert_eq!(story.offer(), Offer::IfQuicker);
    story.pass(STORE_SILENCE.as_millis() as u64);
    assert_eq!(story.offer(), Offer::Open);
    story.store_all();
    assert_eq!(story.offer(), Offer::Kept);
}

#[test]
fn submit_admitted_when_a_slow_append_ends() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.pass(STORE_SLOW.as_millis() as u64 + 10);
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    assert_eq!(story.answer(2), Some(Answer::Accepted));
}

/// The store is back, but the last append hangs on a dead connection: without a second try every
/// caller waits for its timeout.
#[test]
fn append_repeated_beside_a_hanging_one() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.pass(250);
    let appends = story.appends();
    assert_eq!(appends.len(), 2);
    assert_eq!(appends[0], appends[1], "the same number is taken once");
}

#[test]
fn append_refused_is_repeated_under_its_number() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    let first = story.appends();
    story.refuse_append();
    story.pass(300);
    assert_eq!(story.appends().last(), first.last());
}

/// A worker ends a task, the owner tells a caller *completed* and dies before the end is stored; the
/// worker crashes as well. The successor runs a task again that the caller knows to be done.
#[test]
fn completed_shows_once_stored() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(1, cores(1)));
    let run = starts[0].1.run;
    story.report(0, &[], &[(1, run, End::Done)]);
    story.pass(5);
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Running)));
    story.store_all();
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Completed)));
}

/// The worker may forget an end only when it is stored, or a successor would never hear of it.
#[test]
fn end_forgotten_once_stored() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(1, cores(1)));
    story.report(0, &[], &[(7, starts[0].1.run, End::Done)]);
    story.pass(5);
    assert_eq!(story.machine.workers["w0"].recorded, 0);
    story.store_all();
    assert_eq!(story.machine.workers["w0"].recorded, 7);
}

/// A placement alone does not begin a job: its order may never arrive. The count of waiting jobs
/// would leave it out while nothing runs.
#[test]
fn waiting_counts_until_a_worker_said_so() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    let starts = story.starts();
    story.ask(2, Call::Waiting(QUEUE.to_owned()));
    assert_eq!(story.answer(2), Some(Answer::Waiting(1)));
    story.started(&starts[0], Ok(WORKER_CLOCK));
    story.ask(3, Call::Waiting(QUEUE.to_owned()));
    assert_eq!(story.answer(3), Some(Answer::Waiting(0)));
}

/// An order to start gets no answer and is carried out seconds later. If the task were placed
/// elsewhere at once, it would run twice; the same order again settles what became of it.
#[test]
fn start_without_answer_is_repeated_there() {
    let mut story = Story::begin(2);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    let first = story.starts();
    story.started(&first[0], Err(Fault::Unknown("timeout".to_owned())));
    story.pass(100);
    let again = story.starts();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].0, again[0].1.run), (first[0].0, first[0].1.run));
}

/// After several tries without an answer the task is stopped there, and runs elsewhere only once the
/// worker has taken the stop: what is stopped before it begins never begins.
#[test]
fn start_without_answers_moves_after_the_stop() {
    let mut story = Story::begin(2);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    let mut last = story.starts().remove(0);
    for _ in 0..8 {
        story.started(&last, Err(Fault::Unknown("timeout".to_owned())));
        story.pass(50);
        match story.starts().pop() {
            Some(start) => last = start,
            None => break,
        }
    }
    let stops = story.stops();
    assert_eq!(stops, [last.1.run]);
    story.pass(500);
    story.store_all();
    assert!(story.starts().is_empty(), "it may still begin at the first worker");
    let worker = format!("w{}", last.0).into();
    story.tell(Message::Stopped { worker, run: last.1.run, outcome: Ok(WORKER_CLOCK) });
    story.pass(5);
    story.report(last.0, &[], &[]);
    story.pass(20);
    story.store_all();
    story.pass(20);
    story.store_all();
    let next = story.starts();
    assert_eq!(next.len(), 1);
    assert!(next[0].1.run.number > last.1.run.number);
}

/// Another life of the worker answers at its address: all that ran there is gone for sure, and runs
/// elsewhere without waiting for a lease.
#[test]
fn another_life_frees_its_tasks() {
    let mut story = Story::begin(2);
    let starts = story.running(1, model::step(1, cores(1)));
    let worker = format!("w{}", starts[0].0).into();
    let sent = Instant::from_millis(story.now);
    story.tell(Message::Looked { worker, sent, outcome: Err(Fault::OtherLife) });
    story.pass(20);
    story.store_all();
    story.pass(20);
    story.store_all();
    let again = story.starts();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, starts[0].0);
}

/// A worker falls silent. Its tasks may run until their lease is over; only then they run elsewhere.
#[test]
fn silent_worker_keeps_its_tasks_for_a_lease() {
    let mut story = Story::begin(2);
    let starts = story.running(1, model::step(1, cores(1)));
    let silent = |story: &mut Story| {
        let worker = format!("w{}", starts[0].0).into();
        let sent = Instant::from_millis(story.now);
        let fault = Fault::Unknown("timeout".to_owned());
        story.tell(Message::Looked { worker, sent, outcome: Err(fault) });
    };
    for _ in 0..30 {
        silent(&mut story);
        story.pass(250);
        story.store_all();
    }
    assert!(story.starts().is_empty(), "after {} ms", story.now);
    for _ in 0..12 {
        silent(&mut story);
        story.pass(250);
        story.store_all();
    }
    assert_eq!(story.starts().len(), 1);
}

/// One member of a gang is lost. The others would hold their room and wait for it.
#[test]
fn gang_stops_when_a_member_is_gone() {
    let mut story = Story::begin(3);
    let gang = Step { gang: true, ..model::step(3, cores(6)) };
    let starts = story.running(1, gang);
    assert_eq!(starts.len(), 3);
    let numbers: BTreeSet<u32> = starts.iter().map(|(_, start)| start.run.number).collect();
    assert_eq!(numbers.len(), 1, "members share the number of their try");
    story.report(starts[0].0, &[], &[(1, starts[0].1.run, End::Failed)]);
    story.pass(5);
    assert_eq!(story.stops().len(), 2);
}

#[test]
fn gang_waits_until_all_members_fit() {
    let mut story = Story::begin(2);
    let gang = Step { gang: true, ..model::step(3, cores(6)) };
    assert!(story.running(1, gang).is_empty());
}

#[test]
fn room_is_never_exceeded() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(5, cores(3)));
    assert_eq!(starts.len(), 2, "8 cores hold two tasks of 3");
}

/// A job that can never be done ends after its tries, and is said to have failed.
#[test]
fn attempts_bound_the_tries() {
    let mut story = Story::begin(4);
    let mut starts = story.running(1, model::step(1, cores(1)));
    for attempt in 1..=model::ATTEMPTS {
        let (worker, run) = (starts[0].0, starts[0].1.run);
        story.report(worker, &[], &[(u64::from(attempt), run, End::Failed)]);
        story.pass(10);
        story.store_all();
        story.pass(10);
        story.store_all();
        let next = story.starts();
        if attempt == model::ATTEMPTS {
            assert!(next.is_empty());
            break;
        }
        assert_eq!(next.len(), 1, "try {attempt}");
        story.started(&next[0], Ok(WORKER_CLOCK + story.now));
        starts = next;
    }
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Failed)));
}

#[test]
fn cancel_stops_what_runs() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(2, cores(1)));
    story.ask(2, Call::Cancel(id(1)));
    assert_eq!(story.stops().len(), starts.len());
    assert_eq!(story.answer(2), None);
    story.store_all();
    assert_eq!(story.answer(2), Some(Answer::Cancelled));
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Cancelled)));
}

/// A lasting task fails, as it may at any time. It must be back at once, however long its job has
/// waited and however often it has failed.
#[test]
fn lasting_task_is_always_restarted() {
    let mut story = Story::begin(2);
    let lasting = Step { lasting: true, ..model::step(1, cores(1)) };
    let mut starts = story.running(1, lasting);
    for number in 1..=u64::from(model::ATTEMPTS) + 2 {
        let (worker, run) = (starts[0].0, starts[0].1.run);
        story.report(worker, &[], &[(number, run, End::Failed)]);
        story.pass(10);
        story.store_all();
        story.pass(10);
        story.store_all();
        starts = story.starts();
        assert_eq!(starts.len(), 1, "failure {number}");
        story.started(&starts[0].clone(), Ok(WORKER_CLOCK + story.now));
    }
}

/// Three tasks of different jobs fail on one worker and none goes well there: it gets nothing new
/// for a while, so that it does not use up the tries of every job.
#[test]
fn failing_worker_rests() {
    let mut story = Story::begin(1);
    for number in 1..=3 {
        let starts = story.running(number, model::step(1, cores(1)));
        let run = starts.first().map(|(_, start)| start.run);
        let Some(run) = run else { panic!("job {number} did not start") };
        story.ask(100 + number, Call::Cancel(id(number)));
        story.report(0, &[], &[(number, run, End::Failed)]);
        story.store_all();
    }
    assert!(story.running(4, model::step(1, cores(1))).is_empty());
    story.pass(Duration::from_secs(5).as_millis() as u64);
    story.report(0, &[], &[]);
    story.pass(20);
    story.store_all();
    assert_eq!(story.starts().len(), 1);
}

/// An owner that was replaced without knowing must not say that a job does not exist: its successor
/// may have accepted it.
#[test]
fn unknown_is_vouched_for_only_with_the_store() {
    let mut story = Story::begin(1);
    assert_eq!(story.phase(5), Some(Answer::Unknown));
    story.pass(2_000);
    assert_eq!(story.phase(6), Some(Answer::Unavailable));
}

#[test]
fn drained_worker_gets_nothing_new() {
    let mut story = Story::begin(1);
    let mut roster = model::roster(1, cores(8));
    let mut listed = (*roster.present[0].1).clone();
    listed.draining = true;
    roster.present[0].1 = listed.into();
    story.tell(Message::Roster(roster));
    assert!(story.running(1, model::step(1, cores(1))).is_empty());
}

#[test]
fn fenced_owner_steps_down() {
    let mut story = Story::begin(1);
    let sent = Instant::from_millis(story.now);
    let message = Message::Looked { worker: "w0".into(), sent, outcome: Err(Fault::Fenced) };
    story.tell(message);
    story.pass(1);
    assert!(story.effects.iter().any(|effect| matches!(effect, Effect::StepDown { .. })));
}

/// A nightly job fills the gaps of a worker that serves a mailbox, and its users wait. The two kinds of
/// tasks never share a worker, whichever comes first.
#[test]
fn filling_task_stays_away_from_serving_ones() {
    let mut story = Story::begin(2);
    let serving = Step { lasting: true, target_ms: Some(50), ..model::step(1, cores(1)) };
    let filling = Step { fills: true, ..model::step(1, cores(4)) };
    let first = story.running(1, serving.clone());
    let second = story.running(2, filling);
    assert_ne!(first[0].0, second[0].0);
    let third = story.running(3, serving);
    assert_eq!(third[0].0, first[0].0, "not beside what fills");
}

/// After an outage most open jobs are so late that they earn nothing, and rounds pass them over in
/// favour of those that do; their callers still wait for the work to be done.
#[test]
fn worthless_job_is_placed_all_the_same() {
    let mut story = Story::begin(1);
    let long = story.running(1, model::step(1, cores(8)));
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(8)))));
    story.store_all();
    for _ in 0..60 {
        story.pass(1_000);
        story.report(0, &[long[0].1.run], &[]);
    }
    assert!(story.starts().is_empty(), "the first one still runs");
    story.report(0, &[], &[(1, long[0].1.run, End::Done)]);
    for _ in 0..20 {
        story.pass(20);
        story.store_all();
    }
    assert_eq!(story.starts().len(), 1);
}

/// A job repeats. Its second occurrence still waits for room when the third one is placed, and the
/// owner dies. Its successor reads of the third alone: counting what it knows of, it took the third
/// for the next to begin, again and again without end, as did every owner after it.
#[test]
fn successor_begins_the_occurrence_that_is_missing() {
    let mut state = State::default();
    let at = Unix::from_millis(UNIX);
    state.apply_batch(model::claim(Epoch(1), at));
    let mut job = model::job(1, model::step(1, cores(1)));
    job.schedule = Some(Schedule { first: at, interval_ms: 10, count: 3 });
    let third = StepKey { job: id(1), occurrence: 2, step: 0 };
    let run = Run { task: TaskKey { step: third, index: 0 }, number: 1 };
    let records =
        vec![Record::Accepted { at, job }, Record::Placed { worker: "w0".into(), runs: vec![run] }];
    state.apply_batch(Batch { epoch: Epoch(1), at, records });
    let mut story = Story::take_over(state, 1);
    for _ in 0..10 {
        story.pass(100);
        story.store_all();
    }
    let begun: BTreeSet<u32> =
        story.starts().iter().map(|(_, start)| start.run.task.step.occurrence).collect();
    assert!(begun.is_superset(&BTreeSet::from([0, 1])), "{begun:?}");
}

/// An entry in the list names a service that the operators never named: another program wrote it. It
/// was called like any worker.
#[test]
fn look_passes_over_an_unknown_service() {
    let mut story = Story::begin(1);
    let listed = Listed { service: "elsewhere".to_owned(), ..model::listed(7, cores(8)) };
    let present = vec![("w7".into(), Rc::new(listed))];
    story.tell(Message::Roster(Roster { present, gone: Vec::new(), whole: false }));
    story.pass(400);
    let looked_at =
        |effect: &Effect| matches!(effect, Effect::Look { worker, .. } if &**worker == "w7");
    assert!(!story.effects.iter().any(looked_at));
}
