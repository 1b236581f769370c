//! Text for terminals: cleaned of what a hostile name could do there, tables, times.

use std::borrow::Cow;
use std::fmt::Write;
use std::str::FromStr;
use std::time::{Duration, UNIX_EPOCH};

/// A span of time on the command line, such as `90s` or `1h 30m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match humantime::parse_duration(text) {
            Ok(span) if !span.is_zero() => Ok(Self(span)),
            Ok(_) => Err("the span must be longer than zero".to_owned()),
            Err(cause) => Err(format!("{cause}; write a span as 30s, 10m or 2h")),
        }
    }
}

/// Replaces characters that a terminal would act on, or that hide or reorder others.
///
/// Names and messages come from callers. An escape sequence in one could clear the screen or forge
/// a line of a table; a mark that reverses the direction of writing could show another name.
///
/// ```
/// use oriolefork::cli::text::clean;
/// assert_eq!(clean("a\u{1b}[2Jb\n"), "a\\u{1b}[2Jb\\u{a}");
/// assert_eq!(clean("plain"), "plain");
/// ```
pub fn clean(text: &str) -> Cow<'_, str> {
    if !text.chars().any(is_hostile) {
        return Cow::Borrowed(text);
    }
    let escape = |c: char| {
        if is_hostile(c) { c.escape_unicode().to_string() } else { c.to_string() }
    };
    Cow::Owned(text.chars().map(escape).collect())
}

/// Escapes in JSON what [`clean`] replaces and JSON itself leaves as it is.
///
/// ```
/// use oriolefork::cli::text::clean_json;
/// assert_eq!(clean_json("{\n \"a\": \"\u{9b}2J\"}"), "{\n \"a\": \"\\u009b2J\"}");
/// ```
pub fn clean_json(text: &str) -> String {
    let escape = |c: char| match c {
        '\n' => "\n".to_owned(),
        c if is_hostile(c) => format!("\\u{:04x}", u32::from(c)),
        c => c.to_string(),
    };
    text.chars().map(escape).collect()
}

fn is_hostile(c: char) -> bool {
    let invisible = matches!(
        c,
        '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2060}'..='\u{2069}' | '\u{feff}'
    );
    c.is_control() || invisible
}

/// Rows under a heading, aligned by column.
pub struct Table {
    rows: Vec<Vec<String>>,
}

/// Space between two columns.
const GAP: usize = 2;

impl Table {
    /// Starts a table with its heading.
    pub fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a row, cleaned for the terminal.
    pub fn row(&mut self, cells: &[&str]) {
        self.rows.push(cells.iter().map(|cell| clean(cell).into_owned()).collect());
    }

    /// Whether it has no row under its heading.
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// The table as lines.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        let width = width + GAP;
        let _ = write!(line, "{cell:<width$}");
    }
    format!("{}\n", line.trim_end())
}

/// A point on the wall clock, for people.
///
/// ```
/// use oriolefork::cli::text::time;
/// assert_eq!(time(1_764_700_000_000), "2025-12-02T18:26:40Z");
/// ```
pub fn time(unix_ms: u64) -> String {
    // Four digits of the year: later times are a fault of whoever sent them.
    const LAST_SECOND: u64 = 253_402_300_799;
    let seconds = (unix_ms / 1_000).min(LAST_SECOND);
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_secs(seconds)).to_string()
}

/// A span of time, for people: whole seconds, or milliseconds below one.
///
/// ```
/// use oriolefork::cli::text::span;
/// assert_eq!(span(90_500), "1m 30s");
/// assert_eq!(span(250), "250ms");
/// ```
pub fn span(millis: u64) -> String {
    let span = match millis {
        0..1_000 => Duration::from_millis(millis),
        _ => Duration::from_secs(millis / 1_000),
    };
    humantime::format_duration(span).to_string()
}
