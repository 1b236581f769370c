//! Which queue gets the instances that can ask the policy service.

use std::rc::Rc;

use oriolefork::cell::job::{Job, Run, RunOutcome, Step};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};

use super::model::{self, QUEUE, cores, id};
use super::story::Story;

const TERMS: PolicyTiming = PolicyTiming { decide_ms: 20.0, per_worker_ms: 1.0, valid_ms: 1_500 };

/// Queue of the next lower priority.
const LOWER: &str = "thumbnails";

/// Instances that can ask: two thirds of them are the upper queue's share.
const ASKERS: u16 = 12;

const WORKERS: u32 = 60;

/// A cell with most of its room taken and two queues, one of a lower priority, both subject to the
/// policy service. The lower one's jobs should end within `lower_target_ms` beyond their work.
fn begin(lower_target_ms: u64) -> Story {
    let mut story = Story::begin(WORKERS as usize);
    story.running(999, Step { max_per_worker: 1, ..model::step(WORKERS, cores(5)) });
    let table = model::table();
    let upper = Queue { policy: Some(TERMS), ..Queue::clone(&table.queues[0]) };
    let lower = Queue {
        name: LOWER.to_owned(),
        path_prefix: "/thumbnails/".to_owned(),
        priority: upper.priority + 1,
        stretch: 1.0,
        target_ms: lower_target_ms,
        ..upper.clone()
    };
    let queues = vec![upper.into(), lower.into()];
    story.tell(Message::ConfigChanged(Rc::new(QueueConfig {
        version: 2,
        queues,
        services: table.services.clone(),
    })));
    story
}

fn submit(story: &mut Story, queue: &str, numbers: std::ops::Range<u64>, step: &Step) {
    for number in numbers {
        let job = Job { queue: queue.to_owned(), ..model::job(number, step.clone()) };
        story.ask(number, Call::Submit(job));
        story.store_all();
    }
}

/// All instances become free to ask at once: how many ask for the jobs numbered below 100, and how
/// many for the others.
fn asked(story: &mut Story) -> (usize, usize) {
    for number in 1..=ASKERS {
        story.present(number);
    }
    story.pass(100);
    let questions = story.questions();
    let upper = questions.iter().filter(|question| question.step.job < id(100)).count();
    (upper, questions.len() - upper)
}

/// A site is nearly full. Questions of one queue take a second each, are many, and are asked anew
/// whenever their tickets lapse, so that all instances are busy with them. Jobs of the queue below
/// are not asked about once for half a minute, beside a third of the workers' room, and come too late.
#[test]
fn askers_lower_priority_has_its_share() {
    let mut story = begin(5_000);
    submit(&mut story, QUEUE, 1..21, &model::step(1, cores(1)));
    submit(&mut story, LOWER, 101..121, &model::step(1, cores(1)));
    assert_eq!(asked(&mut story), (8, 4));
}

/// Most of the room is free all the same, as at the end of a busy day. What waits then waits for a
/// question alone: the queues have equal shares, and the lower one's late jobs have theirs.
#[test]
fn askers_have_equal_shares_beside_free_room() {
    let mut story = begin(0);
    let done = |number: u32, run: &Run| (u64::from(number + 1), *run, RunOutcome::Succeeded);
    let runs: Vec<Run> = story.machine.runs.keys().copied().collect();
    for (worker, run) in runs.iter().enumerate() {
        let name = story.machine.runs[run].worker[1..].parse().expect("a number");
        story.report(name, &[], &[done(worker as u32, run)]);
    }
    submit(&mut story, LOWER, 101..121, &model::step(1, cores(1)));
    submit(&mut story, QUEUE, 1..21, &model::step(1, cores(1)));
    assert_eq!(asked(&mut story), (6, 6));
}

/// The queue below has one job only. What it leaves of its share asks for the queue above at once.
#[test]
fn askers_unused_share_is_not_idle() {
    let mut story = begin(5_000);
    submit(&mut story, QUEUE, 1..21, &model::step(1, cores(1)));
    submit(&mut story, LOWER, 101..102, &model::step(1, cores(1)));
    assert_eq!(asked(&mut story), (11, 1));
}

/// The jobs of the queue below fit nowhere, so that there is nothing to ask for them, and no instance
/// waits for them.
#[test]
fn askers_nothing_kept_for_steps_without_room() {
    let mut story = begin(5_000);
    submit(&mut story, QUEUE, 1..21, &model::step(1, cores(1)));
    submit(&mut story, LOWER, 101..121, &model::step(1, cores(9)));
    assert_eq!(asked(&mut story), (12, 0));
}

/// The jobs of the queue below have waited too long to be on time. They have no share any more while
/// jobs that can be on time have questions.
#[test]
fn askers_late_jobs_have_no_share() {
    let mut story = begin(0);
    submit(&mut story, LOWER, 101..121, &model::step(1, cores(1)));
    submit(&mut story, QUEUE, 1..21, &model::step(1, cores(1)));
    assert_eq!(asked(&mut story), (12, 0));
}
