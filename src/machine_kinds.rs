//! Machine kinds, by which the scheduler distinguishes machines, and the catalog of machine types that the cloud
//! offers.

use std::fmt;
use std::sync::{Arc, Mutex};

use crate::sync::lock;

pub use crate::protocol::cloud::{Catalog, MachineType};

/// Kind of machine that can be provisioned: a machine type in a zone, on demand or as a spot machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineKind {
    /// Name of the machine type in the catalog.
    pub type_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may recall.
    pub spot: bool,
}

impl fmt::Display for MachineKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}{}", self.type_name, self.zone, if self.spot { " (spot)" } else { "" })
    }
}

/// Latest catalog of the machine types that the cloud offers. Every controller holds it.
#[derive(Debug, Default)]
pub struct SharedCatalog(Mutex<Option<Arc<Catalog>>>);

impl SharedCatalog {
    /// Returns the catalog, or `None` before the first one was read.
    pub fn get(&self) -> Option<Arc<Catalog>> {
        lock(&self.0).clone()
    }

    /// Replaces the catalog. Returns whether the new one differs from the previous one.
    pub fn replace(&self, catalog: Catalog) -> bool {
        let mut current = lock(&self.0);
        let changed = current.as_deref() != Some(&catalog);
        if changed {
            *current = Some(Arc::new(catalog));
        }
        changed
    }
}

#[cfg(test)]
pub mod tests;
