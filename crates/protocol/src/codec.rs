//! Message bodies: MessagePack maps keyed by text, without binary values.

use std::collections::HashMap;

use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};

use crate::text::Text;

/// The limit for request bodies and for answers to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Levels of lists and maps in a body: more than any message has, and far fewer than fill the stack of a thread.
const MOST_NESTED: usize = 64;

/// Encodes as a map keyed by text, as every interface asks.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Why a body was not decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The body is empty or its outermost value is not a map.
    #[error("the body is not a map")]
    NotAMap,
    /// The body is a map but not MessagePack of the expected type.
    #[error("{0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    #[error("{0} bytes follow the map")]
    /// Bytes are left over after the value: how many.
    TrailingBytes(usize),
}

/// Decodes a map. Serde would also take a bare list for a struct, which no interface allows.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    check_map(body)?;
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
    deserializer.set_max_depth(MOST_NESTED);
    Ok(T::deserialize(&mut deserializer)?)
}

/// The same of a map that is keyed by text alone and is the whole body.
pub fn decode_whole<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    check_map(body)?;
    let mut deserializer = rmp_serde::Deserializer::new(body);
    deserializer.set_max_depth(MOST_NESTED);
    HashMap::<Text, IgnoredAny>::deserialize(&mut deserializer)?;
    match deserializer.get_ref().len() {
        0 => decode(body),
        trailing => Err(DecodeError::TrailingBytes(trailing)),
    }
}

fn check_map(body: &[u8]) -> Result<(), DecodeError> {
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => Ok(()),
        _ => Err(DecodeError::NotAMap),
    }
}

#[cfg(test)]
mod tests;
