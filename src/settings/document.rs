//! Reading JSON text without letting one key silently replace another.

use std::fmt;

use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use super::report::Problem;

/// Parses `text`, refusing an object that names a key twice.
///
/// `serde_json::Value` by itself keeps the last of two equal keys, so that a setting added at the
/// top of a file could be undone unseen by an older one further down.
pub(super) fn parse(text: &str) -> Result<Value, Problem> {
    let mut source = serde_json::Deserializer::from_str(text);
    let parsed = UniqueKeys.deserialize(&mut source).and_then(|value| {
        source.end()?;
        Ok(value)
    });
    parsed.map_err(|error| {
        Problem::new("", format!("is not valid JSON: {error}"), "correct the file at that place")
    })
}

struct UniqueKeys;

impl<'de> DeserializeSeed<'de> for UniqueKeys {
    type Value = Value;

    fn deserialize<D: serde::Deserializer<'de>>(self, source: D) -> Result<Value, D::Error> {
        source.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueKeys {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Number::from_f64(value).map(Value::Number).ok_or_else(|| E::custom("number out of range"))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut source: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = source.next_element_seed(Self)? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut source: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = source.next_key::<String>()? {
            if object.contains_key(&key) {
                return Err(A::Error::custom(format_args!("the key {key:?} stands twice")));
            }
            object.insert(key, source.next_value_seed(Self)?);
        }
        Ok(Value::Object(object))
    }
}
