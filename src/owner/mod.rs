//! Ownership of a failure domain: claiming it, recording its jobs in the log, and running their
//! tasks on its workers.
//!
//! Exactly one entry instance of a failure domain owns it at a time. [`Machine`] is the pure state
//! machine that every instance of the domain runs. [`record`] defines the records that the owner
//! appends to the domain's stream, and [`replica::Replica`] is the state that every instance builds
//! by reading that stream.

pub mod active;
pub mod alerts;
pub mod calls;
pub mod election;
pub mod journal;
pub mod machine;
pub mod on_commit;
pub mod owner_step;
pub mod peer_commit;
pub mod reconcile;
pub mod record;
pub mod replica;
pub mod session;
pub mod table;
pub mod timings;

pub use machine::{Answer, Call, Effect, Heartbeat, Machine, Message, Refusal, Role};
pub use peer_commit::{BatchCopy, StoredCopies};
pub use timings::Timings;

/// Identifies a pending call, so that its answer reaches the caller.
pub type Ticket = u64;
