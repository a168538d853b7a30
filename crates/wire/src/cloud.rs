//! What the cloud is asked and answers.

use serde::{Deserialize, Serialize};

/// A type of machines: prices an hour, sizes in GB, the usual boot in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    /// What a machine keeps of the images it has used, if the cloud says.
    #[serde(rename = "localGb", default)]
    pub cache_gb: Option<f64>,
    #[serde(rename = "rate")]
    pub price: f64,
    #[serde(rename = "spotPrice")]
    pub spot_price: f64,
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// What the cloud offers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "fleets")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}

/// Machines asked for. The name is used once only: asked again, it gets the same machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    #[serde(rename = "charter")]
    pub request: String,
    #[serde(rename = "fleet")]
    pub type_name: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    pub count: u64,
}

/// A machine as the cloud lists it; `held_s` is its age in seconds as of the time the list describes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "fleet")]
    pub type_name: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: String,
    #[serde(rename = "heldS", default)]
    pub held_s: f64,
}

/// A part of the list, in the order of the names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    #[serde(rename = "berths")]
    pub machines: Vec<Listed>,
    pub more: bool,
}

/// Machines rented, or to be returned.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Names {
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}
