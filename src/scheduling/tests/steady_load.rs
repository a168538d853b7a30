//! Steady load: four one-task jobs a second for minutes, of which a quarter are cancelled.

use std::collections::BTreeMap;

use super::simulation::*;
use super::world::*;
use super::*;
use crate::history::job_transactions;
use crate::jobs::{End, JobId};
use crate::membership::WRITE_SHARES;
use crate::protocol::workers::ExitCause;
use crate::store::budget::{RequestPriority, TokenBucket};

/// The leader changes in the middle. All collections that could grow stay small at every step, and every job is served.
#[test]
fn four_jobs_a_second_for_minutes_grow_no_collection() {
    let names = ["m1", "m2", "m3", "m4"];
    let mut simulation = Simulation::new(&names.map(|m| (m, "a")), |j| j.estimate_s = 1.0);
    simulation.places_tasks = true;
    let (mut jobs, mut recent) = (1, Vec::new());
    let mut started: BTreeMap<(TaskKey, u64), usize> = BTreeMap::new();
    for step in 0..480 {
        if step < 400 {
            for _ in 0..2 {
                jobs += 1;
                let id = simulation.world.accept_job(&mut simulation.cluster, jobs, |j| j.estimate_s = 2.0);
                recent.push((step, id));
            }
        }
        // One in four jobs is cancelled, at once or while it runs.
        for (at, id) in recent.extract_if(.., |(at, _)| step >= *at + 3) {
            if (at + id.len()) % 2 == 0 && id.ends_with(['0', '2', '4', '6', '8']) {
                simulation.cancel_job(&id);
            }
        }
        if step == 200 {
            simulation.fail_over();
        }
        for m in names {
            for attempt_report in simulation.world.workers[m]
                .attempts
                .clone()
                .iter()
                .filter(|report| report.status == AttemptStatus::Running)
            {
                if step > *started.entry((attempt_report.task.clone(), attempt_report.attempt)).or_insert(step) + 4 {
                    simulation.world.exit_attempt(m, &attempt_report.task, attempt_report.attempt, ExitCause::Done);
                }
            }
        }
        simulation.step();
        let shards_left = simulation.world.drop_ended_shards(&mut simulation.cluster);
        assert!(shards_left <= 20, "shards of ended jobs: {shards_left}");
        for (collection, entries) in simulation.cluster.entry_counts() {
            assert!(entries <= 60, "{collection} at step {step}: {entries}");
        }
        assert!(simulation.world.workers.values().all(|w| w.attempts.len() <= 40), "exited attempts are reaped");
    }
    for id in simulation.world.other_jobs.keys() {
        assert!(
            simulation.world.other_jobs[id].ended.is_some() || simulation.cancelled_at.contains_key(id),
            "{id} was never served"
        );
    }
    let cancelled = simulation.cancelled_at.len();
    assert!(jobs == 801 && (150..250).contains(&cancelled), "{cancelled} of {jobs} were cancelled");
    let unwritten: usize = simulation
        .cluster
        .entry_counts()
        .into_iter()
        .filter(|(collection, _)| ["ending", "to_store", "to_drop"].contains(collection))
        .map(|(_, n)| n)
        .sum();
    let shards_left = simulation.world.drop_ended_shards(&mut simulation.cluster);
    assert_eq!(
        (simulation.cluster.job_count(), unwritten, shards_left),
        (0, 0, 0),
        "{:?}",
        simulation.cluster.entry_counts()
    );
}

/// The load of one period on the store, and the longest waits of its users.
#[derive(Debug, Default)]
struct PeriodUsage {
    changes_of_leader: usize,
    changes_of_others: usize,
    transactions: usize,
    /// The longest time in seconds from a job's acceptance until its task starts.
    longest_start_s: f64,
    /// The longest time in seconds from a task's exit until its job is stored as done.
    longest_done_s: f64,
}

const PERIOD_S: f64 = 50.0;
const PERIODS: usize = 4;
const OTHER_CONTROLLERS: usize = 2;

/// The leader stores no more than its share of the write limit allows, as in the service, and the other controllers
/// accept and cancel jobs. The changes, the transactions and the waits of users are the same in every period.
#[test]
fn four_jobs_a_second_for_minutes_need_constant_store_load_and_waits() {
    let names = ["m1", "m2", "m3", "m4", "m5"];
    let mut simulation = Simulation::new(&names.map(|m| (m, "a")), |j| j.estimate_s = 1.0);
    (simulation.places_tasks, simulation.store_available) = (true, false);
    let limits = simulation.cluster.settings.params.state.clone();
    let leader_write_rate = WRITE_SHARES.fixed_share(limits.write_rps, OTHER_CONTROLLERS, true);
    let others_write_rate =
        WRITE_SHARES.fixed_share(limits.write_rps, OTHER_CONTROLLERS, false) * OTHER_CONTROLLERS as f64;
    let mut budget = TokenBucket::new(leader_write_rate, leader_write_rate, simulation.world.now);
    let mut periods: Vec<PeriodUsage> = (0..PERIODS).map(|_| PeriodUsage::default()).collect();
    let mut accepted: BTreeMap<JobId, Instant> = BTreeMap::new();
    let (mut started, mut exited): (BTreeMap<JobId, Instant>, BTreeMap<JobId, Instant>) = Default::default();
    for step in 0..(PERIOD_S / STEP_S) as u32 * PERIODS as u32 {
        let (now, period) = (simulation.world.now, &mut periods[(f64::from(step) * STEP_S / PERIOD_S) as usize]);
        for n in [2 * step + 2, 2 * step + 3] {
            let id = simulation.world.accept_job(&mut simulation.cluster, n, |j| j.estimate_s = 2.0);
            period.changes_of_others +=
                job_transactions::accept_job(&simulation.cluster.job(&id).unwrap().record, false).changes.len();
            period.transactions += 1;
            accepted.insert(id, now);
        }
        // One in four jobs is cancelled while it waits or runs.
        if step % 2 == 1 {
            let id = JobId::from(format!("run-{:06}", 2 * step - (step % 5)).as_str());
            if let Some(record) =
                simulation.cluster.job(&id).filter(|job| job.ended.is_none()).map(|job| job.record.clone())
            {
                period.changes_of_others += job_transactions::cancel_job(&record, None, 0, usize::MAX).changes.len();
                period.transactions += 1;
                simulation.cancel_job(&id);
            }
        }
        if step == 200 {
            simulation.fail_over();
        }
        for m in names {
            for attempt_report in simulation.world.workers[m]
                .attempts
                .clone()
                .iter()
                .filter(|report| report.status == AttemptStatus::Running)
            {
                let id = &attempt_report.task.job;
                let since = *started.entry(id.clone()).or_insert(now);
                if let Some(at) = accepted.get(id) {
                    period.longest_start_s = period.longest_start_s.max((since - *at).as_secs_f64());
                }
                if now - since >= secs(2.0) {
                    simulation.world.exit_attempt(m, &attempt_report.task, attempt_report.attempt, ExitCause::Done);
                    exited.insert(id.clone(), now);
                }
            }
        }
        simulation.step();
        // As in the group commit, each transaction has as many changes as the budget allows, and clean-up has the
        // lowest priority.
        let now = simulation.world.now;
        let period = &mut periods[(f64::from(step) * STEP_S / PERIOD_S) as usize];
        let max_changes =
            (budget.available(RequestPriority::Placement, now).max(0.0) as usize).min(limits.txn_ops as usize);
        let stored = simulation.world.store_at_most(&mut simulation.cluster, max_changes, now);
        assert!(stored == 0 || budget.take(stored as f64, RequestPriority::Critical, now).is_ok(), "step {step}");
        let max_drops =
            (budget.available(RequestPriority::Background, now).max(0.0) as usize).min(limits.txn_ops as usize);
        let dropped = simulation.world.drop_shards_at_most(&mut simulation.cluster, max_drops);
        assert!(dropped == 0 || budget.take(dropped as f64, RequestPriority::Background, now).is_ok(), "step {step}");
        period.transactions += usize::from(stored > 0) + usize::from(dropped > 0);
        period.changes_of_leader += stored + dropped;
        for (id, at) in
            exited.extract_if(.., |id, _| simulation.world.other_jobs.get(id).is_some_and(|job| job.ended.is_some()))
        {
            if simulation.world.other_jobs[&id].ended == Some(End::Done) {
                period.longest_done_s = period.longest_done_s.max((now - at).as_secs_f64());
            }
        }
    }
    let jobs = PERIOD_S * 4.0;
    for (n, period) in periods.iter().enumerate() {
        let name = format!("period {n} of {periods:?}");
        assert!(
            period.changes_of_leader as f64 <= jobs * 3.6,
            "one change for a start, one for a drop and two for an end of each job: {name}"
        );
        assert!(
            period.changes_of_leader as f64 <= leader_write_rate * PERIOD_S * 0.6,
            "much of the budget is unused: {name}"
        );
        assert!(period.changes_of_others as f64 <= others_write_rate * PERIOD_S, "{name}");
        assert!(period.transactions as f64 <= limits.rps * PERIOD_S * 0.15, "{name}");
        assert!(period.longest_start_s <= 2.0 && period.longest_done_s <= 3.0, "{name}");
        let first = &periods[0];
        let no_growth = |value: usize, at_first: usize| value as f64 <= at_first as f64 * 1.1;
        assert!(no_growth(period.changes_of_leader, first.changes_of_leader), "{name}");
        assert!(no_growth(period.changes_of_others, first.changes_of_others), "{name}");
        assert!(no_growth(period.transactions, first.transactions), "{name}");
    }
    assert!(exited.len() <= 20, "exited tasks whose jobs are not stored as done: {}", exited.len());
}
