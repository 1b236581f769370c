//! The JSON schema of the settings file, and the check of a document against it.

use jsonschema::error::ValidationErrorKind as Kind;
use jsonschema::paths::LocationSegment;
use jsonschema::{ValidationError, Validator};
use schemars::generate::SchemaSettings;
use serde_json::{Map, Value};

use super::report::Problem;
use super::{mend, wire};

/// The JSON schema of the settings file.
pub fn schema() -> Value {
    let settings =
        SchemaSettings::draft2020_12().with(|settings| settings.inline_subschemas = true);
    settings.into_generator().into_root_schema_for::<wire::Settings>().to_value()
}

/// One thing that the schema does not allow.
pub(super) struct Violation {
    /// What to tell people.
    pub(super) problem: Problem,
    place: Vec<Step>,
    repair: Repair,
}

/// One step into a document.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Into an object.
    Key(String),
    /// Into an array.
    Index(usize),
}

/// How a document that breaks the schema is made fit for the checks that follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repair {
    /// Leave the value; the later checks can take it.
    Keep,
    /// Take the value out, so that its default stands.
    Remove,
    /// Put an empty value in.
    Fill,
}

/// Rounds of repair: a value put in may lack parts, whose parts may be lacking.
const ROUNDS: usize = 4;

/// Finds everything in `document` that the schema does not allow, and takes it out, so that the
/// checks that follow find the rest in the same run.
pub(super) fn repair(document: &mut Value) -> Vec<Violation> {
    let schema = schema();
    // Only a mistake in the wire types can break the schema, and the tests compile it.
    let validator = Validator::new(&schema).expect("the code's own schema is valid");
    let find = |document: &Value| -> Vec<Violation> {
        let mut found: Vec<Violation> =
            validator.iter_errors(document).flat_map(|error| describe(&schema, &error)).collect();
        // A value of the wrong type breaks the rule on its range too; the first says enough.
        found.dedup_by(|later, earlier| later.place == earlier.place);
        found
    };
    let found = find(document);
    let mut left = find(document);
    for _ in 0..ROUNDS {
        left.iter().for_each(|violation| violation.mend(&schema, document));
        left = find(document);
    }
    found
}

impl Violation {
    /// Whether `problem` lies in what this violation's repair has put in place.
    pub(super) fn explains(&self, problem: &Problem) -> bool {
        let own = self.problem.path();
        let filled = self.repair == Repair::Fill && within(own, problem.path());
        filled || problem.paths().any(|path| within(path, own))
    }

    fn mend(&self, schema: &Value, document: &mut Value) {
        let Some((last, parents)) = self.place.split_last() else { return };
        let parent = parents.iter().try_fold(document, |value, step| match step {
            Step::Key(key) => value.get_mut(key),
            Step::Index(index) => value.get_mut(index),
        });
        match (parent, last, self.repair) {
            (_, _, Repair::Keep) => {}
            (Some(Value::Object(object)), Step::Key(key), Repair::Remove) => {
                object.remove(key);
            }
            (Some(Value::Object(object)), Step::Key(key), Repair::Fill) => {
                object.insert(key.clone(), empty(at(schema, &self.place)));
            }
            (Some(Value::Array(items)), Step::Index(index), _) => {
                items[*index] = empty(at(schema, &self.place));
            }
            _ => {}
        }
    }
}

/// Whether `path` is `outer` or lies in it.
fn within(path: &str, outer: &str) -> bool {
    let rest = path.strip_prefix(outer);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// The emptiest value of the type that `wanted` names.
fn empty(wanted: Option<&Value>) -> Value {
    match wanted.and_then(|wanted| wanted.get("type")).and_then(Value::as_str) {
        Some("object") => Value::Object(Map::new()),
        Some("array") => Value::Array(Vec::new()),
        Some("integer") => Value::from(0),
        _ => Value::from(""),
    }
}

fn describe(schema: &Value, error: &ValidationError<'_>) -> Vec<Violation> {
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
    let repair = match error.kind() {
        Kind::Pattern { .. }
        | Kind::MinItems { .. }
        | Kind::MaxItems { .. }
        | Kind::MinLength { .. }
        | Kind::MaxLength { .. } => Repair::Keep,
        _ => Repair::Remove,
    };
    let (fault, mend) = match error.kind() {
        Kind::Type { .. } => (
            format!("{shown} is not {}", type_name(wanted)),
            mend::wrong_type(key, error.instance(), wanted),
        ),
        Kind::Minimum { limit } => {
            (format!("{shown} is too small"), mend::bound(key, limit, "at least"))
        }
        Kind::Maximum { limit } => {
            (format!("{shown} is too large"), mend::bound(key, limit, "at most"))
        }
        Kind::MinItems { limit } => ("lists too few".to_owned(), format!("list at least {limit}")),
        Kind::MaxItems { limit } => ("lists too many".to_owned(), format!("list at most {limit}")),
        Kind::MinLength { limit } => {
            (format!("{shown} is too short"), format!("write at least {limit} characters"))
        }
        Kind::MaxLength { limit } => {
            (format!("{shown} is too long"), format!("write at most {limit} characters"))
        }
        Kind::Pattern { .. } => (
            format!("{shown} is not a name"),
            "use 1 to 63 lower-case letters, digits and inner hyphens".to_owned(),
        ),
        Kind::OneOfNotValid { .. } | Kind::Enum { .. } => {
            (format!("{shown} is not one of the choices"), mend::choice(wanted))
        }
        kind => (
            format!("{shown} breaks the schema's rule {:?}", kind.keyword()),
            "see the settings page for what may stand here".to_owned(),
        ),
    };
    let problem = Problem::new(path(&place), fault, mend);
    Violation { place, repair, problem }
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

/// The part of the schema for the value at `place`.
fn at<'a>(schema: &'a Value, place: &[Step]) -> Option<&'a Value> {
    place.iter().try_fold(schema, |part, step| match step {
        Step::Key(key) => part.get("properties")?.get(key),
        Step::Index(_) => part.get("items"),
    })
}

fn keys(part: Option<&Value>) -> Vec<&str> {
    let properties = part.and_then(|part| part.get("properties")).and_then(Value::as_object);
    properties.map(|known| known.keys().map(String::as_str).collect()).unwrap_or_default()
}

fn description(part: &Value) -> Option<&str> {
    part.get("description")?.as_str()
}

fn join(place: &[Step], key: &str) -> Vec<Step> {
    place.iter().cloned().chain([Step::Key(key.to_owned())]).collect()
}

/// Writes a place as people do: `peers[2].address`.
fn path(place: &[Step]) -> String {
    place.iter().fold(String::new(), |path, step| match step {
        Step::Key(key) if path.is_empty() => key.clone(),
        Step::Key(key) => format!("{path}.{key}"),
        Step::Index(index) => format!("{path}[{index}]"),
    })
}

impl Step {
    fn key(&self) -> Option<&str> {
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
