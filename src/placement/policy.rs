//! Rules that a preset gives the engine.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What the system is trying to do at present.
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
    /// Everyday work.
    #[default]
    #[display("ordinary")]
    Ordinary,
    /// Waiting time goes before everything else.
    #[display("peak")]
    Peak,
    /// Workers are being serviced rack by rack.
    #[display("maintenance")]
    Maintenance,
}

/// Which of two measures a deployment weighs more.
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
    /// How fully workers are used.
    #[default]
    #[display("packing")]
    Packing,
    /// How long work waits before it runs.
    #[display("waiting")]
    Waiting,
}

/// How waiting work is ordered and a worker is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Strategy {
    /// First come, first served on the first worker with room.
    FirstFit,
    /// First come, first served on the worker with the least room left.
    BestFit,
    /// Urgency, slack and fair share, with reservations for gangs.
    #[default]
    FairShare,
}

/// How the fit of a task on a worker is rated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum FitMetric {
    /// By what it leaves over in the dimension scarcest in the failure domain.
    #[default]
    Scarcest,
    /// By what it leaves over in all dimensions together.
    Sum,
    /// By how well the shape of the task matches the shape of the room.
    Balance,
}

/// Which run time decides whether a task may use room kept for a gang.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackfillEstimate {
    /// The typical one: more work gets in, and some of it delays the gang.
    Typical,
    /// The safe one.
    #[default]
    UpperBound,
}

/// Rules in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The preset they come from.
    pub preset: Preset,
    /// The deployment's leaning.
    pub objective: Objective,
    /// How work is ordered and workers are chosen.
    pub strategy: Strategy,
    /// How the fit on a worker is rated.
    pub fit: FitMetric,
    /// Whether the shortest work of a team goes first instead of the oldest.
    pub shortest_first: bool,
    /// Jobs at most for which room is kept at a time; the last place is left to gangs.
    pub max_reservations: usize,
    /// Which run time lets other work use that room.
    pub backfill: BackfillEstimate,
    /// Whether urgent work may preempt normal batch tasks.
    pub preemption_enabled: bool,
    /// Thousandths of each worker that normal batch work without a deadline leaves free.
    pub headroom_permille: u64,
    /// Thousandths of the failure domain in use from which normal batch work without a deadline is
    /// held back until it has aged.
    pub hold_batch_above_permille: Option<u64>,
    /// A job whose latest start lies within this span goes before jobs in fair-share order.
    pub slack_window: Duration,
    /// A job that waited this long goes before jobs in fair-share order.
    pub aging_threshold: Duration,
    /// A gang that waited this long lets nothing new start on the workers reserved for it.
    pub hard_reservation_after: Duration,
    /// A gang that waited this long may preempt batch tasks without a deadline, where urgent work
    /// may preempt at all; `None` for never.
    pub gang_preemption_after: Option<Duration>,
    /// Longest run time of a new task on a rack of which a worker drains; `None` for no limit.
    pub drain_horizon: Option<Duration>,
    /// Most tasks started in one call of [`Engine::decide`](super::Engine::decide).
    pub max_starts: usize,
}

impl Policy {
    /// The rules of `preset` in a deployment that objective `objective` more.
    ///
    /// ```
    /// use oriolefork::placement::{Objective, Policy, Preset};
    /// let peak = Policy::for_preset(Preset::Peak, Objective::Packing);
    /// assert!(peak.headroom_permille > Policy::for_preset(Preset::Ordinary, Objective::Packing).headroom_permille);
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

    /// Where the shortest work goes first, the rest is let forward earlier.
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
