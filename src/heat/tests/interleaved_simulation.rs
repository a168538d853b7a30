//! Simulation of three controllers with differing clocks and changing leadership, one store, and contradictory
//! readings. Transactions are delayed, duplicated or lost. Every stored change must be decided once, and decisions must
//! continue.

use rand::Rng;
use serde_json::to_value;

use super::*;
use crate::declarations::records::{spec_key, status_key};
use crate::declarations::table::KINDS;
use crate::declarations::tests::simulation::{SentTransaction, SimulationHarness};
use crate::jobs::record::LEADER_RECORD_KEY;
use crate::store::Change;

struct Simulation {
    harness: SimulationHarness<()>,
    now_ms: u64,
    /// Every stored status, in order.
    stored: Vec<HeatStatus>,
    /// Leader record version when each status in `stored` was written.
    fencing_tokens: Vec<u64>,
}

const SENSORS: [&str; 3] = ["a", "b", "c"];

impl Simulation {
    fn new(seed: u64) -> Self {
        let rules = [(spec_key(DeclarationKind::Heat, "vents"), to_value(rule()).unwrap())];
        let mut harness = SimulationHarness::new(seed, KINDS, &rules);
        for index in 0..3 {
            harness.update_watch_cache(index, true);
            harness.controllers[index].skew_ms = harness.rng.random_range(-30_000..30_000);
        }
        harness.write_leader_record(0);
        Self { harness, now_ms: MIDNIGHT_MS + 9 * HOUR_MS, stored: vec![], fencing_tokens: vec![] }
    }

    fn evaluate(&mut self, index: usize) {
        if self.harness.evaluate(index, self.now_ms, |(), _| None).is_none() {
            return;
        }
        let controller = &self.harness.controllers[index];
        let now_ms = self.now_ms.saturating_add_signed(controller.skew_ms);
        // Controllers act on the stored status, not on a decision that is not yet stored.
        let stored = controller
            .watch_cache
            .registry()
            .status::<HeatRule>("vents")
            .map(|status| status.value)
            .unwrap_or_default();
        let (cluster, _) = controller.leader.as_ref().unwrap();
        assert_eq!(
            cluster.intents.priority_boost.is_some(),
            stored.applies_at(now_ms),
            "intents differ from the stored status"
        );
    }

    fn send(&mut self, index: usize) {
        if let Some(sent) = self.harness.send(index, |_| false) {
            self.apply(&sent);
        }
    }

    fn apply(&mut self, (conditions, changes): &SentTransaction) {
        let fencing_token = self.harness.store.version(LEADER_RECORD_KEY);
        if self.harness.store.apply_if(conditions, changes).is_err() {
            return;
        }
        let status = self.harness.store.value(&status_key(DeclarationKind::Heat, "vents")).unwrap();
        self.stored.push(serde_json::from_value(status.clone()).unwrap());
        self.fencing_tokens.push(fencing_token);
    }

    fn store_reading(&mut self, sensor: &str, value: f64) {
        let spec = to_value(reading(value, self.now_ms)).unwrap();
        self.harness.store.apply_if(&[], &[Change::write(spec_key(DeclarationKind::Reading, sensor), spec)]).unwrap();
    }

    fn step(&mut self) {
        let max_step_ms = if self.harness.rng.random_ratio(1, 10) { 120_000 } else { 2_000 };
        self.now_ms += self.harness.rng.random_range(0..max_step_ms);
        let index = self.harness.rng.random_range(0..3);
        match self.harness.rng.random_range(0..17) {
            0 => self.harness.write_leader_record(index),
            1..5 => {
                let value = f64::from(self.harness.rng.random_range(26..36));
                let sensor = SENSORS[self.harness.rng.random_range(0..3)];
                self.store_reading(sensor, value);
            }
            5..9 => self.harness.update_watch_cache(index, true),
            9..13 => self.evaluate(index),
            13..16 => self.send(index),
            _ if !self.harness.delayed.is_empty() => {
                let sent = self.harness.take_delayed();
                self.apply(&sent);
            }
            // A clock steps forward or back.
            _ => self.harness.controllers[index].skew_ms = self.harness.rng.random_range(-30_000..30_000),
        }
    }

    /// Sets all sensors to one value, elects a new leader and runs it without faults. Returns the last stored status.
    fn settle_with_reading(&mut self, value: f64) -> HeatStatus {
        SENSORS.iter().for_each(|sensor| self.store_reading(sensor, value));
        self.harness.write_leader_record(1);
        for _ in 0..6 {
            self.harness.update_watch_cache(1, true);
            self.evaluate(1);
            if let Some(sent) = self.harness.take_transaction(1, |_| false) {
                self.apply(&sent);
            }
            let delayed: Vec<_> = self.harness.delayed.drain(..).collect();
            delayed.iter().for_each(|sent| self.apply(sent));
        }
        self.stored.last().cloned().unwrap()
    }
}

#[test]
fn each_switch_is_decided_once_while_leaders_change() {
    let (mut switches, mut switches_on) = (0, 0);
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
                switches += 1;
                switches_on += usize::from(status.on);
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
        // At noon of a later day, whatever state was left, a new leader ends an expired period and decides again.
        simulation.now_ms =
            MIDNIGHT_MS + 11 * HOUR_MS + (simulation.now_ms - MIDNIGHT_MS).div_ceil(24 * HOUR_MS) * 24 * HOUR_MS;
        let on = simulation.settle_with_reading(40.0);
        assert!(on.on && on.applies_at(simulation.now_ms), "seed {seed}: {on:?}");
        simulation.now_ms += HOUR_MS;
        assert_eq!(simulation.settle_with_reading(20.0).reason, HeatReason::Over(20.0), "seed {seed}");
    }
    assert!(switches > 200 && switches_on > 80, "too few switches simulated: {switches}, of which on: {switches_on}");
}
