//! Which instance asks the policy service, about which workers, and what its answers allow.

use std::rc::Rc;

use oriolefork::cell::dependencies::Eligibility;
use oriolefork::cell::job::Step;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};
use oriolefork::resource::Amount;

use super::model::{self, cores};
use super::story::Story;

const TERMS: PolicyTiming = PolicyTiming { decide_ms: 20.0, per_worker_ms: 1.0, valid_ms: 1_500 };

/// A cell whose one queue is subject to the policy service.
fn begin(workers: usize) -> Story {
    let mut story = Story::begin(workers);
    let table = model::table();
    let queues = table.queues.iter();
    let queues =
        queues.map(|queue| Queue { policy: Some(TERMS), ..Queue::clone(queue) }.into()).collect();
    let table = QueueConfig { version: 2, queues, services: table.services.clone() };
    story.tell(Message::ConfigChanged(Rc::new(table)));
    story
}

fn submit(story: &mut Story, number: u64) {
    story.ask(number, Call::Submit(model::job(number, model::step(1, cores(1)))));
    story.store_all();
    story.pass(20);
}

/// An instance has just gone. Every question given to it fails at once, so that it is always the
/// first that is free to ask: job after job waits for its advice although others could ask.
#[test]
fn asker_rests_after_a_failure() {
    let mut story = begin(2);
    story.present(1);
    story.present(2);
    submit(&mut story, 1);
    let first = story.questions().pop().expect("a question");
    story.tell(Message::PolicyAnswered { query: first.number, allowed: None });
    story.pass(20);
    let second = story.questions().pop().expect("another question");
    assert_ne!(second.proxy, first.proxy);
    story.allow_all(&second);
    submit(&mut story, 2);
    let third = story.questions().pop().expect("a third question");
    assert_eq!(third.proxy, second.proxy, "the one that failed still rests");
}

/// An instance could not reach the policy service for a while and is well again: it must not stay
/// idle for ever while jobs wait.
#[test]
fn asker_is_asked_again_after_its_rest() {
    let mut story = begin(2);
    story.present(1);
    submit(&mut story, 1);
    let first = story.questions().pop().expect("a question");
    story.tell(Message::PolicyAnswered { query: first.number, allowed: None });
    story.pass(20);
    assert!(story.questions().is_empty());
    story.present(1);
    story.pass(1_000);
    story.present(1);
    story.pass(20);
    let second = story.questions().pop().expect("the same asker again");
    assert_eq!(second.proxy, first.proxy);
    story.allow_all(&second);
    story.store_all();
    assert_eq!(story.starts().len(), 1);
}

/// A site is full. Steps that find no room anywhere keep asking for new tickets as the old ones
/// expire, all instances are busy with that, and a new job waits for its first answer beside room
/// that has just come free. So a step asks only where an answer may let it begin.
#[test]
fn full_site_asks_for_nothing() {
    let mut story = begin(2);
    story.present(1);
    for number in 1..=2 {
        story.ask(number, Call::Submit(model::job(number, model::step(1, cores(8)))));
        story.store_all();
        story.pass(20);
        let question = story.questions().pop().expect("room is left");
        story.allow_all(&question);
        story.store_all();
    }
    assert_eq!(story.starts().len(), 2);
    story.ask(3, Call::Submit(model::job(3, model::step(4, cores(8)))));
    story.store_all();
    for _ in 0..40 {
        story.present(1);
        story.pass(50);
        story.store_all();
    }
    assert!(story.questions().is_empty());
}

/// The workers with the most room are named first, and no more than are needed: each name costs the
/// policy service time, and so the caller.
#[test]
fn question_names_as_many_as_are_needed() {
    let mut story = begin(60);
    story.present(1);
    submit(&mut story, 1);
    let question = story.questions().pop().expect("a question");
    assert_eq!(question.workers.len(), 10);
}

/// The site is idle. The first answer allows one worker, with room for three of a gang's four tasks.
/// That is nearly all, so the gang kept this ticket fresh and waited for the last task's room, while
/// nobody asked about the other workers, until its caller gave the job up for lost.
#[test]
fn gang_asks_further_while_its_workers_are_too_few() {
    let mut story = begin(40);
    story.present(1);
    let demand = Amount { cpu_millis: 2_500, ..cores(1) };
    let gang = Step { gang: true, ..model::step(4, demand) };
    story.ask(1, Call::Submit(model::job(1, gang)));
    story.store_all();
    story.pass(20);
    let first = story.questions().pop().expect("a question");
    assert!(first.workers.len() < 40);
    let allowed =
        Eligibility { workers: vec![(first.workers[0].clone(), "t".into())], valid_ms: None };
    story.tell(Message::PolicyAnswered { query: first.number, allowed: Some(allowed) });
    story.pass(20);
    let second = story.questions().pop().expect("a question about others");
    assert!(second.workers.iter().all(|worker| !first.workers.contains(worker)));
    story.allow_all(&second);
    story.store_all();
    assert_eq!(story.starts().len(), 4);
}
