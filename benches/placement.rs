//! Speed of placement decisions at the size of today and at the size planned for.
//!
//! `cargo bench --bench placement` prints the percentiles of one decision in each situation, then
//! criterion's figures. Every state is drawn from one seed.

// criterion's macro makes a public function without documentation.
#![allow(missing_docs)]

use std::hint::black_box;
use std::time::{Duration, Instant as Stopwatch};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hdrhistogram::Histogram;
use oriolefork::clock::{Instant, Unix};
use oriolefork::job::{self, Kind, Urgency};
use oriolefork::placement::{
    Decision, Engine, Objective, Policy, Preset, Request, SchedulingState,
};
use oriolefork::resource::Amount;
use oriolefork::task::{self, End};
use oriolefork::worker;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 20_261_202;
const TEAMS: u64 = 27;
const RACK: usize = 8;
const NAMES: u64 = 40;
/// Decisions measured in each situation.
const DECISIONS: usize = 20_000;

/// A failure domain of a size.
#[derive(Clone, Copy)]
struct Size {
    label: &'static str,
    workers: usize,
    tasks: usize,
    accelerators: usize,
    cores: u64,
    gib: u64,
}

const PLANNED: Size = Size {
    label: "1,000 workers, 29,000 tasks",
    workers: 1_000,
    tasks: 29_000,
    accelerators: 1_700,
    cores: 64,
    gib: 128,
};
const TODAY: Size = Size {
    label: "50 workers, 1,450 tasks",
    workers: 50,
    tasks: 1_450,
    accelerators: 85,
    cores: 64,
    gib: 128,
};

/// An engine with tasks, and what is needed to go on.
struct Bed {
    engine: Engine,
    rng: SmallRng,
    tasks: usize,
    running: Vec<task::Id>,
    jobs: u64,
    millis: u64,
}

impl Bed {
    fn empty(size: Size) -> Self {
        let mut engine = Engine::new(Policy::for_preset(Preset::Ordinary, Objective::Packing));
        for index in 0..size.workers {
            let spare = usize::from(index < size.accelerators % size.workers);
            let capacity = Amount {
                cpu_millis: size.cores * 1_000,
                memory_mib: size.gib * 1_024,
                accelerators: (size.accelerators / size.workers + spare) as u64,
            };
            let rack = format!("rack-{}", index / RACK);
            let name = worker::Name::from(format!("worker-{index}"));
            engine.upsert_worker(&name, &rack, capacity, SchedulingState::Open);
        }
        let rng = SmallRng::seed_from_u64(SEED);
        Self { engine, rng, tasks: size.tasks, running: Vec::new(), jobs: 0, millis: 0 }
    }

    /// Runs the size's number of tasks.
    fn loaded(size: Size) -> Self {
        let mut bed = Self::empty(size);
        while bed.running.len() < size.tasks {
            for _ in 0..200 {
                let request = bed.request();
                bed.engine.enqueue(request);
            }
            if bed.decide(usize::MAX) == 0 {
                break;
            }
        }
        bed
    }

    /// Has workers that are full, and jobs that wait.
    fn backlogged(size: Size, waiting: usize) -> Self {
        let mut bed = Self::loaded(size);
        for _ in 0..waiting {
            let request = Request { demand: bed.large(), ..bed.request() };
            bed.engine.enqueue(request);
        }
        while bed.decide(usize::MAX) > 0 {}
        for _ in 0..200 {
            bed.decide(usize::MAX);
        }
        bed
    }

    fn large(&mut self) -> Amount {
        let cores = self.rng.random_range(4..24u64);
        Amount { cpu_millis: cores * 1_000, memory_mib: cores * 2_048, accelerators: 0 }
    }

    fn request(&mut self) -> Request {
        self.jobs += 1;
        let job = job::Id::from_raw(self.jobs);
        let name = self.rng.random_range(0..NAMES);
        let kind = match self.rng.random_range(0..100) {
            0..20 => Kind::LongRunning,
            20..97 => Kind::Batch,
            _ => Kind::Gang,
        };
        let tasks = if kind == Kind::Gang { 8 } else { self.rng.random_range(1..4) };
        let accelerators = u64::from(self.rng.random_range(0..100) < 4);
        let cores = [250, 500, 1_000, 1_500, 2_000][self.rng.random_range(0..5)];
        Request {
            job,
            team: format!("team-{}", self.rng.random_range(0..TEAMS)),
            name: format!("name-{name}"),
            kind,
            urgency: Urgency::Normal,
            deadline: name.is_multiple_of(4).then(|| Unix::from_millis(self.millis + 7_200_000)),
            run_time: Some(Duration::from_secs(60 + name * 30)),
            demand: Amount { cpu_millis: cores, memory_mib: cores * 2, accelerators },
            tasks: (0..tasks).map(|index| task::Id { job, index, attempt: 0 }).collect(),
            queued: Instant::from_millis(self.millis),
        }
    }

    /// Decides once; returns the tasks started.
    fn decide(&mut self, limit: usize) -> usize {
        self.millis += 10;
        let (now, unix) = (Instant::from_millis(self.millis), Unix::from_millis(self.millis));
        let decisions = self.engine.decide(now, unix, limit);
        self.note(&decisions)
    }

    fn note(&mut self, decisions: &[Decision]) -> usize {
        let before = self.running.len();
        for decision in decisions {
            if let Decision::Start { tasks, .. } = decision {
                self.running.extend(tasks.iter().map(|assignment| assignment.task));
            }
        }
        self.running.len() - before
    }

    /// Ends tasks until the size's number runs, then submits a job.
    fn replace_one(&mut self) {
        while self.running.len() > self.tasks {
            self.end_one();
        }
        let request = self.request();
        self.engine.enqueue(request);
    }

    /// Ends a running task drawn at random.
    fn end_one(&mut self) {
        let index = self.rng.random_range(0..self.running.len());
        let task = self.running.swap_remove(index);
        self.engine.finish(task, End::Succeeded, Instant::from_millis(self.millis));
    }
}

/// Measures decisions, each after `before`.
fn measure(
    bed: &mut Bed,
    count: usize,
    mut before: impl FnMut(&mut Bed),
) -> (Histogram<u64>, usize) {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    let mut started = 0;
    for _ in 0..count {
        before(bed);
        let stopwatch = Stopwatch::now();
        let tasks = bed.decide(usize::MAX);
        let nanos = u64::try_from(stopwatch.elapsed().as_nanos()).unwrap_or(u64::MAX);
        histogram.record(nanos.max(1)).expect("the histogram grows by itself");
        started += tasks;
    }
    (histogram, started)
}

fn print(label: &str, histogram: &Histogram<u64>, started: usize) {
    let micros = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{label:<34} p50 {:>8.1} us  p99 {:>8.1} us  p99.9 {:>8.1} us  max {:>8.1} us  started {started}",
        micros(0.5),
        micros(0.99),
        micros(0.999),
        histogram.max() as f64 / 1_000.0,
    );
}

fn percentiles(size: Size) {
    println!("{}", size.label);
    let mut bed = Bed::loaded(size);
    println!("  {} tasks run", bed.engine.allocated_tasks());
    let (histogram, started) = measure(&mut bed, DECISIONS, Bed::replace_one);
    print("  one job a decision", &histogram, started);

    let mut bed = Bed::backlogged(size, 10_000);
    let (histogram, started) = measure(&mut bed, DECISIONS / 4, Bed::end_one);
    print("  10,000 jobs wait, one task ends", &histogram, started);

    let mut bed = Bed::backlogged(size, 1_000);
    let (histogram, started) = measure(&mut bed, 1_000, |bed| {
        let demand = bed.large();
        let request = bed.request();
        let urgent = Request { urgency: Urgency::Urgent, kind: Kind::Batch, demand, ..request };
        bed.engine.enqueue(urgent);
    });
    print("  urgent job on full workers", &histogram, started);

    let mut bed = Bed::backlogged(size, 10_000);
    let stopwatch = Stopwatch::now();
    (1..=bed.jobs).for_each(|job| bed.engine.withdraw(job::Id::from_raw(job)));
    let nanos = stopwatch.elapsed().as_nanos() as f64 / bed.jobs as f64;
    println!("  withdraw in a wave                 mean {nanos:.0} ns a job");
    burst(size);
}

/// Places the size's tasks from nothing, a thousand tasks a decision.
fn burst(size: Size) {
    let mut bed = Bed::empty(size);
    for _ in 0..size.tasks / 2 {
        let request = bed.request();
        bed.engine.enqueue(request);
    }
    let stopwatch = Stopwatch::now();
    while bed.running.len() < size.tasks && bed.decide(1_000) > 0 {}
    let seconds = stopwatch.elapsed().as_secs_f64();
    let tasks = bed.running.len();
    println!("  burst of {tasks} tasks: {:.0} placements a second", tasks as f64 / seconds);
}

fn decisions(criterion: &mut Criterion) {
    percentiles(PLANNED);
    percentiles(TODAY);
    for size in [PLANNED, TODAY] {
        let mut bed = Bed::loaded(size);
        criterion.bench_function(&format!("decide one job, {}", size.label), |bencher| {
            bencher.iter(|| {
                bed.replace_one();
                black_box(bed.decide(usize::MAX))
            });
        });
        criterion.bench_function(&format!("place 1,000 tasks, {}", size.label), |bencher| {
            let filled = || {
                let mut bed = Bed::empty(size);
                for _ in 0..600 {
                    let request = bed.request();
                    bed.engine.enqueue(request);
                }
                bed
            };
            bencher.iter_batched(filled, |mut bed| bed.decide(1_000), BatchSize::LargeInput);
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2));
    targets = decisions
}
criterion_main!(benches);
