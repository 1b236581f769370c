//! Places in a document and in its schema.

use jsonschema::paths::LocationSegment;
use serde_json::Value;

/// One step into a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Into an object.
    Key(String),
    /// Into an array.
    Index(usize),
}

/// The part of the schema for the value at `place`.
pub(super) fn at<'a>(schema: &'a Value, place: &[Step]) -> Option<&'a Value> {
    place.iter().try_fold(schema, |part, step| match step {
        Step::Key(key) => part.get("properties")?.get(key),
        Step::Index(_) => part.get("items"),
    })
}

/// The place of `key` in the object at `place`.
pub(super) fn join(place: &[Step], key: &str) -> Vec<Step> {
    place.iter().cloned().chain([Step::Key(key.to_owned())]).collect()
}

/// Writes a place as people do: `peers[2].address`.
pub(super) fn path(place: &[Step]) -> String {
    place.iter().fold(String::new(), |path, step| match step {
        Step::Key(key) if path.is_empty() => key.clone(),
        Step::Key(key) => format!("{path}.{key}"),
        Step::Index(index) => format!("{path}[{index}]"),
    })
}

impl Step {
    /// The key, unless the step goes into an array.
    pub(super) fn key(&self) -> Option<&str> {
        match self {
            Self::Key(key) => Some(key),
            Self::Index(_) => None,
        }
    }
}

impl From<LocationSegment<'_>> for Step {
    fn from(segment: LocationSegment<'_>) -> Self {
        match segment {
            LocationSegment::Property(key) => Self::Key(key.into_owned()),
            LocationSegment::Index(index) => Self::Index(index),
        }
    }
}
