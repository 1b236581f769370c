//! Tasks under which their workers crash, and those that only ran beside them.

use std::rc::Rc;

use oriolefork::cell::dependencies::{RosterUpdate, StartCommand, WorkerError};
use oriolefork::cell::job::{Phase, Run, Step};
use oriolefork::cell::machine::{Answer, Call, Message};
use oriolefork::clock::Instant;

use super::model::{self, cores, id};
use super::story::{Story, WORKER_CLOCK};

/// Time from a start to the crash of its worker.
const CRASH_MS: u64 = 10;

/// Time from a crash to the answer of the worker's next life.
const RESTART_MS: u64 = 2_500;

/// Time in which a task that crashes its worker at the start has shown it.
const SETTLED_MS: u64 = 600;

/// A worker is down: its connection breaks.
fn go_silent(story: &mut Story, worker: usize) {
    look_fails(story, worker, WorkerError::Unknown("connection closed".to_owned()));
}

/// Another life answers in place of a worker, and the list names it as `next`.
fn come_back(story: &mut Story, worker: usize, next: usize) {
    look_fails(story, worker, WorkerError::OtherIncarnation);
    let listed = Rc::new(model::listed(next, cores(8)));
    let gone = vec![format!("w{worker}").into()];
    let present = vec![(format!("w{next}").into(), listed)];
    story.tell(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: gone,
        is_complete: false,
    }));
    story.pass(1);
    story.report(next, &[], &[]);
    settle(story);
}

fn look_fails(story: &mut Story, worker: usize, fault: WorkerError) {
    let worker = format!("w{worker}").into();
    let sent = Instant::from_millis(story.now);
    story.tell(Message::Polled { worker, sent, outcome: Err(fault) });
    story.pass(1);
}

fn settle(story: &mut Story) {
    story.store_all();
    story.pass(10);
    story.store_all();
}

/// Orders that went out, each taken by its worker.
fn take_starts(story: &mut Story) -> Vec<(usize, StartCommand)> {
    settle(story);
    let starts = story.starts();
    starts.iter().for_each(|start| story.started(start, Ok(WORKER_CLOCK + story.now)));
    starts
}

fn runs(starts: &[(usize, StartCommand)]) -> Vec<Run> {
    starts.iter().map(|(_, start)| start.run).collect()
}

fn submit(story: &mut Story, number: u64, tasks: u32, cpus: u64) {
    story.ask(number, Call::Submit(model::job(number, model::step(tasks, cores(cpus)))));
}

/// Has the workers of `starts` crash at once and come back as `next` and on.
fn crash(story: &mut Story, starts: &[(usize, StartCommand)], next: usize) {
    story.pass(CRASH_MS);
    let mut workers: Vec<usize> = starts.iter().map(|start| start.0).collect();
    workers.sort_unstable();
    workers.dedup();
    workers.iter().for_each(|worker| go_silent(story, *worker));
    story.pass(RESTART_MS);
    for (at, worker) in workers.into_iter().enumerate() {
        come_back(story, worker, next + at);
    }
}

/// Guards against a task that crashes each worker that starts it and is started for ever.
#[test]
fn crash_under_one_task_again_and_again_ends_its_job() {
    let mut story = Story::begin(4);
    submit(&mut story, 1, 1, 1);
    let mut tries = 0;
    for next in 4..12 {
        let starts = take_starts(&mut story);
        tries += starts.len();
        crash(&mut story, &starts, next);
    }
    assert!((2..=3).contains(&tries), "{tries} tries");
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against a gang of which one member crashes its workers and that is started for ever.
#[test]
fn crash_under_a_gang_again_and_again_ends_its_job() {
    let mut story = Story::begin(4);
    let mut step = model::step(3, cores(8));
    step.gang = true;
    story.ask(1, Call::Submit(model::job(1, step)));
    let mut tries = 0;
    for next in 4..12 {
        let starts = take_starts(&mut story);
        let crashing: Vec<_> =
            starts.iter().filter(|(_, start)| start.run.task.index == 1).cloned().collect();
        tries += crashing.len();
        crash(&mut story, &crashing, next);
        for run in story.stops() {
            story.tell(Message::Stopped {
                worker: "w0".into(),
                run,
                outcome: Ok(WORKER_CLOCK + story.now),
            });
        }
        let workers: Vec<usize> = (0..=next).collect();
        story.pass(2);
        workers.iter().for_each(|worker| story.report(*worker, &[], &[]));
    }
    assert!((2..=3).contains(&tries), "{tries} tries");
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against a job that is given up because it ran beside those that crash their workers.
#[test]
fn crash_beside_a_settled_task_leaves_its_job_alone() {
    let mut story = Story::begin(1);
    submit(&mut story, 1, 1, 1);
    for next in 1..4 {
        let settled = take_starts(&mut story);
        assert!(runs(&settled).iter().any(|run| run.task.step.job == id(1)), "it is tried again");
        story.pass(SETTLED_MS);
        submit(&mut story, 10 + next as u64, 1, 1);
        let starts = take_starts(&mut story);
        assert_eq!(starts.len(), 1);
        story.ask(20 + next as u64, Call::Cancel(id(10 + next as u64)));
        crash(&mut story, &starts, next);
    }
    assert_ne!(story.phase(1), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against starting others beside a task that may crash its worker as it starts.
#[test]
fn crash_under_two_jobs_tries_each_on_a_worker_of_its_own() {
    let mut story = Story::begin(1);
    submit(&mut story, 1, 1, 1);
    submit(&mut story, 2, 1, 1);
    let starts = take_starts(&mut story);
    assert_eq!(starts.len(), 2);
    crash(&mut story, &starts, 1);
    let alone = take_starts(&mut story);
    assert_eq!(alone.len(), 1, "one at a time on the only worker");
    submit(&mut story, 3, 1, 1);
    assert_eq!(runs(&take_starts(&mut story)), [], "nothing is started beside it");
    story.pass(SETTLED_MS);
    story.report(1, &runs(&alone), &[]);
    assert_eq!(take_starts(&mut story).len(), 1, "the next one, once the first has settled");
}

/// Guards against a stop of a worker that was announced being held against what ran there.
#[test]
fn crash_that_was_announced_blames_nobody() {
    let mut story = Story::begin(2);
    submit(&mut story, 1, 1, 1);
    for next in 2..6 {
        let starts = take_starts(&mut story);
        assert_eq!(starts.len(), 1, "it is tried again");
        let worker = starts[0].0;
        let mut listed = model::listed(worker, cores(8));
        listed.draining = true;
        let present = vec![(format!("w{worker}").into(), Rc::new(listed))];
        story.tell(Message::WorkersChanged(RosterUpdate {
            changed: present,
            removed: Vec::new(),
            is_complete: false,
        }));
        crash(&mut story, &starts, next);
    }
    assert_ne!(story.phase(1), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against a crowd of workers that crash at once and leave their tasks to begin one by one.
#[test]
fn crash_under_settled_tasks_lets_them_begin_together() {
    let mut story = Story::begin(1);
    for number in 1..=4 {
        submit(&mut story, number, 1, 1);
    }
    let settled = take_starts(&mut story);
    assert_eq!(settled.len(), 4);
    story.pass(SETTLED_MS);
    story.report(0, &runs(&settled), &[]);
    crash(&mut story, &settled[..1], 1);
    assert_eq!(take_starts(&mut story).len(), 4);
}

/// Guards against a wide gang that waits until nothing begins on all its workers at once, for one member
/// under which a worker has crashed.
#[test]
fn crash_under_one_member_sets_that_one_apart() {
    let mut story = Story::begin(2);
    let step = Step { gang: true, ..model::step(2, cores(5)) };
    story.ask(1, Call::Submit(model::job(1, step)));
    let starts = take_starts(&mut story);
    assert_eq!(starts.len(), 2);
    let (crashing, other) = (starts[0].0, starts[1].0);
    story.pass(CRASH_MS);
    go_silent(&mut story, crashing);
    story.pass(RESTART_MS);
    submit(&mut story, 2, 1, 1);
    let beside = take_starts(&mut story);
    assert_eq!(beside.iter().map(|start| start.0).collect::<Vec<_>>(), [other]);
    come_back(&mut story, crashing, 2);
    let outcome = Ok(WORKER_CLOCK + story.now);
    for run in story.stops() {
        story.tell(Message::Stopped {
            worker: format!("w{other}").into(),
            run,
            outcome: outcome.clone(),
        });
    }
    story.pass(2);
    story.report(other, &runs(&beside), &[]);
    assert_eq!(take_starts(&mut story).len(), 2, "the other member begins beside the other job");
}
