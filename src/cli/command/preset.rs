//! `preset`.

use ::http::Method;

use super::Context;
use crate::api::wire::Page;
use crate::api::wire::preset::{ActivePreset, Change, Preset, PresetList};
use crate::cli::entries::{Ask, Told};
use crate::cli::failure::{Code, Failure};
use crate::cli::flags::{Diff, Set};
use crate::cli::output::Report;
use crate::cli::text::{Table, clean, time};

const PATH: &str = "/v1/preset";

/// Shows the preset in force and those to choose from.
pub async fn show(context: &Context) -> Result<Report, Failure> {
    let choice = fetch(context).await?;
    let mut text = line(&choice.current);
    text += &format!("change it with: preset set NAME --based-on {}\n\n", choice.version);
    let mut table = Table::new(&["PRESET", "FOR", "SETS"]);
    for preset in &choice.presets {
        table.row(&[&preset.name, &preset.about, &fields(preset)]);
    }
    Ok(Report::done(&choice, text + &table.render()))
}

async fn fetch(context: &Context) -> Result<PresetList, Failure> {
    let told: Told<PresetList> = context.entries.ask(&Ask::get(PATH)).await?;
    Ok(told.body)
}

fn fields(preset: &Preset) -> String {
    let field = |field: &crate::api::wire::preset::Field| format!("{}={}", field.name, field.value);
    preset.fields.iter().map(field).collect::<Vec<_>>().join(" ")
}

/// One preset in force, as a line.
pub fn line(current: &ActivePreset) -> String {
    let ActivePreset { preset, version, by, at_unix_ms } = current;
    let preset = clean(preset);
    if *version == 0 {
        return format!("preset {preset} in force, version 0, as nobody has set one\n");
    }
    let at = time(*at_unix_ms);
    format!("preset {preset} in force, version {version}, set by {} at {at}\n", clean(by))
}

/// Puts a preset in force.
pub async fn set(context: &Context, flags: Set) -> Result<Report, Failure> {
    let change = Change { preset: flags.name, based_on: flags.based_on, by: context.by()? };
    let ask = Ask::change(Method::PUT, PATH.to_owned(), &change);
    let outcome = context.entries.ask::<ActivePreset>(&ask).await;
    let current = match outcome {
        Ok(told) => told.body,
        Err(failure) if matches!(failure.code, Code::Stale | Code::Unknown) => {
            own(context, &change).await.ok_or(failure)?
        }
        Err(failure) => return Err(failure),
    };
    Ok(Report::done(&current, line(&current)))
}

/// The change in force, when it is this one.
///
/// When the answer to a change is lost, its repetition meets its own version and is refused as
/// stale. The operator would be told that a colleague was faster, while the change is in force.
async fn own(context: &Context, change: &Change) -> Option<ActivePreset> {
    let current = fetch(context).await.ok()?.current;
    let is_own = current.preset == change.preset
        && current.by == change.by
        && current.version == change.based_on + 1;
    is_own.then_some(current)
}

/// Shows how two presets differ.
pub async fn diff(context: &Context, flags: &Diff) -> Result<Report, Failure> {
    let choice = fetch(context).await?;
    let one = find(&choice, &flags.one)?;
    let other = find(&choice, flags.other.as_ref().unwrap_or(&choice.current.preset))?;
    let mut table = Table::new(&["FIELD", &clean(&one.name), &clean(&other.name)]);
    for name in names(one, other) {
        let (left, right) = (value(one, name), value(other, name));
        if left != right {
            table.row(&[name, left, right]);
        }
    }
    let same = format!("{} and {} do not differ\n", clean(&one.name), clean(&other.name));
    let text = if table.is_empty() { same } else { table.render() };
    Ok(Report::done(&[one, other], text))
}

fn find<'a>(choice: &'a PresetList, name: &str) -> Result<&'a Preset, Failure> {
    let names: Vec<&str> = choice.presets.iter().map(|preset| preset.name.as_str()).collect();
    let missing = || Failure::usage(format!("no preset {name:?}; there are {}", names.join(", ")));
    choice.presets.iter().find(|preset| preset.name == name).ok_or_else(missing)
}

/// Names of the fields of both presets, each once.
fn names<'a>(one: &'a Preset, other: &'a Preset) -> Vec<&'a str> {
    let mut names: Vec<&str> =
        one.fields.iter().chain(&other.fields).map(|field| field.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn value<'a>(preset: &'a Preset, name: &str) -> &'a str {
    let field = preset.fields.iter().find(|field| field.name == name);
    field.map_or("-", |field| field.value.as_str())
}

/// Shows who put which preset in force.
pub async fn history(context: &Context) -> Result<Report, Failure> {
    let ask = Ask::get(format!("{PATH}/history"));
    let told: Told<Page<ActivePreset>> = context.entries.ask(&ask).await?;
    let mut table = Table::new(&["VERSION", "PRESET", "SET BY", "AT"]);
    for change in &told.body.items {
        let version = change.version.to_string();
        table.row(&[&version, &change.preset, &change.by, &time(change.at_unix_ms)]);
    }
    Ok(Report::done(&told.body, table.render()))
}
