//! Placement of tasks on the workers of one failure domain.
//!
//! [`Engine`] is a pure state machine: it is told of workers, waiting jobs, running tasks and
//! measured usage, and decides which task starts where and which is preempted. It does no input
//! or output and reads no clock. What it decides, it reserves at once, so that two decisions can
//! never use the same room.

mod decision;
mod engine;
mod node;
mod policy;
mod reason;
mod request;

pub use decision::{Assignment, Decision};
pub use engine::Engine;
pub use policy::{Leaning, Policy, Preset, Strategy};
pub use reason::Reason;
pub use request::{Availability, Holding, Request};
