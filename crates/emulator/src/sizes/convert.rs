//! Conversion of sizes to the parameters of the emulated world and the judge, and to a controller's settings file.

use std::time::Duration;

use hollylanding_protocol::cloud::MachineType;
use serde_json::{Value, json};

use super::{Machine, Sizes, Team, ZoneSupply};
use crate::driver;
use crate::judge::RuleParams;
use crate::world::cloud::{self, BootMode, Capacity};
use crate::world::fleet;
use crate::world::store::Limits;

impl Machine {
    /// The machine type in the cloud's catalog.
    fn machine_type(&self) -> MachineType {
        MachineType {
            name: self.name.clone(),
            cpus: self.cpus,
            gpus: self.accelerators,
            memory_gb: self.memory_gb,
            fetch_gb_per_s: self.fetch_gb_per_s,
            cache_gb: self.cache_gb,
            price: self.price,
            spot_price: self.spot_price,
            boot_s: self.boot_s,
            zones: self.zones.iter().map(|supply| supply.zone.clone()).collect(),
        }
    }

    /// The capacity of each zone.
    fn capacity(&self) -> impl Iterator<Item = Capacity> {
        self.zones.iter().map(|ZoneSupply { zone, on_demand, spot }| Capacity {
            type_name: self.name.clone(),
            zone: zone.clone(),
            on_demand: *on_demand,
            spot: *spot,
        })
    }
}

impl Sizes {
    /// The parameters of the emulated world.
    pub fn world_params(&self, seed: u64, judged: bool) -> driver::Params {
        let seconds = Duration::from_secs_f64;
        driver::Params {
            limits: Limits {
                requests_per_second: self.state.requests_per_second,
                changes_per_second: self.state.changes_per_second,
                value_kb: self.state.value_kb,
                txn_ops: self.state.txn_ops,
            },
            cloud: cloud::Params {
                types: self.machines.iter().map(Machine::machine_type).collect(),
                capacity: self.machines.iter().flat_map(Machine::capacity).collect(),
                requests_per_second: self.cloud.requests_per_second,
                list_lag: seconds(self.cloud.list_lag_s),
                notice: seconds(self.cloud.notice_s),
                silent: self.cloud.silent,
                never_up: self.cloud.never_up,
                slow_up: self.cloud.slow_up,
            },
            fleet: fleet::Params {
                lease: seconds(self.workers.lease_s),
                gang_wait: seconds(self.workers.gang_wait_s),
                gang_peer: seconds(self.workers.gang_peer_s),
            },
            boots: BootMode::Usual,
            heartbeat: seconds(self.workers.report_s),
            max_page_items: usize::MAX,
            seed,
            judged,
        }
    }

    /// The parameters of the judge's rules.
    pub fn rule_params(&self) -> RuleParams {
        let quotas = self.teams.iter().map(|t| (t.name.clone(), (t.cpus_max, t.accelerators_max)));
        RuleParams {
            quotas: quotas.collect(),
            cancellation_deadline: Duration::from_secs_f64(self.workers.cancel_s),
            ..RuleParams::default()
        }
    }

    /// The `params` of a controller's settings file.
    pub fn controller_settings(&self) -> Value {
        let team = |name: String| {
            let Team { cpus, cpus_max, accelerators, accelerators_max, .. } =
                self.teams.iter().find(|team| team.name == name).cloned().unwrap_or_default();
            json!({"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": accelerators, "gpus_max": accelerators_max})
        };
        let workers = &self.workers;
        json!({
            "size": self.controllers, "zones": self.zones(),
            "teams": self.team_names().into_iter().map(team).collect::<Vec<_>>(), "objectives": [],
            "workers": {"report_s": workers.report_s, "lease_s": workers.lease_s, "gang_wait_s": workers.gang_wait_s,
                "gang_peer_s": workers.gang_peer_s, "cancel_s": workers.cancel_s},
            "state": {"rps": self.state.requests_per_second, "write_rps": self.state.changes_per_second,
                "value_kb": self.state.value_kb, "txn_ops": self.state.txn_ops},
            "cloud": {"rps": self.cloud.requests_per_second, "list_lag_s": self.cloud.list_lag_s},
            "resources": {"cores": 1.0, "memory_mb": 512.0, "max_sockets": 10_000},
            "skew_ms": 25.0,
        })
    }
}
