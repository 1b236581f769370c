//! What the check against the schema says to people.

use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind as Kind;
use serde_json::Value;

use super::mend;
use super::place::{Step, at, join, path};
use super::report::Problem;
use super::schema::{Repair, Violation};

/// Every violation that one error of the library stands for.
pub(super) fn describe(schema: &Value, error: &ValidationError<'_>) -> Vec<Violation> {
    let place: Vec<Step> = error.instance_path().segments().map(Step::from).collect();
    match error.kind() {
        Kind::AdditionalProperties { unexpected } => {
            unexpected.iter().map(|key| unknown(schema, error.instance(), &place, key)).collect()
        }
        Kind::Required { property } => vec![missing(schema, &place, property)],
        _ => vec![misfit(schema, error, place)],
    }
}

fn unknown(schema: &Value, object: &Value, place: &[Step], key: &str) -> Violation {
    let known = keys(at(schema, place));
    let value = object.get(key).unwrap_or(&Value::Null);
    let place = join(place, key);
    let problem =
        Problem::new(path(&place), "is no setting", mend::unknown_key(key, value, &known));
    Violation { place, repair: Repair::Remove, problem }
}

fn missing(schema: &Value, place: &[Step], property: &Value) -> Violation {
    let place = join(place, property.as_str().unwrap_or_default());
    let mend = match at(schema, &place).and_then(description) {
        Some(meaning) => format!("add it: {meaning}"),
        None => "add it".to_owned(),
    };
    let problem = Problem::new(path(&place), "is missing", mend);
    Violation { place, repair: Repair::Fill, problem }
}

fn misfit(schema: &Value, error: &ValidationError<'_>, place: Vec<Step>) -> Violation {
    let key = place.iter().rev().find_map(Step::key).unwrap_or_default();
    let shown = if super::is_secret(key) { "the secret".to_owned() } else { brief(error) };
    let wanted = at(schema, &place).unwrap_or(&Value::Null);
    let problem = complaint(path(&place), error, key, &shown, wanted);
    Violation { place, repair: repair_of(error.kind()), problem }
}

const fn repair_of(kind: &Kind) -> Repair {
    match kind {
        Kind::Pattern { .. }
        | Kind::MinItems { .. }
        | Kind::MaxItems { .. }
        | Kind::MinLength { .. }
        | Kind::MaxLength { .. } => Repair::Keep,
        _ => Repair::Remove,
    }
}

/// What is wrong with the value `shown` under `key`, and what to write instead.
fn complaint(
    path: String,
    error: &ValidationError<'_>,
    key: &str,
    shown: &str,
    wanted: &Value,
) -> Problem {
    match error.kind() {
        Kind::Type { .. } => {
            let fault = format!("{shown} is not {}", type_name(wanted));
            Problem::new(path, fault, mend::wrong_type(key, error.instance(), wanted))
        }
        Kind::Minimum { limit } => {
            let mend = mend::bound(key, limit, "at least");
            Problem::new(path, format!("{shown} is too small"), mend)
        }
        Kind::Maximum { limit } => {
            let mend = mend::bound(key, limit, "at most");
            Problem::new(path, format!("{shown} is too large"), mend)
        }
        Kind::OneOfNotValid { .. } | Kind::Enum { .. } => {
            let fault = format!("{shown} is not one of the choices");
            Problem::new(path, fault, mend::choice(wanted))
        }
        kind => wrong_form(path, kind, shown),
    }
}

/// The same for values whose length or form is wrong.
fn wrong_form(path: String, kind: &Kind, shown: &str) -> Problem {
    match kind {
        Kind::MinItems { limit } => {
            Problem::new(path, "lists too few", format!("list at least {limit}"))
        }
        Kind::MaxItems { limit } => {
            Problem::new(path, "lists too many", format!("list at most {limit}"))
        }
        Kind::MinLength { limit } => {
            let mend = format!("write at least {limit} characters");
            Problem::new(path, format!("{shown} is too short"), mend)
        }
        Kind::MaxLength { limit } => {
            let mend = format!("write at most {limit} characters");
            Problem::new(path, format!("{shown} is too long"), mend)
        }
        Kind::Pattern { .. } => {
            let mend = "use 1 to 63 lower-case letters, digits and inner hyphens";
            Problem::new(path, format!("{shown} is not a name"), mend)
        }
        kind => {
            let fault = format!("{shown} breaks the schema's rule {:?}", kind.keyword());
            Problem::new(path, fault, "see the settings page for what may stand here")
        }
    }
}

/// Longest part of a value that a message repeats.
const SHOWN_CHARACTERS: usize = 60;

fn brief(error: &ValidationError<'_>) -> String {
    let text = error.instance().to_string();
    if text.chars().count() <= SHOWN_CHARACTERS {
        return text;
    }
    text.chars().take(SHOWN_CHARACTERS).chain("...".chars()).collect()
}

fn type_name(wanted: &Value) -> &'static str {
    match wanted.get("type").and_then(Value::as_str) {
        Some("integer") => "a whole number",
        Some("string") => "text in quotes",
        Some("array") => "a list",
        Some("object") => "an object",
        _ => "of the right type",
    }
}

fn keys(part: Option<&Value>) -> Vec<&str> {
    let properties = part.and_then(|part| part.get("properties")).and_then(Value::as_object);
    properties.map(|known| known.keys().map(String::as_str).collect()).unwrap_or_default()
}

fn description(part: &Value) -> Option<&str> {
    part.get("description")?.as_str()
}
