//! Every name that leaves the process is still written by the code or held by a format fixture: fields and values of
//! messages, keys in the state service, settings, properties, flags, routes, scenario functions and log lines.
//!
//! The format fixtures hold the structure; this list also has what they do not show, such as log messages and scenarios.

// A file that cannot be read fails its test, as it should.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

const NAMES: &str = include_str!("fixtures/outward-names.txt");

/// All files with one of these extensions in a directory and below it.
fn files(directory: &Path, extensions: &[&str]) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(files(&path, extensions));
        } else if path.extension().is_some_and(|extension| extensions.iter().any(|wanted| extension == *wanted)) {
            found.push(path);
        }
    }
    found
}

/// The code without its comment lines, the format fixtures and the deploy file.
fn searched_text() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut paths = files(&root.join("src"), &["rs"]);
    paths.extend(files(&root.join("crates"), &["rs"]));
    paths.extend(files(&root.join("tests/fixtures/formats"), &["json"]));
    paths.push(root.join("deploy/service.toml"));
    let texts = paths.iter().map(|path| std::fs::read_to_string(path).unwrap());
    let lines = |text: String| text.lines().filter(|line| !line.trim_start().starts_with("//")).collect::<String>();
    texts.map(lines).collect()
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// Whether the name occurs in the text and is not part of a longer word.
fn contains_name(text: &str, name: &str) -> bool {
    let (first, last) = (name.chars().next().unwrap(), name.chars().next_back().unwrap());
    text.match_indices(name).any(|(start, _)| {
        let before = text[..start].chars().next_back();
        let after = text[start + name.len()..].chars().next();
        let longer_before = is_word(first) && before.is_some_and(is_word);
        let longer_after = is_word(last) && after.is_some_and(is_word);
        !longer_before && !longer_after
    })
}

#[test]
fn each_outward_name_is_in_the_code_or_the_format_fixtures() {
    let text = searched_text();
    let missing: Vec<&str> = NAMES.lines().filter(|name| !contains_name(&text, name)).collect();
    assert!(missing.is_empty(), "missing: {missing:#?}");
    assert!(NAMES.lines().count() > 600, "the list is not complete");
}
