//! Which workers get no new tasks because tasks have failed on them.

use oriolefork::cell::job::{Run, RunOutcome};
use oriolefork::cell::machine::Call;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores};

const WORKERS: usize = 8;

/// Time from the start of a task to its end.
const RUN_MS: u64 = 20;

/// A site whose workers run tasks for `RUN_MS` and fail them as `fails` decides.
struct Site<F: Fn(usize, u64) -> bool> {
    harness: OwnerHarness,
    fails: F,
    ended: [Vec<(u64, Run, RunOutcome)>; WORKERS],
    /// Number of starts on each worker.
    starts: [usize; WORKERS],
}

impl<F: Fn(usize, u64) -> bool> Site<F> {
    /// Creates a site on which a task of a job fails on a worker if `fails` is true for both.
    fn new(fails: F) -> Self {
        let harness = OwnerHarness::new(WORKERS);
        Self { harness, fails, ended: Default::default(), starts: [0; WORKERS] }
    }

    fn submit(&mut self, jobs: std::ops::Range<u64>) {
        for number in jobs {
            let job = model::job(number, model::step(1, cores(4)));
            self.harness.call(number, Call::Submit(job));
        }
    }

    /// Lets the owner place what it can, and ends all tasks that start.
    fn turn(&mut self) -> Vec<Run> {
        self.harness.complete_appends();
        self.harness.advance(RUN_MS);
        self.harness.complete_appends();
        let starts = self.harness.drain_starts();
        for start in &starts {
            self.harness.answer_start(start, Ok(WORKER_CLOCK_MS + self.harness.now));
        }
        self.harness.advance(RUN_MS);
        for (worker, start) in &starts {
            let number = u64::from_str_radix(&start.run.task.step.job.to_string(), 16);
            let fails = (self.fails)(*worker, number.expect("a number"));
            let outcome = if fails { RunOutcome::Failed } else { RunOutcome::Succeeded };
            let ended = &mut self.ended[*worker];
            ended.push((ended.len() as u64 + 1, start.run, outcome));
            self.starts[*worker] += 1;
        }
        for worker in 0..WORKERS {
            self.harness.report(worker, &[], &self.ended[worker]);
        }
        self.harness.advance(1);
        starts.into_iter().map(|(_, start)| start.run).collect()
    }

    fn starts_within(&mut self, turns: usize) -> usize {
        (0..turns).map(|_| self.turn().len()).sum()
    }
}

/// Jobs that can never be done come in a row. Every worker on which they failed got no tasks for
/// four seconds, and accepted jobs waited beside idle workers.
#[test]
fn hopeless_jobs_leave_workers_open() {
    const HOPELESS: u64 = 60;
    const OTHERS: usize = 8;
    let mut site = Site::new(|_, job| job < HOPELESS);
    site.submit(0..HOPELESS);
    site.starts_within(10);
    site.submit(HOPELESS..HOPELESS + OTHERS as u64);
    let starts = site.starts_within(10);
    assert!(starts >= OTHERS, "{starts} starts in 0.4 s, although all workers are idle");
}

/// The counterpart: one worker fails all that it starts, and gets little until it recovers.
#[test]
fn failing_worker_is_avoided() {
    let mut site = Site::new(|worker, _| worker == 0);
    for batch in 0..20 {
        site.submit(batch * 16..batch * 16 + 16);
        site.turn();
    }
    let others = site.starts[1..].iter().sum::<usize>() / (WORKERS - 1);
    assert!(site.starts[0] * 4 < others, "{:?} starts by worker", site.starts);
}
