//! Three controllers whose clocks differ, of which any leads at any moment, one store, and readings that come
//! and contradict: transactions are late, twice or lost. What is stored must be decided once and go on.

use rand::Rng;
use serde_json::to_value;

use super::*;
use crate::declarations::records::{spec_key, status_key};
use crate::declarations::table::KINDS;
use crate::declarations::tests::simulation::{SentTransaction, SimulationHarness};
use crate::jobs::record::LEADER_RECORD_KEY;
use crate::store::Change;

struct Simulation {
    stage: SimulationHarness<()>,
    now_ms: u64,
    /// Every status that was stored, in order.
    stored: Vec<HeatStatus>,
    /// Of every change that was decided, its leader's fencing token at that time.
    fencing_tokens: Vec<u64>,
}

const SENSORS: [&str; 3] = ["a", "b", "c"];

impl Simulation {
    fn new(seed: u64) -> Self {
        let rules = [(spec_key(DeclarationKind::Heat, "vents"), to_value(rule()).unwrap())];
        let mut stage = SimulationHarness::new(seed, KINDS, &rules);
        for at in 0..3 {
            stage.update_watch_cache(at, true);
            stage.controllers[at].skew_ms = stage.rng.random_range(-30_000..30_000);
        }
        stage.write_leader_record(0);
        Self { stage, now_ms: DAY + 9 * HOUR, stored: vec![], fencing_tokens: vec![] }
    }

    fn evaluate(&mut self, at: usize) {
        if self.stage.evaluate(at, self.now_ms, |(), _| None).is_none() {
            return;
        }
        let controller = &self.stage.controllers[at];
        let now_ms = self.now_ms.saturating_add_signed(controller.skew_ms);
        // Whoever knows the same status acts alike: by what is stored and not by what was only decided.
        let known = controller
            .watch_cache
            .registry()
            .status::<HeatRule>("vents")
            .map(|status| status.value)
            .unwrap_or_default();
        let (cluster, _) = controller.leader.as_ref().unwrap();
        assert_eq!(cluster.intents.priority_boost.is_some(), known.applies_at(now_ms), "acts on what is not stored");
    }

    fn send(&mut self, at: usize) {
        if let Some(sent) = self.stage.send(at, |_| false) {
            self.apply(&sent);
        }
    }

    fn apply(&mut self, (conditions, changes): &SentTransaction) {
        let fencing_token = self.stage.store.version(LEADER_RECORD_KEY);
        if self.stage.store.apply_if(conditions, changes).is_err() {
            return;
        }
        let status = self.stage.store.value(&status_key(DeclarationKind::Heat, "vents")).unwrap();
        self.stored.push(serde_json::from_value(status.clone()).unwrap());
        self.fencing_tokens.push(fencing_token);
    }

    fn read(&mut self, sensor: &str, value: f64) {
        let spec = to_value(read(value, self.now_ms)).unwrap();
        self.stage.store.apply_if(&[], &[Change::write(spec_key(DeclarationKind::Reading, sensor), spec)]).unwrap();
    }

    fn step(&mut self) {
        let most = if self.stage.rng.random_ratio(1, 10) { 120_000 } else { 2_000 };
        self.now_ms += self.stage.rng.random_range(0..most);
        let at = self.stage.rng.random_range(0..3);
        match self.stage.rng.random_range(0..17) {
            0 => self.stage.write_leader_record(at),
            1..5 => {
                let value = f64::from(self.stage.rng.random_range(26..36));
                let sensor = SENSORS[self.stage.rng.random_range(0..3)];
                self.read(sensor, value);
            }
            5..9 => self.stage.update_watch_cache(at, true),
            9..13 => self.evaluate(at),
            13..16 => self.send(at),
            _ if !self.stage.delayed.is_empty() => {
                let sent = self.stage.take_delayed();
                self.apply(&sent);
            }
            // A clock steps, back as well.
            _ => self.stage.controllers[at].skew_ms = self.stage.rng.random_range(-30_000..30_000),
        }
    }

    /// A new leader, and nothing goes wrong any more.
    fn median_reading(&mut self, value: f64) -> HeatStatus {
        SENSORS.iter().for_each(|sensor| self.read(sensor, value));
        self.stage.write_leader_record(1);
        for _ in 0..6 {
            self.stage.update_watch_cache(1, true);
            self.evaluate(1);
            if let Some(sent) = self.stage.take_transaction(1, |_| false) {
                self.apply(&sent);
            }
            let late: Vec<_> = self.stage.delayed.drain(..).collect();
            late.iter().for_each(|sent| self.apply(sent));
        }
        self.stored.last().cloned().unwrap()
    }
}

#[test]
fn switches_are_decided_once_while_leaders_change() {
    let (mut turns, mut ons) = (0, 0);
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..2500 {
            simulation.step();
        }
        let mut before = HeatStatus::default();
        for (status, fencing_token) in simulation.stored.iter().zip(&simulation.fencing_tokens) {
            let change = status.history.last().unwrap();
            assert!(status.since_ms >= before.since_ms, "seed {seed}: time goes back: {before:?}, {status:?}");
            if status.since_ms != before.since_ms || status.on != before.on {
                turns += 1;
                ons += usize::from(status.on);
                assert_eq!(
                    (change.on, change.fencing_token, status.fencing_token),
                    (status.on, *fencing_token, *fencing_token),
                    "seed {seed}"
                );
                assert!(status.on != before.on || before.history.is_empty(), "seed {seed}: decided twice: {status:?}");
            }
            if status.on {
                let hours = rule().hours_at(status.since_ms).unwrap();
                assert!(status.until_ms <= hours.end_ms, "seed {seed}");
                assert!(status.until_ms - status.since_ms <= rule().longest_ms(), "seed {seed}");
            }
            before = status.clone();
        }
        // At noon of a later day, whatever was left half done: a successor ends what is over and decides anew.
        simulation.now_ms = DAY + 11 * HOUR + (simulation.now_ms - DAY).div_ceil(24 * HOUR) * 24 * HOUR;
        let on = simulation.median_reading(40.0);
        assert!(on.on && on.applies_at(simulation.now_ms), "seed {seed}: {on:?}");
        simulation.now_ms += HOUR;
        assert_eq!(simulation.median_reading(20.0).reason, HeatReason::Over(20.0), "seed {seed}");
    }
    assert!(turns > 200 && ons > 80, "the simulations hardly turned anything: {turns}, {ons}");
}
