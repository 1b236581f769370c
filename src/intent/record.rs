//! Contents of a partition's records.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::key::Key;
use crate::clock::Unix;
use crate::domain;
use crate::store::Offset;

/// Maximum length of a recorded content type, in bytes. Longer ones are truncated.
const CONTENT_TYPE_BYTES: usize = 128;

/// Identity of an attempt to win a key, or of an append.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{run:016x}-{serial}")]
pub struct AttemptId {
    /// Random identity of the writer's process.
    pub run: u64,
    /// Serial number within that process.
    pub serial: u64,
}

/// One record of a partition: the entries that one instance appends together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Partition that the batch was written for.
    pub partition: u16,
    /// Name of the writing instance, for diagnostics.
    pub writer: String,
    /// Identity of the append.
    pub id: AttemptId,
    /// The writer had read, or accounted for, every record below this offset.
    pub read_until: Offset,
    /// No intent below `read_until` has a later creation time.
    pub latest_created: Unix,
    /// Entries in the order in which they apply.
    pub entries: Vec<Entry>,
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// An attempt to win a key.
    Intent(Intent),
    /// The attempt has not run and never will, whether or not its intent is in the log.
    Withdrawal {
        /// The attempt.
        attempt: AttemptId,
        /// Its key.
        key: Key,
    },
    /// Outcome of the only execution of a key.
    Outcome {
        /// The attempt that won the key.
        attempt: AttemptId,
        /// Its key.
        key: Key,
        /// Creation time of the key.
        created: Unix,
        /// The outcome.
        outcome: ExecutionOutcome,
    },
}

/// An attempt to win a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// The attempt.
    pub attempt: AttemptId,
    /// The key.
    pub key: Key,
    /// Creation time of the key.
    pub created: Unix,
    /// Fingerprint of the work.
    pub fingerprint: u64,
    /// Failure domain that takes the job, for a key of [`Kind::Job`](super::Kind::Job).
    pub domain: Option<domain::Name>,
}

/// Outcome of an execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The upstream returned a complete response.
    Responded(RecordedResponse),
    /// The owner of this failure domain has recorded the job in its log.
    Accepted(domain::Name),
    /// The upstream may have run the work but returned no complete response.
    ResponseLost,
}

/// Response of an upstream, as recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, truncated to 128 bytes.
    pub content_type: String,
    /// The body or its digest.
    pub body: RecordedBody,
}

/// Recorded body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedBody {
    /// The complete body.
    Complete(Bytes),
    /// Length and hash of a body that was too long to record.
    Digest {
        /// Length in bytes.
        length: u64,
        /// xxh3 hash.
        hash: u64,
    },
}

impl RecordedResponse {
    /// Records `body` in full if it has at most `limit` bytes, or else its digest.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use oriolefork::intent::{RecordedResponse, RecordedBody};
    /// let long = RecordedResponse::new(200, "text/plain", &Bytes::from_static(b"renewed"), 4);
    /// assert!(matches!(long.body, RecordedBody::Digest { length: 7, .. }));
    /// ```
    pub fn new(status: u16, content_type: &str, body: &Bytes, limit: usize) -> Self {
        let kept = if body.len() <= limit {
            RecordedBody::Complete(body.clone())
        } else {
            RecordedBody::Digest { length: body.len() as u64, hash: xxh3_64(body) }
        };
        let end = content_type.floor_char_boundary(CONTENT_TYPE_BYTES);
        Self { status, content_type: content_type[..end].to_owned(), body: kept }
    }
}

impl ExecutionOutcome {
    /// Size in bytes beyond the fixed fields.
    pub(super) fn len(&self) -> usize {
        match self {
            Self::Responded(answer) => answer.len(),
            Self::Accepted(domain) => domain.as_str().len(),
            Self::ResponseLost => 0,
        }
    }
}

impl RecordedResponse {
    fn len(&self) -> usize {
        let body = match &self.body {
            RecordedBody::Complete(bytes) => bytes.len(),
            RecordedBody::Digest { .. } => 0,
        };
        body + self.content_type.len()
    }
}

/// Upper bound on the encoded size of an entry's fixed fields, in bytes.
const ENTRY_BYTES: usize = 64;

impl Entry {
    /// Attempt that the entry refers to.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Intent(intent) => intent.attempt,
            Self::Withdrawal { attempt, .. } | Self::Outcome { attempt, .. } => *attempt,
        }
    }

    /// Key that the entry refers to.
    pub fn key(&self) -> &Key {
        match self {
            Self::Intent(intent) => &intent.key,
            Self::Withdrawal { key, .. } | Self::Outcome { key, .. } => key,
        }
    }

    /// Upper bound on the encoded size, in bytes.
    pub(super) fn len(&self) -> usize {
        let variable = match self {
            Self::Intent(intent) => intent.len(),
            Self::Withdrawal { key, .. } => key.len(),
            Self::Outcome { key, outcome, .. } => key.len() + outcome.len(),
        };
        ENTRY_BYTES + variable
    }
}

impl Intent {
    fn len(&self) -> usize {
        self.key.len() + self.domain.as_ref().map_or(0, |domain| domain.as_str().len())
    }
}
