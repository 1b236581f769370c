//! Text from outside as the value of a log line's pair.

use std::fmt::{self, Write};

/// Most characters of a text that a line repeats.
const MAX_CHARACTERS: usize = 512;

/// Written in place of what a long text holds beyond that.
const ELLIPSIS: &str = "...";

/// Text that is quoted and escaped where needed.
///
/// Guards against a name that forges a line or a pair by holding a line break, a space or a quote:
/// whatever the text, it stays one value of one pair of one line. Quoted values are JSON strings.
#[derive(Clone, Copy, Debug)]
pub struct Value<'a>(&'a str);

/// Prepares `text` for a log line.
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

/// Whether a value may hold the character without quotes.
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
        // Control, format and direction characters, which could change how a terminal shows the
        // rest of the line.
        hidden => {
            let mut units = [0; 2];
            let units = hidden.encode_utf16(&mut units);
            units.iter().try_for_each(|unit| write!(f, "\\u{unit:04x}"))
        }
    }
}
