//! A small JSON value with a parser and a writer.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Self::Table(table) => table.get(key),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<f64> {
        match self.get(key) {
            Some(Self::Number(number)) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Self::Text(text)) => Some(text),
            _ => None,
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            control if (control as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", control as u32);
            }
            other => out.push(other),
        }
    }
    out.push('"');
    out
}

pub fn parse(text: &[u8]) -> Option<Value> {
    let mut parser = Parser { text, at: 0 };
    let value = parser.value()?;
    parser.space();
    (parser.at == text.len()).then_some(value)
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        if self.text[self.at..].starts_with(word.as_bytes()) {
            self.at += word.len();
            return Some(value);
        }
        None
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.num(),
        }
    }

    fn num(&mut self) -> Option<Value> {
        let from = self.at;
        while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[from..self.at]).ok()?.parse().ok().map(Value::Number)
    }

    fn table(&mut self) -> Option<Value> {
        self.at += 1;
        let mut table = BTreeMap::new();
        if self.take(b'}') {
            return Some(Value::Table(table));
        }
        loop {
            self.space();
            let key = self.string()?;
            if !self.take(b':') {
                return None;
            }
            table.insert(key, self.value()?);
            if self.take(b'}') {
                return Some(Value::Table(table));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut list = Vec::new();
        if self.take(b']') {
            return Some(Value::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b']') {
                return Some(Value::List(list));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.text.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    let character = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    out.extend(character.encode_utf8(&mut [0; 4]).bytes());
                }
                other => out.push(other),
            }
        }
    }
}
