//! The engine's policy and the presets that define it.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Operating mode of the failure domain.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Normal operation.
    #[default]
    #[display("ordinary")]
    Ordinary,
    /// Short waiting times take precedence over all other goals.
    #[display("peak")]
    Peak,
    /// Workers are taken out of service rack by rack.
    #[display("maintenance")]
    Maintenance,
}

/// Which of two goals a deployment favours where they conflict.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// High utilization of workers.
    #[default]
    #[display("packing")]
    Packing,
    /// Short waiting times of jobs.
    #[display("waiting")]
    Waiting,
}

/// How waiting jobs are ordered and workers are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Strategy {
    /// First come, first served, on the first worker with enough free capacity.
    FirstFit,
    /// First come, first served, on the worker with the least processor time left.
    BestFit,
    /// Ordered by urgency, slack and fair share, with reservations for gangs and overdue jobs.
    #[default]
    FairShare,
}

/// How the fit of a task on a worker is scored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum FitMetric {
    /// By what is left of the dimension that is scarcest in the failure domain.
    #[default]
    Scarcest,
    /// By the sum of what is left of processors and memory.
    Sum,
    /// By how evenly processors and memory are left over.
    Balance,
}

/// Which run-time estimate decides whether a task may backfill capacity reserved for another
/// job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackfillEstimate {
    /// The typical one: more tasks backfill, and some of them delay the reservation.
    Typical,
    /// The upper bound.
    #[default]
    UpperBound,
}

/// Rules for placement decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The preset that defines them.
    pub preset: Preset,
    /// What the deployment favours.
    pub objective: Objective,
    /// How jobs are ordered and workers are chosen.
    pub strategy: Strategy,
    /// How the fit on a worker is scored.
    pub fit: FitMetric,
    /// Whether the shortest job goes first among jobs of a team with equal demand, not the oldest.
    pub shortest_first: bool,
    /// Most jobs with a reservation at a time; one of the places is only for gangs.
    pub max_reservations: usize,
    /// Which run-time estimate decides about backfilling reserved capacity.
    pub backfill: BackfillEstimate,
    /// Whether jobs may preempt normal batch tasks.
    pub preemption_enabled: bool,
    /// Thousandths of each worker that normal batch jobs without a deadline leave free until they
    /// reach the aging threshold.
    pub headroom_permille: u64,
    /// Thousandths of the failure domain in use from which normal batch jobs without a deadline are
    /// held back, until they reach the aging threshold.
    pub hold_batch_above_permille: Option<u64>,
    /// Jobs whose latest start lies within this span go before jobs in fair-share order.
    pub slack_window: Duration,
    /// Jobs that waited this long go before jobs in fair-share order.
    pub aging_threshold: Duration,
    /// Age from which on a reservation is hard: no new task starts in the reserved
    /// capacity.
    pub hard_reservation_after: Duration,
    /// Age of its reservation from which on a gang may preempt batch tasks without a deadline, if
    /// preemption is enabled; `None` for never.
    pub gang_preemption_after: Option<Duration>,
    /// Longest run time of a new task on a rack with a draining worker, where another rack has
    /// enough free capacity;
    /// `None` for no limit.
    pub drain_horizon: Option<Duration>,
    /// Most tasks to start in one call of [`Engine::decide`](super::Engine::decide).
    pub max_starts: usize,
}

impl Policy {
    /// The rules of `preset` in a deployment that favours `objective`.
    ///
    /// ```
    /// use oriolefork::placement::{Objective, Policy, Preset};
    /// let peak = Policy::for_preset(Preset::Peak, Objective::Packing);
    /// let ordinary = Policy::for_preset(Preset::Ordinary, Objective::Packing);
    /// assert!(peak.headroom_permille > ordinary.headroom_permille);
    /// ```
    pub fn for_preset(preset: Preset, objective: Objective) -> Self {
        let ordinary = Self::ordinary(objective);
        match preset {
            Preset::Ordinary => ordinary,
            Preset::Peak => Self::peak(ordinary),
            Preset::Maintenance => Self::maintenance(ordinary),
        }
    }

    fn ordinary(objective: Objective) -> Self {
        Self {
            preset: Preset::Ordinary,
            objective,
            strategy: Strategy::FairShare,
            fit: FitMetric::Scarcest,
            shortest_first: objective == Objective::Waiting,
            max_reservations: 2,
            backfill: BackfillEstimate::UpperBound,
            preemption_enabled: true,
            headroom_permille: 0,
            hold_batch_above_permille: None,
            slack_window: Duration::from_secs(30 * 60),
            aging_threshold: Self::aging_threshold(objective),
            hard_reservation_after: Duration::from_secs(5 * 60),
            gang_preemption_after: Some(Duration::from_secs(5 * 60)),
            drain_horizon: None,
            max_starts: usize::MAX,
        }
    }

    /// The threshold is lower where the shortest jobs go first, as longer jobs then wait longer.
    fn aging_threshold(objective: Objective) -> Duration {
        match objective {
            Objective::Packing => Duration::from_secs(60 * 60),
            Objective::Waiting => Duration::from_secs(20 * 60),
        }
    }

    fn peak(ordinary: Self) -> Self {
        Self {
            preset: Preset::Peak,
            headroom_permille: 100,
            hold_batch_above_permille: Some(850),
            aging_threshold: Duration::from_secs(60 * 60),
            shortest_first: true,
            slack_window: Duration::from_secs(2 * 60 * 60),
            ..ordinary
        }
    }

    fn maintenance(ordinary: Self) -> Self {
        Self {
            preset: Preset::Maintenance,
            preemption_enabled: false,
            drain_horizon: Some(Duration::from_secs(15 * 60)),
            max_starts: 64,
            ..ordinary
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::for_preset(Preset::default(), Objective::default())
    }
}
