//! Names of the lives of workers.
//!
//! A worker may start again under the name under which it stands in the platform's list; it then knows
//! nothing of before and counts anew. What is placed on a worker, and what is known of it, is bound to one
//! life, whose name therefore holds its start.

use super::record::WorkerId;

/// Stands between the two parts of a life's name.
const SEPARATOR: char = '@';

/// One life of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerIncarnation<'a> {
    /// Name under which the worker stands in the list.
    pub listed_name: &'a str,
    /// When this life began, on the worker's wall clock in milliseconds; `None` where workers have
    /// another name in each life.
    pub started_at_ms: Option<u64>,
}

impl<'a> WorkerIncarnation<'a> {
    /// The life of that name.
    ///
    /// ```
    /// use oriolefork::cell::incarnation::WorkerIncarnation;
    /// let life = WorkerIncarnation { entry: "i-7f3a", born: Some(1_700_000_000_000) };
    /// assert_eq!(WorkerIncarnation::of(&life.name()), life);
    /// assert_eq!(WorkerIncarnation::of("i-7f3a"), WorkerIncarnation { entry: "i-7f3a", born: None });
    /// ```
    pub fn parse(name: &'a str) -> Self {
        let parts = name.rsplit_once(SEPARATOR);
        let told = parts.and_then(|(entry, born)| Some((entry, born.parse().ok()?)));
        match told {
            Some((entry, born)) => Self { listed_name: entry, started_at_ms: Some(born) },
            None => Self { listed_name: name, started_at_ms: None },
        }
    }

    /// Its name.
    pub fn worker_id(&self) -> WorkerId {
        match self.started_at_ms {
            Some(born) => format!("{}{SEPARATOR}{born}", self.listed_name).into(),
            None => self.listed_name.into(),
        }
    }
}
