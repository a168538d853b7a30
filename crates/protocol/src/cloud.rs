//! Messages of the cloud's interface: its catalog, provisioning and termination of machines, and the list of machines.

use serde::{Deserialize, Serialize};

/// A type of machine that the cloud provides.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name, unique in the catalog.
    pub name: String,
    /// Cores of one machine.
    pub cpus: f64,
    /// Accelerators of one machine; 0 if it has none.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory of one machine, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Rate at which one machine fetches images, in GB per second.
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Capacity of a machine's image cache in GB, if the cloud states it.
    #[serde(rename = "localGb", default)]
    pub cache_gb: Option<f64>,
    /// Price of an on-demand machine per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price of a spot machine per hour; it varies over time.
    #[serde(rename = "spotPrice")]
    pub spot_price: f64,
    /// Usual time from the request until the machine is up, in seconds.
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price per hour: of a spot machine if `spot`, else of an on-demand one.
    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// Catalog of the machine types that the cloud offers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types, each name once.
    #[serde(rename = "fleets")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// Looks a type up by its name.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}

/// A request for machines. It is idempotent by its id: repeated, it returns the same machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRequest {
    /// The request's id, chosen by the sender, which makes it idempotent.
    #[serde(rename = "charter")]
    pub request: String,
    /// Name of the [`MachineType`] asked for.
    #[serde(rename = "fleet")]
    pub type_name: String,
    /// Zone in which the machines are wanted.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are wanted in place of on-demand ones.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines wanted; the cloud may grant fewer.
    pub count: u64,
}

/// A machine as the cloud lists it. The list may lag behind the machine's present state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CloudMachine {
    /// The cloud's id of the machine.
    #[serde(rename = "uid")]
    pub id: String,
    /// Address (`host:port`) of its worker, once the cloud knows it.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Name of its [`MachineType`].
    #[serde(rename = "fleet")]
    pub type_name: String,
    /// Zone in which it runs.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "status")]
    pub state: String,
    /// Seconds since it was provisioned, as of the time that the list describes.
    #[serde(rename = "heldS", default)]
    pub held_s: f64,
}

/// A page of the list of machines, ordered by id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines of this page.
    #[serde(rename = "berths")]
    pub machines: Vec<CloudMachine>,
    /// Whether further machines follow; the next page starts after the last id of this one.
    pub more: bool,
}

/// Ids of machines: those that a [`ProvisioningRequest`] brought, or those to terminate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The cloud's ids of the machines.
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}
