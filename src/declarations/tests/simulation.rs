//! Harness of the seeded simulations of every kind: three controllers with the real watch cache, registry and driver,
//! and their store. Each kind adds its specifications, the events of the simulation and the invariants to check.

use std::time::Instant;

use hollylanding_emulator::world::store::{Limits, Store};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::declarations::driver::{
    DeclarationDriver, DriverOutput, StatusWrite, transaction_changes, transaction_conditions,
};
use crate::declarations::table::KindOperations;
use crate::jobs::End;
use crate::jobs::record::{CACHED_PREFIX, CACHED_START_AFTER, LEADER_RECORD_KEY};
use crate::scheduling::ClusterState;
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::store::watch_cache::{CacheReload, WatchCache};
use crate::store::{Change, Condition};

/// The conditions and changes of a transaction as it is sent to the store.
pub type SentTransaction = (Vec<Condition>, Vec<Change>);

/// One simulated controller.
#[derive(Default)]
pub struct Controller<T> {
    pub watch_cache: WatchCache,
    loading: Option<(CacheReload, String)>,
    pub leader: Option<(ClusterState, DeclarationDriver)>,
    /// Writes that were computed and not sent yet, with the fencing token.
    pending_writes: Option<(Vec<StatusWrite>, u64)>,
    /// Offset of the controller's wall clock.
    pub skew_ms: i64,
    /// State of the controller that the simulation of a kind adds.
    pub kind_state: T,
}

/// The simulated controllers, the store and the transactions in flight.
pub struct SimulationHarness<T> {
    pub rng: StdRng,
    pub store: Store,
    pub controllers: Vec<Controller<T>>,
    /// Transactions that arrive at the store late.
    pub delayed: Vec<SentTransaction>,
    kinds: &'static [KindOperations],
}

impl<T: Default> SimulationHarness<T> {
    /// Creates the controllers and a store with the given values.
    pub fn new(seed: u64, kinds: &'static [KindOperations], stored: &[(String, Value)]) -> Self {
        let mut store = Store::new(Limits::default());
        for (path, value) in stored {
            store.apply_if(&[], &[Change::write(path.clone(), value.clone())]).unwrap();
        }
        let controllers = (0..3).map(|_| Controller::default()).collect();
        Self { rng: StdRng::seed_from_u64(seed), store, controllers, delayed: Vec::new(), kinds }
    }

    /// Updates a controller's watch cache by one page or one watch answer, or completely if `whole` is set.
    pub fn update_watch_cache(&mut self, index: usize, whole: bool) {
        let controller = &mut self.controllers[index];
        loop {
            if let Some((mut loading, start_after)) = controller.loading.take() {
                let page = self.store.page(CACHED_PREFIX, &start_after, 3);
                controller.watch_cache.apply_page(&mut loading, &page);
                if page.more {
                    let start_after = page.items.last().map_or(start_after, |i| i.path.clone());
                    controller.loading = Some((loading, start_after));
                } else {
                    controller.watch_cache.finish_reload(loading);
                }
            } else if let Some(revision) = controller.watch_cache.watch_revision() {
                match self.store.watch(CACHED_PREFIX, revision) {
                    Ok(changes) => drop(controller.watch_cache.apply_watch(&changes)),
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

    /// Makes a controller the leader, under a new fencing token even if it was the leader before. The previous leader
    /// continues without knowing that it was deposed.
    pub fn write_leader_record(&mut self, index: usize) {
        let fencing_token = self.store.apply_if(&[], &[Change::write(LEADER_RECORD_KEY, json!(index))]).unwrap();
        // A new leader proves that its watch cache is up to date before it makes decisions.
        self.update_watch_cache(index, true);
        let mut cluster = ClusterState::new(fencing_token, example(), Properties::default(), Instant::now());
        cluster.loaded = true;
        self.controllers[index].leader = Some((cluster, DeclarationDriver::new(self.kinds)));
        self.controllers[index].pending_writes = None;
    }

    /// Evaluates the declarations at a controller and keeps the writes until they are sent. Returns `None` if the
    /// controller was never the leader.
    pub fn evaluate(
        &mut self,
        index: usize,
        now_ms: u64,
        job_end: impl Fn(&T, &str) -> Option<End>,
    ) -> Option<DriverOutput> {
        let Controller { watch_cache, leader, pending_writes, skew_ms, kind_state, .. } = &mut self.controllers[index];
        let (cluster, driver) = leader.as_mut()?;
        let now_ms = now_ms.saturating_add_signed(*skew_ms);
        let output = driver.evaluate(cluster, watch_cache, &|id| job_end(kind_state, id), Instant::now(), now_ms);
        if !output.writes.is_empty() {
            driver.mark_sent(&output.writes);
            *pending_writes = Some((output.writes.clone(), output.fencing_token));
        }
        Some(output)
    }

    /// Takes the pending writes as a transaction, without the conditions that `is_omitted` selects.
    pub fn take_transaction(
        &mut self,
        index: usize,
        is_omitted: impl Fn(&Condition) -> bool,
    ) -> Option<SentTransaction> {
        let (writes, fencing_token) = self.controllers[index].pending_writes.take()?;
        assert!(writes.len() <= 2);
        let conditions =
            transaction_conditions(&writes, fencing_token).into_iter().filter(|c| !is_omitted(c)).collect();
        Some((conditions, transaction_changes(&writes)))
    }

    /// Sends the pending writes. Returns the transaction if it arrives at once; a copy may arrive late in addition, or
    /// instead.
    pub fn send(&mut self, index: usize, is_omitted: impl Fn(&Condition) -> bool) -> Option<SentTransaction> {
        let sent = self.take_transaction(index, is_omitted)?;
        let (is_duplicated, is_delayed) = (self.rng.random_ratio(1, 4), self.rng.random_ratio(1, 4));
        if is_duplicated || is_delayed {
            self.delayed.push(sent.clone());
        }
        (!is_delayed).then_some(sent)
    }

    /// Tells a controller's driver the revision of its applied transaction.
    pub fn mark_stored(&mut self, index: usize, revision: u64) {
        if let Some((_, driver)) = self.controllers[index].leader.as_mut() {
            driver.mark_stored(revision);
        }
    }

    /// Removes and returns a random delayed transaction. Panics if there is none.
    pub fn take_delayed(&mut self) -> SentTransaction {
        let n = self.rng.random_range(0..self.delayed.len());
        self.delayed.swap_remove(n)
    }
}
