//! Keys of what is declared, and how much of it there may be.
//!
//! They lie below the prefix that every controller mirrors already, so that nothing more is asked
//! or watched: `c/s/KIND/NAME` is a spec, which operators alone write, and `c/t/KIND/NAME` its
//! status, which the leader alone writes.

use serde::{Deserialize, Serialize};

/// Prefix of what operators declare.
pub const SPECS: &str = "c/s/";
/// Prefix of what the leader stores of it.
pub const STATUSES: &str = "c/t/";
/// Every write of an operator moves this key, so that a copy of an earlier one that comes late finds
/// another version. It lies before what controllers list.
pub const OPERATORS: &str = "c/declared";

/// Largest spec and largest status, in bytes of JSON; less where the state service takes less.
pub const MAX_VALUE_BYTES: usize = 8 * 1024;
/// All specs of a kind together: every controller holds them.
pub const MAX_SPECS_BYTES: usize = 2 * 1024 * 1024;
const LONGEST_NAME: usize = 64;

/// What can be declared.
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
    pub fn word(self) -> &'static str {
        match self {
            Self::Window => "window",
            Self::Heat => "heat",
            Self::Reading => "reading",
            Self::Rollout => "rollout",
        }
    }

    /// The kind of this name.
    pub fn of_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.word() == word)
    }

    /// Most of this kind that can be declared.
    pub fn most(self) -> usize {
        match self {
            Self::Window => 1000,
            Self::Heat | Self::Rollout => 50,
            Self::Reading => 200,
        }
    }
}

/// What a key holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclarationPart {
    /// What an operator wrote.
    Spec,
    /// What the leader wrote.
    Status,
}

/// Key of a spec.
pub fn spec_key(kind: DeclarationKind, name: &str) -> String {
    format!("{SPECS}{}/{name}", kind.word())
}

/// Key of a status.
pub fn status_key(kind: DeclarationKind, name: &str) -> String {
    format!("{STATUSES}{}/{name}", kind.word())
}

/// Whether a key is one of a spec or a status, of whatever kind.
pub fn declared(path: &str) -> bool {
    path.starts_with(SPECS) || path.starts_with(STATUSES)
}

/// Reads back what `spec_key` and `status_key` made; none of kinds that a later build knows.
pub fn parse(path: &str) -> Option<(DeclarationPart, DeclarationKind, &str)> {
    let (part, rest) = match path.strip_prefix(SPECS) {
        Some(rest) => (DeclarationPart::Spec, rest),
        None => (DeclarationPart::Status, path.strip_prefix(STATUSES)?),
    };
    let (kind, name) = rest.split_once('/')?;
    Some((part, DeclarationKind::of_word(kind)?, name)).filter(|_| is_valid_name(name))
}

/// 1 to 64 of small letters, digits, dots and dashes, beginning with a letter or a digit.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    name.len() <= LONGEST_NAME && name.starts_with(plain) && name.chars().all(|c| plain(c) || matches!(c, '.' | '-'))
}

#[cfg(test)]
mod tests;
