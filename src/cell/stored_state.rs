//! The state in the form of a snapshot.
//!
//! There are two forms. Earlier versions know only the first one, in which each task and each
//! occurrence that is done stands by itself. It is written as long as these are few, so that
//! instances of earlier versions can take the cell over. The second one is as small as the state in
//! memory.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::Epoch;
use super::job::{Job, Run};
use super::job_state::{JobState, StepState};
use super::record::WorkerId;
use super::state::{Owner, State};
use super::task_list::{Task, Tasks};
use crate::clock::Unix;
use crate::codec;

/// Version of the second form.
const COMPACT_VERSION: u8 = 2;

/// Maximum number of tasks and occurrences in a snapshot of the first form.
const MAX_LISTED: usize = 100_000;

/// Encodes a state.
///
/// # Errors
/// If the result is larger than [`codec::MAX_BYTES`].
///
/// ```
/// use oriolefork::cell::state::State;
/// use oriolefork::cell::stored_state;
/// let bytes = stored_state::encode(&State::default()).unwrap();
/// assert_eq!(stored_state::decode(&bytes), Ok(State::default()));
/// ```
pub fn encode(state: &State) -> Result<Bytes, codec::Error> {
    if listed(state) <= MAX_LISTED {
        return codec::encode(state);
    }
    codec::encode_version(COMPACT_VERSION, &StoredState::from(state))
}

/// Decodes a state of either form.
///
/// # Errors
/// If `bytes` are of another version, or not an encoded state.
pub fn decode(bytes: &[u8]) -> Result<State, codec::Error> {
    if bytes.first() != Some(&COMPACT_VERSION) {
        return codec::decode(bytes);
    }
    let stored: StoredState<'_> = codec::decode_version(COMPACT_VERSION, bytes)?;
    State::try_from(stored).map_err(|cause| codec::Error::Decode { cause: cause.to_string() })
}

/// Number of tasks and occurrences that the first form lists.
fn listed(state: &State) -> usize {
    let open = state.open.iter().filter_map(|id| state.jobs.get(id));
    let listed = open.map(|entry| {
        let tasks = entry.open.values().flatten().map(|step| step.tasks.len());
        entry.done.len() + tasks.sum::<usize>()
    });
    listed.sum()
}

/// Why a stored state is invalid.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
enum InvalidState {
    /// The steps of an occurrence are not those of its job.
    #[display("an occurrence has other steps than its job")]
    Steps,
}

#[derive(Serialize, Deserialize)]
struct StoredState<'a> {
    epoch: Epoch,
    owner: Option<Owner>,
    jobs: Vec<StoredEntry<'a>>,
    live: Cow<'a, BTreeMap<Run, WorkerId>>,
}

#[derive(Serialize, Deserialize)]
struct StoredEntry<'a> {
    job: Cow<'a, Job>,
    accepted: Unix,
    started: bool,
    cancelled: bool,
    failed: bool,
    ended: Option<Unix>,
    /// Occurrences that are done.
    done: Vec<Range<u32>>,
    /// Occurrences of which something has begun.
    open: Vec<(u32, Vec<StoredStep<'a>>)>,
}

#[derive(Serialize, Deserialize)]
struct StoredStep<'a> {
    /// Numbers of neighbouring tasks with equal states.
    tasks: Vec<(u32, Cow<'a, Task>)>,
    checkpoint: Cow<'a, str>,
    failed_runs: Cow<'a, BTreeSet<u32>>,
}

impl<'a> From<&'a State> for StoredState<'a> {
    fn from(state: &'a State) -> Self {
        Self {
            epoch: state.epoch,
            owner: state.owner,
            jobs: state.jobs.values().map(StoredEntry::from).collect(),
            live: Cow::Borrowed(&state.live),
        }
    }
}

impl<'a> From<&'a JobState> for StoredEntry<'a> {
    fn from(entry: &'a JobState) -> Self {
        let begun = entry.open.iter().filter(|(_, steps)| steps.iter().any(StepState::has_begun));
        let stored =
            |steps: &'a Vec<StepState>| steps.iter().map(StoredStep::from).collect::<Vec<_>>();
        Self {
            job: Cow::Borrowed(&entry.job),
            accepted: entry.accepted,
            started: entry.started,
            cancelled: entry.cancelled,
            failed: entry.failed,
            ended: entry.ended,
            done: entry.done.ranges().collect(),
            open: begun.map(|(number, steps)| (*number, stored(steps))).collect(),
        }
    }
}

impl<'a> From<&'a StepState> for StoredStep<'a> {
    fn from(step: &'a StepState) -> Self {
        let groups = step.tasks.groups();
        Self {
            tasks: groups.map(|(range, task)| (range.len() as u32, Cow::Borrowed(task))).collect(),
            checkpoint: Cow::Borrowed(&step.checkpoint),
            failed_runs: Cow::Borrowed(&step.failed_runs),
        }
    }
}

impl TryFrom<StoredState<'_>> for State {
    type Error = InvalidState;

    fn try_from(stored: StoredState<'_>) -> Result<Self, InvalidState> {
        let entries = stored.jobs.into_iter().map(JobState::try_from);
        let jobs: BTreeMap<_, _> = entries
            .map(|entry| entry.map(|entry| (entry.job.id, entry)))
            .collect::<Result<_, _>>()?;
        let open = jobs.iter().filter(|(_, entry)| !entry.phase().is_final());
        let open = open.map(|(id, _)| *id).collect();
        let live = stored.live.into_owned();
        Ok(Self { epoch: stored.epoch, owner: stored.owner, jobs, open, live })
    }
}

impl TryFrom<StoredEntry<'_>> for JobState {
    type Error = InvalidState;

    fn try_from(stored: StoredEntry<'_>) -> Result<Self, InvalidState> {
        let mut entry = Self::new(Rc::new(stored.job.into_owned()), stored.accepted);
        entry.started = stored.started;
        entry.cancelled = stored.cancelled;
        entry.failed = stored.failed;
        entry.ended = stored.ended;
        entry.done = stored.done.into_iter().collect();
        for (number, steps) in stored.open {
            let steps = steps.into_iter().map(StepState::try_from);
            let steps = steps.collect::<Result<Vec<_>, _>>()?;
            let counts = steps.iter().map(|step| step.tasks.len());
            if !counts.eq(entry.job.steps.iter().map(|step| step.count as usize)) {
                return Err(InvalidState::Steps);
            }
            entry.open.insert(number, steps);
        }
        Ok(entry)
    }
}

impl TryFrom<StoredStep<'_>> for StepState {
    type Error = InvalidState;

    fn try_from(stored: StoredStep<'_>) -> Result<Self, InvalidState> {
        let groups = stored.tasks.into_iter().map(|(count, task)| (count, task.into_owned()));
        let tasks = Tasks::of_groups(groups).ok_or(InvalidState::Steps)?;
        let done = tasks.indexes(|task| task.done).len();
        Ok(Self {
            tasks,
            done: u32::try_from(done).map_err(|_| InvalidState::Steps)?,
            checkpoint: stored.checkpoint.into_owned(),
            failed_runs: stored.failed_runs.into_owned(),
        })
    }
}
