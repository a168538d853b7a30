//! Store keys of declarations, and limits on their number and size.
//!
//! The keys lie below the prefix that every controller watches already, so that no further request or watch is needed:
//! `c/s/KIND/NAME` holds a specification, which only operators write, and `c/t/KIND/NAME` its status, which only the
//! leader writes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Key prefix of specifications.
pub const SPEC_PREFIX: &str = "c/s/";
/// Key prefix of statuses.
pub const STATUS_PREFIX: &str = "c/t/";
/// Key that every operator write changes, so that a delayed copy of an earlier write fails its condition on the key's
/// version. It sorts before the keys that controllers list.
pub const OPERATORS_KEY: &str = "c/declared";

/// Maximum size of a specification or a status, in bytes of JSON; the state service's value limit applies if lower.
pub const MAX_VALUE_BYTES: usize = 8 * 1024;
/// Maximum total size of all specifications of a kind, in bytes of JSON: every controller keeps them in memory.
pub const MAX_SPECS_BYTES: usize = 2 * 1024 * 1024;
/// Maximum length of a declaration's name, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// The kinds of declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeclarationKind {
    /// A planning window (`calendar`).
    Window,
    /// A heat rule (`heat`).
    Heat,
    /// A sensor's reading (`heat::readings`).
    Reading,
    /// A rollout (`rollouts`).
    Rollout,
}

impl DeclarationKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Window, Self::Heat, Self::Reading, Self::Rollout];

    /// Returns the kind's name in keys and commands.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Window => "window",
            Self::Heat => "heat",
            Self::Reading => "reading",
            Self::Rollout => "rollout",
        }
    }

    /// Returns the kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Returns the maximum number of declarations of this kind.
    pub fn max_count(self) -> usize {
        match self {
            Self::Window => 1000,
            Self::Heat | Self::Rollout => 50,
            Self::Reading => 200,
        }
    }
}

impl fmt::Display for DeclarationKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The part of a declaration that a key holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclarationPart {
    /// The specification, written by operators.
    Spec,
    /// The status, written by the leader.
    Status,
}

/// Identifies a declaration by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeclarationId {
    /// The declaration's kind.
    pub kind: DeclarationKind,
    /// The declaration's name, unique within its kind.
    pub name: String,
}

impl DeclarationId {
    /// Creates the identifier of the declaration with this kind and name.
    pub fn new(kind: DeclarationKind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into() }
    }
}

/// A parsed store key of a declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclarationKey<'a> {
    /// Whether the key holds the specification or the status.
    pub part: DeclarationPart,
    /// The declaration's kind.
    pub kind: DeclarationKind,
    /// The declaration's name.
    pub name: &'a str,
}

/// Returns the key of a specification.
pub fn spec_key(kind: DeclarationKind, name: &str) -> String {
    format!("{SPEC_PREFIX}{kind}/{name}")
}

/// Returns the key of a status.
pub fn status_key(kind: DeclarationKind, name: &str) -> String {
    format!("{STATUS_PREFIX}{kind}/{name}")
}

/// Returns whether a key belongs to a specification or a status, of a known or an unknown kind.
pub fn is_declaration_key(path: &str) -> bool {
    path.starts_with(SPEC_PREFIX) || path.starts_with(STATUS_PREFIX)
}

/// Parses a key made by `spec_key` or `status_key`. Returns `None` for kinds that only a later build knows.
pub fn parse_key(path: &str) -> Option<DeclarationKey<'_>> {
    let (part, rest) = match path.strip_prefix(SPEC_PREFIX) {
        Some(rest) => (DeclarationPart::Spec, rest),
        None => (DeclarationPart::Status, path.strip_prefix(STATUS_PREFIX)?),
    };
    let (kind, name) = rest.split_once('/')?;
    let key = DeclarationKey { part, kind: DeclarationKind::from_name(kind)?, name };
    Some(key).filter(|key| is_valid_name(key.name))
}

/// Returns whether a name consists of 1 to 64 lowercase ASCII letters, digits, dots and dashes and begins with a letter
/// or a digit.
pub fn is_valid_name(name: &str) -> bool {
    let is_alphanumeric = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    name.len() <= MAX_NAME_LENGTH
        && name.starts_with(is_alphanumeric)
        && name.chars().all(|c| is_alphanumeric(c) || matches!(c, '.' | '-'))
}

#[cfg(test)]
mod tests;
