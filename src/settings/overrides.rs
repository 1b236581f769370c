//! Settings given on the command line, which go before the file's.

use std::str::FromStr;

use derive_more::Display;
use serde_json::{Map, Value};

use super::report::Problem;

/// One setting given on the command line as `path=value`.
///
/// The value is read as JSON where it is JSON, else as text.
///
/// ```
/// use oriolefork::settings::Override;
/// assert!("logging.level=debug".parse::<Override>().is_ok());
/// assert!("owner.lease_ms=20000".parse::<Override>().is_ok());
/// assert!("logging.level".parse::<Override>().is_err());
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    path: String,
    value: Value,
}

/// Text that is not of the form `path=value`.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=settings.override cause=expected path=value, such as logging.level=debug")]
pub struct Malformed;

impl FromStr for Override {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let (path, value) = text.split_once('=').ok_or(Malformed)?;
        if path.split('.').any(str::is_empty) {
            return Err(Malformed);
        }
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_owned()));
        Ok(Self { path: path.to_owned(), value })
    }
}

impl Override {
    /// Puts the setting into `document`, over what stands there.
    pub(super) fn apply(&self, document: &mut Value) -> Result<(), Problem> {
        if names_secret(&self.path, &self.value) {
            return Err(self.problem(
                "is a secret, and every user of the machine can read command lines",
                "write it into the settings file",
            ));
        }
        let mut place = document;
        for key in self.path.split('.') {
            place = descend(place, key).ok_or_else(|| {
                self.problem(
                    "leads through a value that is not an object",
                    "give the whole list or value as JSON instead",
                )
            })?;
        }
        *place = self.value.clone();
        Ok(())
    }

    fn problem(&self, fault: &str, mend: &str) -> Problem {
        Problem::new(&*self.path, format!("(from the command line) {fault}"), mend)
    }
}

/// The value under `key`, made if missing; `None` when `place` is not an object.
fn descend<'a>(place: &'a mut Value, key: &str) -> Option<&'a mut Value> {
    let object = place.as_object_mut()?;
    let entry = object.entry(key).or_insert_with(|| Value::Object(Map::new()));
    Some(entry)
}

fn names_secret(path: &str, value: &Value) -> bool {
    let last = path.rsplit('.').next().unwrap_or(path);
    super::is_secret(last) || holds_secret(value)
}

fn holds_secret(value: &Value) -> bool {
    match value {
        Value::Array(items) => items.iter().any(holds_secret),
        Value::Object(object) => {
            object.iter().any(|(key, inner)| super::is_secret(key) || holds_secret(inner))
        }
        _ => false,
    }
}
