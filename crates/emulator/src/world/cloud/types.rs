//! Parameters of the cloud, its events, and its reasons to refuse a request.

use std::time::Duration;

use hollylanding_protocol::cloud::MachineType;

/// The number of machines of a type that a zone has.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// Name of the machine type.
    pub type_name: String,
    /// The zone.
    pub zone: String,
    /// Number of on-demand machines.
    pub on_demand: u64,
    /// Number of spot machines.
    pub spot: u64,
}

/// The parameters of the cloud.
#[derive(Debug, Clone)]
pub struct Params {
    /// The machine types of its catalog, with nominal prices.
    pub types: Vec<MachineType>,
    /// The machines available, by type and zone; none where there is no entry.
    pub capacity: Vec<Capacity>,
    /// Limit of requests per second.
    pub requests_per_second: f64,
    /// Usual age of the list of machines.
    pub list_lag: Duration,
    /// Usual time from the notice to a spot machine until it is taken.
    pub notice: Duration,
    /// Fraction of taken spot machines that receive no notice.
    pub silent: f64,
    /// Fraction of machines that never come up.
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
    /// As the parameters say: some late, some never.
    #[default]
    Usual,
    /// Within one to two seconds.
    AtOnce,
    /// They stay booting.
    Never,
}

/// Why a request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Status 400: the request is invalid.
    Malformed(&'static str),
    /// Status 429: the rate limit is exceeded.
    TooMany,
    /// Status 503: no machine of this type, zone and kind is left.
    NoCapacity,
    /// Status 503: an outage.
    Trouble,
}

impl Refusal {
    /// The HTTP status, and the text of the answer's `error` field.
    pub fn status_and_text(&self) -> (u16, &'static str) {
        match self {
            Self::Malformed(why) => (400, why),
            Self::TooMany => (429, "too many requests"),
            Self::NoCapacity => (503, "no capacity"),
            Self::Trouble => (503, "trouble"),
        }
    }
}

/// A change of a machine's state that its worker has to follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The machine of this name came up.
    Up(String),
    /// The machine of this name will be taken after this time.
    Notice(String, Duration),
    /// The machine of this name was taken.
    Taken(String),
}

/// A machine's type and place.
#[derive(Debug, Clone)]
pub struct MachineInfo {
    /// Its type.
    pub machine_type: MachineType,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Numbers of machines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineCounts {
    /// Machines that boot.
    pub booting: usize,
    /// Machines that are up.
    pub up: usize,
    /// Spot machines among those that are up.
    pub spot: usize,
}
