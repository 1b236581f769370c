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
pub enum Leaning {
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
    Chosen,
}

/// How the fit of a task on a worker is rated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fit {
    /// By what it leaves over in the dimension scarcest in the failure domain.
    #[default]
    Scarcest,
    /// By what it leaves over in all dimensions together.
    Sum,
    /// By how well the shape of the task matches the shape of the room.
    Shape,
}

/// Which run time decides whether a task may use room kept for a gang.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Backfill {
    /// The typical one: more work gets in, and some of it delays the gang.
    Typical,
    /// The safe one.
    #[default]
    Safe,
}

/// Rules in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The preset they come from.
    pub preset: Preset,
    /// The deployment's leaning.
    pub weighs: Leaning,
    /// How work is ordered and workers are chosen.
    pub strategy: Strategy,
    /// How the fit on a worker is rated.
    pub fit: Fit,
    /// Whether the shortest work of a team goes first instead of the oldest.
    pub shortest_first: bool,
    /// Jobs at most for which room is kept at a time; the last place is left to gangs.
    pub reservations: usize,
    /// Which run time lets other work use that room.
    pub backfill: Backfill,
    /// Whether urgent work may preempt normal batch tasks.
    pub preempts: bool,
    /// Thousandths of each worker that normal batch work without a deadline leaves free.
    pub headroom: u64,
    /// Thousandths of the failure domain in use from which normal batch work without a deadline is
    /// held back until it has aged.
    pub hold_above: Option<u64>,
    /// A job whose latest start lies within this span goes before jobs in fair-share order.
    pub slack_window: Duration,
    /// A job that waited this long goes before jobs in fair-share order.
    pub age_bound: Duration,
    /// A gang that waited this long lets nothing new start on the workers reserved for it.
    pub gang_patience: Duration,
    /// A gang that waited this long may preempt batch tasks without a deadline, where urgent work
    /// may preempt at all; `None` for never.
    pub gang_preempts: Option<Duration>,
    /// Longest run time of a new task on a rack of which a worker drains; `None` for no limit.
    pub drain_horizon: Option<Duration>,
    /// Most tasks started in one call of [`Engine::decide`](super::Engine::decide).
    pub starts: usize,
}

impl Policy {
    /// The rules of `preset` in a deployment that weighs `weighs` more.
    ///
    /// ```
    /// use oriolefork::placement::{Leaning, Policy, Preset};
    /// let peak = Policy::of(Preset::Peak, Leaning::Packing);
    /// assert!(peak.headroom > Policy::of(Preset::Ordinary, Leaning::Packing).headroom);
    /// ```
    pub fn of(preset: Preset, weighs: Leaning) -> Self {
        let ordinary = Self::ordinary(weighs);
        match preset {
            Preset::Ordinary => ordinary,
            Preset::Peak => Self::peak(ordinary),
            Preset::Maintenance => Self::maintenance(ordinary),
        }
    }

    fn ordinary(weighs: Leaning) -> Self {
        Self {
            preset: Preset::Ordinary,
            weighs,
            strategy: Strategy::Chosen,
            fit: Fit::Scarcest,
            shortest_first: weighs == Leaning::Waiting,
            reservations: 2,
            backfill: Backfill::Safe,
            preempts: true,
            headroom: 0,
            hold_above: None,
            slack_window: Duration::from_secs(30 * 60),
            age_bound: Self::age_bound(weighs),
            gang_patience: Duration::from_secs(5 * 60),
            gang_preempts: Some(Duration::from_secs(5 * 60)),
            drain_horizon: None,
            starts: usize::MAX,
        }
    }

    /// Where the shortest work goes first, the rest is let forward earlier.
    fn age_bound(weighs: Leaning) -> Duration {
        match weighs {
            Leaning::Packing => Duration::from_secs(60 * 60),
            Leaning::Waiting => Duration::from_secs(20 * 60),
        }
    }

    fn peak(ordinary: Self) -> Self {
        Self {
            preset: Preset::Peak,
            headroom: 100,
            hold_above: Some(850),
            age_bound: Duration::from_secs(60 * 60),
            shortest_first: true,
            slack_window: Duration::from_secs(2 * 60 * 60),
            ..ordinary
        }
    }

    fn maintenance(ordinary: Self) -> Self {
        Self {
            preset: Preset::Maintenance,
            preempts: false,
            drain_horizon: Some(Duration::from_secs(15 * 60)),
            starts: 64,
            ..ordinary
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::of(Preset::default(), Leaning::default())
    }
}
