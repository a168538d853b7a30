//! Validation of the settings. Values out of range and combinations that would break a guaranteed time are rejected;
//! every error names the field and its value.

use std::net::SocketAddr;

use super::{InvalidSettings, Params, Properties, Settings, WorkerParams};

/// Maximum rate, duration in seconds, or size; larger values are implausible.
const MAX_VALUE: f64 = 1e6;
/// Maximum of `memory_mb`; larger values are implausible.
const MAX_MEMORY_MB: f64 = 1e9;
/// Maximum clock difference; larger values are implausible.
const MAX_SKEW_MS: f64 = 1e9;
/// Maximum time limit of an objective; larger values are implausible.
const MAX_OBJECTIVE_S: f64 = 1e9;
/// Minimum duration: timers cannot keep shorter ones.
const MIN_DURATION_S: f64 = 0.001;
/// Ratio of the longest pause between two heartbeats to `report_s`, which a worker varies by plus or minus a quarter.
const MAX_HEARTBEAT_FACTOR: f64 = 1.25;
/// Minimum of `txn_ops`: accepting and ending a job take two changes each.
pub(crate) const MIN_TXN_OPS: u64 = 2;
/// Minimum of `max_sockets`: connections to the store, the cloud, workers, users and other controllers.
const MIN_SOCKETS: u64 = 16;

impl Settings {
    /// Validates all fields; the error names the first invalid one.
    pub(super) fn check(&self) -> Result<(), InvalidSettings> {
        self.check_addresses()?;
        self.check_peers()?;
        let params = &self.params;
        check_limits(params)?;
        check_times(&params.workers)?;
        check_objectives(params)?;
        if self.node.is_empty() {
            return Err(InvalidSettings::field("host_name", "\"\" names nobody"));
        }
        if params.zones.is_empty() {
            return Err(InvalidSettings::field("params.zones", "[] leaves nowhere to run"));
        }
        check_teams(params)
    }

    /// Checks the properties against the platform's settings. If the election lease of a dead leader outlasted the
    /// leases of the workers, all running tasks would be lost.
    ///
    /// # Errors
    /// Names the property whose value is too large.
    pub fn check_properties(&self, properties: &Properties) -> Result<(), InvalidSettings> {
        let workers = &self.params.workers;
        let election_lease = properties.election_lease.as_secs_f64();
        let max_election_lease = workers.lease_s - workers.report_s * MAX_HEARTBEAT_FACTOR;
        if election_lease > max_election_lease {
            return Err(InvalidSettings::field(
                "leader.lease.seconds",
                format!(
                    "{election_lease} is above {max_election_lease}, which is lease_s without the longest pause \
                 between two reports: workers would lose their work before another controller leads"
                ),
            ));
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), InvalidSettings> {
        let mut addresses = vec![
            ("api_addr", &self.listen),
            ("mesh_addr", &self.mesh_listen),
            ("endpoints.cloud", &self.endpoints.cloud),
            ("endpoints.state", &self.endpoints.state),
        ];
        addresses.extend(self.peers.iter().map(|peer| ("peers.endpoint", &peer.addr)));
        for (field, value) in addresses {
            if value.parse::<SocketAddr>().is_err() {
                return Err(InvalidSettings::field(field, format!("{value:?} is not an IP address with a port")));
            }
        }
        Ok(())
    }

    fn check_peers(&self) -> Result<(), InvalidSettings> {
        match self.params.size {
            Some(0) => Err(InvalidSettings::field("params.size", "0 is below 1")),
            Some(size) if size > 1 && self.peers.is_empty() => {
                Err(InvalidSettings::field("peers", format!("[] names no other controller, and params.size is {size}")))
            }
            _ => Ok(()),
        }
    }
}

/// Checks the limits of the platform's services and of this controller.
fn check_limits(params: &Params) -> Result<(), InvalidSettings> {
    let positive = [
        ("params.state.rps", params.state.rps),
        ("params.state.write_rps", params.state.write_rps),
        ("params.state.value_kb", params.state.value_kb),
        ("params.cloud.rps", params.cloud.rps),
    ];
    let next = params.state.next.clone().unwrap_or_default();
    let announced = [
        ("params.state.next.rps", next.rps),
        ("params.state.next.write_rps", next.write_rps),
        ("params.state.next.value_kb", next.value_kb),
    ];
    let announced = announced.into_iter().filter_map(|(field, value)| Some((field, value?)));
    for (field, value) in positive.into_iter().chain(announced) {
        if !(value > 0.0 && value <= MAX_VALUE) {
            return Err(InvalidSettings::field(field, format!("{value} is not above 0 and at most {MAX_VALUE}")));
        }
    }
    if let Some(mb) = params.limits.memory_mb.filter(|mb| !(*mb > 0.0 && *mb <= MAX_MEMORY_MB)) {
        return Err(InvalidSettings::field(
            "params.resources.memory_mb",
            format!("{mb} is not above 0 and at most {MAX_MEMORY_MB}"),
        ));
    }
    if !(0.0..=MAX_SKEW_MS).contains(&params.skew_ms) {
        return Err(InvalidSettings::field(
            "params.skew_ms",
            format!("{} is not between 0 and {MAX_SKEW_MS}", params.skew_ms),
        ));
    }
    let changes = [("params.state.txn_ops", Some(params.state.txn_ops)), ("params.state.next.txn_ops", next.txn_ops)];
    for (field, value) in changes.into_iter().filter_map(|(field, value)| Some((field, value?))) {
        if value < MIN_TXN_OPS {
            return Err(InvalidSettings::field(field, format!("{value} is below {MIN_TXN_OPS}")));
        }
    }
    if params.limits.max_sockets < MIN_SOCKETS {
        return Err(InvalidSettings::field(
            "params.resources.max_sockets",
            format!("{} is below {MIN_SOCKETS}", params.limits.max_sockets),
        ));
    }
    Ok(())
}

/// Checks the durations between workers and controllers, each by itself and against each other.
fn check_times(workers: &WorkerParams) -> Result<(), InvalidSettings> {
    let durations = [
        ("params.workers.report_s", workers.report_s),
        ("params.workers.lease_s", workers.lease_s),
        ("params.workers.cancel_s", workers.cancel_s),
    ];
    for (field, value) in durations {
        if !(MIN_DURATION_S..=MAX_VALUE).contains(&value) {
            return Err(InvalidSettings::field(field, format!("{value} is not above 0 and at most {MAX_VALUE}")));
        }
    }
    let longest_pause_s = workers.report_s * MAX_HEARTBEAT_FACTOR;
    if workers.lease_s <= longest_pause_s {
        return Err(InvalidSettings::field(
            "params.workers.lease_s",
            format!(
                "{} is not above {longest_pause_s}, the longest pause between two reports: \
             no lease would last until it is renewed",
                workers.lease_s
            ),
        ));
    }
    // The tasks of a machine that receives no commands any more stop at the end of its lease.
    let margin_s = workers.lease_margin_s();
    let min_cancel_s = workers.lease_s + workers.report_s + margin_s;
    if workers.cancel_s < min_cancel_s {
        return Err(InvalidSettings::field(
            "params.workers.cancel_s",
            format!(
                "{} is below {min_cancel_s}, which is lease_s, report_s and {margin_s} s together: \
             withdrawn work could not be gone in time",
                workers.cancel_s
            ),
        ));
    }
    Ok(())
}

/// Checks the service level objectives.
fn check_objectives(params: &Params) -> Result<(), InvalidSettings> {
    for (number, objective) in params.objectives.iter().enumerate() {
        let amounts = [
            ("within_s", objective.within_s, MAX_OBJECTIVE_S),
            ("times", objective.times, MAX_VALUE),
            ("share", objective.share, 1.0),
        ];
        for (field, value, max) in amounts {
            if !(0.0..=max).contains(&value) {
                return Err(InvalidSettings::field(
                    format!("params.objectives.{number}.{field}"),
                    format!("{value} is not between 0 and {max}"),
                ));
            }
        }
    }
    Ok(())
}

/// Checks the guarantees and limits of the teams.
fn check_teams(params: &Params) -> Result<(), InvalidSettings> {
    for team in &params.teams {
        let amounts =
            [("cpus", team.cpus), ("cpus_max", team.cpus_max), ("gpus", team.gpus), ("gpus_max", team.gpus_max)];
        for (field, value) in amounts {
            if !(value.is_finite() && value >= 0.0) {
                return Err(InvalidSettings::field(
                    format!("params.teams.{}.{field}", team.name),
                    format!("{value} is negative"),
                ));
            }
        }
    }
    Ok(())
}
