//! Ownership of a failure domain: claiming it, keeping its jobs in the log, and running their tasks
//! on its workers.
//!
//! Exactly one entry instance of a failure domain owns it at a time. [`Machine`] is the pure state
//! machine that every instance of the domain runs; [`record`] holds what it writes to the domain's
//! stream, [`replica::Replica`] the state that every instance builds by reading it.

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

/// Number by which a waiting caller is known to the machine.
pub type Ticket = u64;
