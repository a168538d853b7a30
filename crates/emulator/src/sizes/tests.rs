use super::*;

#[test]
fn default_sizes_are_valid_and_errors_name_line_or_field() {
    Sizes::parse(DEFAULT).unwrap();
    for (name, from, to, want) in [
        ("malformed TOML", "controllers = 3", "controllers = ", "line 3"),
        ("unknown field", "controllers = 3", "controlers = 3", "unknown field `controlers`"),
        ("too many controllers", "controllers = 3", "controllers = 30", "controllers: 30 is not between 1 and 9"),
        ("work too large for every machine", "cpus = 1.0", "cpus = 99.0", "a task is too large for every machine type"),
        ("unknown team", "team = \"planning\"", "team = \"nobody\"", "unknown team \"nobody\""),
    ] {
        assert!(DEFAULT.contains(from), "{name}");
        let error = Sizes::parse(&DEFAULT.replacen(from, to, 1)).map(|_| ()).unwrap_err().to_string();
        assert!(error.contains(want), "{name}: {error}");
    }
}
