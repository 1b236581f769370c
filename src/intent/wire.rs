//! Encoding of a batch in the log: a version byte followed by bincode.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::key::{Key, Kind};
use super::record::{
    AttemptId, Batch, Entry, ExecutionOutcome, Intent, RecordedBody, RecordedResponse,
};
use crate::clock::Unix;
use crate::domain;

/// Version of the encoding.
const VERSION: u8 = 1;
/// Maximum size of a record that is decoded, in bytes.
const LIMIT: usize = 4 * 1024 * 1024;

/// A record that cannot be decoded as a batch.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=intent.decode cause={cause}")]
pub struct Error {
    cause: String,
}

impl Error {
    fn new(cause: impl Into<String>) -> Self {
        Self { cause: cause.into() }
    }
}

#[derive(Serialize, Deserialize)]
struct WireBatch {
    partition: u16,
    writer: String,
    id: AttemptId,
    seen: u64,
    horizon: Unix,
    entries: Vec<WireEntry>,
}

#[derive(Serialize, Deserialize)]
enum WireEntry {
    Intent { attempt: AttemptId, key: WireKey, created: Unix, fingerprint: u64, domain: String },
    Withdrawal { attempt: AttemptId, key: WireKey },
    Outcome { attempt: AttemptId, key: WireKey, created: Unix, outcome: WireOutcome },
}

#[derive(Serialize, Deserialize)]
struct WireKey {
    job: bool,
    owner: String,
    name: String,
}

#[derive(Serialize, Deserialize)]
enum WireOutcome {
    Whole { status: u16, content_type: String, body: Vec<u8> },
    Digest { status: u16, content_type: String, length: u64, hash: u64 },
    Accepted { domain: domain::Name },
    Lost,
}

/// Encodes a batch as the payload of a log record.
pub fn encode(batch: &Batch) -> Bytes {
    let mut payload = vec![VERSION];
    let wire = WireBatch::from(batch);
    // Writing to memory fails only for types that bincode does not support; it supports these.
    let written =
        bincode::serde::encode_into_std_write(wire, &mut payload, bincode::config::standard());
    debug_assert!(written.is_ok(), "a batch can always be encoded");
    payload.into()
}

/// Decodes the payload of a log record.
///
/// # Errors
///
/// Fails if the version differs, if the payload is truncated or has trailing bytes, or if a key is
/// invalid.
pub fn decode(payload: &[u8]) -> Result<Batch, Error> {
    let (version, rest) = payload.split_first().ok_or_else(|| Error::new("empty record"))?;
    if *version != VERSION {
        return Err(Error::new(format!("version {version} instead of {VERSION}")));
    }
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (wire, used): (WireBatch, usize) = bincode::serde::decode_from_slice(rest, config)
        .map_err(|error| Error::new(error.to_string()))?;
    if used != rest.len() {
        return Err(Error::new("trailing bytes after the batch"));
    }
    wire.try_into()
}

impl From<&Batch> for WireBatch {
    fn from(batch: &Batch) -> Self {
        Self {
            partition: batch.partition,
            writer: batch.writer.clone(),
            id: batch.id,
            seen: batch.read_until,
            horizon: batch.latest_created,
            entries: batch.entries.iter().map(WireEntry::from).collect(),
        }
    }
}

impl TryFrom<WireBatch> for Batch {
    type Error = Error;

    fn try_from(wire: WireBatch) -> Result<Self, Error> {
        let entries = wire.entries.into_iter().map(Entry::try_from).collect::<Result<_, _>>()?;
        Ok(Self {
            partition: wire.partition,
            writer: wire.writer,
            id: wire.id,
            read_until: wire.seen,
            latest_created: wire.horizon,
            entries,
        })
    }
}

impl From<&Entry> for WireEntry {
    fn from(entry: &Entry) -> Self {
        match entry {
            Entry::Intent(intent) => Self::Intent {
                attempt: intent.attempt,
                key: WireKey::from(&intent.key),
                created: intent.created,
                fingerprint: intent.fingerprint,
                domain: intent.domain.as_ref().map_or_else(String::new, ToString::to_string),
            },
            Entry::Withdrawal { attempt, key } => {
                Self::Withdrawal { attempt: *attempt, key: WireKey::from(key) }
            }
            Entry::Outcome { attempt, key, created, outcome } => Self::Outcome {
                attempt: *attempt,
                key: WireKey::from(key),
                created: *created,
                outcome: WireOutcome::from(outcome),
            },
        }
    }
}

impl TryFrom<WireEntry> for Entry {
    type Error = Error;

    fn try_from(wire: WireEntry) -> Result<Self, Error> {
        match wire {
            WireEntry::Intent { attempt, key, created, fingerprint, domain } => {
                let domain = (!domain.is_empty()).then(|| domain::Name::from(domain));
                let key = Key::try_from(key)?;
                Ok(Self::Intent(Intent { attempt, key, created, fingerprint, domain }))
            }
            WireEntry::Withdrawal { attempt, key } => {
                Ok(Self::Withdrawal { attempt, key: Key::try_from(key)? })
            }
            WireEntry::Outcome { attempt, key, created, outcome } => {
                let key = Key::try_from(key)?;
                Ok(Self::Outcome {
                    attempt,
                    key,
                    created,
                    outcome: ExecutionOutcome::from(outcome),
                })
            }
        }
    }
}

impl From<&Key> for WireKey {
    fn from(key: &Key) -> Self {
        Self {
            job: key.kind() == Kind::Job,
            owner: key.scope().to_owned(),
            name: key.name().to_owned(),
        }
    }
}

impl TryFrom<WireKey> for Key {
    type Error = Error;

    fn try_from(wire: WireKey) -> Result<Self, Error> {
        let kind = if wire.job { Kind::Job } else { Kind::Request };
        Self::new(kind, &wire.owner, &wire.name).map_err(|error| Error::new(error.to_string()))
    }
}

impl From<&ExecutionOutcome> for WireOutcome {
    fn from(outcome: &ExecutionOutcome) -> Self {
        match outcome {
            ExecutionOutcome::Responded(answer) => Self::from(answer),
            ExecutionOutcome::Accepted(domain) => Self::Accepted { domain: domain.clone() },
            ExecutionOutcome::ResponseLost => Self::Lost,
        }
    }
}

impl From<&RecordedResponse> for WireOutcome {
    fn from(answer: &RecordedResponse) -> Self {
        let content_type = answer.content_type.clone();
        match &answer.body {
            RecordedBody::Complete(body) => {
                Self::Whole { status: answer.status, content_type, body: body.to_vec() }
            }
            RecordedBody::Digest { length, hash } => {
                Self::Digest { status: answer.status, content_type, length: *length, hash: *hash }
            }
        }
    }
}

impl From<WireOutcome> for ExecutionOutcome {
    fn from(wire: WireOutcome) -> Self {
        match wire {
            WireOutcome::Whole { status, content_type, body } => {
                Self::Responded(RecordedResponse {
                    status,
                    content_type,
                    body: RecordedBody::Complete(body.into()),
                })
            }
            WireOutcome::Digest { status, content_type, length, hash } => {
                let body = RecordedBody::Digest { length, hash };
                Self::Responded(RecordedResponse { status, content_type, body })
            }
            WireOutcome::Accepted { domain } => Self::Accepted(domain),
            WireOutcome::Lost => Self::ResponseLost,
        }
    }
}
