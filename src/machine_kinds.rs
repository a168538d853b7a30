//! Kinds of machines: what the cloud offers, and what machines are told apart by.

use std::fmt;

pub use crate::protocol::cloud::{Catalog, MachineType};

/// What can be rented: a type, in a zone, ordinary or spot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineKind {
    /// The cloud's name of the machine type.
    pub type_name: String,
    /// The zone in which such machines are offered.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may take back.
    pub spot: bool,
}

impl fmt::Display for MachineKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}{}", self.type_name, self.zone, if self.spot { " (spot)" } else { "" })
    }
}

#[cfg(test)]
pub mod tests;
