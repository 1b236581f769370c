//! Placement of tasks on the workers of one failure domain.
//!
//! [`Engine`] is a pure state machine. Its input is workers, waiting jobs, running tasks and
//! measured usage; its output is which tasks start on which workers and which are preempted. It
//! does no I/O and takes the current time as an argument. A decision allocates its resources at
//! once, so that two decisions never use the same capacity.

mod allocation;
mod arithmetic;
mod decision;
mod engine;
mod estimate;
mod explanation;
mod health;
mod health_event;
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
