//! The records of a cell's journal.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::Epoch;
use super::job::{Id, Job, Run, RunOutcome};
use crate::clock::Unix;

/// Name of one life of a worker, see [`super::incarnation`].
pub type WorkerId = Rc<str>;

/// What one append carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Epoch of its writer.
    pub epoch: Epoch,
    /// Its writer's wall clock.
    pub at: Unix,
    /// What changed, in order.
    pub records: Vec<Record>,
}

/// One change of a cell's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An instance takes the cell over.
    Claimed {
        /// Address at which other instances reach it.
        peer: SocketAddr,
        /// Drawn at the start of its process.
        incarnation: u64,
    },
    /// A job is accepted.
    Accepted {
        /// When.
        at: Unix,
        /// What was submitted.
        job: Job,
    },
    /// A caller cancelled a job.
    Cancelled {
        /// The job.
        job: Id,
    },
    /// Tries that may be started from here on.
    Placed {
        /// Worker of all of them.
        worker: WorkerId,
        /// The tries.
        runs: Vec<Run>,
    },
    /// A try is over.
    Ended {
        /// The try.
        run: Run,
        /// Its worker.
        worker: WorkerId,
        /// How it ended.
        #[serde(rename = "end")]
        outcome: RunOutcome,
        /// Progress that another try can go on from; empty for none.
        #[serde(rename = "saved")]
        checkpoint: String,
    },
    /// A job has failed for good.
    Failed {
        /// The job.
        job: Id,
    },
}
