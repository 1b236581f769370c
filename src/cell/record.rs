//! Records of a cell's journal.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::Epoch;
use super::job::{Id, Job, Run, RunOutcome};
use crate::clock::Unix;

/// ID of one incarnation of a worker, see [`super::incarnation`].
pub type WorkerId = Rc<str>;

/// Records written with one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Epoch of its writer.
    pub epoch: Epoch,
    /// Time of writing, on the writer's wall clock.
    pub at: Unix,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// One change of a cell's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An instance claimed the cell.
    Claimed {
        /// Address at which other instances reach it.
        peer: SocketAddr,
        /// Random number of the process, drawn at its start.
        incarnation: u64,
    },
    /// A job was accepted.
    Accepted {
        /// Time of acceptance.
        at: Unix,
        /// The job.
        job: Job,
    },
    /// A caller cancelled a job.
    Cancelled {
        /// The job.
        job: Id,
    },
    /// Runs were placed, and may be started once this record is stored.
    Placed {
        /// Worker of these runs.
        worker: WorkerId,
        /// The runs.
        runs: Vec<Run>,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: Run,
        /// Its worker.
        worker: WorkerId,
        /// How it ended.
        #[serde(rename = "end")]
        outcome: RunOutcome,
        /// Checkpoint from which another attempt can resume; empty for none.
        #[serde(rename = "saved")]
        checkpoint: String,
    },
    /// A job failed.
    Failed {
        /// The job.
        job: Id,
    },
}
