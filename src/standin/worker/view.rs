//! JSON forms of a worker's controls and state.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::journal::Run;
use super::pace::Factor;
use super::state::{Options, State};
use crate::clock::{Instant, Unix};
use crate::domain::Epoch;
use crate::resource::Amount;
use crate::task;
use crate::worker::wire;

/// Body of `POST /control`; what is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Hold every exchange back unanswered.
    pub pause: Option<bool>,
    /// Fail every task once started.
    pub fail_all: Option<bool>,
    /// Time from a start command to the start of the run, in milliseconds.
    pub start_latency_ms: Option<u64>,
    /// Time that a stop takes, in milliseconds.
    pub stop_time_ms: Option<u64>,
    /// Time that a checkpoint takes, in milliseconds.
    pub checkpoint_time_ms: Option<u64>,
    /// Time until a task's use of resources is reported, in milliseconds.
    pub usage_lag_ms: Option<u64>,
    /// Speed of the worker.
    pub speed: Option<Factor>,
    /// Share of the tasks that take `tail_factor` times as long.
    pub tail_share: Option<Factor>,
    /// How many times as long they take.
    pub tail_factor: Option<Factor>,
    /// Factor by which tasks that start from now on take longer.
    pub slowdown: Option<Factor>,
}

impl Control {
    /// Changes the options that are named.
    pub fn apply(&self, options: &mut Options) {
        options.fail_all = self.fail_all.unwrap_or(options.fail_all);
        set(&mut options.start_latency, self.start_latency_ms);
        set(&mut options.stop_time, self.stop_time_ms);
        set(&mut options.checkpoint_time, self.checkpoint_time_ms);
        set(&mut options.usage_lag, self.usage_lag_ms);
        let pace = &mut options.pace;
        pace.speed = self.speed.unwrap_or(pace.speed);
        pace.tail_share = self.tail_share.or(pace.tail_share);
        pace.tail_factor = self.tail_factor.unwrap_or(pace.tail_factor);
        pace.slowdown = self.slowdown.unwrap_or(pace.slowdown);
    }
}

fn set(span: &mut Duration, millis: Option<u64>) {
    *span = millis.map_or(*span, Duration::from_millis);
}

/// Body of the answer to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Identity of the process.
    pub run: u64,
    /// Largest epoch seen.
    pub epoch: Epoch,
    /// What the worker has.
    pub capacity: Amount,
    /// What the tasks hold.
    pub held: Amount,
    /// Tasks that hold resources.
    pub running: usize,
    /// Tasks known, ended ones included.
    pub known: usize,
    /// Starts in all.
    pub starts: u64,
    /// Starts that took the worker beyond its capacity.
    pub overcommitted: u64,
    /// Starts of a task of which another try was running here.
    pub doubles: u64,
    /// Exchanges refused for their epoch.
    pub fenced: u64,
    /// Runs in order of their start.
    pub runs: Vec<TaskView>,
}

/// JSON form of a [`Run`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// Identity of the try.
    pub task: wire::TaskId,
    /// When it started.
    pub started: Unix,
    /// When it ended, once it has.
    pub ended: Option<Unix>,
    /// How it stands.
    pub phase: wire::Phase,
}

impl Snapshot {
    /// Shows `state` as it stands at `now`, which is `unix` on the wall clock.
    pub fn new(state: &State, now: Instant, unix: Unix) -> Self {
        let journal = state.journal();
        let dated = Dated { now, unix };
        let live = |phase| !matches!(phase, task::Phase::Ended(_));
        Self {
            run: state.run(),
            epoch: state.epoch(),
            capacity: state.options.capacity,
            held: state.held(),
            running: state.known().filter(|task| live(task.phase)).count(),
            known: state.known().count(),
            starts: journal.starts,
            overcommitted: journal.overcommitted,
            doubles: journal.doubles,
            fenced: journal.fenced,
            runs: journal.runs().map(|run| dated.view(run)).collect(),
        }
    }
}

/// The present on both clocks.
struct Dated {
    now: Instant,
    unix: Unix,
}

impl Dated {
    fn view(&self, run: &Run) -> TaskView {
        let phase = run.ended.map_or(task::Phase::Running, |(_, end)| task::Phase::Ended(end));
        TaskView {
            task: run.task.into(),
            started: self.unix(run.started),
            ended: run.ended.map(|(at, _)| self.unix(at)),
            phase: phase.into(),
        }
    }

    fn unix(&self, at: Instant) -> Unix {
        let ago = self.now.since(at);
        Unix::from_millis(self.unix.as_millis().saturating_sub(crate::clock::millis(ago)))
    }
}
