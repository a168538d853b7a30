use super::*;

/// Names become part of store keys and request paths, so keys have to parse back and invalid names have to be rejected.
#[test]
fn keys_parse_back_and_invalid_names_are_rejected() {
    for kind in DeclarationKind::ALL {
        assert_eq!(
            parse_key(&spec_key(kind, "a.b-1")),
            Some(DeclarationKey { part: DeclarationPart::Spec, kind, name: "a.b-1" })
        );
        assert_eq!(
            parse_key(&status_key(kind, "a.b-1")),
            Some(DeclarationKey { part: DeclarationPart::Status, kind, name: "a.b-1" })
        );
        assert_eq!(serde_json::to_value(kind).unwrap(), kind.as_str());
    }
    for bad in ["c/s/window/", "c/s/window", "c/s/later/a", "c/t/window/A", "c/s/window/a/b", "c/o/window/a"] {
        assert_eq!(parse_key(bad), None, "{bad}");
    }
    let longest = "a".repeat(64);
    for (name, good) in [("7", true), (longest.as_str(), true), (".a", false), ("a b", false), ("é", false)] {
        assert_eq!(is_valid_name(name), good, "{name}");
    }
    assert!(!is_valid_name(&"a".repeat(65)));
}
