//! The cloud: machines charged by the second, with limited capacity, boot times, varying spot prices, notices before
//! spot machines are taken, and a list that lags behind.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hollylanding_protocol::cloud::{Catalog, CloudMachine, MachinePage, MachineType, ProvisioningRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod types;

pub use self::types::{BootMode, Capacity, Event, MachineCounts, MachineInfo, Params, Refusal};
use super::bucket::Bucket;

/// The most machines that one rental may ask for.
pub const MAX_PROVISIONED: u64 = 50;
/// The most machines that one request may return.
pub const MAX_TERMINATED: usize = 100;
/// The most machines on one page of the list.
pub const MAX_LISTED: usize = 500;
/// Bursts of requests, in seconds' worth.
const BURST_S: f64 = 2.0;
/// A machine that is deleted costs at least this long.
const MIN_CHARGED: Duration = Duration::from_secs(60);
/// A machine that has died is listed as running for about this long.
const DEATH_DETECTION_DELAY: Duration = Duration::from_secs(30);
/// Spot prices move by up to a third around the nominal one, within this time and back.
const PRICE_SWING: f64 = 1.0 / 3.0;
const PRICE_PERIOD_S: f64 = 1800.0;

#[derive(Debug)]
struct Machine {
    type_name: String,
    zone: String,
    spot: bool,
    addr: Option<String>,
    rented: Duration,
    /// None: never.
    up: Option<Duration>,
    was_up: bool,
    died: Option<Duration>,
    taken: Option<Duration>,
    gone: Option<Duration>,
    /// How long the list takes to show it, and to show that it is gone.
    shown_after: Duration,
    hidden_after: Duration,
    cost: f64,
}

impl Machine {
    fn held(&self, now: Duration) -> bool {
        self.gone.is_none_or(|at| now < at)
    }

    /// Still paid for: not gone, and not dead.
    fn charged(&self) -> bool {
        self.gone.is_none() && self.died.is_none()
    }
}

/// The cloud's whole state. Times are since the world began.
#[derive(Debug)]
pub struct Cloud {
    params: Params,
    rng: ChaCha8Rng,
    requests: Bucket,
    machines: BTreeMap<String, Machine>,
    /// Every name of a rental that was answered, with what it brought.
    answered_requests: HashMap<String, Vec<String>>,
    next: u64,
    out: bool,
    boots: BootMode,
    at: Duration,
    spent: f64,
}

impl Cloud {
    /// A cloud without rented machines. `seed` determines everything random.
    pub fn new(params: Params, seed: u64) -> Self {
        Self {
            requests: Bucket::new(params.requests_per_second, BURST_S),
            params,
            rng: ChaCha8Rng::seed_from_u64(seed),
            machines: BTreeMap::new(),
            answered_requests: HashMap::new(),
            next: 1,
            out: false,
            boots: BootMode::Usual,
            at: Duration::ZERO,
            spent: 0.0,
        }
    }

    /// Begins or ends an outage, during which every request is refused.
    pub fn set_outage(&mut self, out: bool) {
        self.out = out;
    }

    /// How machines rented from now on come up.
    pub fn set_boots(&mut self, boots: BootMode) {
        self.boots = boots;
    }

    /// Whether a request is served at all; counts it against the limit if so.
    pub fn admit(&mut self, now: Duration) -> Result<(), Refusal> {
        if self.out {
            return Err(Refusal::Trouble);
        }
        if self.requests.take(1.0, now) { Ok(()) } else { Err(Refusal::TooMany) }
    }

    /// The price an hour of a type's spot machines at a time: each swings by itself.
    fn spot_price(&self, of: &MachineType, now: Duration) -> f64 {
        let own: u32 = of.name.bytes().map(u32::from).sum();
        let phase = now.as_secs_f64() / PRICE_PERIOD_S + f64::from(own % 97) / 97.0;
        of.spot_price * (1.0 + PRICE_SWING * (phase * std::f64::consts::TAU).sin())
    }

    /// `GET /catalog`
    pub fn catalog(&self, now: Duration) -> Catalog {
        let priced = |of: &MachineType| MachineType { spot_price: self.spot_price(of, now), ..of.clone() };
        Catalog { types: self.params.types.iter().map(priced).collect() }
    }

    /// `POST /rentals`
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
        let same = |c: &&Capacity| c.type_name == rental.type_name && c.zone == rental.zone;
        let there =
            self.params.capacity.iter().find(same).map_or(0, |c| if rental.spot { c.spot } else { c.on_demand });
        let alike = |m: &&Machine| {
            m.held(now) && m.type_name == rental.type_name && m.zone == rental.zone && m.spot == rental.spot
        };
        let taken = self.machines.values().filter(alike).count() as u64;
        let count = rental.count.min(there.saturating_sub(taken));
        if count == 0 {
            return Err(Refusal::NoCapacity);
        }
        let names: Vec<String> = (0..count).map(|_| self.begin(&of, rental, now)).collect();
        self.answered_requests.insert(rental.request.clone(), names.clone());
        Ok(names)
    }

    fn begin(&mut self, of: &MachineType, rental: &ProvisioningRequest, now: Duration) -> String {
        let name = format!("host-{:06}", self.next);
        self.next += 1;
        let usual = of.boot_s * self.rng.random_range(0.6..1.5);
        let (never, slow) = (self.rng.random_bool(self.params.never_up), self.rng.random_bool(self.params.slow_up));
        let boot_s = match self.boots {
            BootMode::AtOnce => Some(self.rng.random_range(1.0..2.0)),
            BootMode::Never => None,
            BootMode::Usual if never => None,
            BootMode::Usual if slow => Some(usual * self.rng.random_range(2.0..6.0)),
            BootMode::Usual => Some(usual),
        };
        let lag = self.params.list_lag;
        let machine = Machine {
            type_name: rental.type_name.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
            addr: None,
            rented: now,
            up: boot_s.map(|s| now + Duration::from_secs_f64(s)),
            was_up: false,
            died: None,
            taken: None,
            gone: None,
            shown_after: lag.mul_f64(self.rng.random_range(0.5..2.0)),
            hidden_after: lag.mul_f64(self.rng.random_range(0.5..2.0)),
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

    /// `POST /rentals/return`: the machines that were still there. All that is on them is gone.
    pub fn terminate(&mut self, names: &[String], now: Duration) -> Result<Vec<String>, Refusal> {
        if names.len() > MAX_TERMINATED {
            return Err(Refusal::Malformed("at most 100 names"));
        }
        self.advance(now);
        let held: Vec<String> =
            names.iter().filter(|n| self.machines.get(*n).is_some_and(|m| m.gone.is_none())).cloned().collect();
        for name in &held {
            let rest = self.machines.get(name).map_or(0.0, |m| {
                // A machine that has died is not charged any more, however short it lived.
                let lived = now.saturating_sub(m.rented);
                if m.died.is_some() { 0.0 } else { self.rate(m, now) * MIN_CHARGED.saturating_sub(lived).as_secs_f64() }
            });
            self.end(name, now);
            self.charge(name, rest);
        }
        Ok(held)
    }

    /// `GET /rentals?since=&most=`: as of some time ago, and not always the same time.
    pub fn list(&mut self, since: &str, most: usize, now: Duration) -> MachinePage {
        let view = now.saturating_sub(self.params.list_lag.mul_f64(self.rng.random_range(0.0..2.0)));
        let shown =
            |m: &Machine| now >= m.rented + m.shown_after && m.gone.is_none_or(|gone| now < gone + m.hidden_after);
        let later = self.machines.range::<str, _>((std::ops::Bound::Excluded(since), std::ops::Bound::Unbounded));
        let mut later = later.filter(|(_, m)| shown(m)).peekable();
        let mut machines = Vec::new();
        while machines.len() < most.clamp(1, MAX_LISTED)
            && let Some((name, m)) = later.next()
        {
            let state = if m.died.is_some_and(|at| view >= at + DEATH_DETECTION_DELAY) {
                "failed"
            } else if m.up.is_some_and(|at| view >= at) {
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
                held_s: view.saturating_sub(m.rented).as_secs_f64(),
            });
        }
        MachinePage { machines, more: later.peek().is_some() }
    }

    /// A machine stops with all that is on it. It stays listed until it is returned.
    pub fn kill(&mut self, name: &str, now: Duration) {
        self.advance(now);
        if let Some(machine) = self.machines.get_mut(name).filter(|m| m.gone.is_none()) {
            machine.died.get_or_insert(now);
        }
    }

    /// Takes back a fraction of the spot machines; some receive notice before.
    pub fn take_spot(&mut self, share: f64, now: Duration) -> Vec<Event> {
        let mut told = Vec::new();
        let (rng, params) = (&mut self.rng, &self.params);
        for (name, machine) in self.machines.iter_mut().filter(|(_, m)| m.spot && m.gone.is_none() && m.taken.is_none())
        {
            if !rng.random_bool(share.clamp(0.0, 1.0)) {
                continue;
            }
            let notice = params.notice.mul_f64(rng.random_range(0.5..1.5));
            let silent = rng.random_bool(params.silent);
            machine.taken = Some(if silent { now } else { now + notice });
            if !silent {
                told.push(Event::Notice(name.clone(), notice));
            }
        }
        told
    }

    fn rate(&self, machine: &Machine, now: Duration) -> f64 {
        let of = self.params.types.iter().find(|t| t.name == machine.type_name);
        of.map_or(0.0, |of| if machine.spot { self.spot_price(of, now) } else { of.price }) / 3600.0
    }

    fn charge(&mut self, name: &str, amount: f64) {
        self.spent += amount;
        if let Some(machine) = self.machines.get_mut(name) {
            machine.cost += amount;
        }
    }

    fn end(&mut self, name: &str, now: Duration) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.gone.get_or_insert(now);
        }
    }

    /// Charges what was held since the last time, at the prices now.
    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        if passed > 0.0 {
            let due: Vec<(String, f64)> = self
                .machines
                .iter()
                .filter(|(_, m)| m.charged())
                .map(|(name, m)| (name.clone(), self.rate(m, now) * passed))
                .collect();
            for (name, amount) in due {
                self.charge(&name, amount);
            }
        }
    }

    /// Advances to this time: returns what happened since the last call, and charges for it. Machines that are no
    /// longer listed are removed.
    pub fn tick(&mut self, now: Duration) -> Vec<Event> {
        self.advance(now);
        let mut events = Vec::new();
        for (name, machine) in self.machines.iter_mut().filter(|(_, m)| m.gone.is_none()) {
            if machine.taken.is_some_and(|at| at <= now) {
                machine.gone = Some(now);
                events.push(Event::Taken(name.clone()));
            } else if !machine.was_up && machine.died.is_none() && machine.up.is_some_and(|at| at <= now) {
                machine.was_up = true;
                events.push(Event::Up(name.clone()));
            }
        }
        self.machines.retain(|_, m| m.gone.is_none_or(|gone| now < gone + m.hidden_after));
        events
    }

    /// A machine's type and place.
    pub fn machine(&self, name: &str) -> Option<MachineInfo> {
        let machine = self.machines.get(name)?;
        let of = self.params.types.iter().find(|t| t.name == machine.type_name)?;
        Some(MachineInfo { machine_type: of.clone(), zone: machine.zone.clone(), spot: machine.spot })
    }

    /// Numbers of the machines that are neither terminated nor taken.
    pub fn count_machines(&self) -> MachineCounts {
        let mut counts = MachineCounts::default();
        for machine in self.machines.values().filter(|m| m.gone.is_none()) {
            let is_up = machine.was_up && machine.died.is_none();
            counts.booting += usize::from(!machine.was_up);
            counts.up += usize::from(is_up);
            counts.spot += usize::from(is_up && machine.spot);
        }
        counts
    }

    /// Money spent so far.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Machines that are neither returned nor taken.
    pub fn count_held(&self, now: Duration) -> usize {
        self.machines.values().filter(|m| m.held(now)).count()
    }
}

#[cfg(test)]
mod tests;
