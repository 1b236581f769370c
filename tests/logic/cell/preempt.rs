//! Preemption of running tasks for more urgent ones: a burst of wide gangs, or the loss of a
//! failure domain, while workers are full of small tasks that can wait.

use std::rc::Rc;

use oriolefork::cell::job::{Job, Run, RunOutcome, Step};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::preempt::{CandidateWorker, Victim, choose_victims};
use oriolefork::cell::queue::{Queue, QueueConfig};
use oriolefork::resource::Amount;

use super::harness::OwnerHarness;
use super::model::{self, QUEUE, cores, id};

const URGENT: &str = "urgent";

fn run(number: u64) -> Run {
    model::run(number, 0, 1)
}

fn victim(number: u64, demand: Amount) -> Victim {
    Victim { run: run(number), demand }
}

fn candidate(free: u64, victims: &[(u64, u64)]) -> CandidateWorker {
    let victims = victims.iter().map(|(number, demand)| victim(*number, cores(*demand)));
    CandidateWorker { free: cores(free), max_tasks: usize::MAX, victims: victims.collect() }
}

#[test]
fn choose_uses_free_capacity_first() {
    let choice = choose_victims(&cores(4), 1, vec![candidate(0, &[(1, 4)]), candidate(4, &[])]);
    assert_eq!((choice.placeable, choice.victims.len(), choice.lost_work), (1, 0, 0));
}

#[test]
fn choose_loses_the_least_work() {
    let choice =
        choose_victims(&cores(4), 1, vec![candidate(0, &[(1, 8)]), candidate(1, &[(2, 3)])]);
    assert_eq!(choice.victims, [run(2)]);
}

/// The small victim does not suffice and the large one alone does: the small one keeps running.
#[test]
fn choose_spares_unneeded_victims() {
    let choice = choose_victims(&cores(8), 1, vec![candidate(0, &[(1, 2), (2, 8)])]);
    assert_eq!(choice.victims, [run(2)]);
}

#[test]
fn choose_counts_each_victim_once() {
    let choice = choose_victims(&cores(4), 3, vec![candidate(0, &[(1, 4), (2, 4)])]);
    assert_eq!((choice.placeable, choice.victims.len()), (2, 2));
}

#[test]
fn choose_respects_max_tasks() {
    let bounded = CandidateWorker { max_tasks: 1, ..candidate(8, &[]) };
    assert_eq!(choose_victims(&cores(2), 3, vec![bounded]).placeable, 1);
}

/// Creates a cell with a second queue of higher priority.
fn harness_with_urgent_queue(workers: usize) -> OwnerHarness {
    let mut harness = OwnerHarness::new(workers);
    let config = model::queue_config();
    let usual = Queue { priority: 2, stretch: 40.0, ..Queue::clone(&config.queues()[0]) };
    let urgent = Queue { name: URGENT.to_owned(), priority: 0, stretch: 4.0, ..usual.clone() };
    let queues = vec![usual.into(), urgent.into()];
    let config = QueueConfig::new(2, queues, config.services.clone());
    harness.deliver(Message::ConfigChanged(Rc::new(config)));
    harness
}

fn preemptible(count: u32, demand: Amount) -> Step {
    Step { checkpoints: true, estimate_ms: 2_000, ..model::step(count, demand) }
}

fn urgent(count: u32, demand: Amount) -> Step {
    Step { estimate_ms: 1_000, ..model::step(count, demand) }
}

/// Runs a job of `step` on the only worker for a while.
fn fill(harness: &mut OwnerHarness, step: Step) -> Vec<Run> {
    let runs: Vec<Run> = harness.start_job(1, step).iter().map(|start| start.1.run).collect();
    harness.advance(1_500);
    harness.report(0, &runs, &[]);
    runs
}

fn submit_urgent(harness: &mut OwnerHarness, number: u64, step: Step) {
    let job = Job { queue: URGENT.to_owned(), ..model::job(number, step) };
    harness.call(number, Call::Submit(job));
    harness.complete_appends();
    harness.advance(300);
}

/// Small checkpointing tasks fill the only worker when an urgent job arrives, which used to wait
/// until one of them ended. One of them is preempted, and resumes later from its checkpoint.
#[test]
fn placement_preempts_checkpointing_task_for_urgent_step() {
    let mut harness = harness_with_urgent_queue(1);
    let runs = fill(&mut harness, preemptible(2, cores(4)));
    submit_urgent(&mut harness, 2, urgent(1, cores(3)));
    let stopped = harness.drain_stops();
    assert_eq!(stopped.len(), 1, "one victim frees enough");
    let left: Vec<Run> = runs.into_iter().filter(|run| *run != stopped[0]).collect();
    harness.report(0, &left, &[(1, stopped[0], RunOutcome::Stopped)]);
    harness.advance(20);
    harness.complete_appends();
    let next = harness.drain_starts();
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].1.job.queue, URGENT);
}

/// A task without checkpoints would lose all its work.
#[test]
fn placement_spares_tasks_without_checkpoints() {
    let mut harness = harness_with_urgent_queue(1);
    let step = Step { checkpoints: false, ..preemptible(2, cores(4)) };
    fill(&mut harness, step);
    submit_urgent(&mut harness, 2, urgent(1, cores(3)));
    assert!(harness.drain_stops().is_empty());
}

/// Preemption costs half a second of each victim's work, more than a tiny task gains.
#[test]
fn placement_spares_tasks_worth_more_than_the_gain() {
    let mut harness = harness_with_urgent_queue(1);
    fill(&mut harness, preemptible(2, cores(4)));
    submit_urgent(&mut harness, 2, Step { estimate_ms: 100, ..urgent(1, cores(3)) });
    assert!(harness.drain_stops().is_empty());
}

/// Two jobs of one queue would preempt each other in turn, and neither would end.
#[test]
fn placement_spares_tasks_of_equal_priority() {
    let mut harness = harness_with_urgent_queue(1);
    fill(&mut harness, preemptible(2, cores(4)));
    harness.call(2, Call::Submit(model::job(2, preemptible(1, cores(3)))));
    harness.complete_appends();
    harness.advance(300);
    assert_eq!(harness.machine.state.jobs[&id(2)].job.queue, QUEUE);
    assert!(harness.drain_stops().is_empty());
}

/// If the gang cannot start with the capacity that preemption frees, the victims would be stopped
/// for nothing.
#[test]
fn placement_preempts_nothing_for_part_of_a_gang() {
    let mut harness = harness_with_urgent_queue(1);
    fill(&mut harness, preemptible(2, cores(4)));
    let gang = Step { gang: true, ..urgent(3, cores(4)) };
    submit_urgent(&mut harness, 2, gang);
    assert!(harness.drain_stops().is_empty());
}
