//! Runs non-idempotent work at most once by the caller's idempotency key.
//!
//! An intent goes into the log before the one try. The key alone chooses the stream, so that a
//! retry through any instance of any failure domain meets the same record, and the first intent in
//! log order wins. The outcome is appended afterwards. A key whose try may have run and whose
//! outcome was never recorded stays unknown: it is told so and never tried again.
//!
//! [`Partition`] is what the records of one stream mean, [`Machine`] decides when to append and to
//! read and what to answer, both without I/O; [`Deduplicator`] runs the machine over a
//! [`Store`](crate::store::Store). `docs/design/intent.md` weighs the ways.

mod admission_decision;
mod context;
mod deduplicator;
mod domain_binding;
mod flight;
mod key;
mod lane;
mod machine;
mod partition;
mod permit;
mod policy;
mod queue;
mod record;
mod slots;
mod token_bucket;
mod wire;
mod withdrawn;

pub use self::admission_decision::{AdmissionDecision, Refusal};
pub use self::deduplicator::{Admission, Deduplicator, Driver};
pub use self::domain_binding::DomainBinding;
pub use self::key::{Key, Kind, Request, creation_time, fingerprint};
pub use self::machine::{CallResult, Effect, Input, Machine, Now, RequestId, Stats};
pub use self::partition::{AppliedPage, IntentResult, IntentStatus, KeyState, Partition, Progress};
pub use self::permit::{Execution, Permit};
pub use self::policy::{PARTITIONS, Policy};
pub use self::record::{
    AttemptId, Batch, Entry, ExecutionOutcome, Intent, RecordedBody, RecordedResponse,
};
pub use self::token_bucket::TokenBucket;
pub use self::wire::{decode, encode};
