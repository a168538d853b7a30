//! Kinds of machines: what the cloud offers, and what machines are told apart by.

use std::fmt;

pub use crate::wire::cloud::{Catalog, MachineType};

/// What can be rented: a type, in a zone, ordinary or spot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Kind {
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}{}", self.type_name, self.zone, if self.spot { " (spot)" } else { "" })
    }
}

#[cfg(test)]
pub mod tests;
