//! Three controllers whose clocks differ, of which any owns at any moment, one store, and readings that come
//! and contradict: transactions are late, twice or lost. What is stored must be decided once and go on.

use std::time::Instant;

use hollylanding_emulator::world::store::{Limits, Store};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, to_value};

use super::*;
use crate::declared::driver::{Driver, Write, changes, conditions};
use crate::declared::records::{spec_key, status_key};
use crate::declared::table::KINDS;
use crate::jobs::record::{ASSIGNMENT, MIRRORED, MIRRORED_AFTER};
use crate::scheduling::Book;
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::store::mirror::Mirror;
use crate::store::{Change, Condition};

struct Controller {
    mirror: Mirror,
    owner: Option<(Book, Driver)>,
    decided: Option<(Vec<Write>, u64)>,
    /// Its time of day is off by so much, in ms.
    clock: i64,
}

struct Play {
    rng: StdRng,
    store: Store,
    controllers: Vec<Controller>,
    late: Vec<(Vec<Condition>, Vec<Change>)>,
    now_ms: u64,
    /// Every status that was stored, in order.
    stored: Vec<Status>,
    /// Of every change that was decided, its owner's token at that time.
    tokens: Vec<u64>,
}

const SENSORS: [&str; 3] = ["a", "b", "c"];

impl Play {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::new(Limits::default());
        store.apply_if(&[], &[Change::write(spec_key(Kind::Heat, "vents"), to_value(rule()).unwrap())]).unwrap();
        let controllers = (0..3)
            .map(|_| {
                let mut mirror = Mirror::default();
                let mut loading = mirror.load();
                mirror.take_page(&mut loading, &store.page(MIRRORED, MIRRORED_AFTER, usize::MAX));
                mirror.loaded(loading);
                Controller { mirror, owner: None, decided: None, clock: rng.random_range(-30_000..30_000) }
            })
            .collect();
        let now_ms = DAY + 9 * HOUR;
        let mut play = Self { rng, store, controllers, late: vec![], now_ms, stored: vec![], tokens: vec![] };
        play.assign(0);
        play
    }

    fn follow(&mut self, at: usize) {
        let mirror = &mut self.controllers[at].mirror;
        mirror.apply(&self.store.follow(MIRRORED, mirror.revision).unwrap());
    }

    fn assign(&mut self, at: usize) {
        let token = self.store.apply_if(&[], &[Change::write(ASSIGNMENT, json!(at))]).unwrap();
        self.follow(at);
        let mut book = Book::new(token, example(), Properties::default(), Instant::now());
        book.loaded = true;
        self.controllers[at].owner = Some((book, Driver::new(KINDS)));
        self.controllers[at].decided = None;
    }

    fn look(&mut self, at: usize) {
        let now_ms = self.now_ms.saturating_add_signed(self.controllers[at].clock);
        let controller = &mut self.controllers[at];
        let Some((book, driver)) = controller.owner.as_mut() else { return };
        let looked = driver.look(book, &mut controller.mirror, &|_| None, Instant::now(), now_ms);
        // Whoever knows the same status acts alike: by what is stored and not by what was only decided.
        let known = controller.mirror.shelf().status::<Rule>("vents").map(|(status, _)| status).unwrap_or_default();
        assert_eq!(book.wishes.ahead.is_some(), known.holds(now_ms), "acts on what is not stored");
        if !looked.writes.is_empty() {
            driver.sent(&looked.writes);
            controller.decided = Some((looked.writes, looked.token));
        }
    }

    fn send(&mut self, at: usize) {
        let Some((writes, token)) = self.controllers[at].decided.take() else { return };
        let sent = (conditions(&writes, token), changes(&writes));
        let (twice, lost) = (self.rng.random_ratio(1, 4), self.rng.random_ratio(1, 4));
        if twice || lost {
            self.late.push(sent.clone());
        }
        if !lost {
            self.apply(&sent);
        }
    }

    fn apply(&mut self, (conditions, changes): &(Vec<Condition>, Vec<Change>)) {
        let token = self.store.stamp(ASSIGNMENT);
        if self.store.apply_if(conditions, changes).is_err() {
            return;
        }
        let status = self.store.value(&status_key(Kind::Heat, "vents")).unwrap();
        self.stored.push(serde_json::from_value(status.clone()).unwrap());
        self.tokens.push(token);
    }

    fn read(&mut self, sensor: &str, value: f64) {
        let spec = to_value(read(value, self.now_ms)).unwrap();
        self.store.apply_if(&[], &[Change::write(spec_key(Kind::Reading, sensor), spec)]).unwrap();
    }

    fn step(&mut self) {
        let most = if self.rng.random_ratio(1, 10) { 120_000 } else { 2_000 };
        self.now_ms += self.rng.random_range(0..most);
        let at = self.rng.random_range(0..3);
        match self.rng.random_range(0..17) {
            0 => self.assign(at),
            1..5 => {
                let value = f64::from(self.rng.random_range(26..36));
                let sensor = SENSORS[self.rng.random_range(0..3)];
                self.read(sensor, value);
            }
            5..9 => self.follow(at),
            9..13 => self.look(at),
            13..16 => self.send(at),
            _ if !self.late.is_empty() => {
                let n = self.rng.random_range(0..self.late.len());
                let sent = self.late.swap_remove(n);
                self.apply(&sent);
            }
            // A clock steps, back as well.
            _ => self.controllers[at].clock = self.rng.random_range(-30_000..30_000),
        }
    }

    /// A new owner, and nothing goes wrong any more.
    fn settle(&mut self, value: f64) -> Status {
        SENSORS.iter().for_each(|sensor| self.read(sensor, value));
        self.assign(1);
        for _ in 0..6 {
            self.follow(1);
            self.look(1);
            if let Some((writes, token)) = self.controllers[1].decided.take() {
                self.apply(&(conditions(&writes, token), changes(&writes)));
            }
            let late: Vec<_> = self.late.drain(..).collect();
            late.iter().for_each(|sent| self.apply(sent));
        }
        self.stored.last().cloned().unwrap()
    }
}

#[test]
fn on_and_off_are_decided_once_and_an_heir_goes_on() {
    let (mut turns, mut ons) = (0, 0);
    for seed in 0..60 {
        let mut play = Play::new(seed);
        for _ in 0..2500 {
            play.step();
        }
        let mut before = Status::default();
        for (status, token) in play.stored.iter().zip(&play.tokens) {
            let turned = status.history.last().unwrap();
            assert!(status.since_ms >= before.since_ms, "seed {seed}: time goes back: {before:?}, {status:?}");
            if status.since_ms != before.since_ms || status.on != before.on {
                turns += 1;
                ons += usize::from(status.on);
                assert_eq!((turned.on, turned.epoch, status.epoch), (status.on, *token, *token), "seed {seed}");
                assert!(status.on != before.on || before.history.is_empty(), "seed {seed}: decided twice: {status:?}");
            }
            if status.on {
                let hours = rule().hours(status.since_ms).unwrap();
                assert!(status.until_ms <= hours.end_ms, "seed {seed}");
                assert!(status.until_ms - status.since_ms <= rule().longest_ms(), "seed {seed}");
            }
            before = status.clone();
        }
        // At noon of a later day, whatever was left half done: an heir ends what is over and decides anew.
        play.now_ms = DAY + 11 * HOUR + (play.now_ms - DAY).div_ceil(24 * HOUR) * 24 * HOUR;
        let on = play.settle(40.0);
        assert!(on.on && on.holds(play.now_ms), "seed {seed}: {on:?}");
        play.now_ms += HOUR;
        assert_eq!(play.settle(20.0).why, Why::Over(20.0), "seed {seed}");
    }
    assert!(turns > 200 && ons > 80, "the plays hardly turned anything: {turns}, {ons}");
}
