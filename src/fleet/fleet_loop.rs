//! The steps of the fleet's loop, some of them at intervals of their own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::{JoinError, JoinSet};
use tracing::{debug, error};

use super::cloud_operations::CloudOperator;
use super::drain::choose_drains;
use super::inventory::{log_fleet_summary, record_listed_machines};
use super::manager::Fleet;
use super::scale_in::find_surplus_machines;
use crate::periodic::Periodic;

/// Interval at which the cloud's list of machines is read.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which machines to drain are chosen.
const DRAIN_INTERVAL: Duration = Duration::from_millis(3000);
/// Interval at which the fleet is summarized in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(15);

/// The state of the loop: its periodic steps, and the tasks that it has started. These end with it.
pub(super) struct FleetLoop {
    fleet: Arc<Fleet>,
    operator: CloudOperator,
    list: Periodic,
    drain: Periodic,
    summary: Periodic,
    /// Calls to the cloud.
    calls: JoinSet<()>,
    /// The clean-up of completed orders, at most one at a time.
    clean_up: JoinSet<()>,
}

impl FleetLoop {
    /// A loop that lists the machines at once.
    pub(super) fn new(fleet: Arc<Fleet>, now: Instant) -> Self {
        Self {
            operator: CloudOperator::new(fleet.clone()),
            fleet,
            list: Periodic::due_at_once(LIST_INTERVAL, now),
            drain: Periodic::due_after_interval(DRAIN_INTERVAL, now),
            summary: Periodic::due_at_once(SUMMARY_INTERVAL, now),
            calls: JoinSet::new(),
            clean_up: JoinSet::new(),
        }
    }

    /// Reads the cloud's list of machines into the cluster state, if that is due.
    pub(super) async fn list_machines_if_due(&mut self) {
        if !self.list.take_due(Instant::now()) {
            return;
        }
        match self.fleet.cloud.list_machines().await {
            Ok(machines) => record_listed_machines(&self.fleet, machines),
            Err(error) => debug!(%error, "machine list request failed"),
        }
    }

    /// Drains machines if that is due, and starts the calls that are needed now.
    pub(super) fn run_round(&mut self) {
        reap_finished(&mut self.calls);
        if self.drain.is_due(Instant::now()) {
            terminate_and_drain(&self.fleet);
            self.drain.restart(Instant::now());
            self.log_summary_if_due();
        }
        self.resume_inherited_orders();
        self.start_cloud_calls();
        self.start_clean_up();
    }

    fn log_summary_if_due(&mut self) {
        if tracing::enabled!(tracing::Level::DEBUG) && self.summary.take_due(Instant::now()) {
            log_fleet_summary(&self.fleet);
        }
    }

    fn resume_inherited_orders(&mut self) {
        let inherited = self.operator.take_inherited_orders();
        for order in inherited.provisioning {
            self.calls.spawn(self.operator.clone().complete_provisioning(order));
        }
        for call in inherited.terminations {
            self.calls.spawn(self.operator.clone().complete_termination(call));
        }
    }

    fn start_cloud_calls(&mut self) {
        for requests in self.operator.take_provisioning_requests() {
            self.calls.spawn(self.operator.clone().provision(requests));
        }
        for machines in self.operator.take_machines_to_terminate() {
            self.calls.spawn(self.operator.clone().terminate(machines));
        }
    }

    fn start_clean_up(&mut self) {
        reap_finished(&mut self.clean_up);
        if self.clean_up.is_empty() {
            let operator = self.operator.clone();
            self.clean_up.spawn(async move { operator.clean_up_orders().await });
        }
    }
}

/// Removes the tasks that have ended.
fn reap_finished(tasks: &mut JoinSet<()>) {
    while let Some(outcome) = tasks.try_join_next() {
        if let Some(error) = outcome.err().filter(JoinError::is_panic) {
            error!(%error, "cloud operation panicked; leaving its order in the store to the next leader");
        }
    }
}

/// Terminates machines that never came up or are idle, and drains those that are not needed.
fn terminate_and_drain(fleet: &Fleet) {
    let now = Instant::now();
    let Some(catalog) = fleet.catalog.get() else { return };
    let mut held = fleet.leader.cluster();
    let Some(cluster) = held.as_mut() else { return };
    for machine in find_surplus_machines(cluster, &catalog, now) {
        cluster.schedule_termination(&machine.id, machine.reason);
    }
    let decisions = choose_drains(cluster, &catalog, now);
    if decisions.is_empty() {
        return;
    }
    for decision in decisions {
        cluster.drain_machine(&decision.machine, &decision.moves, now);
    }
    cluster.tick(now);
    fleet.wakeups.dispatch.notify_one();
}
