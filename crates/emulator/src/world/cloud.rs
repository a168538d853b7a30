//! The cloud: machines charged by the second, with limited capacity, boot times, varying spot prices, interruption
//! notices to spot machines, and a machine list that lags behind.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hollylanding_protocol::cloud::{Catalog, CloudMachine, MachinePage, MachineType, ProvisioningRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod types;

pub use self::types::{BootMode, Capacity, Event, MachineCounts, MachineInfo, Params, Refusal};
use super::bucket::TokenBucket;

/// Maximum number of machines that one request may provision.
pub const MAX_PROVISIONED: u64 = 50;
/// Maximum number of machines that one request may terminate.
pub const MAX_TERMINATED: usize = 100;
/// Maximum number of machines on one page of the list.
pub const MAX_LISTED: usize = 500;
/// Permitted burst of requests, in seconds' worth of the rate limit.
const BURST_S: f64 = 2.0;
/// Minimum time for which a terminated machine is charged.
const MIN_CHARGED: Duration = Duration::from_secs(60);
/// Time for which a failed machine is still listed as running, before the lag of the list.
const DEATH_DETECTION_DELAY: Duration = Duration::from_secs(30);
/// Amplitude of the spot price around the nominal price, as a fraction of the nominal price.
const SPOT_PRICE_AMPLITUDE: f64 = 1.0 / 3.0;
/// Period of the spot price, in seconds.
const SPOT_PRICE_PERIOD_S: f64 = 1800.0;

/// A machine that was provisioned. Times are durations since the start of the world.
#[derive(Debug)]
struct Machine {
    type_name: String,
    zone: String,
    spot: bool,
    addr: Option<String>,
    provisioned_at: Duration,
    /// When the machine finishes booting; none if it never does.
    up_at: Option<Duration>,
    /// Whether [`Event::Up`] was returned for the machine.
    was_up: bool,
    failed_at: Option<Duration>,
    /// When the spot machine is interrupted; none unless that is decided.
    interrupted_at: Option<Duration>,
    /// When the machine was terminated or interrupted.
    gone_at: Option<Duration>,
    /// Time from provisioning until the list shows the machine.
    listed_after: Duration,
    /// Time from the machine's end until the list no longer shows it.
    unlisted_after: Duration,
    cost: f64,
}

impl Machine {
    /// Whether the machine is neither terminated nor interrupted.
    fn is_held(&self, now: Duration) -> bool {
        self.gone_at.is_none_or(|at| now < at)
    }

    /// Whether the machine is still charged for: neither gone nor failed.
    fn is_charged(&self) -> bool {
        self.gone_at.is_none() && self.failed_at.is_none()
    }
}

/// The whole state of the cloud. Times are durations since the start of the world.
#[derive(Debug)]
pub struct Cloud {
    params: Params,
    rng: ChaCha8Rng,
    request_budget: TokenBucket,
    machines: BTreeMap<String, Machine>,
    /// The machines provisioned by each request, by the request's name: a repeated request gets the same answer.
    answered_requests: HashMap<String, Vec<String>>,
    next_machine_number: u64,
    /// Whether an outage is in effect.
    outage: bool,
    boots: BootMode,
    /// Time up to which machines have been charged.
    charged_until: Duration,
    total_cost: f64,
}

impl Cloud {
    /// Creates a cloud without provisioned machines. `seed` determines all random draws.
    pub fn new(params: Params, seed: u64) -> Self {
        Self {
            request_budget: TokenBucket::new(params.requests_per_second, BURST_S),
            params,
            rng: ChaCha8Rng::seed_from_u64(seed),
            machines: BTreeMap::new(),
            answered_requests: HashMap::new(),
            next_machine_number: 1,
            outage: false,
            boots: BootMode::Usual,
            charged_until: Duration::ZERO,
            total_cost: 0.0,
        }
    }

    /// Begins or ends an outage, during which every request is refused.
    pub fn set_outage(&mut self, outage: bool) {
        self.outage = outage;
    }

    /// Sets how machines that are provisioned from now on boot.
    pub fn set_boots(&mut self, boots: BootMode) {
        self.boots = boots;
    }

    /// Admits or refuses a request. An admitted request counts against the limit.
    pub fn admit(&mut self, now: Duration) -> Result<(), Refusal> {
        if self.outage {
            return Err(Refusal::Trouble);
        }
        if self.request_budget.try_take(1.0, now) { Ok(()) } else { Err(Refusal::TooMany) }
    }

    /// The price per hour of a type's spot machines at `now`. Each type has a phase of its own, derived from its name.
    fn spot_price(&self, of: &MachineType, now: Duration) -> f64 {
        let phase_seed: u32 = of.name.bytes().map(u32::from).sum();
        let phase = now.as_secs_f64() / SPOT_PRICE_PERIOD_S + f64::from(phase_seed % 97) / 97.0;
        of.spot_price * (1.0 + SPOT_PRICE_AMPLITUDE * (phase * std::f64::consts::TAU).sin())
    }

    /// Returns the machine types with their present prices: `GET /catalog`.
    pub fn catalog(&self, now: Duration) -> Catalog {
        let priced = |of: &MachineType| MachineType { spot_price: self.spot_price(of, now), ..of.clone() };
        Catalog { types: self.params.types.iter().map(priced).collect() }
    }

    /// Provisions machines, and returns their names; possibly fewer than requested: `POST /rentals`.
    pub fn provision(&mut self, rental: &ProvisioningRequest, now: Duration) -> Result<Vec<String>, Refusal> {
        if let Some(names) = self.answered_requests.get(&rental.request) {
            return Ok(names.clone());
        }
        if rental.count == 0 || rental.count > MAX_PROVISIONED {
            return Err(Refusal::Malformed("count is 1 to 50"));
        }
        let Some(of) = self.params.types.iter().find(|t| t.name == rental.type_name).cloned() else {
            return Err(Refusal::Malformed("no such type"));
        };
        let matches_request = |c: &&Capacity| c.type_name == rental.type_name && c.zone == rental.zone;
        let total = self
            .params
            .capacity
            .iter()
            .find(matches_request)
            .map_or(0, |c| if rental.spot { c.spot } else { c.on_demand });
        let uses_same_capacity = |m: &&Machine| {
            m.is_held(now) && m.type_name == rental.type_name && m.zone == rental.zone && m.spot == rental.spot
        };
        let used = self.machines.values().filter(uses_same_capacity).count() as u64;
        let count = rental.count.min(total.saturating_sub(used));
        if count == 0 {
            return Err(Refusal::NoCapacity);
        }
        let names: Vec<String> = (0..count).map(|_| self.create_machine(&of, rental, now)).collect();
        self.answered_requests.insert(rental.request.clone(), names.clone());
        Ok(names)
    }

    /// Creates a machine with random boot time and list delays, and returns its name.
    fn create_machine(&mut self, of: &MachineType, rental: &ProvisioningRequest, now: Duration) -> String {
        let name = format!("host-{:06}", self.next_machine_number);
        self.next_machine_number += 1;
        let usual_boot_s = of.boot_s * self.rng.random_range(0.6..1.5);
        let (never, slow) = (self.rng.random_bool(self.params.never_up), self.rng.random_bool(self.params.slow_up));
        let boot_s = match self.boots {
            BootMode::AtOnce => Some(self.rng.random_range(1.0..2.0)),
            BootMode::Never => None,
            BootMode::Usual if never => None,
            BootMode::Usual if slow => Some(usual_boot_s * self.rng.random_range(2.0..6.0)),
            BootMode::Usual => Some(usual_boot_s),
        };
        let lag = self.params.list_lag;
        let machine = Machine {
            type_name: rental.type_name.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
            addr: None,
            provisioned_at: now,
            up_at: boot_s.map(|s| now + Duration::from_secs_f64(s)),
            was_up: false,
            failed_at: None,
            interrupted_at: None,
            gone_at: None,
            listed_after: lag.mul_f64(self.rng.random_range(0.5..2.0)),
            unlisted_after: lag.mul_f64(self.rng.random_range(0.5..2.0)),
            cost: 0.0,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Sets the address at which a machine's worker listens.
    pub fn set_addr(&mut self, name: &str, addr: String) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.addr = Some(addr);
        }
    }

    /// Terminates machines with everything on them, and returns those that still existed: `POST /rentals/return`.
    pub fn terminate(&mut self, names: &[String], now: Duration) -> Result<Vec<String>, Refusal> {
        if names.len() > MAX_TERMINATED {
            return Err(Refusal::Malformed("at most 100 names"));
        }
        self.advance(now);
        let held: Vec<String> =
            names.iter().filter(|n| self.machines.get(*n).is_some_and(|m| m.gone_at.is_none())).cloned().collect();
        for name in &held {
            let remaining_charge = self.machines.get(name).map_or(0.0, |m| {
                // A failed machine is no longer charged, even if its lifetime is below the minimum.
                let lifetime = now.saturating_sub(m.provisioned_at);
                if m.failed_at.is_some() {
                    0.0
                } else {
                    self.rate(m, now) * MIN_CHARGED.saturating_sub(lifetime).as_secs_f64()
                }
            });
            self.mark_gone(name, now);
            self.charge(name, remaining_charge);
        }
        Ok(held)
    }

    /// Returns a page of the machine list as it was a random lag ago, which can be before the time that an earlier call
    /// showed: `GET /rentals?since=&most=`.
    pub fn list(&mut self, since: &str, most: usize, now: Duration) -> MachinePage {
        let view = now.saturating_sub(self.params.list_lag.mul_f64(self.rng.random_range(0.0..2.0)));
        let shown = |m: &Machine| {
            now >= m.provisioned_at + m.listed_after && m.gone_at.is_none_or(|gone| now < gone + m.unlisted_after)
        };
        let later = self.machines.range::<str, _>((std::ops::Bound::Excluded(since), std::ops::Bound::Unbounded));
        let mut later = later.filter(|(_, m)| shown(m)).peekable();
        let mut machines = Vec::new();
        while machines.len() < most.clamp(1, MAX_LISTED)
            && let Some((name, m)) = later.next()
        {
            let state = if m.failed_at.is_some_and(|at| view >= at + DEATH_DETECTION_DELAY) {
                "failed"
            } else if m.up_at.is_some_and(|at| view >= at) {
                "running"
            } else {
                "starting"
            };
            machines.push(CloudMachine {
                id: name.clone(),
                addr: m.addr.clone(),
                type_name: m.type_name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: state.to_owned(),
                held_s: view.saturating_sub(m.provisioned_at).as_secs_f64(),
            });
        }
        MachinePage { machines, more: later.peek().is_some() }
    }

    /// Fails a machine with everything on it. The machine stays listed until it is terminated.
    pub fn kill(&mut self, name: &str, now: Duration) {
        self.advance(now);
        if let Some(machine) = self.machines.get_mut(name).filter(|m| m.gone_at.is_none()) {
            machine.failed_at.get_or_insert(now);
        }
    }

    /// Interrupts a random fraction of the spot machines. Returns the interruption notices; some machines receive none.
    pub fn interrupt_spot_machines(&mut self, share: f64, now: Duration) -> Vec<Event> {
        let mut notices = Vec::new();
        let (rng, params) = (&mut self.rng, &self.params);
        for (name, machine) in
            self.machines.iter_mut().filter(|(_, m)| m.spot && m.gone_at.is_none() && m.interrupted_at.is_none())
        {
            if !rng.random_bool(share.clamp(0.0, 1.0)) {
                continue;
            }
            let notice = params.notice.mul_f64(rng.random_range(0.5..1.5));
            let silent = rng.random_bool(params.silent);
            machine.interrupted_at = Some(if silent { now } else { now + notice });
            if !silent {
                notices.push(Event::Notice(name.clone(), notice));
            }
        }
        notices
    }

    /// The present price of a machine per second.
    fn rate(&self, machine: &Machine, now: Duration) -> f64 {
        let of = self.params.types.iter().find(|t| t.name == machine.type_name);
        of.map_or(0.0, |of| if machine.spot { self.spot_price(of, now) } else { of.price }) / 3600.0
    }

    /// Adds an amount to the costs of a machine and to the total.
    fn charge(&mut self, name: &str, amount: f64) {
        self.total_cost += amount;
        if let Some(machine) = self.machines.get_mut(name) {
            machine.cost += amount;
        }
    }

    /// Records the end of a machine, unless it has ended before.
    fn mark_gone(&mut self, name: &str, now: Duration) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.gone_at.get_or_insert(now);
        }
    }

    /// Charges for the time since the last call, at the present prices.
    fn advance(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.charged_until).as_secs_f64();
        self.charged_until = self.charged_until.max(now);
        if elapsed_s > 0.0 {
            let due: Vec<(String, f64)> = self
                .machines
                .iter()
                .filter(|(_, m)| m.is_charged())
                .map(|(name, m)| (name.clone(), self.rate(m, now) * elapsed_s))
                .collect();
            for (name, amount) in due {
                self.charge(&name, amount);
            }
        }
    }

    /// Advances to `now`: charges for the time since the last call, removes machines that are no longer listed, and
    /// returns the events since the last call.
    pub fn tick(&mut self, now: Duration) -> Vec<Event> {
        self.advance(now);
        let mut events = Vec::new();
        for (name, machine) in self.machines.iter_mut().filter(|(_, m)| m.gone_at.is_none()) {
            if machine.interrupted_at.is_some_and(|at| at <= now) {
                machine.gone_at = Some(now);
                events.push(Event::Interrupted(name.clone()));
            } else if !machine.was_up && machine.failed_at.is_none() && machine.up_at.is_some_and(|at| at <= now) {
                machine.was_up = true;
                events.push(Event::Up(name.clone()));
            }
        }
        self.machines.retain(|_, m| m.gone_at.is_none_or(|gone| now < gone + m.unlisted_after));
        events
    }

    /// A machine's type, zone and kind, if the machine exists.
    pub fn machine(&self, name: &str) -> Option<MachineInfo> {
        let machine = self.machines.get(name)?;
        let of = self.params.types.iter().find(|t| t.name == machine.type_name)?;
        Some(MachineInfo { machine_type: of.clone(), zone: machine.zone.clone(), spot: machine.spot })
    }

    /// Numbers of the machines that are neither terminated nor interrupted, by state.
    pub fn count_machines(&self) -> MachineCounts {
        let mut counts = MachineCounts::default();
        for machine in self.machines.values().filter(|m| m.gone_at.is_none()) {
            let is_up = machine.was_up && machine.failed_at.is_none();
            counts.booting += usize::from(!machine.was_up);
            counts.up += usize::from(is_up);
            counts.spot += usize::from(is_up && machine.spot);
        }
        counts
    }

    /// Total cost of all machines so far.
    pub fn total_cost(&self) -> f64 {
        self.total_cost
    }

    /// Number of machines that are neither terminated nor interrupted.
    pub fn count_held(&self, now: Duration) -> usize {
        self.machines.values().filter(|m| m.is_held(now)).count()
    }
}

#[cfg(test)]
mod tests;
