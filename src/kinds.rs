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
pub mod tests {
    use super::*;

    /// A machine type in zone `a`; cheap ones at half the price.
    pub fn machine_type(name: &str, cpus: f64, gpus: f64, price: f64) -> MachineType {
        MachineType {
            name: name.into(),
            cpus,
            gpus,
            memory_gb: 64.0,
            fetch_gb_per_s: 1.0,
            cache_gb: None,
            price,
            spot_price: price / 2.0,
            boot_s: 30.0,
            zones: vec!["a".into()],
        }
    }
}
