//! States of a step's tasks, in memory of the size of what has happened to them.

use std::fmt::{self, Formatter};
use std::ops::Range;

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::crash_score::CrashScore;
use super::index_set::IndexSet;

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Whether it has succeeded.
    pub done: bool,
    /// Number of its last attempt; zero before the first.
    #[serde(rename = "last")]
    pub last_run: u32,
    /// Number of attempts that are placed and have not ended.
    pub live: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// Evidence that it crashes its workers.
    #[serde(rename = "suspicion")]
    pub crash_score: CrashScore,
    /// Latest checkpoint from which another attempt can resume; empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: String,
}

/// Neighbouring tasks with equal states.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Segment {
    /// Index of the first task after them.
    end: u32,
    state: Task,
}

/// The tasks of a step. Neighbours in equal states are stored once, so that a step of many tasks
/// that wait takes no more memory than one of a single task.
///
/// Its encoded form is the sequence of all states.
///
/// ```
/// use oriolefork::cell::task_list::Tasks;
/// let mut tasks = Tasks::new(20_000);
/// tasks.update(7, |task| task.live += 1);
/// assert_eq!((tasks.len(), tasks.groups().count()), (20_000, 3));
/// assert_eq!(tasks.get(7).map(|task| task.live), Some(1));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tasks {
    /// In ascending order; the states of each two neighbours differ.
    segments: Vec<Segment>,
}

impl Tasks {
    /// Returns `count` tasks without attempts.
    pub fn new(count: u32) -> Self {
        let state = Task::default();
        let segments = if count == 0 { Vec::new() } else { vec![Segment { end: count, state }] };
        Self { segments }
    }

    /// Returns the tasks of groups, each with its number of tasks; `None` if these are too many.
    ///
    /// ```
    /// use oriolefork::cell::task_list::{Task, Tasks};
    /// let waiting = Task::default();
    /// assert_eq!(Tasks::of_groups([(2, waiting.clone()), (3, waiting)]), Some(Tasks::new(5)));
    /// ```
    pub fn of_groups(groups: impl IntoIterator<Item = (u32, Task)>) -> Option<Self> {
        let mut tasks = Self::default();
        for (count, state) in groups {
            tasks.end().checked_add(count)?;
            tasks.push(count, state);
        }
        Some(tasks)
    }

    /// Number of tasks.
    pub fn len(&self) -> usize {
        self.end() as usize
    }

    /// Whether there is no task.
    pub const fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// The task with that index.
    pub fn get(&self, index: u32) -> Option<&Task> {
        self.segments.get(self.position(index)).map(|segment| &segment.state)
    }

    /// The indexes of neighbouring tasks with equal states, in ascending order, and their state.
    pub fn groups(&self) -> impl Iterator<Item = (Range<u32>, &Task)> {
        let starts = std::iter::once(0).chain(self.segments.iter().map(|segment| segment.end));
        starts.zip(&self.segments).map(|(start, segment)| (start..segment.end, &segment.state))
    }

    /// Whether the condition holds for any task.
    pub fn any(&self, is_wanted: impl Fn(&Task) -> bool) -> bool {
        self.segments.iter().any(|segment| is_wanted(&segment.state))
    }

    /// Indexes of the tasks for which the condition holds.
    pub fn indexes(&self, is_wanted: impl Fn(&Task) -> bool) -> IndexSet {
        let wanted = self.groups().filter(|(_, task)| is_wanted(task));
        wanted.map(|(indexes, _)| indexes).collect()
    }

    /// Changes the task with that index; returns `None` if there is none.
    pub fn update<R>(&mut self, index: u32, change: impl FnOnce(&mut Task) -> R) -> Option<R> {
        let at = self.position(index);
        let segment_end = self.segments.get(at)?.end;
        let start = if at == 0 { 0 } else { self.segments[at - 1].end };
        if segment_end - start == 1 {
            let result = change(&mut self.segments[at].state);
            self.merge_around(at);
            return Some(result);
        }
        let mut state = self.segments[at].state.clone();
        let result = change(&mut state);
        if state == self.segments[at].state {
            return Some(result);
        }
        let before =
            (index > start).then(|| Segment { end: index, state: self.segments[at].state.clone() });
        let has_before = before.is_some();
        let changed = Segment { end: index + 1, state };
        let after = index + 1 < segment_end;
        let replaced = if after { at..at } else { at..at + 1 };
        self.segments.splice(replaced, before.into_iter().chain([changed]));
        self.merge_around(at + usize::from(has_before));
        Some(result)
    }

    /// Changes all tasks.
    pub fn update_all(&mut self, change: impl Fn(&mut Task)) {
        let former = std::mem::take(&mut self.segments);
        for Segment { end, mut state } in former {
            change(&mut state);
            self.push(end - self.end(), state);
        }
    }

    /// Memory that they take beyond the list itself, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let texts: usize = self.segments.iter().map(|one| one.state.checkpoint.len()).sum();
        self.segments.capacity() * size_of::<Segment>() + texts
    }

    /// Adds `count` tasks at the end.
    fn push(&mut self, count: u32, state: Task) {
        if count == 0 {
            return;
        }
        let end = self.end() + count;
        match self.segments.last_mut() {
            Some(last) if last.state == state => last.end = end,
            _ => self.segments.push(Segment { end, state }),
        }
    }

    /// Joins the segment at that position with those of its neighbours whose states are equal.
    fn merge_around(&mut self, at: usize) {
        let is_equal = |one: usize, other: usize| {
            let states = self.segments.get(one).zip(self.segments.get(other));
            states.is_some_and(|(one, other)| one.state == other.state)
        };
        let joins_next = is_equal(at, at + 1);
        let joins_former = at > 0 && is_equal(at - 1, at);
        if joins_next {
            self.segments.remove(at);
        }
        if joins_former {
            self.segments.remove(at - 1);
        }
    }

    /// Position of the segment that contains `index`.
    fn position(&self, index: u32) -> usize {
        self.segments.partition_point(|segment| segment.end <= index)
    }

    fn end(&self) -> u32 {
        self.segments.last().map_or(0, |segment| segment.end)
    }
}

impl Serialize for Tasks {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut sequence = serializer.serialize_seq(Some(self.len()))?;
        for (indexes, state) in self.groups() {
            for _ in indexes {
                sequence.serialize_element(state)?;
            }
        }
        sequence.end()
    }
}

impl<'de> Deserialize<'de> for Tasks {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(TasksVisitor)
    }
}

struct TasksVisitor;

impl<'de> Visitor<'de> for TasksVisitor {
    type Value = Tasks;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("states of tasks")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut states: A) -> Result<Tasks, A::Error> {
        let mut tasks = Tasks::default();
        while let Some(state) = states.next_element()? {
            tasks.push(1, state);
        }
        Ok(tasks)
    }
}
