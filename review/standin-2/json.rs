//! A small JSON reader and writer, so that the stand-ins need no dependency.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn num(&self) -> Option<f64> {
        match self {
            Json::Num(number) => Some(*number),
            _ => None,
        }
    }

    pub fn int(&self) -> u64 {
        self.num().unwrap_or(0.0) as u64
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at, 0)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(value) => value.to_string(),
            Json::Num(value) if value.fract() == 0.0 => format!("{}", *value as i64),
            Json::Num(value) => value.to_string(),
            Json::Str(text) => quote(text),
            Json::List(list) => {
                let parts: Vec<String> = list.iter().map(Json::write).collect();
                format!("[{}]", parts.join(","))
            }
            Json::Map(map) => {
                let parts: Vec<String> =
                    map.iter().map(|(key, value)| format!("{}:{}", quote(key), value.write())).collect();
                format!("{{{}}}", parts.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            char if (char as u32) < 32 => out.push_str(&format!("\\u{:04x}", char as u32)),
            char => out.push(char),
        }
    }
    out.push('"');
    out
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize, depth: usize) -> Option<Json> {
    if depth > 64 {
        return None;
    }
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(bytes, at)?;
                        skip(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        map.insert(key, value(bytes, at, depth + 1)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at, depth + 1)?),
                }
            }
        }
        b'"' => Some(Json::Str(string(bytes, at)?)),
        _ => {
            let start = *at;
            while *at < bytes.len() && !matches!(bytes[*at], b',' | b']' | b'}') && !bytes[*at].is_ascii_whitespace() {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                text => text.parse().ok().map(Json::Num),
            }
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let char = match *bytes.get(*at + 1)? {
                    b'n' => '\n',
                    b't' => '\t',
                    b'r' => '\r',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at + 2..*at + 6)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(hex, 16).ok()?)?
                    }
                    other => other as char,
                };
                *at += 2;
                out.extend(char.to_string().as_bytes());
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(ALPHABET[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|letter| *letter == byte) else { continue };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}
