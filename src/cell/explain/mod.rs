//! What an owner tells operators about jobs, customers and workers.
//!
//! Reports travel between instances as JSON text inside a [`Reply`], so that fields can be added
//! without breaking instances of other versions. They contain names of customers, never keys.

mod deferral;
mod rate_limit;

use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use deferral::Deferral;
pub use rate_limit::RateLimit;
use serde::{Deserialize, Serialize};

use super::{Id, job};
use crate::resource::{Amount, Limit};

/// What is to be explained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// One job.
    Job(job::Id),
    /// The customers of the cell.
    Customers,
    /// The workers of the cell.
    Workers,
}

/// Request of an instance for a report of the owner.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Request {
    /// The cell.
    pub cell: Id,
    /// What is to be explained.
    pub subject: Subject,
}

/// Response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The report, in JSON.
    Report(String),
    /// The job is neither known to the owner nor among the calls that it refused.
    UnknownJob,
    /// The instance does not own the cell; contains the owner if it is known.
    NotOwner(Option<SocketAddr>),
    /// The owner computes another report, or has computed as many as it may in this second.
    Busy,
    /// The owner ended before it answered.
    Interrupted,
}

/// The owner that made a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Office {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Time since it claimed the cell. Attempts and refusals before that are not known to it.
    pub age_ms: u64,
}

/// Report about one job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobReport {
    /// The job.
    pub job: String,
    /// Phase of the job, `refused`, or `forgotten` for an ended job past its retention.
    pub state: String,
    /// One sentence that answers why.
    pub summary: String,
    /// Queue of the job.
    pub queue: Option<String>,
    /// Name of its customer.
    pub customer: Option<String>,
    /// Time since it was accepted, until its end if it has ended.
    pub age_ms: Option<u64>,
    /// Time within which it should end.
    pub objective_ms: Option<u64>,
    /// Steps that wait, the first ones.
    pub waits: Vec<Wait>,
    /// Number of further steps that wait.
    pub more_waits: usize,
    /// Attempts that have not ended, the first ones.
    pub running: Vec<RunningAttempt>,
    /// Number of attempts that have not ended.
    pub running_count: usize,
    /// Ended attempts that the owner remembers.
    pub attempts: Vec<Attempt>,
    /// Ended attempts under this owner, by outcome.
    pub attempt_counts: BTreeMap<String, u64>,
    /// Attempts that were stopped for more urgent steps, under this owner.
    pub preemptions: u64,
    /// The last refused call, if the owner has refused any.
    pub refusal: Option<Refusal>,
    /// The owner that made the report.
    pub office: Office,
}

/// Why a step waits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Wait {
    /// Occurrence and number of the step.
    pub step: String,
    /// Tasks that wait.
    pub tasks: usize,
    /// Name of the reason, or of the rule that has passed over the step for longest if the step
    /// waits for that.
    pub reason: String,
    /// The reason with its figures, in one sentence.
    pub cause: String,
    /// Rules that pass over the step, the one that has done so for longest first.
    pub passed_over: Vec<Deferral>,
    /// Value that the job can still earn: `on_time`, `late`, `excess` or `worthless`.
    pub class: Option<String>,
    /// Priority of its queue; zero is the highest.
    pub priority: Option<u32>,
    /// Time by which it may still be delayed; negative once it is late.
    pub slack_ms: Option<i64>,
    /// Its place in the order of placement.
    pub order: Option<Order>,
    /// Workers that could run it.
    pub capacity: Option<Capacity>,
    /// The cap of its customer, and what counts towards it.
    pub cap: Option<CapUse>,
    /// Share of its customer that is used.
    pub share: Option<ShareUse>,
    /// Answers of the policy service.
    pub policy: Option<PolicyState>,
    /// Shortest time until it can start, if nothing that ranks before it takes the capacity.
    pub earliest_start_ms: Option<u64>,
}

/// Place in the order of placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// Place of the step, counted from one.
    pub place: usize,
    /// Steps that wait.
    pub steps: usize,
    /// Tasks of the steps before it.
    pub tasks_before: u64,
    /// CPU that these tasks need, in thousandths of a core.
    pub cpu_millis_before: u64,
    /// Whether only a part of the open jobs was examined, so that the place may be later.
    pub partial: bool,
}

/// Workers that could run a step, with the owner's current figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Capacity {
    /// Active workers of the service and label.
    pub matching: usize,
    /// Matching workers that are not active.
    pub inactive: usize,
    /// Matching workers that may be given tasks and are eligible.
    pub open: usize,
    /// Tasks of the step that fit on them now.
    pub fits: u64,
    /// The same on those with a valid ticket; equal to `fits` without a policy service.
    pub fits_ticketed: u64,
    /// Tasks that have to fit for the step to start.
    pub needed: u64,
    /// CPU that is free on them, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Matching workers that drain.
    pub leaving: usize,
    /// Tasks that would fit on those.
    pub fits_leaving: u64,
    /// Matching workers that are quarantined, do not answer, or have outdated entries in the list.
    pub unavailable: usize,
    /// Tasks that would fit on those.
    pub fits_unavailable: u64,
    /// Age of the oldest entry in the list among the open workers.
    pub list_age_ms: u64,
}

/// A customer's cap and what counts towards it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CapUse {
    /// The cap.
    pub cap: Limit,
    /// What the customer's attempts use.
    pub used: Amount,
    /// Tasks of the step that may start now.
    pub startable: usize,
}

/// Share of the cell that a customer uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ShareUse {
    /// Used part of the share that the customer may save up (5 s); above one it is in debt.
    pub used: f64,
}

/// State of the policy queries about a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicyState {
    /// Workers that the service answered about.
    pub answered: usize,
    /// Workers that may run the step.
    pub eligible: usize,
    /// Workers with a valid ticket.
    pub tickets: usize,
    /// Queries in flight.
    pub queries: Vec<Query>,
    /// Instances that are present and can send queries.
    pub instances: usize,
    /// Those without a query in flight.
    pub idle_instances: usize,
}

/// A policy query in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Query {
    /// Instance that sends it.
    pub instance: String,
    /// Workers that it names.
    pub workers: usize,
    /// Time since it was sent.
    pub age_ms: u64,
}

/// An attempt that has not ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunningAttempt {
    /// The task and the number of the attempt.
    pub run: String,
    /// Its worker.
    pub worker: String,
    /// `recording`, `starting`, `running`, `recovered` or `stopping`.
    pub stage: String,
    /// Time since that began.
    pub age_ms: u64,
    /// Start commands that have been sent.
    pub starts_sent: u32,
    /// Percentage of its work that is done.
    pub percent: u32,
    /// Condition of its worker.
    pub condition: String,
}

/// An ended attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Attempt {
    /// The task and the number of the attempt.
    pub run: String,
    /// Its worker.
    pub worker: String,
    /// How it ended, as in the log.
    pub outcome: String,
    /// How long it took.
    pub took_ms: u64,
    /// Time since its end.
    pub ended_ago_ms: u64,
    /// Step for which it was stopped.
    pub preempted_for: Option<String>,
}

/// A refused call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Refusal {
    /// Name of the reason.
    pub reason: String,
    /// The reason in one sentence.
    pub cause: String,
    /// Time since the refusal.
    pub age_ms: u64,
    /// Number of refused calls for the job.
    pub count: u32,
    /// Time after which the caller was told to return; absent if it was told the usual second.
    pub retry_after_ms: Option<u64>,
}

/// Report about the customers of a cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CustomersReport {
    /// The largest by use.
    pub customers: Vec<Customer>,
    /// Number of the other customers.
    pub others: usize,
    /// Those together, with the jobs of anonymous callers.
    pub rest: Customer,
    /// Capacity of the cell's active workers.
    pub capacity: Amount,
    /// Whether the configuration has customers.
    pub configured: bool,
    /// The owner that made the report.
    pub office: Office,
}

/// Use and waiting jobs of a customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Whether the configuration in force contains it.
    pub configured: bool,
    /// Its cap.
    pub cap: Limit,
    /// What its attempts use.
    pub used: Amount,
    /// Largest share of its cap that is used in any dimension; absent without a cap.
    pub cap_used: Option<f64>,
    /// Jobs a second that it may submit before others go first; zero for no such rate.
    pub jobs_per_second: f64,
    /// Share of the cell that it uses.
    pub share: Option<ShareUse>,
    /// Open jobs.
    pub open_jobs: usize,
    /// Open jobs of which no task has started.
    pub waiting_jobs: usize,
    /// Open jobs beyond its rate.
    pub excess_jobs: usize,
    /// Steps that wait for its cap alone, as of the last round.
    pub capped_steps: usize,
    /// Longest time for which a job has waited for its first task.
    pub oldest_wait_ms: u64,
    /// Calls refused by this owner.
    pub refused: u64,
    /// Jobs that ended within their objective under this owner.
    pub on_time: u64,
    /// Jobs that ended later.
    pub late: u64,
}

/// Report about the workers of a cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkersReport {
    /// Active workers.
    pub active: usize,
    /// Listed workers that are not polled.
    pub inactive: usize,
    /// Capacity of the active workers.
    pub capacity: Amount,
    /// Resources allocated on them.
    pub allocated: Amount,
    /// Number of workers by condition. A worker can have several.
    pub conditions: BTreeMap<String, usize>,
    /// Number of workers by speed, in classes; empty without learned speeds.
    pub speeds: BTreeMap<String, usize>,
    /// Workers, those with a condition and the slow ones first.
    pub workers: Vec<Worker>,
    /// Number of active workers that are not listed here.
    pub others: usize,
    /// The owner that made the report.
    pub office: Office,
}

/// Condition of one worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its rack.
    pub rack: Option<String>,
    /// Its conditions; empty if there is nothing to say.
    pub conditions: Vec<String>,
    /// Learned speed, one for the mean of the site.
    pub speed: Option<f64>,
    /// Its capacity.
    pub capacity: Amount,
    /// Resources allocated on it.
    pub allocated: Amount,
    /// Attempts on it.
    pub tasks: usize,
    /// Jobs that have failed on it since the last success.
    pub failures: usize,
    /// Time for which it has not answered polls.
    pub silent_ms: Option<u64>,
    /// Time until its quarantine ends.
    pub quarantine_ms: Option<u64>,
    /// Time until it leaves, as listed.
    pub remaining_ms: Option<u64>,
    /// Age of its entry in the list.
    pub list_age_ms: u64,
}
