//! Settings that operators change while the system runs: the preset in force, team quotas, drained
//! workers and racks.
//!
//! They live in one stream of the platform's log. Every instance applies that stream in order by
//! one pure rule ([`State::apply`]), so that all which applied the same prefix agree. [`Machine`]
//! decides when a value is in force, what to publish and what to tell peers; the task in
//! [`follow`] owns it and carries its effects out.

pub mod change;
pub mod compaction;
pub mod follow;
pub mod gossip;
pub mod handle;
mod herald;
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
