use super::*;
use serde::Deserialize;

#[derive(Debug, Serialize, Deserialize, PartialEq)]
struct Probe {
    a: f64,
    b: Option<u64>,
}

#[test]
fn decode_accepts_only_maps() {
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
