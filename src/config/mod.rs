//! Settings that operators change while the system runs: the preset in force, team quotas, drained
//! workers and racks.
//!
//! The settings are stored in one stream of the platform's log. Every instance applies that stream
//! in order with the same deterministic function ([`State::apply`]), so that instances which
//! applied the same prefix have the same state. [`Machine`] decides when a value is in force, what
//! to append to the stream and what to exchange with peers; the task in [`follow`] owns it and
//! executes its effects.

pub mod change;
pub mod compaction;
pub mod follow;
pub mod gossip;
mod gossiper;
pub mod handle;
pub mod machine;
pub mod publish;
pub mod reader;
pub mod state;
pub mod value;
pub mod wire;

pub use change::Change;
pub use handle::{Handle, Proposal, Values};
pub use machine::{Effect, Machine, Message};
pub use publish::{Publication, PublishOutcome};
pub use state::State;
pub use value::{DrainTarget, Preset, Revision, Value, Version};

/// Name of the stream that holds the settings.
pub const STREAM: &str = "settings";
