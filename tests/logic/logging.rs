//! Each log event is one line with exactly the pairs of its call site, whatever the values contain.

use log::{Level, Record};
use oriolefork::logging::{self, Line, value};
use oriolefork::settings;
use proptest::prelude::{any, proptest};
use test_case::test_case;

fn line(target: &str, message: &str) -> String {
    let arguments = format_args!("{message}");
    // A statement of its own: as an argument below, the value would be dropped before the record
    // is used.
    let record = Record::builder().level(Level::Warn).target(target).args(arguments).build();
    Line::new(&record, record.args()).to_string()
}

/// Parses a line strictly: pairs separated by one space, values plain or JSON strings.
fn pairs(line: &str) -> Vec<(String, String)> {
    let mut rest = line;
    let mut found = Vec::new();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=').expect("a key");
        assert!(key.chars().all(|c| c.is_ascii_lowercase() || c == '_'), "key {key:?} in {line:?}");
        let (text, after) = if after.starts_with('"') { quoted(after) } else { plain(after) };
        found.push((key.to_owned(), text));
        rest = after;
    }
    found
}

fn plain(text: &str) -> (String, &str) {
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    (word.to_owned(), rest)
}

fn quoted(text: &str) -> (String, &str) {
    let mut strings = serde_json::Deserializer::from_str(text).into_iter::<String>();
    let word = strings.next().expect("a string").expect("a JSON string");
    let rest = &text[strings.byte_offset()..];
    (word, rest.strip_prefix(' ').unwrap_or(rest))
}

proptest! {
    // Guards against log injection: a caller submits a job with the name
    // `x\nts=... event=job.ended job=1`. Written without escaping, it would forge a log line, or a
    // pair that a search by key would find.
    #[test]
    fn line_escapes_hostile_values(name in any::<String>(), other in "[ -~\\n\"\\\\=]{0,40}") {
        let message =
            format!("event=job.accepted name={} team={} end=1", value(&name), value(&other));
        let line = line("oriolefork::owner", &message);
        assert_eq!(line.lines().count(), 1);
        let found = pairs(&line);
        let keys: Vec<&str> = found.iter().map(|(key, _)| key.as_str()).collect();
        assert_eq!(keys, ["ts", "level", "event", "name", "team", "end"]);
        assert_eq!(found[3].1, name);
        assert_eq!(found[4].1, other);
    }

    #[test]
    fn line_of_library(message in any::<String>()) {
        let line = line("h2::codec", &message);
        let keys: Vec<String> = pairs(&line).into_iter().map(|(key, _)| key).collect();
        if !message.starts_with("event=") {
            assert_eq!(keys, ["ts", "level", "event", "target", "message"]);
        }
    }
}

#[test_case("oamaru-w7", "oamaru-w7"; "plain")]
#[test_case("Ōamaru", "Ōamaru"; "letters_of_any_script")]
#[test_case("a=b", r#""a=b""#; "equals")]
#[test_case("a\u{202e}b", r#""a\u202eb""#; "direction_override")]
#[test_case("\u{1b}[2J", r#""\u001b[2J""#; "terminal_escape")]
#[test_case("a\u{2028}b", r#""a\u2028b""#; "line_separator")]
fn value_shown(text: &str, expected: &str) {
    assert_eq!(value(text).to_string(), expected);
}

#[test]
fn value_of_any_length_is_bounded() {
    let shown = value(&"x".repeat(100_000)).to_string();
    assert!(shown.len() < 600, "{} bytes", shown.len());
    assert!(shown.ends_with("...\""));
}

#[test]
fn line_break_in_message_is_escaped() {
    let line = line("oriolefork::owner", "event=job.accepted name=a\nts=b");
    assert!(line.ends_with(r"name=a\nts=b"), "{line}");
}

#[test]
fn set_level_at_run_time() {
    logging::start(settings::Level::Warn).expect("first start");
    assert_eq!(logging::level(), settings::Level::Warn);
    logging::set_level(settings::Level::Debug);
    assert!(log::log_enabled!(Level::Debug));
    logging::set_level(settings::Level::Off);
    assert!(!log::log_enabled!(Level::Error));
    assert!(logging::start(settings::Level::Info).is_err(), "a second start");
}
