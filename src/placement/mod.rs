//! Placement of tasks on the workers of one failure domain.
//!
//! [`Engine`] is a pure state machine: it is told of workers, waiting jobs, running tasks and
//! measured usage, and decides which task starts where and which is preempted. It does no input
//! or output and reads no clock. What it decides, it reserves at once, so that two decisions can
//! never use the same room.

mod decision;
mod engine;
mod estimate;
mod explanation;
mod health;
mod health_event;
mod ledger;
mod measure;
mod node;
mod pending_reason;
mod policy;
mod pool;
mod preemption;
mod queue;
mod request;
mod reservation;
mod risk;
mod round;
mod scorer;
mod search;
mod team;
mod victim;

pub use decision::{Assignment, Decision};
pub use engine::{Engine, Load};
pub use estimate::{RunTimeEstimate, RunTimeEstimator};
pub use health_event::HealthEvent;
pub use pending_reason::PendingReason;
pub use policy::{BackfillEstimate, FitMetric, Objective, Policy, Preset, Strategy};
pub use request::{Request, RunningTask, SchedulingState};
pub use risk::DeadlineRisk;
pub use scorer::{BestFit, Candidate, Dimension, FirstFit, PackOrSpread, Scorer};
