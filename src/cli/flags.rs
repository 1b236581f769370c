//! The command line.

#![allow(missing_docs, reason = "the macro that makes these types takes the texts of the help")]

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::cell;
use crate::cli::text::Span;
use crate::job::{Id, Kind};

xflags::xflags! {
    /// Asks and instructs the oriolefork scheduler.
    cmd oriolefork {
        /// Entry instance to ask as IP:PORT; give several to have the next one tried when one
        /// does not answer. Without it, the comma-separated list in ORIOLEFORK_ENTRY is used.
        repeated -e, --entry address: SocketAddr
        /// Longest time to wait in all, such as 5s or 2m; 15s when absent.
        optional --timeout span: Span
        /// File that holds the operators' token. Without it, ORIOLEFORK_TOKEN is used.
        optional --token-file path: PathBuf
        /// Your name, as colleagues will read it beside what you did; $USER when absent.
        optional --by name: String
        /// Print the answer as JSON instead of a table.
        optional --json

        /// Submit a job from a JSON file or from flags.
        cmd submit {
            /// JSON file that describes the job, `-` for standard input; replaces all flags but
            /// --key, --domain and --wait.
            optional -f, --file path: PathBuf
            /// Idempotency key; drawn and printed when absent. Submitting again with the same key
            /// never runs the job twice.
            optional --key key: String
            /// Failure domain to submit in; that of the first instance that takes it when absent.
            /// Needed with --key when you repeat a submission whose outcome is not known.
            optional --domain name: String
            /// Name of the job, the same each night.
            optional --name name: String
            /// Team whose quota the job counts against.
            optional --team team: String
            /// long-running, batch or gang; batch when absent.
            optional --kind kind: JobKind
            /// Number of tasks; 1 when absent.
            optional --tasks count: u32
            /// Processor time of a task in thousandths of a core.
            optional --cpu-millis amount: u64
            /// Memory of a task in MiB.
            optional --memory-mib amount: u64
            /// Accelerators of a task.
            optional --accelerators count: u64
            /// Start before all normal work.
            optional --urgent
            /// Never start a task a second time, whatever happens.
            optional --at-most-once
            /// Expected run time of a task, such as 10m.
            optional --run-time span: Span
            /// Time from now by which the job must have ended, such as 6h.
            optional --deadline span: Span
            /// Instruction for the worker.
            optional --payload text: String
            /// Wait up to this time, such as 10m, until the job has ended.
            optional --wait span: Span
        }
        /// Stop a job.
        cmd cancel {
            /// The job's id.
            required id: JobId
        }
        /// Show a job and its tasks.
        cmd job {
            /// The job's id.
            required id: JobId
        }
        /// List jobs.
        cmd jobs {
            /// Only those of this team.
            optional --team team: String
            /// Only those with this name.
            optional --name name: String
            /// Only those in this state: waiting, running, cancelling, succeeded, failed,
            /// cancelled or uncertain.
            optional --state state: String
            /// Most jobs to list; 100 when absent.
            optional --limit count: usize
            /// The id after which the list goes on.
            optional --after id: String
        }
        /// Say why a job waits, or what became of it.
        cmd explain {
            /// The job's id.
            required id: ExplainedId
            /// Ask the cell of the platform's instance that serves its metrics at this IP:PORT.
            optional --at address: SocketAddr
        }
        /// List the customers of a cell, with what they use and wait for.
        cmd customers {
            /// Address at which an instance of the platform serves its metrics, as IP:PORT.
            required --at address: SocketAddr
        }
        /// Show what the scheduler is doing in each failure domain.
        cmd status { }
        /// See and change the preset in force.
        cmd preset {
            /// Show the preset in force and those to choose from.
            cmd show { }
            /// Put a preset in force.
            cmd set {
                /// Its name.
                required name: String
                /// The version that `preset show` printed when you decided.
                required --based-on version: u64
            }
            /// Show how two presets differ.
            cmd diff {
                /// One preset.
                required one: String
                /// The other; the one in force when absent.
                optional other: String
            }
            /// Show who put which preset in force.
            cmd history { }
        }
        /// See alerts and acknowledge them.
        cmd alerts {
            /// List the alerts that nobody has acknowledged.
            cmd list {
                /// List acknowledged ones too.
                optional --all
            }
            /// Say that you have seen an alert and take care of it.
            cmd ack {
                /// The alert's id.
                required id: String
            }
        }
        /// List the workers of a failure domain or of a cell.
        cmd workers {
            /// Ask the cell of the platform's instance that serves its metrics at this IP:PORT.
            optional --at address: SocketAddr
        }
        /// Give a worker no new work; what it runs goes on.
        cmd drain {
            /// The worker's name.
            required worker: String
        }
        /// Give a drained worker work again.
        cmd undrain {
            /// The worker's name.
            required worker: String
        }
        /// Orders about a worker.
        cmd worker {
            /// Say that a worker is gone for good and that nothing runs on it any more.
            cmd lost {
                /// The worker's name.
                required worker: String
                /// Needed: you have made sure that the machine is off.
                optional --i-made-sure-it-is-off
            }
        }
        /// List the teams' quotas.
        cmd quotas { }
        /// Set or remove a team's quota.
        cmd quota {
            /// The team.
            required team: String
            /// The version that `quotas` printed when you decided.
            required --based-on version: u64
            /// Processor time in thousandths of a core.
            optional --cpu-millis amount: u64
            /// Memory in MiB.
            optional --memory-mib amount: u64
            /// Accelerators.
            optional --accelerators count: u64
            /// Remove the quota.
            optional --remove
        }
        /// Run a small site in one process, with sample jobs, to see the scheduler at work.
        cmd dev { }
        /// Check a settings file as a whole, without starting anything.
        cmd check-settings {
            /// The file.
            required path: PathBuf
        }
        /// Print the whole state of the first entry instance that answers, as JSON.
        cmd dump { }
        /// Set the log level of the first entry instance that answers.
        cmd log-level {
            /// off, error, warn, info, debug or trace.
            required level: String
        }
    }
}

/// The identity of a job on the command line.
#[derive(Clone, Copy, Debug)]
pub struct JobId(pub Id);

impl std::str::FromStr for JobId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let malformed = || "a job's id has 16 hexadecimal digits, as `submit` prints it".to_owned();
        Id::parse(text).map(Self).ok_or_else(malformed)
    }
}

/// The identity of a job of a failure domain or of a cell on the command line. Cells keep the case
/// of its letters.
#[derive(Clone, Copy, Debug)]
pub struct ExplainedId {
    pub job: Id,
    pub of_cell: cell::job::Id,
}

impl std::str::FromStr for ExplainedId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let JobId(job) = text.parse()?;
        let of_cell = text.parse().map_err(|invalid: cell::job::InvalidId| invalid.to_string())?;
        Ok(Self { job, of_cell })
    }
}

/// The kind of a job on the command line.
#[derive(Clone, Copy, Debug)]
pub struct JobKind(pub Kind);

impl std::str::FromStr for JobKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "long-running" => Ok(Self(Kind::LongRunning)),
            "batch" => Ok(Self(Kind::Batch)),
            "gang" => Ok(Self(Kind::Gang)),
            _ => Err("the kinds are long-running, batch and gang".to_owned()),
        }
    }
}
