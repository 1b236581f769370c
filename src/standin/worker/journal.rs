//! Record of what a worker ran, by which tests check that nothing ran twice or beyond capacity.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Instant;
use crate::resource::Amount;
use crate::task;

/// Runs and overcommits kept; the counts go on beyond that.
const ENTRIES_KEPT: usize = 100_000;

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identity of the try.
    pub task: task::Id,
    /// When it took hold of its resources.
    pub started: Instant,
    /// When and how it ended, once it has.
    pub ended: Option<(Instant, task::End)>,
}

/// A start that took the worker beyond its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overcommit {
    /// When it happened.
    pub at: Instant,
    /// The task started.
    pub task: task::Id,
    /// What all tasks held together from then on.
    pub held: Amount,
}

/// Record of a worker's runs and of every breach noticed.
#[derive(Debug, Default)]
pub struct Journal {
    /// Starts in all.
    pub starts: u64,
    /// Starts beyond capacity in all.
    pub overcommitted: u64,
    /// Starts of a task of which another try was running here.
    pub doubles: u64,
    /// Exchanges refused for their epoch.
    pub fenced: u64,
    runs: BTreeMap<u64, Run>,
    overcommits: VecDeque<Overcommit>,
}

impl Journal {
    /// Runs in order of their start, the newest ones when there were too many to keep.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// Starts beyond capacity, the newest ones when there were too many to keep.
    pub fn overcommits(&self) -> impl Iterator<Item = &Overcommit> {
        self.overcommits.iter()
    }

    /// Records a start and returns the number of its entry.
    pub(super) fn start(&mut self, started: Instant, task: task::Id) -> u64 {
        self.starts += 1;
        self.runs.insert(self.starts, Run { task, started, ended: None });
        if self.runs.len() > ENTRIES_KEPT {
            self.runs.pop_first();
        }
        self.starts
    }

    /// Records the end of the run with that entry.
    pub(super) fn end(&mut self, entry: u64, at: Instant, end: task::End) {
        if let Some(run) = self.runs.get_mut(&entry) {
            run.ended = Some((at, end));
        }
    }

    /// Records a start beyond capacity.
    pub(super) fn overcommit(&mut self, at: Instant, task: task::Id, held: Amount) {
        self.overcommitted += 1;
        self.overcommits.push_back(Overcommit { at, task, held });
        if self.overcommits.len() > ENTRIES_KEPT {
            self.overcommits.pop_front();
        }
    }
}
