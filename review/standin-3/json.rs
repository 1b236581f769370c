//! A reader of JSON texts, and the escaping of strings.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

/// Parses a text; `None` if it is not JSON.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut reader = Reader { text, at: 0 };
    reader.value()
}

/// Quotes a string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(character);
            }
            control if control < ' ' => quoted.push_str(&format!("\\u{:04x}", control as u32)),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    /// The next character that is no space.
    fn peek(&mut self) -> Option<u8> {
        self.skip_space();
        self.text.get(self.at).copied()
    }

    fn expect(&mut self, wanted: u8) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn number(&mut self) -> Option<Value> {
        let begin = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.text.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let digits = std::str::from_utf8(&self.text[begin..self.at]).ok()?;
        digits.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut bytes = Vec::new();
        loop {
            match *self.text.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    let escaped = *self.text.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('?');
                            bytes.extend(character.to_string().bytes());
                            self.at += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                byte => {
                    bytes.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.expect(b'[')?;
        let mut items = Vec::new();
        if self.peek()? == b']' {
            self.at += 1;
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            } else {
                self.expect(b']')?;
                return Some(Value::List(items));
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.expect(b'{')?;
        let mut fields = BTreeMap::new();
        if self.peek()? == b'}' {
            self.at += 1;
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.expect(b':')?;
            fields.insert(name, self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            } else {
                self.expect(b'}')?;
                return Some(Value::Object(fields));
            }
        }
    }
}
