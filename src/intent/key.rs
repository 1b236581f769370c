//! Idempotency keys and the requests that carry them.

use derive_more::Display;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::policy::PARTITIONS;
use crate::clock::Unix;
use crate::domain;

/// Maximum length of a service's or team's name, in bytes.
const MAX_SCOPE_BYTES: usize = 128;
/// Maximum length of an idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Number of hexadecimal digits in a UUID.
const UUID_DIGITS: usize = 32;
/// Number of leading hexadecimal digits in a version 7 UUID that encode its creation time.
const UUID_TIME_DIGITS: usize = 12;

/// Kind of work that a key protects.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A quick request of a service to a runner.
    #[display("request")]
    Request,
    /// The submission of a team's job.
    #[display("job")]
    Job,
}

/// An idempotency key within the scope of a service or team.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{kind}/{scope}/{name}")]
pub struct Key {
    kind: Kind,
    scope: String,
    name: String,
}

/// Why a key is invalid.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// The service or team is empty.
    #[display("the service or team is empty")]
    EmptyScope,
    /// The service's or team's name is too long.
    #[display("the service or team is longer than {MAX_SCOPE_BYTES} bytes")]
    ScopeTooLong,
    /// The key is empty.
    #[display("the idempotency key is empty")]
    EmptyName,
    /// The key is too long.
    #[display("the idempotency key is longer than {MAX_NAME_BYTES} bytes")]
    NameTooLong,
}

impl Key {
    /// Creates a key from the name of the service or team and the caller's idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if one of them is empty or too long.
    ///
    /// ```
    /// use oriolefork::intent::{Key, Kind};
    /// let key = Key::new(Kind::Request, "portal", "renew-7").unwrap();
    /// assert_eq!(key.to_string(), "request/portal/renew-7");
    /// assert!(Key::new(Kind::Request, "portal", "").is_err());
    /// ```
    pub fn new(kind: Kind, scope: &str, name: &str) -> Result<Self, Error> {
        match (scope.len(), name.len()) {
            (0, _) => Err(Error::EmptyScope),
            (_, 0) => Err(Error::EmptyName),
            (length, _) if length > MAX_SCOPE_BYTES => Err(Error::ScopeTooLong),
            (_, length) if length > MAX_NAME_BYTES => Err(Error::NameTooLong),
            _ => Ok(Self { kind, scope: scope.to_owned(), name: name.to_owned() }),
        }
    }

    /// Kind of work that the key protects.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// The service or team that the key belongs to.
    pub fn scope(&self) -> &str {
        &self.scope
    }

    /// The caller's idempotency key.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number of the partition with the key's records; the same at every instance.
    pub fn partition(&self) -> u16 {
        let mut hasher = Xxh3::new();
        hasher.update(&[self.kind as u8]);
        hasher.update(&(self.scope.len() as u64).to_le_bytes());
        hasher.update(self.scope.as_bytes());
        hasher.update(self.name.as_bytes());
        let partition = hasher.digest() % u64::from(PARTITIONS);
        partition as u16
    }

    /// Length of the scope and name, in bytes.
    pub(super) fn len(&self) -> usize {
        self.scope.len() + self.name.len()
    }
}

/// One submission of work under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The key.
    pub key: Key,
    /// Creation time of the key; the same in each retry. See [`creation_time`].
    pub created: Unix,
    /// Fingerprint of the work, which reveals a key that is reused for other work. See
    /// [`fingerprint`].
    pub fingerprint: u64,
    /// Failure domain that is to take the job, for a key of [`Kind::Job`].
    pub domain: Option<domain::Name>,
}

/// Creation time of an idempotency key that is a version 7 UUID; `None` for any other key.
///
/// ```
/// use oriolefork::clock::Unix;
/// use oriolefork::intent::creation_time;
/// let created = creation_time("01890a5d-ac96-774b-bcce-b302099a8057");
/// assert_eq!(created, Some(Unix::from_millis(0x0189_0a5d_ac96)));
/// assert_eq!(creation_time("renew-7"), None);
/// ```
pub fn creation_time(name: &str) -> Option<Unix> {
    let digits: String = name.chars().filter(|symbol| *symbol != '-').collect();
    let is_uuid = digits.len() == UUID_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_uuid || digits.as_bytes()[UUID_TIME_DIGITS] != b'7' {
        return None;
    }
    u64::from_str_radix(&digits[..UUID_TIME_DIGITS], 16).ok().map(Unix::from_millis)
}

/// Fingerprint of the work that is submitted under a key.
pub fn fingerprint(work: &[u8]) -> u64 {
    xxh3_64(work)
}
