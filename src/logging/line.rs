//! Formatting of a log line.

use std::fmt::{self, Display, Write};
use std::time::SystemTime;

use super::value;

/// Prefix of the messages of this project; messages of libraries lack it.
const EVENT_PREFIX: &str = "event=";

/// Displays a log record as one line of `key=value` pairs; `ts`, `level` and `event` come first.
pub struct Line<'a> {
    record: &'a log::Record<'a>,
    message: &'a fmt::Arguments<'a>,
}

impl<'a> Line<'a> {
    /// Creates the line for `record` with its formatted `message`.
    pub const fn new(record: &'a log::Record<'a>, message: &'a fmt::Arguments<'a>) -> Self {
        Self { record, message }
    }
}

impl Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = humantime::format_rfc3339_millis(SystemTime::now());
        let level = self.record.level().as_str().to_ascii_lowercase();
        write!(f, "ts={time} level={level} ")?;
        let message = self.message.to_string();
        if message.starts_with(EVENT_PREFIX) {
            return write_single_line(f, &message);
        }
        // The message is free text from a library.
        let target = value(self.record.target());
        write!(f, "event=library.message target={target} message={}", value(&message))
    }
}

/// Writes `message` with control characters escaped.
///
/// Guards against a call site that omits [`value`]: a line break in text of external origin would
/// otherwise forge a log line.
fn write_single_line(f: &mut fmt::Formatter<'_>, message: &str) -> fmt::Result {
    if !message.chars().any(char::is_control) {
        return f.write_str(message);
    }
    message.chars().try_for_each(|character| {
        if character.is_control() {
            write!(f, "{}", character.escape_default())
        } else {
            f.write_char(character)
        }
    })
}
