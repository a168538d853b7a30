//! The periodic steps of the scheduling loop: which there are, how often each is taken, and in which order.

use std::time::{Duration, Instant};

use super::cluster::ClusterState;
use super::fairness::FairShareAccounting;
use super::leader_state::LeaderState;
use super::{plan, preempt, reservations, service_report};
use crate::machine_kinds::Catalog;
use crate::periodic::Periodic;

/// A plan is followed by a pause of this many times its duration, so that heartbeats and users' requests are not
/// delayed however much there is to plan.
pub(super) const PAUSE_TO_PLAN_TIME_RATIO: u32 = 4;
/// Interval of the checks for what follows from the passage of time, such as the silence of a machine.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time between two plans, even if nothing has changed.
const PLAN_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval of the choice of reservations for gangs.
const RESERVE_INTERVAL: Duration = Duration::from_millis(2000);
/// Interval of preemptions, each for one job.
const PREEMPT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of updates of the fair-share accounting.
const ACCOUNTING_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the fair-share accounting and due times are written to the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// When each step of the scheduling loop is due next.
#[derive(Debug)]
pub(super) struct Schedule {
    tick: Periodic,
    accounting: Periodic,
    report: Periodic,
    reserve: Periodic,
    plan: Periodic,
    preempt: Periodic,
}

impl Schedule {
    /// All steps but the tick and the report are due at once.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            tick: Periodic::due_after_interval(TICK_INTERVAL, now),
            accounting: Periodic::due_at_once(ACCOUNTING_INTERVAL, now),
            report: Periodic::due_after_interval(REPORT_INTERVAL, now),
            reserve: Periodic::due_at_once(RESERVE_INTERVAL, now),
            plan: Periodic::due_at_once(PLAN_INTERVAL, now),
            preempt: Periodic::due_at_once(PREEMPT_INTERVAL, now),
        }
    }

    /// Runs the steps that are due, in their fixed order. Returns how many tasks were placed, if a plan was made.
    pub(super) fn run_due_steps(
        &mut self,
        cluster: &mut ClusterState,
        leader: &LeaderState,
        catalog: &Catalog,
        now: Instant,
    ) -> Option<usize> {
        if self.tick.take_due(now) {
            cluster.tick(now);
        }
        if cluster.loaded && self.accounting.take_due(now) {
            self.update_accounting(cluster, &mut leader.accounting(), now);
        }
        if self.reserve.is_due(now) {
            cluster.reservations = reservations::choose_reservations(cluster, catalog, now);
            self.reserve.restart_after(now, now.elapsed() * PAUSE_TO_PLAN_TIME_RATIO * 2);
        }
        // Nothing that placement depends on has changed, so a plan would give the same result.
        if !cluster.take_replan_needed() && !self.plan.is_due(now) {
            return None;
        }
        self.plan.restart(now);
        let placements = plan::place(cluster, catalog, now);
        let placed = placements.len();
        cluster.bind_placements(placements, now);
        if self.preempt.take_due(now) {
            preempt::preempt(cluster, catalog, now);
        }
        Some(placed)
    }

    fn update_accounting(&mut self, cluster: &mut ClusterState, accounting: &mut FairShareAccounting, now: Instant) {
        service_report::update_accounting(accounting, cluster, now);
        if self.report.take_due(now) {
            service_report::log_accounting(accounting.service_levels());
            service_report::log_due_times(cluster, now);
        }
    }
}
