use super::*;

/// A listing continues after the last key of a page. If that key made the request's URI invalid, every listing would
/// end there, so any key must be encodable.
#[test]
fn every_key_is_encoded_into_a_valid_uri() {
    for (key, expected) in [
        ("c/o/run-000001", "c/o/run-000001"),
        ("t/run-000001/00003", "t/run-000001/00003"),
        ("d/a b", "d/a%20b"),
        ("c/s/?most=1&since=x#y", "c/s/%3Fmost%3D1%26since%3Dx%23y"),
        ("h/d/100%", "h/d/100%25"),
        ("c/o/\n\u{e9}", "c/o/%0A%C3%A9"),
    ] {
        assert_eq!(percent_encode(key), expected, "{key:?}");
        let uri = format!("http://127.0.0.1:1/keys?prefix=c/&most=1&since={}", percent_encode(key));
        assert!(uri.parse::<hyper::Uri>().is_ok(), "{uri}");
    }
}

/// A refusal of a write with a lease means that the lease has ended only if it says so, or says nothing: a new lease can
/// always be granted, and a transaction that is too large stays so under any lease.
#[test]
fn refusal_of_a_lease_is_told_from_other_refusals() {
    let reason = |error: &str| protocol::encode(&serde_json::json!({ "error": error }));
    assert!(is_missing_lease(&reason("no such lease")));
    assert!(is_missing_lease(&[]));
    assert!(!is_missing_lease(&reason("a value above the limit")));
}
