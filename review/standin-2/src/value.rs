//! Message bodies: MessagePack as the protocol uses it, and JSON text for settings, records and size limits.

use std::fmt::Write;

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl From<bool> for Value {
    fn from(v: bool) -> Self {
        Value::Bool(v)
    }
}
impl From<u64> for Value {
    fn from(v: u64) -> Self {
        Value::Int(v as i64)
    }
}
impl From<usize> for Value {
    fn from(v: usize) -> Self {
        Value::Int(v as i64)
    }
}
impl From<i32> for Value {
    fn from(v: i32) -> Self {
        Value::Int(i64::from(v))
    }
}
impl From<f64> for Value {
    fn from(v: f64) -> Self {
        Value::Float(v)
    }
}
impl From<&str> for Value {
    fn from(v: &str) -> Self {
        Value::Text(v.to_owned())
    }
}
impl From<String> for Value {
    fn from(v: String) -> Self {
        Value::Text(v)
    }
}
impl<T: Into<Value>> From<Vec<T>> for Value {
    fn from(v: Vec<T>) -> Self {
        Value::List(v.into_iter().map(Into::into).collect())
    }
}

/// Builds a map: `map!{"name" => value, ...}`.
#[macro_export]
macro_rules! map {
    ($($k:expr => $v:expr),* $(,)?) => {
        $crate::value::Value::Map(vec![$(($k.to_string(), $crate::value::Value::from($v))),*])
    };
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        match self {
            Value::Map(entries) => entries.iter().find(|(k, _)| k == key).map_or(&Value::Null, |(_, v)| v),
            _ => &Value::Null,
        }
    }
    pub fn text(&self) -> &str {
        if let Value::Text(t) = self { t } else { "" }
    }
    pub fn int(&self) -> u64 {
        match self {
            Value::Int(n) => *n as u64,
            Value::Float(f) => *f as u64,
            _ => 0,
        }
    }
    pub fn float(&self) -> f64 {
        match self {
            Value::Int(n) => *n as f64,
            Value::Float(f) => *f,
            _ => 0.0,
        }
    }
    pub fn list(&self) -> &[Value] {
        if let Value::List(l) = self { l } else { &[] }
    }
    pub fn is_null(&self) -> bool {
        *self == Value::Null
    }

    pub fn json(&self) -> String {
        let mut out = String::new();
        self.write_json(&mut out);
        out
    }

    fn write_json(&self, out: &mut String) {
        match self {
            Value::Null => out.push_str("null"),
            Value::Bool(b) => drop(write!(out, "{b}")),
            Value::Int(n) => drop(write!(out, "{n}")),
            Value::Float(f) => drop(write!(out, "{f:?}")),
            Value::Text(t) => {
                out.push('"');
                for c in t.chars() {
                    match c {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        c if (c as u32) < 32 => drop(write!(out, "\\u{:04x}", c as u32)),
                        c => out.push(c),
                    }
                }
                out.push('"');
            }
            Value::List(l) => {
                out.push('[');
                for (i, v) in l.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    v.write_json(out);
                }
                out.push(']');
            }
            Value::Map(m) => {
                out.push('{');
                for (i, (k, v)) in m.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    Value::from(k.as_str()).write_json(out);
                    out.push(':');
                    v.write_json(out);
                }
                out.push('}');
            }
        }
    }

    pub fn pack(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Null => out.push(0xc0),
            Value::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            Value::Int(n) if (0..128).contains(n) => out.push(*n as u8),
            Value::Int(n) if (0..65536).contains(n) => {
                out.push(0xcd);
                out.extend((*n as u16).to_be_bytes());
            }
            Value::Int(n) if *n >= 0 => {
                out.push(0xcf);
                out.extend(n.to_be_bytes());
            }
            Value::Int(n) => {
                out.push(0xd3);
                out.extend(n.to_be_bytes());
            }
            Value::Float(f) => {
                out.push(0xcb);
                out.extend(f.to_be_bytes());
            }
            Value::Text(t) => {
                match t.len() {
                    n @ 0..=31 => out.push(0xa0 | n as u8),
                    n @ 32..=255 => out.extend([0xd9, n as u8]),
                    n => {
                        out.push(0xda);
                        out.extend((n as u16).to_be_bytes());
                    }
                }
                out.extend(t.as_bytes());
            }
            Value::List(l) => {
                header(out, l.len(), 0x90, 0xdc);
                l.iter().for_each(|v| v.write(out));
            }
            Value::Map(m) => {
                header(out, m.len(), 0x80, 0xde);
                for (k, v) in m {
                    Value::from(k.as_str()).write(out);
                    v.write(out);
                }
            }
        }
    }

    pub fn unpack(bytes: &[u8]) -> Option<Value> {
        let mut at = 0;
        read(bytes, &mut at, 0)
    }
}

fn header(out: &mut Vec<u8>, n: usize, small: u8, large: u8) {
    if n < 16 {
        out.push(small | n as u8);
    } else {
        out.push(large);
        out.extend((n as u16).to_be_bytes());
    }
}

fn take<'a>(b: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let part = b.get(*at..at.checked_add(n)?)?;
    *at += n;
    Some(part)
}

fn number(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    Some(take(b, at, n)?.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}

fn read(b: &[u8], at: &mut usize, depth: usize) -> Option<Value> {
    if depth > 64 {
        return None;
    }
    let tag = number(b, at, 1)? as u8;
    Some(match tag {
        0..=0x7f => Value::Int(i64::from(tag)),
        0xe0..=0xff => Value::Int(i64::from(tag as i8)),
        0x80..=0x8f => read_map(b, at, usize::from(tag & 15), depth)?,
        0x90..=0x9f => read_list(b, at, usize::from(tag & 15), depth)?,
        0xa0..=0xbf => read_text(b, at, usize::from(tag & 31))?,
        0xc0 => Value::Null,
        0xc2 => Value::Bool(false),
        0xc3 => Value::Bool(true),
        0xca => Value::Float(f64::from(f32::from_bits(number(b, at, 4)? as u32))),
        0xcb => Value::Float(f64::from_bits(number(b, at, 8)?)),
        0xcc => Value::Int(number(b, at, 1)? as i64),
        0xcd => Value::Int(number(b, at, 2)? as i64),
        0xce => Value::Int(number(b, at, 4)? as i64),
        0xcf | 0xd3 => Value::Int(number(b, at, 8)? as i64),
        0xd0 => Value::Int(i64::from(number(b, at, 1)? as i8)),
        0xd1 => Value::Int(i64::from(number(b, at, 2)? as i16)),
        0xd2 => Value::Int(i64::from(number(b, at, 4)? as i32)),
        0xd9 => {
            let n = number(b, at, 1)? as usize;
            read_text(b, at, n)?
        }
        0xda => {
            let n = number(b, at, 2)? as usize;
            read_text(b, at, n)?
        }
        0xdb => {
            let n = number(b, at, 4)? as usize;
            read_text(b, at, n)?
        }
        0xdc => {
            let n = number(b, at, 2)? as usize;
            read_list(b, at, n, depth)?
        }
        0xdd => {
            let n = number(b, at, 4)? as usize;
            read_list(b, at, n, depth)?
        }
        0xde => {
            let n = number(b, at, 2)? as usize;
            read_map(b, at, n, depth)?
        }
        0xdf => {
            let n = number(b, at, 4)? as usize;
            read_map(b, at, n, depth)?
        }
        _ => return None,
    })
}

fn read_text(b: &[u8], at: &mut usize, n: usize) -> Option<Value> {
    Some(Value::Text(String::from_utf8(take(b, at, n)?.to_vec()).ok()?))
}

fn read_list(b: &[u8], at: &mut usize, n: usize, depth: usize) -> Option<Value> {
    let mut list = Vec::new();
    for _ in 0..n {
        list.push(read(b, at, depth + 1)?);
    }
    Some(Value::List(list))
}

fn read_map(b: &[u8], at: &mut usize, n: usize, depth: usize) -> Option<Value> {
    let mut map = Vec::new();
    for _ in 0..n {
        let Value::Text(key) = read(b, at, depth + 1)? else { return None };
        map.push((key, read(b, at, depth + 1)?));
    }
    Some(Value::Map(map))
}
