//! A reader of JSON, enough for the bodies that the stand-ins receive.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }
}

/// Parses a JSON text; `None` if it is malformed.
pub fn parse(text: &[u8]) -> Option<Value> {
    let text: Vec<char> = String::from_utf8_lossy(text).chars().collect();
    let mut at = 0;
    value(&text, &mut at)
}

/// Quotes a text as JSON.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(letter);
            }
            '\n' => quoted.push_str("\\n"),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|letter| letter.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Value> {
    skip(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Value::Table(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Value::Text(key) = value(text, at)? else { return None };
                        skip(text, at);
                        if *text.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(text, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Value::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(value(text, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut found = String::new();
            loop {
                match *text.get(*at)? {
                    '"' => {
                        *at += 1;
                        return Some(Value::Text(found));
                    }
                    '\\' => {
                        let escaped = *text.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            'n' => found.push('\n'),
                            't' => found.push('\t'),
                            'u' => {
                                let hex: String = text.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                let code = u32::from_str_radix(&hex, 16).ok()?;
                                found.push(char::from_u32(code).unwrap_or('?'));
                            }
                            other => found.push(other),
                        }
                    }
                    letter => {
                        found.push(letter);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let from = *at;
            let is_word = |letter: &char| letter.is_alphanumeric() || "+-.".contains(*letter);
            while text.get(*at).is_some_and(is_word) {
                *at += 1;
            }
            let word: String = text[from..*at].iter().collect();
            match word.as_str() {
                "true" => Some(Value::Bool(true)),
                "false" => Some(Value::Bool(false)),
                "null" => Some(Value::Null),
                number => number.parse().ok().map(Value::Number),
            }
        }
    }
}
