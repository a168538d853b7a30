//! Message bodies: MessagePack maps keyed by text, without binary values.

use std::collections::HashMap;

use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};

use crate::text::Text;

/// Maximum size of request bodies and of answers to workers and users.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum depth of nested lists and maps in a body: more than any message has, and far fewer than would overflow the
/// stack of a thread.
const MAX_NESTING: usize = 64;

/// Encodes a value as a map keyed by text, as every interface requires.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Reason why a body was not decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The body is empty or its outermost value is not a map.
    #[error("the body is not a map")]
    NotAMap,
    /// The body is a map but not MessagePack of the expected type.
    #[error("{0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// This many bytes follow the map.
    #[error("{0} bytes follow the map")]
    TrailingBytes(usize),
}

/// Decodes a body that is a map. A list is an error: serde would decode it as a struct, which no interface allows.
/// Bytes after the map and keys other than text are not detected; see [`decode_whole`].
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    check_map(body)?;
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
    deserializer.set_max_depth(MAX_NESTING);
    Ok(T::deserialize(&mut deserializer)?)
}

/// Decodes a body like [`decode`], and fails as well if a key is not text or if bytes follow the map.
pub fn decode_whole<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    check_map(body)?;
    let mut deserializer = rmp_serde::Deserializer::new(body);
    deserializer.set_max_depth(MAX_NESTING);
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
