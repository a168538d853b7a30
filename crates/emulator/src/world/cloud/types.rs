//! Parameters of the cloud, its events, and the reasons for which it refuses a request.

use std::time::Duration;

use hollylanding_protocol::cloud::MachineType;

/// The number of machines of a type that a zone has.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// Name of the machine type.
    pub type_name: String,
    /// Name of the zone.
    pub zone: String,
    /// Number of on-demand machines.
    pub on_demand: u64,
    /// Number of spot machines.
    pub spot: u64,
}

/// The parameters of the cloud.
#[derive(Debug, Clone)]
pub struct Params {
    /// The machine types of the catalog, with nominal prices.
    pub types: Vec<MachineType>,
    /// The machines available by type and zone. A type has no machines in a zone without an entry.
    pub capacity: Vec<Capacity>,
    /// Maximum number of requests per second.
    pub requests_per_second: f64,
    /// Mean age of the list of machines.
    pub list_lag: Duration,
    /// Mean time from an interruption notice until the spot machine is interrupted.
    pub notice: Duration,
    /// Fraction of interrupted spot machines that receive no interruption notice.
    pub silent: f64,
    /// Fraction of machines that never finish booting.
    pub never_up: f64,
    /// Fraction of machines that take several times as long to boot.
    pub slow_up: f64,
}

impl Default for Params {
    /// A cloud without machines to rent, in which nothing fails.
    fn default() -> Self {
        Self {
            types: vec![],
            capacity: vec![],
            requests_per_second: 10.0,
            list_lag: Duration::from_secs(1),
            notice: Duration::from_secs(10),
            silent: 0.0,
            never_up: 0.0,
            slow_up: 0.0,
        }
    }
}

/// How new machines boot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BootMode {
    /// After the boot time of the type, with the fractions of slow and failing boots of [`Params`].
    #[default]
    Usual,
    /// After one to two seconds.
    AtOnce,
    /// Never: the machines stay booting.
    Never,
}

/// Why a request was refused. A refused request changes nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Status 400: the request is invalid.
    Malformed(&'static str),
    /// Status 429: the rate limit is exceeded.
    TooMany,
    /// Status 503: no machine of this type and zone is left, of the requested kind (spot or on-demand).
    NoCapacity,
    /// Status 503: an outage of the cloud.
    Trouble,
}

impl Refusal {
    /// The HTTP status and the text of the response's `error` field.
    pub fn status_and_text(&self) -> (u16, &'static str) {
        match self {
            Self::Malformed(why) => (400, why),
            Self::TooMany => (429, "too many requests"),
            Self::NoCapacity => (503, "no capacity"),
            Self::Trouble => (503, "trouble"),
        }
    }
}

/// A change of a machine's state that affects its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The machine of this name finished booting.
    Up(String),
    /// The spot machine of this name will be interrupted after this time.
    Notice(String, Duration),
    /// The spot machine of this name was interrupted.
    Interrupted(String),
}

/// A machine's type, zone and kind.
#[derive(Debug, Clone)]
pub struct MachineInfo {
    /// The machine's type.
    pub machine_type: MachineType,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
}

/// Numbers of machines by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineCounts {
    /// Machines that are booting.
    pub booting: usize,
    /// Machines that are up.
    pub up: usize,
    /// Spot machines among those that are up.
    pub spot: usize,
}
