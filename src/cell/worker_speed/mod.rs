//! Speeds of workers, learned from the run times of their tasks.
//!
//! A sample is the logarithm of the expected run time over the time taken. Each worker has a
//! decayed mean of its samples. The means are shrunk towards a mixture of three speed classes that
//! is fitted to the whole site, so that few samples suffice where workers come in a few speeds.
//! A sequential test on single samples detects a worker that turns slow, and its recovery, far
//! sooner than the mean does.
//!
//! ```
//! use std::net::SocketAddr;
//! use std::time::Duration;
//!
//! use oriolefork::cell::worker_speed::{Key, Model};
//! use oriolefork::clock::Instant;
//!
//! let key = |number: u16| Key::new(SocketAddr::from(([10, 0, 0, 1], number)), ["a"]);
//! let mut model = Model::default();
//! let now = Instant::from_millis(0);
//! for round in 0..20 {
//!     for number in 0..30 {
//!         // A third of the workers takes twice as long as the others.
//!         let factor = if number % 3 == 0 { 2.0 } else { 1.0 };
//!         let noise = if (round + number) % 2 == 0 { 0.8 } else { 1.25 };
//!         model.record(&key(number), 1_000.0, 1_000.0 * factor * noise, now);
//!     }
//! }
//! model.refresh(now);
//! assert!(model.is_uneven());
//! let ratio = model.speed(&key(1)) / model.speed(&key(0));
//! assert!((1.8..2.2).contains(&ratio), "{ratio}");
//! ```

mod mixture;
mod slowdown;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::mixture::{Mixture, Observation};
use self::slowdown::{Slowdown, Transition, noise_likelihood, tail_share};
use super::dependencies::WorkerInfo;
use crate::clock::Instant;

/// Speed of a worker of which nothing is known, relative to the mean of the site.
pub const MEAN_SPEED: f64 = 1.0;

/// Interval between two fits of the site's speed classes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Number of samples that the decayed mean of a worker stands for at most.
const MAX_SAMPLES: f64 = 60.0;

/// Time after which samples count half: workers are replaced and reconfigured within minutes.
const HALF_LIFE_S: f64 = 300.0;

/// Standard deviation of the samples of one worker before it has been observed; the sites' run
/// times have 0.5.
const INITIAL_NOISE: f64 = 0.6;

/// Weight of one sample in the noise, which follows the last few hundred.
const NOISE_WEIGHT: f64 = 0.004;

/// Bounds of the noise, so that the likelihoods stay finite.
const NOISE_BOUNDS: (f64, f64) = (0.1, 1.5);

/// Largest logarithm of a sample; anything beyond says only that the expected time was wrong.
const MAX_SAMPLE: f64 = 4.0;

/// Samples of a worker from which it counts in the test of whether workers differ.
const MIN_SAMPLES: f64 = 4.0;

/// Workers with that many samples from which the test is made.
const MIN_WORKERS: usize = 6;

/// Standard deviations beyond its expected value from which the dispersion of the workers' means is
/// significant, and below which it is not any more.
const SIGNIFICANT: (f64, f64) = (6.0, 2.0);

/// Smallest standard deviation of the logarithm of the speeds that placement should consider.
const MIN_SPREAD: f64 = 0.12;

/// Workers that are known at most; the ones whose latest sample is oldest are dropped.
const MAX_WORKERS: usize = 8_192;

/// Steps of a stored logarithm of a speed.
const STORED_STEPS: f64 = 40.0;

/// Number of samples for which a stored speed counts at most.
const MAX_STORED_SAMPLES: f64 = 12.0;

/// A machine and the kind of worker on it. A new incarnation of a worker at the same address with
/// the same labels has the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    address: SocketAddr,
    /// Hash of the labels, the rack's included.
    kind: u64,
}

impl Key {
    /// Returns the key of a worker at `address` with these labels.
    pub fn new<'a>(address: SocketAddr, labels: impl IntoIterator<Item = &'a str>) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for label in labels {
            hasher.update(label.as_bytes());
            hasher.update(&[0]);
        }
        Self { address, kind: hasher.digest() }
    }

    /// Returns the key of a listed worker. Its rack counts as a label.
    pub fn of(listed: &WorkerInfo) -> Self {
        Self::new(listed.address, listed.labels.iter().chain(&listed.rack).map(String::as_str))
    }
}

/// Speed of one worker in the form in which it is stored: under 40 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSpeed {
    /// The worker.
    pub key: Key,
    /// Logarithm of its speed, in fortieths.
    pub log_speed: i8,
    /// Samples that it is based on.
    pub samples: u8,
}

/// What is known of one worker. Speeds are logarithms here.
#[derive(Clone, Debug)]
struct Entry {
    sum: f64,
    /// Decayed number of samples.
    samples: f64,
    /// Estimate of the latest fit, relative to the mean of the site.
    fitted: f64,
    /// Speed class in the latest fit.
    class: u8,
    updated: Instant,
    slowdown: Slowdown,
}

impl Entry {
    fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            samples: 0.0,
            fitted: 0.0,
            class: mixture::MIDDLE_CLASS,
            updated: now,
            slowdown: Slowdown::default(),
        }
    }

    fn decay(&mut self, now: Instant) {
        let age_s = now.since(self.updated).as_secs_f64();
        let factor = (-age_s / HALF_LIFE_S).exp2();
        self.sum *= factor;
        self.samples *= factor;
        self.updated = self.updated.max(now);
    }

    fn add(&mut self, sample: f64, weight: f64) {
        self.sum += sample * weight;
        self.samples += weight;
        if self.samples > MAX_SAMPLES {
            self.sum *= MAX_SAMPLES / self.samples;
            self.samples = MAX_SAMPLES;
        }
    }
}

/// Speeds of a site's workers.
#[derive(Clone, Debug)]
pub struct Model {
    workers: HashMap<Key, Entry>,
    mixture: Mixture,
    /// Standard deviation of the samples of one worker.
    noise: f64,
    /// Logarithm of the mean speed as the samples state it.
    mean: f64,
    /// Whether the workers' means differ by more than the noise.
    is_dispersed: bool,
    slow_count: usize,
    /// Changes whenever any speed may have changed.
    version: u64,
    next_refresh: Instant,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            workers: HashMap::new(),
            mixture: Mixture::default(),
            noise: INITIAL_NOISE,
            mean: 0.0,
            is_dispersed: false,
            slow_count: 0,
            version: 0,
            next_refresh: Instant::default(),
        }
    }
}

impl Model {
    /// Records that a task that was expected to take `expected_ms` on a worker of mean speed took
    /// `took_ms`. Ignores values that are not positive numbers.
    pub fn record(&mut self, worker: &Key, expected_ms: f64, took_ms: f64, now: Instant) {
        let sample = expected_ms.ln() - took_ms.max(1.0).ln();
        if !sample.is_finite() {
            return;
        }
        let sample = sample.clamp(-MAX_SAMPLE, MAX_SAMPLE);
        let (noise, mean) = (self.noise, self.mean);
        let entry = self.workers.entry(*worker).or_insert_with(|| Entry::new(now));
        entry.decay(now);
        let prior = self.mixture.spread().max(MIN_SPREAD).powi(2);
        let precision = entry.samples / noise.powi(2) + 1.0 / prior;
        let own = entry.sum / noise.powi(2) + (mean + entry.fitted) / prior;
        let expected = own / precision;
        let residual = sample - expected;
        // A worker with few samples may have any speed of the site.
        let predictive = (noise.powi(2) + 1.0 / precision).sqrt();
        let started = now.before(Duration::from_millis(took_ms as u64));
        let transition = entry.slowdown.observe(residual, predictive, started, now);
        match transition {
            Transition::None => {}
            Transition::Slowed => self.slow_count += 1,
            Transition::Recovered => self.slow_count -= 1,
        }
        if transition != Transition::None {
            self.version += 1;
        }
        if entry.slowdown.is_slow() {
            return;
        }
        let weight = 1.0 - tail_share(residual, predictive);
        if entry.samples >= MIN_SAMPLES && noise_likelihood(residual, predictive) > 0.0 {
            let share = NOISE_WEIGHT * weight;
            let variance = residual.powi(2) * noise.powi(2) / predictive.powi(2);
            self.noise = (noise.powi(2) * (1.0 - share) + variance * share).sqrt();
            self.noise = self.noise.clamp(NOISE_BOUNDS.0, NOISE_BOUNDS.1);
        }
        entry.add(sample, weight);
    }

    /// Fits the speed classes of the site again if that is due; returns whether speeds may have
    /// changed.
    pub fn refresh(&mut self, now: Instant) -> bool {
        if now < self.next_refresh {
            return false;
        }
        self.next_refresh = now.after(REFRESH_INTERVAL);
        if self.workers.is_empty() {
            return false;
        }
        self.version += 1;
        self.drop_oldest();
        for entry in self.workers.values_mut() {
            entry.decay(now);
            if entry.slowdown.expire(now) {
                self.slow_count -= 1;
            }
        }
        let groups = self.group_means();
        let noise = self.noise.powi(2);
        let observe = |(key, entry): (&Key, &Entry)| {
            let (group, weight) = groups.get(&key.kind).copied().unwrap_or((0.0, 0.0));
            let samples = entry.samples + weight;
            let mean = (entry.sum + group * weight) / samples.max(f64::MIN_POSITIVE);
            Observation { mean, variance: noise / samples.max(0.05), samples: entry.samples }
        };
        // The order of a hash map is random; the result of the fit must not depend on it.
        let mut observed: Vec<(Key, Observation)> =
            self.workers.iter().map(|entry| (*entry.0, observe(entry))).collect();
        observed.sort_by_key(|(key, _)| *key);
        let known: Vec<Observation> =
            observed.iter().map(|(_, one)| *one).filter(|one| one.samples >= 1.0).collect();
        self.is_dispersed = self.is_significant(&known);
        self.mixture.fit(&known);
        let total: f64 = known.iter().map(|one| self.mixture.estimate(one).0).sum();
        self.mean = total / known.len().max(1) as f64;
        for (key, one) in &observed {
            if let Some(entry) = self.workers.get_mut(key) {
                let (estimate, class) = self.mixture.estimate(one);
                (entry.fitted, entry.class) = (estimate - self.mean, class);
            }
        }
        true
    }

    /// Whether the workers' means differ by more than the noise explains, with hysteresis.
    fn is_significant(&self, known: &[Observation]) -> bool {
        let tested: Vec<&Observation> =
            known.iter().filter(|one| one.samples >= MIN_SAMPLES).collect();
        if tested.len() < MIN_WORKERS {
            return self.is_dispersed && !tested.is_empty();
        }
        let weight: f64 = tested.iter().map(|one| 1.0 / one.variance).sum();
        let mean = tested.iter().map(|one| one.mean / one.variance).sum::<f64>() / weight;
        let dispersion: f64 =
            tested.iter().map(|one| (one.mean - mean).powi(2) / one.variance).sum();
        let freedom = (tested.len() - 1) as f64;
        let excess = (dispersion - freedom) / (2.0 * freedom).sqrt();
        let between = (dispersion - freedom) / weight;
        let (rise, fall) = SIGNIFICANT;
        if self.is_dispersed {
            excess > fall && between > (MIN_SPREAD / 2.0).powi(2)
        } else {
            excess > rise && between > MIN_SPREAD.powi(2)
        }
    }

    /// Mean of each kind of worker, and the number of samples that it counts for as the prior of
    /// one. The number is zero where kinds explain less than half of the variance.
    fn group_means(&self) -> BTreeMap<u64, (f64, f64)> {
        let mut groups: BTreeMap<u64, Vec<(f64, f64)>> = BTreeMap::new();
        let mut known: Vec<(&Key, &Entry)> =
            self.workers.iter().filter(|(_, entry)| entry.samples >= MIN_SAMPLES).collect();
        known.sort_by_key(|(key, _)| **key);
        for (key, entry) in known {
            let one = (entry.sum / entry.samples, self.noise.powi(2) / entry.samples);
            groups.entry(key.kind).or_default().push(one);
        }
        groups.retain(|_, members| members.len() >= 3);
        let all: Vec<(f64, f64)> = groups.values().flatten().copied().collect();
        if groups.len() < 3 {
            return BTreeMap::new();
        }
        let within = groups.values().map(|members| excess_variance(members) * members.len() as f64);
        let within = within.sum::<f64>() / all.len() as f64;
        let total = excess_variance(&all);
        if total <= 0.0 || within > total / 2.0 {
            return BTreeMap::new();
        }
        let weight = self.noise.powi(2) / within.max(MIN_SPREAD.powi(2));
        groups.into_iter().map(|(kind, members)| (kind, (mean(&members), weight))).collect()
    }

    fn drop_oldest(&mut self) {
        if self.workers.len() <= MAX_WORKERS {
            return;
        }
        let mut ages: Vec<(Instant, Key)> =
            self.workers.iter().map(|(key, entry)| (entry.updated, *key)).collect();
        ages.sort();
        for (_, key) in &ages[..ages.len() - MAX_WORKERS] {
            if self.workers.remove(key).is_some_and(|entry| entry.slowdown.is_slow()) {
                self.slow_count -= 1;
            }
        }
    }

    /// Whether the workers differ by more than the noise.
    pub const fn is_uneven(&self) -> bool {
        self.is_dispersed || self.slow_count > 0
    }

    /// Speed of a worker relative to the mean of the site.
    pub fn speed(&self, worker: &Key) -> f64 {
        self.speed_and_class(worker).0
    }

    /// Speed of a worker relative to the mean of the site, and its speed class, from 0 for workers
    /// that have turned slow to [`Model::CLASSES`] - 1 for the fastest.
    pub fn speed_and_class(&self, worker: &Key) -> (f64, u8) {
        let Some(entry) = self.workers.get(worker) else {
            return (MEAN_SPEED, mixture::MIDDLE_CLASS + 1);
        };
        let (usual, class) = if self.is_dispersed {
            (entry.fitted, entry.class)
        } else {
            (0.0, mixture::MIDDLE_CLASS)
        };
        match entry.slowdown.slow_offset() {
            Some(offset) => ((usual + offset).exp(), 0),
            None => (usual.exp(), class + 1),
        }
    }

    /// Number of speed classes, that of workers that have turned slow included.
    pub const CLASSES: usize = mixture::CLASSES + 1;

    /// Standard deviation of the logarithm of the run times on one worker.
    pub const fn noise(&self) -> f64 {
        self.noise
    }

    /// Number that changes whenever any speed may have changed.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the speeds in the form in which they are stored, in the order of the keys.
    pub fn export(&self) -> Vec<StoredSpeed> {
        let known = self.workers.iter().filter(|(_, entry)| entry.samples >= 1.0);
        let mut stored: Vec<StoredSpeed> = known
            .map(|(key, entry)| StoredSpeed {
                key: *key,
                log_speed: ((entry.sum / entry.samples - self.mean) * STORED_STEPS).round() as i8,
                samples: entry.samples.round() as u8,
            })
            .collect();
        stored.sort_by_key(|one| one.key);
        stored
    }

    /// Takes over stored speeds. Workers of which samples are known already keep theirs.
    pub fn import(&mut self, stored: &[StoredSpeed], now: Instant) {
        for one in stored.iter().take(MAX_WORKERS) {
            let entry = self.workers.entry(one.key).or_insert_with(|| Entry::new(now));
            if entry.samples > 0.0 {
                continue;
            }
            let samples = f64::from(one.samples).min(MAX_STORED_SAMPLES);
            entry.add(self.mean + f64::from(one.log_speed) / STORED_STEPS, samples);
        }
        self.next_refresh = now;
        self.refresh(now);
    }
}

fn mean(members: &[(f64, f64)]) -> f64 {
    members.iter().map(|(mean, _)| mean).sum::<f64>() / members.len() as f64
}

/// Variance of the means beyond that of their noise.
fn excess_variance(members: &[(f64, f64)]) -> f64 {
    let centre = mean(members);
    let freedom = (members.len() - 1).max(1) as f64;
    let observed = members.iter().map(|(mean, _)| (mean - centre).powi(2)).sum::<f64>() / freedom;
    let noise = members.iter().map(|(_, noise)| noise).sum::<f64>() / members.len() as f64;
    (observed - noise).max(0.0)
}
