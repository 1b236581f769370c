//! Parses JSON bodies and reports the path of an invalid field.

use serde::de::DeserializeOwned;
use serde_path_to_error::Path;

use crate::api::refusal::Refusal;

/// Field name in refusals that concern the body as a whole.
const BODY: &str = "body";

/// Parses a request body that consists of one JSON object without arrays.
///
/// ```
/// use oriolefork::api::wire::{self, Amount};
/// let refusal = wire::parse::<Amount>(br#"{"cpu-millis": -1, "memory-mib": 0}"#).unwrap_err();
/// assert_eq!(refusal.field.as_deref(), Some("cpu-millis"));
/// ```
///
/// # Errors
///
/// Returns a refusal that names the invalid field.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    if has_array(body) {
        return Err(Refusal::invalid(BODY, "the body must be a JSON object without arrays"));
    }
    let mut reader = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| refusal(error.path(), error.inner()))?;
    reader.end().map_err(|error| Refusal::invalid(BODY, error.to_string()))?;
    Ok(value)
}

/// Whether the body contains an array outside of strings.
///
/// Requests have no arrays, and `serde_json` would accept an array as a struct's fields in order.
fn has_array(body: &[u8]) -> bool {
    let (mut in_string, mut escaped) = (false, false);
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' if !in_string => return true,
            _ => {}
        }
    }
    false
}

fn refusal(path: &Path, error: &serde_json::Error) -> Refusal {
    let message = error.to_string();
    Refusal::invalid(field(path, &message), message)
}

/// Returns the path of the invalid field.
///
/// For missing, unknown and duplicate fields, `path` may be that of the enclosing object; the
/// field's name is then taken from the error message.
fn field(path: &Path, message: &str) -> String {
    let object = path.to_string();
    let object = if object == "." || object == "?" { "" } else { object.as_str() };
    let named = ["missing field `", "unknown field `", "duplicate field `"]
        .iter()
        .find_map(|start| message.strip_prefix(start))
        .and_then(|rest| rest.split('`').next());
    match named {
        Some(name) if !ends_with(object, name) => join(object, name),
        _ if object.is_empty() => BODY.to_owned(),
        _ => object.to_owned(),
    }
}

fn ends_with(path: &str, name: &str) -> bool {
    path == name || path.strip_suffix(name).is_some_and(|rest| rest.ends_with('.'))
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
