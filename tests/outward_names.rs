//! Every name that leaves the process is still present in the code or in a format fixture: fields and values of messages,
//! keys in the state service, settings, properties, flags, routes, scenario functions and log lines.
//!
//! The format fixtures cover the structure; the list also has the names that they do not contain, such as log messages and
//! scenario functions.

// A file that cannot be read fails its test, as intended.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// The list of outward names, one a line.
const NAMES: &str = include_str!("fixtures/outward-names.txt");

/// Returns all files with one of these extensions in a directory and its subdirectories.
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

/// Returns the text of the code without its comment lines, of the format fixtures and of the deploy file.
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

/// Returns whether the name occurs in the text and is not part of a longer word.
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
