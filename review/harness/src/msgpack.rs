//! MessagePack values: maps keyed by text, lists, text, numbers, booleans and null.

/// A value of a message body.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i64),
    Uint(u64),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl Value {
    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(text.into())
    }

    pub fn map<const N: usize>(entries: [(&str, Value); N]) -> Self {
        Self::Map(entries.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
    }

    /// The value of a key; null if the key is missing or this is no map.
    pub fn get(&self, key: &str) -> &Value {
        match self {
            Self::Map(entries) => entries.iter().find(|(k, _)| k == key).map_or(&Value::Null, |(_, v)| v),
            _ => &Value::Null,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        if let Self::Text(text) = self { Some(text) } else { None }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Uint(n) => Some(*n),
            Self::Int(n) => u64::try_from(*n).ok(),
            Self::Float(x) if x.fract() == 0.0 && *x >= 0.0 => Some(*x as u64),
            _ => None,
        }
    }

    pub fn as_f64(&self) -> Option<f64> {
        match self {
            Self::Float(x) => Some(*x),
            Self::Uint(n) => Some(*n as f64),
            Self::Int(n) => Some(*n as f64),
            _ => None,
        }
    }

    pub fn as_bool(&self) -> Option<bool> {
        if let Self::Bool(b) = self { Some(*b) } else { None }
    }

    pub fn items(&self) -> &[Value] {
        if let Self::List(items) = self { items } else { &[] }
    }

    /// The value as JSON, in which the protocol counts sizes.
    pub fn json(&self) -> String {
        let mut out = String::new();
        self.write_json(&mut out);
        out
    }

    fn write_json(&self, out: &mut String) {
        match self {
            Self::Null => out.push_str("null"),
            Self::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            Self::Int(n) => out.push_str(&n.to_string()),
            Self::Uint(n) => out.push_str(&n.to_string()),
            Self::Float(x) => out.push_str(&format!("{x:?}")),
            Self::Text(text) => {
                out.push('"');
                for c in text.chars() {
                    match c {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
                        c => out.push(c),
                    }
                }
                out.push('"');
            }
            Self::List(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write_json(out);
                }
                out.push(']');
            }
            Self::Map(entries) => {
                out.push('{');
                for (i, (key, value)) in entries.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    Self::Text(key.clone()).write_json(out);
                    out.push(':');
                    value.write_json(out);
                }
                out.push('}');
            }
        }
    }
}

fn put_len(out: &mut Vec<u8>, len: usize, fix: Option<(u8, usize)>, short: u8, long: u8) {
    match fix {
        Some((base, limit)) if len < limit => out.push(base | len as u8),
        _ if len < 1 << 16 => {
            out.push(short);
            out.extend((len as u16).to_be_bytes());
        }
        _ => {
            out.push(long);
            out.extend((len as u32).to_be_bytes());
        }
    }
}

/// Appends the MessagePack form of a value.
fn put(out: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Null => out.push(0xc0),
        Value::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
        Value::Int(n) if *n >= 0 => put(out, &Value::Uint(*n as u64)),
        Value::Int(n) => {
            out.push(0xd3);
            out.extend(n.to_be_bytes());
        }
        Value::Uint(n) if *n < 128 => out.push(*n as u8),
        Value::Uint(n) => {
            out.push(0xcf);
            out.extend(n.to_be_bytes());
        }
        Value::Float(x) => {
            out.push(0xcb);
            out.extend(x.to_be_bytes());
        }
        Value::Text(text) => {
            put_len(out, text.len(), Some((0xa0, 32)), 0xda, 0xdb);
            out.extend(text.as_bytes());
        }
        Value::List(items) => {
            put_len(out, items.len(), Some((0x90, 16)), 0xdc, 0xdd);
            items.iter().for_each(|item| put(out, item));
        }
        Value::Map(entries) => {
            put_len(out, entries.len(), Some((0x80, 16)), 0xde, 0xdf);
            for (key, value) in entries {
                put(out, &Value::Text(key.clone()));
                put(out, value);
            }
        }
    }
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, value);
    out
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take(&mut self, n: usize) -> Option<&[u8]> {
        if self.0.len() < n {
            return None;
        }
        let (head, tail) = self.0.split_at(n);
        self.0 = tail;
        Some(head)
    }

    fn number(&mut self, bytes: usize) -> Option<u64> {
        Some(self.take(bytes)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }

    fn string(&mut self, len: usize) -> Option<String> {
        String::from_utf8(self.take(len)?.to_vec()).ok()
    }

    fn list(&mut self, len: usize) -> Option<Value> {
        (0..len).map(|_| self.value()).collect::<Option<_>>().map(Value::List)
    }

    fn map(&mut self, len: usize) -> Option<Value> {
        let entry = |reader: &mut Self| Some((reader.value()?.as_str()?.to_owned(), reader.value()?));
        (0..len).map(|_| entry(self)).collect::<Option<_>>().map(Value::Map)
    }

    fn value(&mut self) -> Option<Value> {
        let tag = self.number(1)? as u8;
        Some(match tag {
            0x00..=0x7f => Value::Uint(u64::from(tag)),
            0x80..=0x8f => self.map(usize::from(tag & 15))?,
            0x90..=0x9f => self.list(usize::from(tag & 15))?,
            0xa0..=0xbf => Value::Text(self.string(usize::from(tag & 31))?),
            0xc0 => Value::Null,
            0xc2 => Value::Bool(false),
            0xc3 => Value::Bool(true),
            0xca => Value::Float(f64::from(f32::from_bits(self.number(4)? as u32))),
            0xcb => Value::Float(f64::from_bits(self.number(8)?)),
            0xcc => Value::Uint(self.number(1)?),
            0xcd => Value::Uint(self.number(2)?),
            0xce => Value::Uint(self.number(4)?),
            0xcf => Value::Uint(self.number(8)?),
            0xd0 => Value::Int(i64::from(self.number(1)? as i8)),
            0xd1 => Value::Int(i64::from(self.number(2)? as i16)),
            0xd2 => Value::Int(i64::from(self.number(4)? as i32)),
            0xd3 => Value::Int(self.number(8)? as i64),
            0xd9 => {
                let len = self.number(1)? as usize;
                Value::Text(self.string(len)?)
            }
            0xda => {
                let len = self.number(2)? as usize;
                Value::Text(self.string(len)?)
            }
            0xdb => {
                let len = self.number(4)? as usize;
                Value::Text(self.string(len)?)
            }
            0xdc => {
                let len = self.number(2)? as usize;
                self.list(len)?
            }
            0xdd => {
                let len = self.number(4)? as usize;
                self.list(len)?
            }
            0xde => {
                let len = self.number(2)? as usize;
                self.map(len)?
            }
            0xdf => {
                let len = self.number(4)? as usize;
                self.map(len)?
            }
            0xe0..=0xff => Value::Int(i64::from(tag as i8)),
            _ => return None,
        })
    }
}

/// Decodes a body; none if it is malformed.
pub fn decode(body: &[u8]) -> Option<Value> {
    Reader(body).value()
}
