//! JSON encoding of the log's responses.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Offset;

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: Offset,
}

/// A record with its payload in base64.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset of the record.
    pub offset: Offset,
    /// Content of the record, in base64.
    pub payload: String,
}

/// Response to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that the log still has.
    pub oldest: Offset,
    /// Offset of the next append.
    pub end: Offset,
    /// Records in order.
    pub records: Vec<Record>,
}

/// Why a response is not a valid page.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// A payload is not base64.
    #[display("record {_0} is not base64")]
    Payload(#[error(not(source))] Offset),
    /// A record's offset does not follow the previous one.
    #[display("record {_0} is out of order")]
    Order(#[error(not(source))] Offset),
    /// A record's offset is outside the range from `oldest` to `end`.
    #[display("record {_0} lies outside the stream")]
    Range(#[error(not(source))] Offset),
}

impl From<&super::Page> for Page {
    fn from(page: &super::Page) -> Self {
        let records = page.records.iter().map(Record::from).collect();
        Self { oldest: page.oldest, end: page.end, records }
    }
}

impl From<&super::Record> for Record {
    fn from(record: &super::Record) -> Self {
        Self { offset: record.offset, payload: STANDARD.encode(&record.payload) }
    }
}

impl TryFrom<Record> for super::Record {
    type Error = Error;

    fn try_from(record: Record) -> Result<Self, Error> {
        let payload =
            STANDARD.decode(&record.payload).map_err(|_| Error::Payload(record.offset))?;
        Ok(Self { offset: record.offset, payload: Bytes::from(payload) })
    }
}

impl TryFrom<Page> for super::Page {
    type Error = Error;

    fn try_from(page: Page) -> Result<Self, Error> {
        let kept = page.oldest..page.end;
        let mut next = None;
        for record in &page.records {
            if next.is_some_and(|next| next != record.offset) {
                return Err(Error::Order(record.offset));
            }
            if !kept.contains(&record.offset) {
                return Err(Error::Range(record.offset));
            }
            next = record.offset.checked_add(1);
        }
        let records = page.records.into_iter().map(TryFrom::try_from).collect::<Result<_, _>>()?;
        Ok(Self { records, oldest: page.oldest, end: page.end })
    }
}
