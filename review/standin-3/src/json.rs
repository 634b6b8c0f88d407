//! A small JSON value; the cases add no library.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, field: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(field).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self, field: &str) -> String {
        match self.get(field) {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, field: &str) -> Option<u64> {
        match self.get(field) {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, field: &str) -> &[Json] {
        match self.get(field) {
            Json::List(entries) => entries,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            letter if (letter as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

impl fmt::Display for Json {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => formatter.write_str("null"),
            Json::Bool(value) => write!(formatter, "{value}"),
            Json::Number(number) => write!(formatter, "{number}"),
            Json::Text(text) => formatter.write_str(&quote(text)),
            Json::List(entries) => {
                formatter.write_str("[")?;
                for (index, entry) in entries.iter().enumerate() {
                    write!(formatter, "{}{entry}", if index > 0 { "," } else { "" })?;
                }
                formatter.write_str("]")
            }
            Json::Object(fields) => {
                formatter.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(formatter, "{comma}{}:{value}", quote(name))?;
                }
                formatter.write_str("}")
            }
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        self.space();
        self.bytes.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.next()? == b'}' {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                loop {
                    self.next()?;
                    let name = self.string()?;
                    (self.next()? == b':').then_some(())?;
                    self.at += 1;
                    fields.insert(name, self.value()?);
                    let separator = self.next()?;
                    self.at += 1;
                    match separator {
                        b',' => {}
                        b'}' => return Some(Json::Object(fields)),
                        _ => return None,
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut entries = Vec::new();
                if self.next()? == b']' {
                    self.at += 1;
                    return Some(Json::List(entries));
                }
                loop {
                    entries.push(self.value()?);
                    let separator = self.next()?;
                    self.at += 1;
                    match separator {
                        b',' => {}
                        b']' => return Some(Json::List(entries)),
                        _ => return None,
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        (self.bytes.get(self.at) == Some(&b'"')).then_some(())?;
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let letter = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(letter.to_string().as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}
