//! A day of jobs, drawn from a seed.

use std::time::Duration;

use oriolefork::job::{Kind, Urgency};
use oriolefork::placement::Objective;
use oriolefork::resource::Amount;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::secs;

pub const WORKERS: usize = 50;
pub const RACK: usize = 8;
/// Length of the replay.
pub const DAY: u64 = 12 * 3_600;
const TEAMS: usize = 6;
const NAMES: usize = 40;
/// Start and deadline of the nightly wave.
pub const NIGHT: u64 = 2 * 3_600;
pub const MORNING: u64 = 5 * 3_600;
/// Start of the hours in which more arrives than can run.
pub const PEAK: std::ops::Range<u64> = 6 * 3_600..8 * 3_600;
/// A wave that is cancelled before most of it has run.
const WAVE: u64 = 9 * 3_600;
pub const CANCEL: u64 = WAVE + 600;
/// When some workers begin to fail everything, and when they stop to.
pub const BROKEN: std::ops::Range<u64> = 3_600..4 * 3_600;
pub const BROKEN_WORKERS: [usize; 2] = [7, 23];

/// A deployment.
pub struct Site {
    pub label: &'static str,
    pub cores: u64,
    pub gib: u64,
    pub objective: Objective,
}

/// A job as it is and as it is declared.
#[derive(Clone, Debug)]
pub struct Job {
    pub at: u64,
    pub team: usize,
    pub name: usize,
    pub kind: Kind,
    pub urgency: Urgency,
    pub tasks: u32,
    pub demand: Amount,
    pub usage: Amount,
    pub declared: Option<Duration>,
    pub run: Duration,
    pub deadline: Option<u64>,
    pub fails: bool,
    pub cancelled: bool,
}

/// What runs of one job name have in common.
struct Recipe {
    cores: u64,
    memory: u64,
    seconds: u64,
    wrong_time: Option<f64>,
    wrong_size: f64,
}

/// All jobs of a day in the order of their arrival.
pub fn draw(site: &Site, seed: u64) -> Vec<Job> {
    let mut draw = Draw::new(site, seed);
    draw.services();
    draw.nightly();
    draw.trickle();
    draw.gangs();
    draw.wave();
    draw.jobs.sort_by_key(|job| job.at);
    draw.jobs
}

struct Draw<'a> {
    site: &'a Site,
    rng: SmallRng,
    recipes: Vec<Recipe>,
    jobs: Vec<Job>,
}

impl<'a> Draw<'a> {
    fn new(site: &'a Site, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let recipes = (0..NAMES).map(|name| Recipe::draw(site, name, &mut rng)).collect();
        Self { site, rng, recipes, jobs: Vec::new() }
    }

    fn capacity(&self) -> u64 {
        self.site.cores * WORKERS as u64
    }

    /// Long-running jobs that hold a fifth of the processors.
    fn services(&mut self) {
        let mut cores = 0;
        while cores < self.capacity() / 5 {
            let each = self.rng.random_range(1..=self.site.cores / 8);
            let tasks = self.rng.random_range(2..6);
            cores += each * u64::from(tasks);
            let demand = self.amount(each, each * 2);
            let at = self.rng.random_range(0..600);
            self.push(at, Kind::LongRunning, tasks, demand, secs(2 * DAY));
        }
    }

    /// Backups and rebuilds that arrive at once and must end by the morning.
    fn nightly(&mut self) {
        let budget = self.capacity() * (MORNING - NIGHT) * 40 / 100;
        let mut work = 0;
        while work < budget {
            let name = self.rng.random_range(0..NAMES / 2);
            let at = NIGHT + self.rng.random_range(0..1_800);
            work += self.batch(at, name);
            let job = self.jobs.last_mut().expect("a job was just added");
            job.deadline = Some(MORNING);
        }
    }

    /// Batch work through the day, at the peak more than can run.
    fn trickle(&mut self) {
        let mut at = 0.0f64;
        while at < DAY as f64 {
            let second = at as u64;
            let load = if PEAK.contains(&second) { 0.80 } else { 0.35 };
            let name = self.rng.random_range(0..NAMES);
            let work = self.batch(second, name);
            let job = self.jobs.last_mut().expect("a job was just added");
            match self.rng.random_range(0..100) {
                0..3 => job.urgency = Urgency::Urgent,
                3..5 => job.demand.cpu_millis = self.site.cores * 2_000,
                5..15 => job.deadline = Some(second + 2 * job.run.as_secs() + 900),
                _ => {}
            }
            at += work as f64 / (self.capacity() as f64 * load);
        }
    }

    fn gangs(&mut self) {
        for at in (900..DAY).step_by(900) {
            let tasks = [4, 8, 16][self.rng.random_range(0..3)];
            let cores = self.rng.random_range(self.site.cores / 4..=self.site.cores / 2);
            let demand = self.amount(cores, cores * 2);
            let run = secs(self.rng.random_range(120..900));
            self.push(at, Kind::Gang, tasks, demand, run);
        }
    }

    fn wave(&mut self) {
        for _ in 0..3_000 {
            let name = self.rng.random_range(0..NAMES);
            self.batch(WAVE, name);
            self.jobs.last_mut().expect("a job was just added").cancelled = true;
        }
    }

    /// Adds a batch job; returns its core seconds.
    fn batch(&mut self, at: u64, name: usize) -> u64 {
        let recipe = &self.recipes[name];
        let spread = (self.rng.random::<f64>() + self.rng.random::<f64>()).powi(2);
        let seconds = (recipe.seconds as f64 * spread.max(0.05)) as u64 + 1;
        let demand = self.amount(recipe.cores, recipe.memory);
        let wrong_size = recipe.wrong_size;
        let declared =
            recipe.wrong_time.map(|wrong| secs((recipe.seconds as f64 * wrong) as u64 + 1));
        let tasks = self.rng.random_range(1..4);
        self.push(at, Kind::Batch, tasks, demand, secs(seconds));
        let job = self.jobs.last_mut().expect("a job was just added");
        job.name = name;
        job.team = name % TEAMS;
        job.declared = declared;
        job.usage = Amount { memory_mib: (demand.memory_mib as f64 * wrong_size) as u64, ..demand };
        job.fails = name == NAMES - 1;
        demand.cpu_millis / 1_000 * seconds * u64::from(tasks)
    }

    fn push(&mut self, at: u64, kind: Kind, tasks: u32, demand: Amount, run: Duration) {
        self.jobs.push(Job {
            at,
            team: self.jobs.len() % TEAMS,
            name: NAMES + self.jobs.len() % TEAMS,
            kind,
            urgency: Urgency::Normal,
            tasks,
            demand,
            usage: demand,
            declared: Some(run),
            run,
            deadline: None,
            fails: false,
            cancelled: false,
        });
    }

    fn amount(&self, cores: u64, gib: u64) -> Amount {
        Amount { cpu_millis: cores * 1_000, memory_mib: gib * 1_024, accelerators: 0 }
    }
}

impl Recipe {
    /// Some names need much memory, some much processor time; half declare false run times.
    fn draw(site: &Site, name: usize, rng: &mut SmallRng) -> Self {
        let cores = rng.random_range(1..=site.cores / 4);
        let per_core = site.gib / site.cores;
        let memory = match name % 3 {
            0 => cores * per_core,
            1 => (cores * per_core / 3).max(1),
            _ => cores * per_core * 2,
        };
        let seconds = [20, 60, 180, 600, 1_500][rng.random_range(0..5)];
        let wrong_time = match name % 5 {
            0 => None,
            1 => Some(0.2),
            2 => Some(4.0),
            _ => Some(1.0),
        };
        let wrong_size = if name.is_multiple_of(10) { 1.4 } else { 1.0 };
        Self { cores, memory, seconds, wrong_time, wrong_size }
    }
}
