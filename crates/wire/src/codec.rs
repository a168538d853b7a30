//! Bodies as MessagePack: maps keyed by text, with nothing binary.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The limit for request bodies and for answers to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Encodes as a map keyed by text, as every interface asks.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    #[error("the body is not a map")]
    NotAMap,
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
mod tests {
    use super::*;
    use serde::Deserialize;

    #[derive(Debug, Serialize, Deserialize, PartialEq)]
    struct Probe {
        a: f64,
        b: Option<u64>,
    }

    #[test]
    fn only_maps_are_read() {
        let good = encode(&serde_json::json!({"a": 3, "b": null, "extra": [1, 2]}));
        assert_eq!(decode::<Probe>(&good).unwrap(), Probe { a: 3.0, b: None });
        let cases: [(&str, Vec<u8>); 5] = [
            ("empty", vec![]),
            ("a list", rmp_serde::to_vec(&(1.0, 2)).unwrap()),
            ("text", encode(&"x")),
            ("cut short", good[..good.len() - 2].to_vec()),
            ("wrong type", encode(&serde_json::json!({"a": "x"}))),
        ];
        for (name, body) in cases {
            assert!(decode::<Probe>(&body).is_err(), "{name}");
        }
    }
}
