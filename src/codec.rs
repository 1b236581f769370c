//! Binary encoding of messages between instances and of records in the log: a version byte, then
//! `bincode`.
//!
//! Encoding and decoding are limited in size, so that neither a hostile peer nor a damaged record
//! can make the process allocate unbounded memory.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::Bytes;
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the encoding, the first byte of each message.
pub const VERSION: u8 = 1;

/// Largest size of an encoded message with its version byte, in bytes.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_BYTES>> =
    bincode::config::standard().with_limit::<MAX_BYTES>();

/// Why a message could not be encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The message is larger than [`MAX_BYTES`].
    #[display("message of {bytes} bytes, {MAX_BYTES} allowed")]
    TooLarge {
        /// Size of the message.
        bytes: usize,
    },
    /// The input is empty, without a version byte.
    #[display("empty message")]
    Empty,
    /// The encoding has a version that this program does not support.
    #[display("message of unknown version {version}")]
    Version {
        /// The version found.
        version: u8,
    },
    /// The value cannot be encoded.
    #[display("cannot encode: {cause}")]
    Encode {
        /// Error message of the encoder.
        cause: String,
    },
    /// The bytes are not a message of the expected type.
    #[display("cannot decode: {cause}")]
    Decode {
        /// Error message of the decoder.
        cause: String,
    },
    /// The message is followed by more bytes.
    #[display("{bytes} bytes after the message")]
    Trailing {
        /// Number of bytes after the message.
        bytes: usize,
    },
}

/// Encodes `value`.
///
/// # Errors
/// If the result is larger than [`MAX_BYTES`], or `value` cannot be encoded.
///
/// ```
/// use oriolefork::codec;
/// let bytes = codec::encode(&("rebuild", 7_u32)).unwrap();
/// assert_eq!(codec::decode::<(String, u32)>(&bytes).unwrap(), ("rebuild".to_owned(), 7));
/// ```
pub fn encode<T: Serialize + ?Sized>(value: &T) -> Result<Bytes, Error> {
    encode_version(VERSION, value)
}

/// Encodes `value` in a form of its own, whose version instances that do not know it refuse.
///
/// # Errors
/// As [`encode`].
pub fn encode_version<T: Serialize + ?Sized>(version: u8, value: &T) -> Result<Bytes, Error> {
    let mut bytes = vec![version];
    bincode::serde::encode_into_std_write(value, &mut bytes, CONFIG)
        .map_err(|cause| Error::Encode { cause: cause.to_string() })?;
    if bytes.len() > MAX_BYTES {
        return Err(Error::TooLarge { bytes: bytes.len() });
    }
    Ok(Bytes::from(bytes))
}

/// Decodes one message that takes all of `bytes`.
///
/// # Errors
/// If `bytes` is larger than [`MAX_BYTES`], has another version, is truncated, continues after the
/// message, or is not an encoded `T`.
///
/// ```
/// use oriolefork::codec::{self, Error};
/// assert_eq!(codec::decode::<u8>(&[9, 1]), Err(Error::Version { version: 9 }));
/// ```
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    decode_version(VERSION, bytes)
}

/// Decodes one message of the given version.
///
/// # Errors
/// As [`decode`].
pub fn decode_version<T: DeserializeOwned>(expected: u8, bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > MAX_BYTES {
        return Err(Error::TooLarge { bytes: bytes.len() });
    }
    let (&version, payload) = bytes.split_first().ok_or(Error::Empty)?;
    if version != expected {
        return Err(Error::Version { version });
    }
    let (value, used) = bincode::serde::decode_from_slice(payload, CONFIG)
        .map_err(|cause| Error::Decode { cause: cause.to_string() })?;
    match payload.len() - used {
        0 => Ok(value),
        bytes => Err(Error::Trailing { bytes }),
    }
}
