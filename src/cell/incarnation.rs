//! IDs of worker incarnations.
//!
//! A worker process may restart under the same name in the platform's list. It then has lost its
//! state and numbers its ended runs anew. Placements and records about a worker are therefore bound
//! to one incarnation, whose ID contains its start time.

use super::record::WorkerId;

/// Separates the two parts of an ID.
const SEPARATOR: char = '@';

/// One incarnation of a worker, from the start of its process to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerIncarnation<'a> {
    /// Name of the worker in the list.
    pub listed_name: &'a str,
    /// Start of this incarnation on the worker's wall clock, in milliseconds; `None` where workers
    /// get a new name at each start.
    pub started_at_ms: Option<u64>,
}

impl<'a> WorkerIncarnation<'a> {
    /// Parses an ID.
    ///
    /// ```
    /// use oriolefork::cell::incarnation::WorkerIncarnation;
    /// let incarnation =
    ///     WorkerIncarnation { listed_name: "i-7f3a", started_at_ms: Some(1_700_000_000_000) };
    /// assert_eq!(WorkerIncarnation::parse(&incarnation.worker_id()), incarnation);
    /// for listed_name in ["i-7f3a", "i-7f3a@5"] {
    ///     let unnumbered = WorkerIncarnation { listed_name, started_at_ms: None };
    ///     assert_eq!(WorkerIncarnation::parse(&unnumbered.worker_id()), unnumbered);
    /// }
    /// ```
    pub fn parse(name: &'a str) -> Self {
        let parts = name.rsplit_once(SEPARATOR);
        let parsed = parts.and_then(|(listed_name, started_at_ms)| {
            Some((listed_name, started_at_ms.parse().ok()?))
        });
        if let Some((listed_name, "")) = parts {
            return Self { listed_name, started_at_ms: None };
        }
        match parsed {
            Some((listed_name, started_at_ms)) => {
                Self { listed_name, started_at_ms: Some(started_at_ms) }
            }
            None => Self { listed_name: name, started_at_ms: None },
        }
    }

    /// The ID. A name that contains the separator is followed by another one, so that it is not
    /// taken for an incarnation of another worker.
    pub fn worker_id(&self) -> WorkerId {
        match self.started_at_ms {
            None if self.listed_name.contains(SEPARATOR) => {
                format!("{}{SEPARATOR}", self.listed_name).into()
            }
            Some(started_at_ms) => format!("{}{SEPARATOR}{started_at_ms}", self.listed_name).into(),
            None => self.listed_name.into(),
        }
    }
}
