//! The JSON schema of the settings file, and the check of a document against it.

use jsonschema::Validator;
use schemars::generate::SchemaSettings;
use serde_json::{Map, Value};

use super::complaint::describe;
use super::place::{Step, at};
use super::report::Problem;
use super::wire;

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
    /// Steps from the root to the value.
    pub(super) place: Vec<Step>,
    /// What makes the document fit for the checks that follow.
    pub(super) repair: Repair,
}

/// How a document that breaks the schema is made fit for the checks that follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repair {
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
        left.iter().for_each(|violation| violation.apply(&schema, document));
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

    fn apply(&self, schema: &Value, document: &mut Value) {
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
