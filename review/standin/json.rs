//! A small reader for the JSON bodies that instances send.

use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; anything that can't be read counts as null.
    pub fn parse(bytes: &[u8]) -> Json {
        Reader { bytes, at: 0 }.value().unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.skip()? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                loop {
                    match self.skip()? {
                        b'}' => {
                            self.at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => self.at += 1,
                        _ => {
                            let name = self.string()?;
                            self.skip()?;
                            self.at += 1;
                            let value = self.value()?;
                            map.insert(name, value);
                        }
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    match self.skip()? {
                        b']' => {
                            self.at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => self.at += 1,
                        _ => list.push(self.value()?),
                    }
                }
            }
            b'"' => Some(Json::Text(self.string()?)),
            _ => {
                let from = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(byte))
                {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                match word {
                    "" => None,
                    "null" | "true" | "false" => Some(Json::Null),
                    word => word.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code).unwrap_or('?');
                            text.extend(letter.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Encodes a value of an item as the store gives it out.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let block = (u32::from(chunk[0]) << 16)
            | (u32::from(chunk.get(1).copied().unwrap_or(0)) << 8)
            | u32::from(chunk.get(2).copied().unwrap_or(0));
        for index in 0..4 {
            if index <= chunk.len() {
                let letter = LETTERS[(block >> (18 - 6 * index)) as usize & 63];
                text.push(char::from(letter));
            } else {
                text.push('=');
            }
        }
    }
    text
}
