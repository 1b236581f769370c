//! What an owner has learned from its tasks, as stored for its successor.
//!
//! The record is advisory: without it, or with an old one, the next owner's predictions are less
//! accurate, and nothing else changes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::run_time;
use super::worker_speed::StoredSpeed;
use crate::codec;

/// Version of the record's form. A record of another version is ignored.
pub const VERSION: u32 = 1;

/// What an owner has learned.
///
/// ```
/// use oriolefork::cell::learned::Record;
/// let mut record = Record::default();
/// record.run_times.record("nightly", 1_000, 1_500.0);
/// let bytes = record.encode().unwrap();
/// assert_eq!(Record::decode(&bytes), Ok(record));
/// assert!(Record::decode(&bytes[..bytes.len() - 1]).is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Run times by queue.
    pub run_times: run_time::Model,
    /// Speeds of the workers whose speed is known.
    pub worker_speeds: Vec<StoredSpeed>,
}

/// The record with its version, which is decoded first.
#[derive(Serialize, Deserialize)]
struct Envelope {
    version: u32,
    body: Vec<u8>,
}

impl Record {
    /// Encodes the record.
    ///
    /// # Errors
    /// If it is larger than a message may be.
    pub fn encode(&self) -> Result<Bytes, codec::Error> {
        let body = codec::encode(self)?.to_vec();
        codec::encode(&Envelope { version: VERSION, body })
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// The cause, if it is damaged or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let envelope: Envelope = codec::decode(bytes).map_err(|error| error.to_string())?;
        if envelope.version != VERSION {
            return Err(format!("record of version {}, {VERSION} expected", envelope.version));
        }
        codec::decode(&envelope.body).map_err(|error| error.to_string())
    }
}
