//! From file and command line to checked settings.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use serde_json::Value;

use super::report::{Problem, Problems, Report};
use super::schema::{self, Violation};
use super::{Override, Settings, document, wire};

/// Largest settings file that is read.
const MOST_BYTES: u64 = 1_048_576;

/// Reads the settings file at `path`, puts `overrides` on top and checks the whole.
///
/// # Errors
///
/// Returns everything wrong with it, each with its place and what to do.
pub fn load(path: &Path, overrides: &[Override]) -> Result<Settings, Report> {
    let settings = read(path).map_err(Problems::from).and_then(|text| parse(&text, overrides));
    settings.map_err(|problems| Report::new(path, problems))
}

/// Checks the settings file at `path` with `overrides` on top, without starting anything.
pub fn check(path: &Path, overrides: &[Override]) -> Report {
    load(path, overrides).err().unwrap_or_else(|| Report::new(path, Problems::default()))
}

/// Reads settings from the text of a file, with `overrides` on top.
///
/// # Errors
///
/// Returns everything wrong with them.
///
/// ```
/// use oriolefork::settings;
/// let text = r#"{
///     "instance": "oamaru-1", "domain": "oamaru-hall",
///     "addresses": {"api": "127.0.0.1:7400", "peer": "127.0.0.1:7401"},
///     "log": {"addresses": ["127.0.0.1:7300"]},
///     "instance_list": {"address": "127.0.0.1:7310"}
/// }"#;
/// let settings = settings::parse(text, &["owner.lease_ms=20000".parse()?]).unwrap();
/// assert_eq!(settings.owner.lease.as_secs(), 20);
///
/// let problems = settings::parse("{}", &[]).unwrap_err();
/// assert!(problems.iter().any(|problem| problem.path() == "instance"));
/// # Ok::<(), settings::Malformed>(())
/// ```
pub fn parse(text: &str, overrides: &[Override]) -> Result<Settings, Problems> {
    let mut document = document::parse(text)?;
    let mut problems = Problems::default();
    problems.extend(overrides.iter().filter_map(|setting| setting.apply(&mut document).err()));
    let violations = schema::repair(&mut document);
    let settings = convert(document);
    problems.extend(violations.iter().map(|violation| violation.problem.clone()));
    match settings {
        Ok(settings) if problems.is_empty() => Ok(settings),
        Ok(_) => Err(problems),
        Err(found) => {
            problems.extend(found.into_iter().filter(|problem| !explained(problem, &violations)));
            Err(problems)
        }
    }
}

fn read(path: &Path) -> Result<String, Problem> {
    let unreadable = |error: io::Error| {
        Problem::new("", format!("cannot be read: {error}"), "name a readable settings file")
    };
    let mut text = String::new();
    let file = File::open(path).map_err(unreadable)?;
    file.take(MOST_BYTES + 1).read_to_string(&mut text).map_err(unreadable)?;
    if text.len() as u64 > MOST_BYTES {
        let fault = format!("is larger than {MOST_BYTES} bytes");
        return Err(Problem::new("", fault, "name a settings file"));
    }
    Ok(text)
}

fn convert(document: Value) -> Result<Settings, Problems> {
    let written: wire::Settings = serde_json::from_value(document).map_err(|error| {
        Problem::new("", error.to_string(), "see the settings page for what may stand there")
    })?;
    Settings::try_from(written)
}

/// Whether a problem only follows from what the repair of a violation put in its place.
fn explained(problem: &Problem, violations: &[Violation]) -> bool {
    violations.iter().any(|violation| violation.explains(problem))
}
