//! Advice on how to correct a setting.

use serde_json::Value;

/// A unit that people write behind a number or at the end of a key.
struct Unit {
    /// Its spellings.
    names: &'static [&'static str],
    /// The ending of the keys that hold such an amount.
    suffix: &'static str,
    /// How many of that ending's unit make one of this.
    factor: u64,
}

const UNITS: &[Unit] = &[
    Unit { names: &["ms", "msec", "millis", "milliseconds"], suffix: "_ms", factor: 1 },
    Unit { names: &["s", "sec", "secs", "seconds"], suffix: "_ms", factor: 1_000 },
    Unit { names: &["m", "min", "mins", "minutes"], suffix: "_ms", factor: 60_000 },
    Unit { names: &["h", "hours"], suffix: "_ms", factor: 3_600_000 },
    Unit { names: &["b", "bytes"], suffix: "_bytes", factor: 1 },
    Unit { names: &["k", "kb", "kib"], suffix: "_bytes", factor: 1_024 },
    Unit { names: &["mb", "mib"], suffix: "_bytes", factor: 1_048_576 },
];

fn unit(name: &str) -> Option<&'static Unit> {
    UNITS.iter().find(|unit| unit.names.contains(&name))
}

/// Least likeness of two keys, from zero to one, for one to be taken for a slip of the other.
const LIKENESS: f64 = 0.8;

/// What to write in place of `key`, which is not among the `known` ones.
pub(super) fn unknown_key(key: &str, value: &Value, known: &[&str]) -> String {
    if let Some(advice) = other_unit(key, value, known) {
        return advice;
    }
    let likeness = |known: &&&str| strsim::jaro_winkler(known, key);
    let nearest = known.iter().max_by(|one, other| likeness(one).total_cmp(&likeness(other)));
    match nearest {
        Some(nearest) if likeness(&nearest) >= LIKENESS => format!("did you mean {nearest:?}?"),
        _ => format!("remove it; known here are {}", known.join(", ")),
    }
}

/// Advice for a key that is known with the unit of another ending.
fn other_unit(key: &str, value: &Value, known: &[&str]) -> Option<String> {
    let (stem, written) = match key.rsplit_once('_') {
        Some((stem, ending)) if unit(ending).is_some() => (stem, unit(ending)),
        _ => (key, None),
    };
    let right = known
        .iter()
        .find(|name| UNITS.iter().any(|unit| name.strip_suffix(unit.suffix) == Some(stem)))?;
    let number = match written {
        Some(written) if right.ends_with(written.suffix) => {
            value.as_u64().and_then(|count| count.checked_mul(written.factor))
        }
        _ => value.as_str().and_then(|text| amount(text, right)),
    };
    Some(match number {
        Some(number) => format!("write \"{right}\": {number}"),
        None => format!("write {right:?}, in {}", unit_name(right)),
    })
}

/// What to write in place of a value of the wrong type.
pub(super) fn wrong_type(key: &str, value: &Value, wanted: &Value) -> String {
    if wanted.get("type").and_then(Value::as_str) != Some("integer") {
        return "see the settings page for what may stand here".to_owned();
    }
    match value.as_str().and_then(|text| amount(text, key)) {
        Some(number) => format!("write {number} without quotes"),
        None => format!("write a whole number of {}", unit_name(key)),
    }
}

/// How a value out of range should be.
pub(super) fn bound(key: &str, limit: &Value, side: &str) -> String {
    format!("write {side} {limit} {}", unit_name(key)).trim_end().to_owned()
}

/// The choices that `wanted` allows.
pub(super) fn choice(wanted: &Value) -> String {
    let branches = wanted.get("oneOf").and_then(Value::as_array).into_iter().flatten();
    let constants = branches.clone().filter_map(|branch| branch.get("const"));
    let listed = branches.filter_map(|branch| branch.get("enum")?.as_array()).flatten();
    let plain = wanted.get("enum").and_then(Value::as_array).into_iter().flatten();
    let choices: Vec<_> = constants.chain(listed).chain(plain).filter_map(Value::as_str).collect();
    format!("write one of {}", choices.join(", "))
}

/// Reads text such as `15s` as an amount in the unit of `key`.
fn amount(text: &str, key: &str) -> Option<u64> {
    let text = text.trim();
    let digits = text.find(|character: char| !character.is_ascii_digit()).unwrap_or(text.len());
    let (count, rest) = text.split_at(digits);
    let count: u64 = count.parse().ok()?;
    let rest = rest.trim().to_ascii_lowercase();
    if rest.is_empty() {
        return Some(count);
    }
    let unit = unit(&rest).filter(|unit| key.ends_with(unit.suffix))?;
    count.checked_mul(unit.factor)
}

fn unit_name(key: &str) -> &'static str {
    if key.ends_with("_ms") {
        "milliseconds"
    } else if key.ends_with("_bytes") {
        "bytes"
    } else {
        ""
    }
}
