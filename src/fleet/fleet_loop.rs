//! Steps of the fleet management loop, some of which have intervals of their own.

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

/// Interval between reads of the cloud's list of machines.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between scale-in decisions: which machines to terminate or drain.
const SCALE_IN_INTERVAL: Duration = Duration::from_millis(3000);
/// Interval between summaries of the fleet in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(15);

/// State of the fleet management loop: its periodic steps and the tasks that it has started. Dropping it aborts these
/// tasks.
pub(super) struct FleetLoop {
    fleet: Arc<Fleet>,
    operator: CloudOperator,
    list: Periodic,
    scale_in: Periodic,
    summary: Periodic,
    /// Cloud operations in progress, each in a task of its own.
    cloud_calls: JoinSet<()>,
    /// Clean-up of completed orders, at most one at a time.
    clean_up: JoinSet<()>,
}

impl FleetLoop {
    /// Creates a loop whose first list of machines is due at once.
    pub(super) fn new(fleet: Arc<Fleet>, now: Instant) -> Self {
        Self {
            operator: CloudOperator::new(fleet.clone()),
            fleet,
            list: Periodic::due_at_once(LIST_INTERVAL, now),
            scale_in: Periodic::due_after_interval(SCALE_IN_INTERVAL, now),
            summary: Periodic::due_at_once(SUMMARY_INTERVAL, now),
            cloud_calls: JoinSet::new(),
            clean_up: JoinSet::new(),
        }
    }

    /// Reads the cloud's list of machines into the cluster state if that is due.
    pub(super) async fn list_machines_if_due(&mut self) {
        if !self.list.take_due(Instant::now()) {
            return;
        }
        match self.fleet.cloud.list_machines().await {
            Ok(machines) => record_listed_machines(&self.fleet, machines),
            Err(error) => debug!(%error, "machine list request failed"),
        }
    }

    /// Schedules terminations and drains if that is due, and starts the cloud operations that are needed now.
    pub(super) fn run_round(&mut self) {
        reap_finished(&mut self.cloud_calls);
        if self.scale_in.is_due(Instant::now()) {
            terminate_and_drain(&self.fleet);
            self.scale_in.restart(Instant::now());
            self.log_summary_if_due();
        }
        self.resume_inherited_orders();
        self.start_cloud_calls();
        self.start_clean_up();
    }

    /// Logs a summary of the fleet if that is due and debug messages are logged.
    fn log_summary_if_due(&mut self) {
        if tracing::enabled!(tracing::Level::DEBUG) && self.summary.take_due(Instant::now()) {
            log_fleet_summary(&self.fleet);
        }
    }

    /// Carries out the open orders of earlier leaders.
    fn resume_inherited_orders(&mut self) {
        let inherited = self.operator.take_inherited_orders();
        for order in inherited.provisioning {
            self.cloud_calls.spawn(self.operator.clone().complete_provisioning(order));
        }
        for call in inherited.terminations {
            self.cloud_calls.spawn(self.operator.clone().complete_termination(call));
        }
    }

    /// Starts the provisioning and the terminations that are decided now.
    fn start_cloud_calls(&mut self) {
        for requests in self.operator.take_provisioning_requests() {
            self.cloud_calls.spawn(self.operator.clone().provision(requests));
        }
        for machines in self.operator.take_machines_to_terminate() {
            self.cloud_calls.spawn(self.operator.clone().terminate(machines));
        }
    }

    /// Starts a clean-up of completed orders unless one is in progress.
    fn start_clean_up(&mut self) {
        reap_finished(&mut self.clean_up);
        if self.clean_up.is_empty() {
            let operator = self.operator.clone();
            self.clean_up.spawn(async move { operator.clean_up_orders().await });
        }
    }
}

/// Removes the tasks that have ended, and logs those that panicked.
fn reap_finished(tasks: &mut JoinSet<()>) {
    while let Some(outcome) = tasks.try_join_next() {
        if let Some(error) = outcome.err().filter(JoinError::is_panic) {
            error!(%error, "cloud operation panicked; leaving its order in the store to the next leader");
        }
    }
}

/// Schedules the termination of machines that never came up or are idle, and drains those that are not needed.
fn terminate_and_drain(fleet: &Fleet) {
    let now = Instant::now();
    let Some(catalog) = fleet.catalog.get() else { return };
    let mut guard = fleet.leader.cluster();
    let Some(cluster) = guard.as_mut() else { return };
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
