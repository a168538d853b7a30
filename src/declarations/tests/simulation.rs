//! Three controllers and their store, as the seeded simulations of every kind have them: the real watch cache, registry
//! and driver. Each kind adds what it declares, what happens meanwhile, and what must never be.

use std::time::Instant;

use hollylanding_emulator::world::store::{Limits, Store};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::declarations::driver::{DeclarationDriver, DriverOutput, StatusWrite, changes, conditions};
use crate::declarations::table::KindOperations;
use crate::jobs::End;
use crate::jobs::record::{CACHED_PREFIX, CACHED_START_AFTER, LEADER_RECORD_KEY};
use crate::scheduling::ClusterState;
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::store::watch_cache::{CacheReload, WatchCache};
use crate::store::{Change, Condition};

pub type SentTransaction = (Vec<Condition>, Vec<Change>);

#[derive(Default)]
pub struct Controller<T> {
    pub watch_cache: WatchCache,
    loading: Option<(CacheReload, String)>,
    pub leader: Option<(ClusterState, DeclarationDriver)>,
    /// Decided, and not sent yet.
    decided: Option<(Vec<StatusWrite>, u64)>,
    /// Its time of day is off by so much.
    pub skew_ms: i64,
    /// What else its kind's simulation keeps of it.
    pub kind_state: T,
}

pub struct SimulationHarness<T> {
    pub rng: StdRng,
    pub store: Store,
    pub controllers: Vec<Controller<T>>,
    pub delayed: Vec<SentTransaction>,
    kinds: &'static [KindOperations],
}

impl<T: Default> SimulationHarness<T> {
    pub fn new(seed: u64, kinds: &'static [KindOperations], stored: &[(String, Value)]) -> Self {
        let mut store = Store::new(Limits::default());
        for (path, value) in stored {
            store.apply_if(&[], &[Change::write(path.clone(), value.clone())]).unwrap();
        }
        let controllers = (0..3).map(|_| Controller::default()).collect();
        Self { rng: StdRng::seed_from_u64(seed), store, controllers, delayed: Vec::new(), kinds }
    }

    /// The watch cache follows, a page or an answer at a time, or is read anew.
    pub fn update_watch_cache(&mut self, at: usize, whole: bool) {
        let controller = &mut self.controllers[at];
        loop {
            if let Some((mut loading, since)) = controller.loading.take() {
                let page = self.store.page(CACHED_PREFIX, &since, 3);
                controller.watch_cache.apply_page(&mut loading, &page);
                if page.more {
                    let since = page.items.last().map_or(since, |i| i.path.clone());
                    controller.loading = Some((loading, since));
                } else {
                    controller.watch_cache.finish_reload(loading);
                }
            } else if let Some(revision) = controller.watch_cache.watch_revision() {
                match self.store.watch(CACHED_PREFIX, revision) {
                    Ok(followed) => drop(controller.watch_cache.apply_watch(&followed)),
                    Err(_) => controller.watch_cache.require_reload(),
                }
                if controller.watch_cache.is_ready() {
                    return;
                }
            } else {
                controller.loading = Some((controller.watch_cache.begin_reload(), CACHED_START_AFTER.to_owned()));
            }
            if !whole {
                return;
            }
        }
    }

    /// Another leads, or the same one under a newer fencing token. Who led before goes on, unknowing.
    pub fn write_leader_record(&mut self, at: usize) {
        let fencing_token = self.store.apply_if(&[], &[Change::write(LEADER_RECORD_KEY, json!(at))]).unwrap();
        // A new leader proves its watch cache fresh before it decides.
        self.update_watch_cache(at, true);
        let mut cluster = ClusterState::new(fencing_token, example(), Properties::default(), Instant::now());
        cluster.loaded = true;
        self.controllers[at].leader = Some((cluster, DeclarationDriver::new(self.kinds)));
        self.controllers[at].decided = None;
    }

    /// None where it never led. What is to be stored waits to be sent.
    pub fn evaluate(
        &mut self,
        at: usize,
        now_ms: u64,
        ended: impl Fn(&T, &str) -> Option<End>,
    ) -> Option<DriverOutput> {
        let Controller { watch_cache, leader, decided, skew_ms, kind_state, .. } = &mut self.controllers[at];
        let (cluster, driver) = leader.as_mut()?;
        let now_ms = now_ms.saturating_add_signed(*skew_ms);
        let output = driver.evaluate(cluster, watch_cache, &|id| ended(kind_state, id), Instant::now(), now_ms);
        if !output.writes.is_empty() {
            driver.mark_sent(&output.writes);
            *decided = Some((output.writes.clone(), output.fencing_token));
        }
        Some(output)
    }

    /// What was decided, as it is sent.
    pub fn take_transaction(&mut self, at: usize, left_out: impl Fn(&Condition) -> bool) -> Option<SentTransaction> {
        let (writes, fencing_token) = self.controllers[at].decided.take()?;
        assert!(writes.len() <= 2);
        let conditions = conditions(&writes, fencing_token).into_iter().filter(|c| !left_out(c)).collect();
        Some((conditions, changes(&writes)))
    }

    /// What of it arrives at once: a copy may come late, or that one only.
    pub fn send(&mut self, at: usize, left_out: impl Fn(&Condition) -> bool) -> Option<SentTransaction> {
        let sent = self.take_transaction(at, left_out)?;
        let (twice, lost) = (self.rng.random_ratio(1, 4), self.rng.random_ratio(1, 4));
        if twice || lost {
            self.delayed.push(sent.clone());
        }
        (!lost).then_some(sent)
    }

    pub fn mark_stored(&mut self, at: usize, revision: u64) {
        if let Some((_, driver)) = self.controllers[at].leader.as_mut() {
            driver.mark_stored(revision);
        }
    }

    /// Any of what is late, of which there is some.
    pub fn take_delayed(&mut self) -> SentTransaction {
        let n = self.rng.random_range(0..self.delayed.len());
        self.delayed.swap_remove(n)
    }
}
