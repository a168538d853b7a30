//! Message bodies: MessagePack maps keyed by text, without binary values.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The limit for request bodies and for answers to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;

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
}

/// Decodes a map. Serde would also take a bare list for a struct, which no interface allows.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => Ok(rmp_serde::from_slice(body)?),
        _ => Err(DecodeError::NotAMap),
    }
}

#[cfg(test)]
mod tests;
