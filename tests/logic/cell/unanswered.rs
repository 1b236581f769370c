//! A worker that answers looks and takes no order.
//!
//! Users saw accepted tasks stand still for half a minute beside free workers, after all instances had
//! lost power. One worker reset each order of the new owner: the connections of two former owners, which
//! nobody closes once their machines have no power, used up those that it takes. The one connection
//! that was left carried the looks. Each order to start ended with an unknown outcome, and the task
//! waited for a stop that never got through, while the looks went on renewing the worker's lease.
//! Proved by the log lines on lost connections: 32 and 31 of the two former owners at that worker,
//! and fresh ones of the new owner reset while it had two.

use oriolefork::cell::dependencies::{StartCommand, WorkerError};
use oriolefork::cell::job::Run;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::timings::{LEASE, LEASE_MARGIN};
use oriolefork::clock::Instant;

use super::model::{self, cores, id};
use super::story::{Story, WORKER_CLOCK};

/// Time between two of the worker's answers to looks.
const LOOK_MS: u64 = 100;

fn reset() -> WorkerError {
    WorkerError::Unknown("connection reset".to_owned())
}

/// A job with one task whose order has just been sent to the worker returned.
fn ordered(story: &mut Story, number: u64) -> (usize, StartCommand) {
    story.ask(number, Call::Submit(model::job(number, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    story.starts().remove(0)
}

/// Lets time pass in which the worker `resetting` answers looks and resets orders; returns the orders to
/// start that went elsewhere.
fn pass_resetting(story: &mut Story, resetting: usize, millis: u64) -> Vec<(usize, StartCommand)> {
    let end = story.now + millis;
    let mut elsewhere = Vec::new();
    while story.now < end {
        story.pass(LOOK_MS);
        story.store_all();
        for start in story.starts() {
            if start.0 == resetting {
                story.started(&start, Err(reset()));
            } else {
                elsewhere.push(start);
            }
        }
        for run in story.stops() {
            let worker = format!("w{resetting}").into();
            story.tell(Message::Stopped { worker, run, outcome: Err(reset()) });
        }
        story.report(resetting, &[], &[]);
    }
    elsewhere
}

fn runs(starts: &[(usize, StartCommand)]) -> Vec<Run> {
    starts.iter().map(|(_, start)| start.run).collect()
}

/// The task may begin at the worker as long as the lease that its order names; from then on the worker
/// refuses the order. Once the worker's own clock has passed that, and it still does not list the task,
/// the task goes elsewhere without any stop.
#[test]
fn start_unanswered_moves_once_its_lease_is_over() {
    let mut story = Story::begin(2);
    let (resetting, first) = ordered(&mut story, 1);
    story.started(&(resetting, first.clone()), Err(reset()));
    let lease = LEASE.as_millis() as u64;
    assert_eq!(
        runs(&pass_resetting(&mut story, resetting, lease - 500)),
        [],
        "it may still begin there"
    );
    let moved = pass_resetting(&mut story, resetting, 1_500);
    assert_eq!(moved.len(), 1, "the order's lease is over");
    assert_eq!(moved[0].1.run.task, first.run.task);
    assert!(moved[0].1.run.number > first.run.number);
}

/// An order is held up on its way and arrives within its lease, after the owner has given it up. The
/// worker lists the task, which therefore stays there.
#[test]
fn start_unanswered_that_begins_stays_there() {
    let mut story = Story::begin(2);
    let (resetting, first) = ordered(&mut story, 1);
    story.started(&(resetting, first.clone()), Err(reset()));
    pass_resetting(&mut story, resetting, 4_000);
    let until = story.now + (LEASE + LEASE_MARGIN * 2).as_millis() as u64;
    while story.now < until {
        story.report(resetting, &[first.run], &[]);
        story.pass(LOOK_MS);
        story.store_all();
        assert_eq!(runs(&story.starts()), [], "it runs there");
    }
    assert!(story.machine.runs.contains_key(&first.run));
}

/// The owner went on placing tasks on the worker whose orders it had given up, since its looks were
/// answered; each was stuck in its turn.
#[test]
fn start_unanswered_keeps_new_tasks_away() {
    let mut story = Story::begin(2);
    let (resetting, first) = ordered(&mut story, 1);
    story.started(&(resetting, first), Err(reset()));
    pass_resetting(&mut story, resetting, 500);
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    let starts = pass_resetting(&mut story, resetting, 200);
    assert_eq!(starts.len(), 1, "the other worker takes it");
    assert_eq!(starts[0].1.run.task.step.job, id(2));
}

/// A worker is cut off for 1.7 s while eight tasks are on their way to it. It is sound, and a new task
/// finds no other: counted once for each task, the worker rested for eight seconds.
#[test]
fn start_unanswered_rests_a_sound_worker_briefly() {
    const TASKS: u32 = 8;
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(TASKS, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    for _ in 0..4 {
        let starts = story.starts();
        assert_eq!(starts.len(), TASKS as usize);
        story.pass(400);
        starts.iter().for_each(|start| story.started(start, Err(reset())));
        story.pass(31);
    }
    let over = story.now;
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    while story.starts().is_empty() {
        assert!(story.now < over + 3_000, "a sound worker stays shut");
        for run in story.stops() {
            let outcome = Ok(WORKER_CLOCK + story.now);
            story.tell(Message::Stopped { worker: "w0".into(), run, outcome });
        }
        story.pass(20);
        story.report(0, &[], &[]);
        story.pass(20);
        story.store_all();
    }
}

/// The tries of a start never leave: no connection. The worker answers looks ever after, and gets no
/// order that it could answer; it came last among the workers for good.
#[test]
fn start_unanswered_is_forgotten_in_time() {
    let mut story = Story::begin(2);
    let (mut silent, mut start) = ordered(&mut story, 1);
    for _ in 0..4 {
        story.started(&(silent, start.clone()), Err(WorkerError::NotSent("refused".to_owned())));
        story.pass(40);
        if let Some(next) = story.starts().pop() {
            (silent, start) = next;
        }
    }
    let named = format!("w{silent}");
    let remembered = |story: &Story| {
        let now = Instant::from_millis(story.now);
        let worker = story.machine.workers.values().find(|worker| *worker.id == *named);
        worker.expect("a worker").command_backoff.is_deprioritized(now)
    };
    assert!(remembered(&story), "it comes last for a while");
    story.pass(30_000);
    assert!(!remembered(&story));
}
