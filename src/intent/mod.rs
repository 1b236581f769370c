//! Runs non-idempotent work at most once per idempotency key.
//!
//! Before the work runs, an intent is appended to the log. The key alone selects the stream, so a
//! retry through any instance of any failure domain reads the same record, and the first intent in
//! log order wins the key. The outcome is appended afterwards. If the work may have run but no
//! outcome was recorded, retries are answered that the outcome is unknown, and the work never runs
//! again.
//!
//! [`Partition`] derives the state of the keys from the records of one stream. [`Machine`] decides
//! when to append and read, and how to answer requests. Neither does any I/O: [`Deduplicator`] runs
//! the machine over a [`Store`](crate::store::Store). `docs/design/intent.md` compares this design
//! with its alternatives.

mod admission_decision;
mod context;
mod deduplicator;
mod domain_binding;
mod in_flight;
mod key;
mod key_table;
mod machine;
mod partition;
mod partition_client;
mod permit;
mod policy;
mod queue;
mod record;
mod token_bucket;
mod wire;
mod withdrawn_attempts;

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
