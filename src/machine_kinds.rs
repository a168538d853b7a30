//! Kinds of machines: what the cloud offers, and what machines are told apart by.

use std::fmt;
use std::sync::{Arc, Mutex};

use crate::sync::lock;

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

/// The machine types that the cloud offers, as it has named them last. Every controller keeps them.
#[derive(Debug, Default)]
pub struct SharedCatalog(Mutex<Option<Arc<Catalog>>>);

impl SharedCatalog {
    /// The types of machines, once the cloud has named them.
    pub fn get(&self) -> Option<Arc<Catalog>> {
        lock(&self.0).clone()
    }

    /// Keeps what the cloud has named now. True if it differs from what was kept.
    pub fn replace(&self, catalog: Catalog) -> bool {
        let mut kept = lock(&self.0);
        let changed = kept.as_deref() != Some(&catalog);
        if changed {
            *kept = Some(Arc::new(catalog));
        }
        changed
    }
}

#[cfg(test)]
pub mod tests;
