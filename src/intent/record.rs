//! What a partition's records say.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::key::Key;
use crate::clock::Unix;
use crate::domain;
use crate::store::Offset;

/// Longest content type that is kept of an answer, in bytes.
const CONTENT_TYPE_BYTES: usize = 128;

/// Identity of one attempt to win a key.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{run:016x}-{serial}")]
pub struct AttemptId {
    /// Random number of the writer's process.
    pub run: u64,
    /// Count within that process.
    pub serial: u64,
}

/// One record of a partition: everything that waited at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Partition it was written for.
    pub partition: u16,
    /// Name of the writer, for people.
    pub writer: String,
    /// Identity of the append.
    pub id: AttemptId,
    /// The writer had taken account of every record below this offset.
    pub read_until: Offset,
    /// No intent below `seen` has a later creation time.
    pub latest_created: Unix,
    /// What it says, in order.
    pub entries: Vec<Entry>,
}

/// One statement of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// An attempt to win a key.
    Intent(Intent),
    /// The attempt has run nothing and never will, whether or not its intent is in the log.
    Withdrawal {
        /// The attempt.
        attempt: AttemptId,
        /// Its key.
        key: Key,
    },
    /// How the one try of a key ended.
    Outcome {
        /// The attempt that won the key.
        attempt: AttemptId,
        /// Its key.
        key: Key,
        /// When the caller made the key.
        created: Unix,
        /// How it ended.
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
    /// When the caller made the key.
    pub created: Unix,
    /// Fingerprint of the work.
    pub fingerprint: u64,
    /// Failure domain that takes the job, for a key of [`Kind::Job`](super::Kind::Job).
    pub domain: Option<domain::Name>,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The upstream gave a whole answer.
    Responded(RecordedResponse),
    /// The owner of this failure domain has the job in its log.
    Accepted(domain::Name),
    /// The upstream may have run it: no whole answer came.
    ResponseLost,
}

/// The answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, cut to a bound.
    pub content_type: String,
    /// The body or its digest.
    pub body: RecordedBody,
}

/// The body of an answer, as far as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedBody {
    /// All of it.
    Complete(Bytes),
    /// It was too long to keep.
    Digest {
        /// Its length in bytes.
        length: u64,
        /// Its xxh3 hash.
        hash: u64,
    },
}

impl RecordedResponse {
    /// Keeps `body` whole when it has at most `limit` bytes, else its digest.
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
    /// Bytes it holds beyond its fixed size.
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

/// Bytes that an entry's fixed fields take at most.
const ENTRY_BYTES: usize = 64;

impl Entry {
    /// The attempt it is about.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Intent(intent) => intent.attempt,
            Self::Withdrawal { attempt, .. } | Self::Outcome { attempt, .. } => *attempt,
        }
    }

    /// The key it is about.
    pub fn key(&self) -> &Key {
        match self {
            Self::Intent(intent) => &intent.key,
            Self::Withdrawal { key, .. } | Self::Outcome { key, .. } => key,
        }
    }

    /// Upper estimate of its size in the log.
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
