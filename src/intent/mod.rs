//! Runs non-idempotent work at most once by the caller's idempotency key.
//!
//! An intent goes into the log before the one try. The key alone chooses the stream, so that a
//! retry through any instance of any failure domain meets the same record, and the first intent in
//! log order wins. The outcome is appended afterwards. A key whose try may have run and whose
//! outcome was never recorded stays unknown: it is told so and never tried again.
//!
//! [`Partition`] is what the records of one stream mean, [`Machine`] decides when to append and to
//! read and what to answer, both without I/O; [`Guard`] runs the machine over a
//! [`Store`](crate::store::Store). `docs/design/intent.md` weighs the ways.

mod budget;
mod context;
mod flight;
mod guard;
mod key;
mod lane;
mod machine;
mod partition;
mod permit;
mod placement;
mod policy;
mod queue;
mod record;
mod ruling;
mod slots;
mod wire;
mod withdrawn;

pub use self::budget::Budget;
pub use self::guard::{Admission, Driver, Guard};
pub use self::key::{Key, Kind, Request, created_of, fingerprint};
pub use self::machine::{Call, Effect, Input, Machine, Now, Stats, Ticket};
pub use self::partition::{Applied, Judgement, Partition, Progress, State, Verdict};
pub use self::permit::{Permit, Try};
pub use self::placement::Placement;
pub use self::policy::{PARTITIONS, Policy};
pub use self::record::{Answer, Attempt, Batch, Body, Entry, Intent, Outcome};
pub use self::ruling::{Refusal, Ruling};
pub use self::wire::{decode, encode};
