//! The cloud: machines rented by the second, with capacity, boots, moving spot prices, notices, and
//! a list that lags.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hollylanding_wire::cloud::{Catalog, ListPage, Listed, MachineType, Rental};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::bucket::Bucket;

pub const MOST_RENTED: u64 = 50;
pub const MOST_RETURNED: usize = 100;
pub const MOST_LISTED: usize = 500;
/// Bursts of requests, in seconds' worth.
const BURST_S: f64 = 2.0;
/// A machine that is deleted costs at least this long.
const LEAST_CHARGED: Duration = Duration::from_secs(60);
/// A machine that has died is listed as running for about this long.
const DEATH_UNNOTICED: Duration = Duration::from_secs(30);
/// Spot prices move by up to a third around the nominal one, within this time and back.
const PRICE_SWING: f64 = 1.0 / 3.0;
const PRICE_PERIOD_S: f64 = 1800.0;

/// How many machines of a type there are in a zone, ordinary and spot ones.
#[derive(Debug, Clone)]
pub struct Capacity {
    pub type_name: String,
    pub zone: String,
    pub ordinary: u64,
    pub spot: u64,
}

#[derive(Debug, Clone)]
pub struct Params {
    pub types: Vec<MachineType>,
    pub capacity: Vec<Capacity>,
    pub requests_per_second: f64,
    pub list_lag: Duration,
    /// The usual time between a spot notice and the end.
    pub notice: Duration,
    /// The part of spot machines that is taken without a notice.
    pub silent: f64,
    /// The part of machines that never come up, and of those that take several times as long.
    pub never_up: f64,
    pub slow_up: f64,
}

/// How new machines come up, on command.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Boots {
    #[default]
    Usual,
    AtOnce,
    Never,
}

/// Why a request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// 400
    Malformed(&'static str),
    /// 429
    TooMany,
    /// 503, of this type, zone and kind.
    NoCapacity,
    /// 503, of everything.
    Trouble,
}

impl Refusal {
    /// The status on the wire, and the text of its `error`.
    pub fn wire(&self) -> (u16, &'static str) {
        match self {
            Self::Malformed(why) => (400, why),
            Self::TooMany => (429, "too many requests"),
            Self::NoCapacity => (503, "no capacity"),
            Self::Trouble => (503, "trouble"),
        }
    }
}

/// What happens to a machine by itself, for whoever plays its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    Up(String),
    /// Taken away after this long.
    Notice(String, Duration),
    Taken(String),
}

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

/// Its whole state. Times are since the world began.
#[derive(Debug)]
pub struct Cloud {
    params: Params,
    rng: ChaCha8Rng,
    requests: Bucket,
    machines: BTreeMap<String, Machine>,
    /// Every name of a rental that was answered, with what it brought.
    charters: HashMap<String, Vec<String>>,
    next: u64,
    out: bool,
    boots: Boots,
    at: Duration,
    spent: f64,
}

impl Cloud {
    pub fn new(params: Params, seed: u64) -> Self {
        Self {
            requests: Bucket::new(params.requests_per_second, BURST_S),
            params,
            rng: ChaCha8Rng::seed_from_u64(seed),
            machines: BTreeMap::new(),
            charters: HashMap::new(),
            next: 1,
            out: false,
            boots: Boots::Usual,
            at: Duration::ZERO,
            spent: 0.0,
        }
    }

    pub fn set_out(&mut self, out: bool) {
        self.out = out;
    }

    /// How machines rented from now on come up.
    pub fn set_boots(&mut self, boots: Boots) {
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
    pub fn rent(&mut self, rental: &Rental, now: Duration) -> Result<Vec<String>, Refusal> {
        if let Some(names) = self.charters.get(&rental.request) {
            return Ok(names.clone());
        }
        if rental.count == 0 || rental.count > MOST_RENTED {
            return Err(Refusal::Malformed("count is 1 to 50"));
        }
        let Some(of) = self.params.types.iter().find(|t| t.name == rental.type_name).cloned() else {
            return Err(Refusal::Malformed("no such type"));
        };
        let same = |c: &&Capacity| c.type_name == rental.type_name && c.zone == rental.zone;
        let there = self.params.capacity.iter().find(same).map_or(0, |c| if rental.spot { c.spot } else { c.ordinary });
        let alike = |m: &&Machine| {
            m.held(now) && m.type_name == rental.type_name && m.zone == rental.zone && m.spot == rental.spot
        };
        let taken = self.machines.values().filter(alike).count() as u64;
        let count = rental.count.min(there.saturating_sub(taken));
        if count == 0 {
            return Err(Refusal::NoCapacity);
        }
        let names: Vec<String> = (0..count).map(|_| self.begin(&of, rental, now)).collect();
        self.charters.insert(rental.request.clone(), names.clone());
        Ok(names)
    }

    fn begin(&mut self, of: &MachineType, rental: &Rental, now: Duration) -> String {
        let name = format!("host-{:06}", self.next);
        self.next += 1;
        let usual = of.boot_s * self.rng.random_range(0.6..1.5);
        let (never, slow) = (self.rng.random_bool(self.params.never_up), self.rng.random_bool(self.params.slow_up));
        let boot_s = match self.boots {
            Boots::AtOnce => Some(self.rng.random_range(1.0..2.0)),
            Boots::Never => None,
            Boots::Usual if never => None,
            Boots::Usual if slow => Some(usual * self.rng.random_range(2.0..6.0)),
            Boots::Usual => Some(usual),
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

    /// Where a machine's worker listens, once somebody plays it.
    pub fn set_addr(&mut self, name: &str, addr: String) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.addr = Some(addr);
        }
    }

    /// `POST /rentals/return`: the machines that were still there. All that is on them is gone.
    pub fn give_back(&mut self, names: &[String], now: Duration) -> Result<Vec<String>, Refusal> {
        if names.len() > MOST_RETURNED {
            return Err(Refusal::Malformed("at most 100 names"));
        }
        self.advance(now);
        let held: Vec<String> =
            names.iter().filter(|n| self.machines.get(*n).is_some_and(|m| m.gone.is_none())).cloned().collect();
        for name in &held {
            let rest = self.machines.get(name).map_or(0.0, |m| {
                // A machine that has died is not charged any more, however short it lived.
                let lived = now.saturating_sub(m.rented);
                if m.died.is_some() {
                    0.0
                } else {
                    self.rate(m, now) * LEAST_CHARGED.saturating_sub(lived).as_secs_f64()
                }
            });
            self.end(name, now);
            self.charge(name, rest);
        }
        Ok(held)
    }

    /// `GET /rentals?since=&most=`: as of some time ago, and not always the same time.
    pub fn list(&mut self, since: &str, most: usize, now: Duration) -> ListPage {
        let view = now.saturating_sub(self.params.list_lag.mul_f64(self.rng.random_range(0.0..2.0)));
        let shown =
            |m: &Machine| now >= m.rented + m.shown_after && m.gone.is_none_or(|gone| now < gone + m.hidden_after);
        let later = self.machines.range::<str, _>((std::ops::Bound::Excluded(since), std::ops::Bound::Unbounded));
        let mut later = later.filter(|(_, m)| shown(m)).peekable();
        let mut machines = Vec::new();
        while machines.len() < most.clamp(1, MOST_LISTED)
            && let Some((name, m)) = later.next()
        {
            let state = if m.died.is_some_and(|at| view >= at + DEATH_UNNOTICED) {
                "failed"
            } else if m.up.is_some_and(|at| view >= at) {
                "running"
            } else {
                "starting"
            };
            machines.push(Listed {
                id: name.clone(),
                addr: m.addr.clone(),
                type_name: m.type_name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: state.to_owned(),
                held_s: view.saturating_sub(m.rented).as_secs_f64(),
            });
        }
        ListPage { machines, more: later.peek().is_some() }
    }

    /// A machine stops with all that is on it. It stays listed until it is returned.
    pub fn kill(&mut self, name: &str, now: Duration) {
        self.advance(now);
        if let Some(machine) = self.machines.get_mut(name).filter(|m| m.gone.is_none()) {
            machine.died.get_or_insert(now);
        }
    }

    /// A part of the spot machines is taken back; some are told before.
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

    /// What time has brought about since the last call, and what it has cost. Machines that are
    /// long gone are forgotten.
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

    /// A machine's type, zone and kind.
    pub fn machine(&self, name: &str) -> Option<(MachineType, String, bool)> {
        let machine = self.machines.get(name)?;
        let of = self.params.types.iter().find(|t| t.name == machine.type_name)?;
        Some((of.clone(), machine.zone.clone(), machine.spot))
    }

    /// Machines held, by how they are: booting, up, and of these spot ones.
    pub fn counts(&self) -> (usize, usize, usize) {
        let held = self.machines.values().filter(|m| m.gone.is_none());
        let (mut booting, mut up, mut spot) = (0, 0, 0);
        for machine in held {
            booting += usize::from(!machine.was_up);
            up += usize::from(machine.was_up && machine.died.is_none());
            spot += usize::from(machine.was_up && machine.died.is_none() && machine.spot);
        }
        (booting, up, spot)
    }

    /// Money spent so far.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Machines that are neither returned nor taken.
    pub fn held(&self, now: Duration) -> usize {
        self.machines.values().filter(|m| m.held(now)).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    fn cloud(change: impl Fn(&mut Params)) -> Cloud {
        let of = MachineType {
            name: "g8".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 32.0,
            fetch_gb_per_s: 1.0,
            cache_gb: None,
            price: 3600.0,
            spot_price: 1800.0,
            boot_s: 40.0,
            zones: vec!["a".into()],
        };
        let mut params = Params {
            types: vec![of],
            capacity: vec![Capacity { type_name: "g8".into(), zone: "a".into(), ordinary: 60, spot: 20 }],
            requests_per_second: 3.0,
            list_lag: s(8),
            notice: s(20),
            silent: 0.0,
            never_up: 0.0,
            slow_up: 0.0,
        };
        change(&mut params);
        Cloud::new(params, 7)
    }

    fn rental(request: &str, spot: bool, count: u64) -> Rental {
        Rental { request: request.into(), type_name: "g8".into(), zone: "a".into(), spot, count }
    }

    #[test]
    fn rentals_by_cases() {
        let mut cloud = cloud(|_| ());
        let mut of = |rental: &Rental| cloud.rent(rental, s(1)).map(|names| names.len());
        let strange = Rental { type_name: "g9".into(), ..rental("x", false, 1) };
        for (name, rental, want) in [
            ("as many as asked", rental("r1", false, 50), Ok(50)),
            ("only partly filled", rental("r2", false, 50), Ok(10)),
            ("none left", rental("r3", false, 1), Err((503, "no capacity"))),
            ("spot is apart", rental("r4", true, 5), Ok(5)),
            ("too many", rental("r5", true, 51), Err((400, "count is 1 to 50"))),
            ("none asked", rental("r6", true, 0), Err((400, "count is 1 to 50"))),
            ("no such type", strange, Err((400, "no such type"))),
            ("another zone", Rental { zone: "b".into(), ..rental("r7", true, 1) }, Err((503, "no capacity"))),
        ] {
            assert_eq!(of(&rental).map_err(|r| r.wire()), want, "{name}");
        }
        let again = cloud.rent(&rental("r2", false, 50), s(9)).unwrap();
        assert_eq!((again.len(), cloud.held(s(9))), (10, 65), "a repeated name rents nothing");
        cloud.give_back(&again, s(10)).unwrap();
        assert_eq!(cloud.rent(&rental("r2", false, 50), s(11)).unwrap(), again, "not even once they are returned");
        // Refused before, it may be sent again.
        assert_eq!(cloud.rent(&rental("r3", false, 1), s(11)).unwrap().len(), 1);
        assert!(cloud.give_back(&vec!["host-9".to_owned(); 101], s(11)).is_err());
        assert_eq!(cloud.give_back(&["host-999999".to_owned()], s(11)).unwrap(), Vec::<String>::new(), "unknown");
    }

    #[test]
    fn limits_allow_bursts_of_two_seconds() {
        let mut cloud = cloud(|_| ());
        assert_eq!((0..10).filter(|_| cloud.admit(s(0)).is_ok()).count(), 6);
        assert_eq!((cloud.admit(s(0)).unwrap_err().wire().0, cloud.admit(s(1))), (429, Ok(())));
        cloud.set_out(true);
        assert_eq!(cloud.admit(s(5)).unwrap_err().wire(), (503, "trouble"));
    }

    #[test]
    fn boots_take_their_time_or_what_was_commanded() {
        type Row = (&'static str, fn(&mut Params), Boots, std::ops::Range<u64>, usize);
        let rows: [Row; 5] = [
            ("usual", |_| (), Boots::Usual, 24..60, 50),
            ("at once", |_| (), Boots::AtOnce, 0..3, 50),
            ("never, on command", |_| (), Boots::Never, 0..1, 0),
            ("never, by themselves", |p| p.never_up = 1.0, Boots::Usual, 0..1, 0),
            ("several times as long", |p| p.slow_up = 1.0, Boots::Usual, 48..361, 50),
        ];
        for (name, change, boots, within, want) in rows {
            let mut cloud = cloud(change);
            cloud.set_boots(boots);
            cloud.rent(&rental("r", false, 50), s(0)).unwrap();
            let ups: Vec<u64> = (0..600).flat_map(|t| cloud.tick(s(t)).into_iter().map(move |_| t)).collect();
            assert_eq!(ups.len(), want, "{name}");
            assert!(ups.iter().all(|t| within.contains(&t.saturating_sub(1)) || within.contains(t)), "{name}: {ups:?}");
            // What never comes up is charged all the same.
            assert!((cloud.spent() - 50.0 * 599.0).abs() < 1.0, "{name}: {}", cloud.spent());
        }
    }

    #[test]
    fn the_list_lags_and_may_be_older_than_the_one_before() {
        let mut cloud = cloud(|_| ());
        cloud.set_boots(Boots::AtOnce);
        let names = cloud.rent(&rental("r", false, 50), s(0)).unwrap();
        assert!(cloud.list("", 500, s(3)).machines.is_empty(), "not listed yet");
        assert_eq!(cloud.list("", 500, s(16)).machines.len(), 50, "listed by twice the lag");
        let ages: Vec<f64> = (16..60).map(|t| cloud.list("", 500, s(t)).machines[0].held_s).collect();
        assert!(!ages.is_sorted(), "some lists are older than the one before");
        let (mut since, mut seen) = (String::new(), 0);
        loop {
            let page = cloud.list(&since, 20, s(70));
            seen += page.machines.len();
            since = page.machines.last().unwrap().id.clone();
            if !page.more {
                break;
            }
        }
        assert_eq!(seen, 50, "page by page, in the order of names");
        cloud.kill(&names[0], s(70));
        let state = |cloud: &mut Cloud, t| cloud.list("", 1, s(t)).machines[0].state.clone();
        assert_eq!((state(&mut cloud, 90), state(&mut cloud, 120)), ("running".into(), "failed".into()));
        cloud.tick(s(500));
        assert_eq!(state(&mut cloud, 500), "failed", "listed until it is returned");
        cloud.give_back(&names, s(500)).unwrap();
        assert_eq!(cloud.list("", 500, s(501)).machines.len(), 50, "what is gone still appears");
        cloud.tick(s(520));
        assert!(cloud.list("", 500, s(520)).machines.is_empty());
    }

    #[test]
    fn what_is_held_is_charged_by_the_second() {
        let mut cloud = cloud(|_| ());
        let names = cloud.rent(&rental("r", false, 3), s(0)).unwrap();
        cloud.give_back(&names[..1], s(10)).unwrap();
        assert!((cloud.spent() - 80.0).abs() < 1e-6, "3 x 10 s, and the rest of a minute: {}", cloud.spent());
        cloud.kill(&names[1], s(100));
        cloud.tick(s(200));
        assert!(
            (cloud.spent() - (80.0 + 2.0 * 90.0 + 100.0)).abs() < 1e-6,
            "a dead one costs nothing: {}",
            cloud.spent()
        );
        let prices: Vec<f64> = (0..1800).map(|t| cloud.catalog(s(t)).types[0].spot_price).collect();
        assert!(prices.iter().all(|p| (1200.0..=2400.0).contains(p)));
        assert!(prices.iter().any(|p| *p > 2300.0) && prices.iter().any(|p| *p < 1300.0), "they move");
    }

    #[test]
    fn spot_machines_are_taken_with_and_without_notice() {
        let mut told = cloud(|_| ());
        told.rent(&rental("r", true, 20), s(0)).unwrap();
        let notices = told.take_spot(1.0, s(100));
        assert!(notices.iter().all(|e| matches!(e, Event::Notice(_, left) if (s(10)..=s(30)).contains(left))));
        assert_eq!((notices.len(), told.held(s(105))), (20, 20));
        told.tick(s(109));
        let taken = told.tick(s(131)).into_iter().filter(|e| matches!(e, Event::Taken(_))).count();
        assert!(taken > 0 && told.held(s(131)) == 0);
        let mut silent = cloud(|p| p.silent = 1.0);
        silent.rent(&rental("r", true, 20), s(0)).unwrap();
        silent.rent(&rental("o", false, 5), s(0)).unwrap();
        assert!(silent.take_spot(1.0, s(100)).is_empty());
        silent.tick(s(100));
        assert_eq!(silent.held(s(100)), 5, "ordinary machines stay");
    }
}
