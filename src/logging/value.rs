//! Escaping of text of external origin in log lines.

use std::fmt::{self, Write};

/// Maximum number of characters of a value; longer text is truncated.
const MAX_CHARACTERS: usize = 512;

/// Marks the end of a truncated value.
const ELLIPSIS: &str = "...";

/// Displays a text as the value of a `key=value` pair, quoted and escaped where needed.
///
/// Prevents log injection: a line break, a space or a quote in the text cannot start another line
/// or pair. Quoted values are JSON strings.
#[derive(Clone, Copy, Debug)]
pub struct Value<'a>(&'a str);

/// Escapes `text` for use as a value in a log line.
///
/// ```
/// use oriolefork::logging::value;
/// assert_eq!(value("oamaru-w7").to_string(), "oamaru-w7");
/// assert_eq!(value("two words").to_string(), r#""two words""#);
/// assert_eq!(value("").to_string(), r#""""#);
/// ```
pub const fn value(text: &str) -> Value<'_> {
    Value(text)
}

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (shown, rest) = split(self.0);
        let plain = !shown.is_empty() && rest.is_empty() && shown.chars().all(is_plain);
        if plain {
            return f.write_str(shown);
        }
        f.write_char('"')?;
        shown.chars().try_for_each(|character| escape(f, character))?;
        if !rest.is_empty() {
            f.write_str(ELLIPSIS)?;
        }
        f.write_char('"')
    }
}

fn split(text: &str) -> (&str, &str) {
    let end = text.char_indices().nth(MAX_CHARACTERS).map_or(text.len(), |(end, _)| end);
    text.split_at(end)
}

/// Returns whether the character may appear in an unquoted value.
fn is_plain(character: char) -> bool {
    let special = matches!(character, '"' | '\\' | '=');
    character.is_alphanumeric() || (character.is_ascii_graphic() && !special)
}

fn escape(f: &mut fmt::Formatter<'_>, character: char) -> fmt::Result {
    match character {
        '"' => f.write_str("\\\""),
        '\\' => f.write_str("\\\\"),
        '\n' => f.write_str("\\n"),
        '\r' => f.write_str("\\r"),
        '\t' => f.write_str("\\t"),
        ' ' | '=' => f.write_char(character),
        shown if is_plain(shown) => f.write_char(shown),
        // Control, format and text direction characters could change how a terminal displays the
        // rest of the line.
        hidden => {
            let mut units = [0; 2];
            let units = hidden.encode_utf16(&mut units);
            units.iter().try_for_each(|unit| write!(f, "\\u{unit:04x}"))
        }
    }
}
