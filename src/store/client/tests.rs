use super::*;

/// A listing goes on after the last key of a page, whatever that key holds: an address that cannot be sent would
/// end every reading of the store there.
#[test]
fn a_key_is_part_of_an_address_whatever_it_holds() {
    for (key, want) in [
        ("c/o/run-000001", "c/o/run-000001"),
        ("t/run-000001/00003", "t/run-000001/00003"),
        ("d/a b", "d/a%20b"),
        ("c/s/?most=1&since=x#y", "c/s/%3Fmost%3D1%26since%3Dx%23y"),
        ("h/d/100%", "h/d/100%25"),
        ("c/o/\n\u{e9}", "c/o/%0A%C3%A9"),
    ] {
        assert_eq!(escaped(key), want, "{key:?}");
        let address = format!("http://127.0.0.1:1/keys?prefix=c/&most=1&since={}", escaped(key));
        assert!(address.parse::<hyper::Uri>().is_ok(), "{address}");
    }
}
