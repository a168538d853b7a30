//! Machine types for the tests of other modules.

use super::*;

/// Returns a machine type in zone `a`, whose spot price is half its on-demand price.
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
