//! Round trips and malformed input of the binary encoding.

use std::collections::BTreeMap;

use oriolefork::codec::{self, Error};
use proptest::prelude::{any, proptest};
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::sample::Index;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    Empty,
    Text(String),
    Record { key: u64, payload: Vec<u8>, tags: BTreeMap<String, Option<i32>> },
}

fn record(key: u64, payload: &[u8], tags: &BTreeMap<String, Option<i32>>) -> Message {
    Message::Record { key, payload: payload.to_vec(), tags: tags.clone() }
}

proptest! {
    #[test]
    fn decode_encoded(
        key: u64,
        text: String,
        payload: Vec<u8>,
        tags: BTreeMap<String, Option<i32>>,
    ) {
        for message in [Message::Empty, Message::Text(text), record(key, &payload, &tags)] {
            let bytes = codec::encode(&message).unwrap();
            prop_assert_eq!(codec::decode::<Message>(&bytes), Ok(message));
        }
    }

    #[test]
    fn decode_truncated(key: u64, payload: Vec<u8>, at in any::<Index>()) {
        let bytes = codec::encode(&record(key, &payload, &BTreeMap::new())).unwrap();
        let cut = &bytes[..at.index(bytes.len())];
        prop_assert!(codec::decode::<Message>(cut).is_err());
    }

    #[test]
    fn decode_trailing(key: u64, extra in proptest::collection::vec(any::<u8>(), 1..50)) {
        let mut bytes = codec::encode(&key).unwrap().to_vec();
        bytes.extend_from_slice(&extra);
        let expected = Err(Error::Trailing { bytes: extra.len() });
        prop_assert_eq!(codec::decode::<u64>(&bytes), expected);
    }

    #[test]
    fn decode_other_version(key: u64, version in 2_u8..) {
        let mut bytes = codec::encode(&key).unwrap().to_vec();
        bytes[0] = version;
        prop_assert_eq!(codec::decode::<u64>(&bytes), Err(Error::Version { version }));
    }

    // Arbitrary input must not panic, and must not make the decoder allocate a declared length
    // ahead of the data. Every decoded value can be encoded again.
    #[test]
    fn decode_arbitrary(mut bytes: Vec<u8>) {
        bytes.insert(0, codec::VERSION);
        if let Ok(message) = codec::decode::<Message>(&bytes) {
            prop_assert!(codec::encode(&message).is_ok());
        }
    }
}

#[test]
fn decode_huge_length() {
    let mut bytes = vec![codec::VERSION, 253];
    bytes.extend_from_slice(&u64::MAX.to_le_bytes());
    assert!(matches!(codec::decode::<Vec<u8>>(&bytes), Err(Error::Decode { .. })));
    assert!(matches!(codec::decode::<String>(&bytes), Err(Error::Decode { .. })));
    assert!(matches!(codec::decode::<Vec<u64>>(&bytes), Err(Error::Decode { .. })));
}

#[test]
fn decode_empty() {
    assert_eq!(codec::decode::<u64>(&[]), Err(Error::Empty));
}

#[test]
fn encode_too_large() {
    let error = codec::encode(&vec![1_u8; codec::MAX_BYTES]).unwrap_err();
    assert!(matches!(error, Error::TooLarge { bytes } if bytes > codec::MAX_BYTES), "{error}");
}
