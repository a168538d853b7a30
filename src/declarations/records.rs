//! Keys of declarations, and how many of them there may be.
//!
//! They lie below the prefix that every controller watches already, so that no further request or watch is needed:
//! `c/s/KIND/NAME` is a spec, which only operators write, and `c/t/KIND/NAME` its status, which only the leader writes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Prefix of specs.
pub const SPEC_PREFIX: &str = "c/s/";
/// Prefix of statuses.
pub const STATUS_PREFIX: &str = "c/t/";
/// Every write of an operator changes this key, so that a delayed copy of an earlier write fails its condition on the
/// key's version. It sorts before the keys that controllers list.
pub const OPERATORS_KEY: &str = "c/declared";

/// Largest spec and largest status, in bytes of JSON; less where the state service takes less.
pub const MAX_VALUE_BYTES: usize = 8 * 1024;
/// Largest total of all specs of a kind, in bytes of JSON: every controller keeps them in memory.
pub const MAX_SPECS_BYTES: usize = 2 * 1024 * 1024;
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
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Window, Self::Heat, Self::Reading, Self::Rollout];

    /// The kind's name in keys and commands.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Window => "window",
            Self::Heat => "heat",
            Self::Reading => "reading",
            Self::Rollout => "rollout",
        }
    }

    /// The kind of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// How many of this kind can be declared.
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

/// Which half of a declaration a key holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclarationPart {
    /// What an operator wrote.
    Spec,
    /// What the leader wrote.
    Status,
}

/// Identifies a declaration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeclarationId {
    /// Its kind.
    pub kind: DeclarationKind,
    /// Its name, unique among those of the kind.
    pub name: String,
}

impl DeclarationId {
    /// The id of the declaration of a kind and name.
    pub fn new(kind: DeclarationKind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into() }
    }
}

/// A parsed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclarationKey<'a> {
    /// Spec or status.
    pub part: DeclarationPart,
    /// The declaration's kind.
    pub kind: DeclarationKind,
    /// Its name.
    pub name: &'a str,
}

/// Key of a spec.
pub fn spec_key(kind: DeclarationKind, name: &str) -> String {
    format!("{SPEC_PREFIX}{kind}/{name}")
}

/// Key of a status.
pub fn status_key(kind: DeclarationKind, name: &str) -> String {
    format!("{STATUS_PREFIX}{kind}/{name}")
}

/// Whether a key is one of a spec or a status, of whatever kind.
pub fn is_declaration_key(path: &str) -> bool {
    path.starts_with(SPEC_PREFIX) || path.starts_with(STATUS_PREFIX)
}

/// Parses keys made by `spec_key` and `status_key`; none for kinds that only a later build knows.
pub fn parse_key(path: &str) -> Option<DeclarationKey<'_>> {
    let (part, rest) = match path.strip_prefix(SPEC_PREFIX) {
        Some(rest) => (DeclarationPart::Spec, rest),
        None => (DeclarationPart::Status, path.strip_prefix(STATUS_PREFIX)?),
    };
    let (kind, name) = rest.split_once('/')?;
    let key = DeclarationKey { part, kind: DeclarationKind::from_name(kind)?, name };
    Some(key).filter(|key| is_valid_name(key.name))
}

/// 1 to 64 of small letters, digits, dots and dashes, beginning with a letter or a digit.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    name.len() <= MAX_NAME_LENGTH && name.starts_with(plain) && name.chars().all(|c| plain(c) || matches!(c, '.' | '-'))
}

#[cfg(test)]
mod tests;
