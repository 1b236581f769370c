//! Tasks that make room for more urgent ones: a burst of wide gangs, or a failure domain cut off, on
//! workers full of small tasks that can wait.

use std::rc::Rc;

use oriolefork::cell::job::{Job, Run, RunOutcome, Step, StepKey, TaskKey};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::preempt::{CandidateWorker, Victim, choose_victims};
use oriolefork::cell::queue::{Queue, QueueConfig};
use oriolefork::resource::Amount;

use super::model::{self, QUEUE, cores, id};
use super::story::Story;

const URGENT: &str = "urgent";

fn run(number: u64) -> Run {
    let step = StepKey { job: id(number), occurrence: 0, step: 0 };
    Run { task: TaskKey { step, index: 0 }, number: 1 }
}

fn victim(number: u64, demand: Amount) -> Victim {
    Victim { run: run(number), demand }
}

fn place(room: u64, victims: &[(u64, u64)]) -> CandidateWorker {
    let victims = victims.iter().map(|(number, demand)| victim(*number, cores(*demand)));
    CandidateWorker { free: cores(room), max_tasks: usize::MAX, victims: victims.collect() }
}

#[test]
fn choose_takes_free_room_first() {
    let choice = choose_victims(&cores(4), 1, vec![place(0, &[(1, 4)]), place(4, &[])]);
    assert_eq!((choice.placeable, choice.victims.len(), choice.lost_work), (1, 0, 0));
}

#[test]
fn choose_stops_where_least_is_lost() {
    let choice = choose_victims(&cores(4), 1, vec![place(0, &[(1, 8)]), place(1, &[(2, 3)])]);
    assert_eq!(choice.victims, [run(2)]);
}

/// A small victim does not suffice and a large one alone does: the small one is left to run.
#[test]
fn choose_spares_what_is_not_needed() {
    let choice = choose_victims(&cores(8), 1, vec![place(0, &[(1, 2), (2, 8)])]);
    assert_eq!(choice.victims, [run(2)]);
}

#[test]
fn choose_counts_each_victim_once() {
    let choice = choose_victims(&cores(4), 3, vec![place(0, &[(1, 4), (2, 4)])]);
    assert_eq!((choice.placeable, choice.victims.len()), (2, 2));
}

#[test]
fn choose_keeps_to_the_bound() {
    let bounded = CandidateWorker { max_tasks: 1, ..place(8, &[]) };
    assert_eq!(choose_victims(&cores(2), 3, vec![bounded]).placeable, 1);
}

/// A cell with a queue that goes before the usual one.
fn begin(workers: usize) -> Story {
    let mut story = Story::begin(workers);
    let table = model::table();
    let usual = Queue { priority: 2, stretch: 40.0, ..Queue::clone(&table.queues[0]) };
    let urgent = Queue { name: URGENT.to_owned(), priority: 0, stretch: 4.0, ..usual.clone() };
    let queues = vec![usual.into(), urgent.into()];
    let table = QueueConfig { version: 2, queues, services: table.services.clone() };
    story.tell(Message::ConfigChanged(Rc::new(table)));
    story
}

fn patient(count: u32, demand: Amount) -> Step {
    Step { checkpoints: true, estimate_ms: 2_000, ..model::step(count, demand) }
}

fn urgent(count: u32, demand: Amount) -> Step {
    Step { estimate_ms: 1_000, ..model::step(count, demand) }
}

/// Lets a job of `step` run on the only worker for a while.
fn fill(story: &mut Story, step: Step) -> Vec<Run> {
    let runs: Vec<Run> = story.running(1, step).iter().map(|start| start.1.run).collect();
    story.pass(1_500);
    story.report(0, &runs, &[]);
    runs
}

fn submit_urgent(story: &mut Story, number: u64, step: Step) {
    let job = Job { queue: URGENT.to_owned(), ..model::job(number, step) };
    story.ask(number, Call::Submit(job));
    story.store_all();
    story.pass(300);
}

/// Small tasks that save their progress fill the only worker when an urgent job comes. It used to
/// wait until one of them ended; now one makes room, and goes on later from where it was.
#[test]
fn place_stops_what_can_wait_for_an_urgent_step() {
    let mut story = begin(1);
    let runs = fill(&mut story, patient(2, cores(4)));
    submit_urgent(&mut story, 2, urgent(1, cores(3)));
    let stopped = story.stops();
    assert_eq!(stopped.len(), 1, "one makes room enough");
    let left: Vec<Run> = runs.into_iter().filter(|run| *run != stopped[0]).collect();
    story.report(0, &left, &[(1, stopped[0], RunOutcome::Stopped)]);
    story.pass(20);
    story.store_all();
    let next = story.starts();
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].1.job.queue, URGENT);
}

/// A task that saves nothing would lose all it has done.
#[test]
fn place_spares_what_saves_nothing() {
    let mut story = begin(1);
    let step = Step { checkpoints: false, ..patient(2, cores(4)) };
    fill(&mut story, step);
    submit_urgent(&mut story, 2, urgent(1, cores(3)));
    assert!(story.stops().is_empty());
}

/// Stopping costs half a second of each victim's work, more than a tiny task gains.
#[test]
fn place_loses_no_more_than_it_gains() {
    let mut story = begin(1);
    fill(&mut story, patient(2, cores(4)));
    submit_urgent(&mut story, 2, Step { estimate_ms: 100, ..urgent(1, cores(3)) });
    assert!(story.stops().is_empty());
}

/// Two jobs of one queue would stop each other in turn, and neither would end.
#[test]
fn place_spares_equals() {
    let mut story = begin(1);
    fill(&mut story, patient(2, cores(4)));
    story.ask(2, Call::Submit(model::job(2, patient(1, cores(3)))));
    story.store_all();
    story.pass(300);
    assert_eq!(story.machine.state.jobs[&id(2)].job.queue, QUEUE);
    assert!(story.stops().is_empty());
}

/// A gang that could not begin with the room that is made would have tasks stopped for nothing.
#[test]
fn place_stops_nothing_for_a_part_of_a_gang() {
    let mut story = begin(1);
    fill(&mut story, patient(2, cores(4)));
    let gang = Step { gang: true, ..urgent(3, cores(4)) };
    submit_urgent(&mut story, 2, gang);
    assert!(story.stops().is_empty());
}
