//! Mixture of normal distributions fitted to the logarithms of the workers' speeds, by
//! expectation maximisation with the known noise of each observation.

/// Number of speed classes.
pub(super) const CLASSES: usize = 3;

/// Class of a worker of which nothing is known.
pub(super) const MIDDLE_CLASS: u8 = 1;

/// Iterations of one fit, which starts from the result of the one before.
const ITERATIONS: usize = 12;

/// Bounds of the variance within a class: speeds of like machines differ by a few percent.
const VARIANCE_BOUNDS: (f64, f64) = (0.03 * 0.03, 0.5);

/// Least share of a class, so that none is lost for later fits.
const MIN_SHARE: f64 = 0.01;

/// Mean of one worker's samples, and the variance of that mean.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub(super) mean: f64,
    pub(super) variance: f64,
    pub(super) samples: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Class {
    mean: f64,
    share: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Mixture {
    classes: [Class; CLASSES],
    /// Variance within a class.
    variance: f64,
    is_fitted: bool,
}

impl Default for Mixture {
    fn default() -> Self {
        let classes = [Class { mean: 0.0, share: 1.0 / CLASSES as f64 }; CLASSES];
        Self { classes, variance: 0.2, is_fitted: false }
    }
}

impl Mixture {
    /// Standard deviation of the speeds of all classes.
    pub(super) fn spread(&self) -> f64 {
        let mean: f64 = self.classes.iter().map(|class| class.share * class.mean).sum();
        let between: f64 =
            self.classes.iter().map(|class| class.share * (class.mean - mean).powi(2)).sum();
        (between + self.variance).sqrt()
    }

    pub(super) fn fit(&mut self, known: &[Observation]) {
        if known.len() < CLASSES * 2 {
            return;
        }
        let is_collapsed = self.classes[CLASSES - 1].mean - self.classes[0].mean < 0.05;
        if !self.is_fitted || is_collapsed {
            self.spread_classes(known);
        }
        for _ in 0..ITERATIONS {
            self.iterate(known);
        }
        self.classes.sort_by(|one, other| one.mean.total_cmp(&other.mean));
        self.is_fitted = true;
    }

    /// Starts a fit with one class in the middle of each third of the workers.
    fn spread_classes(&mut self, known: &[Observation]) {
        let mut means: Vec<f64> = known.iter().map(|one| one.mean).collect();
        means.sort_by(f64::total_cmp);
        for (number, class) in self.classes.iter_mut().enumerate() {
            class.mean = means[means.len() * (2 * number + 1) / (2 * CLASSES)];
            class.share = 1.0 / CLASSES as f64;
        }
        self.variance = 0.05;
    }

    fn iterate(&mut self, known: &[Observation]) {
        let mut weights = [0.0; CLASSES];
        let mut sums = [0.0; CLASSES];
        let mut variance = 0.0;
        for one in known {
            let shares = self.shares(one);
            let (gain, left) = self.shrinkage(one);
            for (number, share) in shares.into_iter().enumerate() {
                let class = self.classes[number].mean;
                let expected = class + (one.mean - class) * gain;
                weights[number] += share;
                sums[number] += share * expected;
                variance += share * (left + (expected - class).powi(2));
            }
        }
        for (number, class) in self.classes.iter_mut().enumerate() {
            if weights[number] > f64::EPSILON {
                class.mean = sums[number] / weights[number];
            }
            class.share = (weights[number] / known.len() as f64).max(MIN_SHARE);
        }
        let variance = variance / known.len() as f64;
        self.variance = variance.clamp(VARIANCE_BOUNDS.0, VARIANCE_BOUNDS.1);
    }

    /// Weight of the observation against its class, and the variance of the speed that is left.
    fn shrinkage(&self, one: &Observation) -> (f64, f64) {
        let gain = self.variance / (self.variance + one.variance);
        (gain, self.variance * (1.0 - gain))
    }

    /// Probability of each class for the worker.
    fn shares(&self, one: &Observation) -> [f64; CLASSES] {
        let variance = self.variance + one.variance;
        let log =
            |class: &Class| class.share.ln() - (one.mean - class.mean).powi(2) / (2.0 * variance);
        let logs = self.classes.each_ref().map(log);
        let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let shares = logs.map(|log| (log - most).exp());
        let sum: f64 = shares.iter().sum();
        shares.map(|share| share / sum)
    }

    /// Expected speed of the worker and its most probable class.
    pub(super) fn estimate(&self, one: &Observation) -> (f64, u8) {
        if !self.is_fitted {
            let gain = self.variance / (self.variance + one.variance);
            return (one.mean * gain, MIDDLE_CLASS);
        }
        let shares = self.shares(one);
        let (gain, _) = self.shrinkage(one);
        let mut speed = 0.0;
        let mut best = 0;
        for (number, share) in shares.into_iter().enumerate() {
            let class = self.classes[number].mean;
            speed += share * (class + (one.mean - class) * gain);
            if share > shares[best] {
                best = number;
            }
        }
        (speed, best as u8)
    }
}
