//! What a report says of tries that it does not list.

use std::rc::Rc;

use oriolefork::cell::dependencies::{PollReport, RosterUpdate, WorkerInfo};
use oriolefork::cell::machine::{Effect, Message};
use oriolefork::cell::queue::{QueueConfig, Service};
use oriolefork::clock::Instant;

use super::model::{self, cores};
use super::story::{Story, WORKER_CLOCK};

/// Looks at `worker` with a report that lists nothing, of a look that was sent at `sent`.
fn report_nothing(story: &mut Story, worker: usize, sent: u64) {
    report(story, worker, sent, false);
}

fn report(story: &mut Story, worker: usize, sent: u64, partial: bool) {
    let report =
        PollReport { clock_ms: WORKER_CLOCK + story.now, partial, ..PollReport::default() };
    let (worker, sent) = (format!("w{worker}").into(), Instant::from_millis(sent));
    story.tell(Message::Polled { worker, sent, outcome: Ok(report) });
    story.pass(20);
    story.store_all();
    story.pass(20);
    story.store_all();
}

/// A task ran twice at once, with two starts of one owner 17 ms apart. A look and an order to start it
/// left within the same millisecond; the worker in the owner's own failure domain, 0.1 ms away, answered
/// the look, then began the task, and both answers were in before the millisecond was over. The owner
/// took the report, which did not list the task, for later than the start: it took the task for lost
/// and started it again. Proved by the log: `end=lost took_ms=3`, then `task.stray` for the same try.
#[test]
fn report_beside_a_start_proves_no_loss() {
    let mut story = Story::begin(2);
    let starts = story.running(1, model::step(1, cores(1)));
    let since = story.now - 1;
    report_nothing(&mut story, starts[0].0, since);
    assert!(story.starts().is_empty(), "it runs");
    assert!(story.machine.runs.contains_key(&starts[0].1.run));
}

/// The same with the order to stop it: the report may be older than the stop, after which the worker
/// refuses the start that is on its way.
#[test]
fn report_beside_a_stop_proves_no_end() {
    let mut story = Story::begin(2);
    let starts = story.running(1, model::step(1, cores(1)));
    story.ask(2, oriolefork::cell::machine::Call::Cancel(model::id(1)));
    story.store_all();
    story.pass(10);
    let (worker, run) = (starts[0].0, starts[0].1.run);
    assert_eq!(story.stops(), [run]);
    let taken = story.now;
    let outcome = Ok(WORKER_CLOCK + taken);
    story.tell(Message::Stopped { worker: format!("w{worker}").into(), run, outcome });
    report_nothing(&mut story, worker, taken);
    assert!(story.machine.runs.contains_key(&run), "its end has not been listed");
}

/// A report of a look that left later than the start was answered does prove it.
#[test]
fn report_after_a_start_proves_the_loss() {
    let mut story = Story::begin(2);
    let starts = story.running(1, model::step(1, cores(1)));
    story.pass(100);
    let sent = story.now;
    report_nothing(&mut story, starts[0].0, sent);
    assert_eq!(story.starts().len(), 1, "it is started again");
}

/// A worker has more ends to tell of than fit into one report. A try that ended as done stands on the
/// next page: taken for lost, it ran a second time.
#[test]
fn report_that_is_partial_proves_no_loss() {
    let mut story = Story::begin(2);
    let starts = story.running(1, model::step(1, cores(1)));
    story.pass(100);
    let sent = story.now;
    report(&mut story, starts[0].0, sent, true);
    assert!(story.starts().is_empty(), "its end may be on the next page");
}

/// Only workers that are due are gone through; one whose service is configured after it was listed has no
/// other sign that it is due from then on, and would get no work for as long as its owner lives.
#[test]
fn look_at_workers_of_a_service_that_is_new() {
    let mut story = Story::begin(1);
    let listed = WorkerInfo { service: "archive".to_owned(), ..model::listed(7, cores(8)) };
    let present = vec![("w7".into(), Rc::new(listed))];
    story.tell(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: Vec::new(),
        is_complete: false,
    }));
    story.pass(100);
    let looked_at = |story: &Story| {
        let is_seven =
            |effect: &&Effect| matches!(effect, Effect::Poll { worker, .. } if **worker == *"w7");
        story.effects.iter().any(|effect| is_seven(&effect))
    };
    assert!(!looked_at(&story), "no configuration names its service");
    let mut table: QueueConfig = (*model::table()).clone();
    table.version += 1;
    table.services.push(Service { name: "archive".to_owned(), enforces_capacity: false });
    story.tell(Message::ConfigChanged(Rc::new(table)));
    story.pass(100);
    assert!(looked_at(&story));
}

/// Likewise a worker that was told of while its look got lost on the way, with no answer at all.
#[test]
fn look_again_after_one_that_never_ends() {
    let mut story = Story::begin(1);
    story.report(0, &[], &[]);
    story.pass(20);
    let looks = |story: &Story| {
        story.effects.iter().filter(|effect| matches!(effect, Effect::Poll { .. })).count()
    };
    let before = looks(&story);
    story.pass(2_000);
    assert_eq!(looks(&story), before, "the last one is out");
    story.pass(2_000);
    assert_eq!(looks(&story), before + 1);
}
