//! Placement of tasks on the workers of one failure domain.
//!
//! [`Engine`] is a pure state machine: it is told of workers, waiting jobs, running tasks and
//! measured usage, and decides which task starts where and which is preempted. It does no input
//! or output and reads no clock. What it decides, it reserves at once, so that two decisions can
//! never use the same room.

mod decision;
mod engine;
mod estimate;
mod event;
mod explanation;
mod health;
mod ledger;
mod measure;
mod node;
mod policy;
mod pool;
mod preemption;
mod queue;
mod reason;
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
pub use estimate::{Estimator, Guess};
pub use event::Event;
pub use policy::{Backfill, Fit, Leaning, Policy, Preset, Strategy};
pub use reason::Reason;
pub use request::{Availability, Holding, Request};
pub use risk::Risk;
pub use scorer::{BestFit, Candidate, Chosen, Dimension, FirstFit, Scorer};
