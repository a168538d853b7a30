use super::*;

#[test]
fn the_default_is_good_and_errors_name_line_or_field() {
    Sizes::parse(DEFAULT).unwrap();
    for (name, from, to, want) in [
        ("no TOML", "controllers = 3", "controllers = ", "line 3"),
        ("unknown field", "controllers = 3", "controlers = 3", "unknown field `controlers`"),
        ("too many", "controllers = 3", "controllers = 30", "controllers: 30 is not between 1 and 9"),
        ("nothing fits", "cpus = 1.0", "cpus = 99.0", "a task fits no machine"),
        ("no team", "team = \"planning\"", "team = \"nobody\"", "\"nobody\" is no team"),
    ] {
        assert!(DEFAULT.contains(from), "{name}");
        let error = Sizes::parse(&DEFAULT.replacen(from, to, 1)).map(|_| ()).unwrap_err().to_string();
        assert!(error.contains(want), "{name}: {error}");
    }
}
