//! Steps that wait beside free workers because nobody asks the policy service about them.

use std::rc::Rc;

use oriolefork::cell::dependencies::Eligibility;
use oriolefork::cell::job::{Job, Step};
use oriolefork::cell::machine::{Call, Message, PolicyQuery};
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};
use test_case::test_case;

use super::model::{self, cores, id};
use super::story::{Story, WORKER_CLOCK};

/// Queue of gangs: each question about 100 workers takes a second.
const WIDE: (&str, PolicyTiming) =
    ("wide", PolicyTiming { decide_ms: 400.0, per_worker_ms: 6.0, valid_ms: 2_500 });

/// Queue of small tasks, which come after the gangs.
const SMALL: (&str, PolicyTiming) =
    ("small", PolicyTiming { decide_ms: 100.0, per_worker_ms: 1.0, valid_ms: 2_500 });

/// Workers, each with eight cores.
const WORKERS: usize = 100;

/// Instances that can ask.
const ASKERS: u16 = 10;

/// Gangs that find no room, and jobs of one small task each.
const GANGS: u64 = 60;
const JOBS: u64 = 40;

/// Within what a task whose turn has come must be placed while most of the room is free.
const BOUND_MS: u64 = 3_000;

/// A cell with a policy service that answers each instance one question at a time.
struct Site {
    story: Story,
    /// Questions under way with the time of their answer.
    asked: Vec<(u64, PolicyQuery)>,
    advice: Vec<(&'static str, PolicyTiming)>,
}

impl Site {
    /// `target_ms` is the time that small jobs may take.
    fn begin(target_ms: u64) -> Self {
        let mut story = Story::begin(WORKERS);
        let table = model::table();
        let plain = table.queues[0].clone();
        let advised = [WIDE, SMALL].into_iter().enumerate().map(|(priority, (name, advice))| {
            let (name, priority) = (name.to_owned(), priority as u32);
            Rc::new(Queue {
                name,
                priority,
                target_ms,
                policy: Some(advice),
                ..Queue::clone(&plain)
            })
        });
        let queues = [plain.clone()].into_iter().chain(advised).collect();
        let table = QueueConfig { version: 2, queues, services: table.services.clone() };
        story.tell(Message::ConfigChanged(Rc::new(table)));
        Self { story, asked: Vec::new(), advice: vec![WIDE, SMALL] }
    }

    fn submit(&mut self, number: u64, queue: &str, step: Step) {
        let job = Job { queue: queue.to_owned(), ..model::job(number, step) };
        self.story.tell(Message::Call { id: number, call: Call::Submit(job) });
    }

    /// Takes one core of every worker for as long as the test runs.
    fn occupy(&mut self) {
        let step = Step { max_per_worker: 1, ..model::step(WORKERS as u32, cores(1)) };
        self.story.running(999_999, step);
    }

    /// Lets time pass; instances are there, the store takes all, starts and questions are answered.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            (1..=ASKERS).for_each(|asker| self.story.present(asker));
            self.story.pass(9);
            self.story.store_all();
            for start in self.story.starts() {
                self.story.started(&start, Ok(WORKER_CLOCK + self.story.now));
            }
            self.answer();
        }
    }

    fn answer(&mut self) {
        let now = self.story.now;
        for question in self.story.questions() {
            let took = self.time_for(&question);
            self.asked.push((now + took, question));
        }
        let (due, out): (Vec<_>, Vec<_>) = self.asked.drain(..).partition(|(at, _)| *at <= now);
        self.asked = out;
        for (_, question) in due {
            let workers = question.workers.iter().map(|worker| (worker.clone(), "t".to_owned()));
            let allowed = Eligibility { workers: workers.collect(), valid_ms: None };
            self.story
                .tell(Message::PolicyAnswered { query: question.number, allowed: Some(allowed) });
        }
    }

    fn time_for(&self, question: &PolicyQuery) -> u64 {
        let job = &self.story.machine.state.jobs[&question.step.job].job;
        let advice = self.advice.iter().find(|(name, _)| *name == job.queue).expect("advice").1;
        (advice.decide_ms + advice.per_worker_ms * question.workers.len() as f64) as u64
    }

    /// Jobs among `numbers` that no task was placed for.
    fn waiting(&self, numbers: std::ops::Range<u64>) -> usize {
        let placed = |number: &u64| {
            let entry = &self.story.machine.state.jobs[&id(*number)];
            entry
                .open
                .values()
                .flatten()
                .any(|step| step.tasks.iter().any(|task| task.last_run > 0))
        };
        numbers.filter(|number| !placed(number)).count()
    }
}

/// Gangs that find no room, since a little runs on every worker, ask about all workers, with long
/// questions and first in rank. All instances are busy for them, and small tasks wait for half a
/// minute beside workers that are nearly free, without one question asked for them.
#[test_case(60_000; "on_time")]
#[test_case(0; "worthless")]
fn small_tasks_are_asked_about_beside_gangs(target_ms: u64) {
    let mut site = Site::begin(target_ms);
    site.occupy();
    let gang = Step { gang: true, estimate_ms: 60_000, ..model::step(10, cores(8)) };
    for number in 0..GANGS {
        site.submit(1_000 + number, WIDE.0, gang.clone());
    }
    site.run(100);
    for number in 0..JOBS {
        let step = Step { estimate_ms: 1, ..model::step(1, cores(1)) };
        site.submit(5_000 + number, SMALL.0, step);
    }
    site.run(BOUND_MS);
    assert_eq!(site.waiting(1_000..1_000 + GANGS), GANGS as usize, "no gang fits");
    assert_eq!(site.waiting(5_000..5_000 + JOBS), 0, "small tasks that stand still");
}

/// A gang comes that never fits: a little runs on every worker. It waits at the head of its queue, asks
/// about all workers again and again, and the narrow gangs behind it, for which there is room, wait for
/// as long as it does.
#[test_case(60_000; "on_time")]
#[test_case(0; "worthless")]
fn narrow_gangs_are_placed_beside_one_that_never_fits(target_ms: u64) {
    let mut site = Site::begin(target_ms);
    site.occupy();
    for number in 0..3 {
        let gang = Step { gang: true, estimate_ms: 1, ..model::step(WORKERS as u32, cores(8)) };
        site.submit(1_000 + number, WIDE.0, gang);
    }
    site.run(100);
    for number in 0..5 {
        let gang = Step { gang: true, estimate_ms: 1, ..model::step(3, cores(2)) };
        site.submit(5_000 + number, WIDE.0, gang);
    }
    site.run(2 * BOUND_MS);
    assert_eq!(site.waiting(1_000..1_003), 3, "no wide gang fits");
    assert_eq!(site.waiting(5_000..5_005), 0, "narrow gangs that stand still");
}
