//! One-task jobs come four a second for minutes, a quarter of them cancelled.

use std::collections::BTreeMap;

use super::simulation::*;
use super::world::*;
use super::*;
use crate::history::job_transactions;
use crate::jobs::{End, JobId};
use crate::membership::WRITE_SHARES;
use crate::protocol::workers::ExitCause;
use crate::store::budget::{Budget, RequestPriority};

/// With a change of leaders in the middle: everything that could grow is small at each moment, and all are served.
#[test]
fn four_jobs_a_second_for_minutes_grow_nothing() {
    let names = ["m1", "m2", "m3", "m4"];
    let mut simulation = Simulation::new(&names.map(|m| (m, "a")), |j| j.estimate_s = 1.0);
    simulation.places_tasks = true;
    let (mut jobs, mut last) = (1, Vec::new());
    let mut started: BTreeMap<(TaskKey, u64), usize> = BTreeMap::new();
    for step in 0..480 {
        if step < 400 {
            for _ in 0..2 {
                jobs += 1;
                let id = simulation.world.accept_job(&mut simulation.cluster, jobs, |j| j.estimate_s = 2.0);
                last.push((step, id));
            }
        }
        // Each fourth is called off, at once or while it runs.
        for (at, id) in last.extract_if(.., |(at, _)| step >= *at + 3) {
            if (at + id.len()) % 2 == 0 && id.ends_with(['0', '2', '4', '6', '8']) {
                simulation.cancel_job(&id);
            }
        }
        if step == 200 {
            simulation.fail_over();
        }
        for m in names {
            for attempt_report in
                simulation.world.workers[m].attempts.clone().iter().filter(|l| l.status == AttemptStatus::Running)
            {
                if step > *started.entry((attempt_report.task.clone(), attempt_report.attempt)).or_insert(step) + 4 {
                    simulation.world.exit_attempt(m, &attempt_report.task, attempt_report.attempt, ExitCause::Done);
                }
            }
        }
        simulation.step();
        let kept = simulation.world.drop_ended_shards(&mut simulation.cluster);
        assert!(kept <= 20, "chunks of jobs that are over: {kept}");
        for (what, n) in simulation.cluster.entry_counts() {
            assert!(n <= 60, "{what} at step {step}: {n}");
        }
        assert!(simulation.world.workers.values().all(|w| w.attempts.len() <= 40), "exits are reaped");
    }
    for id in simulation.world.other_jobs.keys() {
        assert!(
            simulation.world.other_jobs[id].ended.is_some() || simulation.cancelled_at.contains_key(id),
            "{id} was never served"
        );
    }
    let cancelled = simulation.cancelled_at.len();
    assert!(jobs == 801 && (150..250).contains(&cancelled), "{cancelled} of {jobs} were withdrawn");
    let left: usize = simulation
        .cluster
        .entry_counts()
        .into_iter()
        .filter(|(what, _)| ["ending", "to_store", "to_drop"].contains(what))
        .map(|(_, n)| n)
        .sum();
    let kept = simulation.world.drop_ended_shards(&mut simulation.cluster);
    assert_eq!((simulation.cluster.job_count(), left, kept), (0, 0, 0), "{:?}", simulation.cluster.entry_counts());
}

/// What one part of the day took of the state service, and how long its users waited.
#[derive(Debug, Default)]
struct Part {
    changes_of_leader: usize,
    changes_of_others: usize,
    transactions: usize,
    /// From the acceptance until a task starts, and from its exit until everybody says `done`: the longest.
    start_s: f64,
    done_s: f64,
}

const PART_S: f64 = 50.0;
const PARTS: usize = 4;
const OTHER_CONTROLLERS: usize = 2;

/// The leader stores no more than its part of the limit lets it, as it does in the service, and the others accept and
/// cancel. In each part of the day the changes, the transactions and the time that users wait are the same.
#[test]
fn four_jobs_a_second_for_minutes_need_the_same_of_the_state_service_and_of_users_patience() {
    let names = ["m1", "m2", "m3", "m4", "m5"];
    let mut simulation = Simulation::new(&names.map(|m| (m, "a")), |j| j.estimate_s = 1.0);
    (simulation.places_tasks, simulation.store_available) = (true, false);
    let limits = simulation.cluster.settings.params.state.clone();
    let of_leader = WRITE_SHARES.fixed(limits.write_rps, OTHER_CONTROLLERS, true);
    let of_others = WRITE_SHARES.fixed(limits.write_rps, OTHER_CONTROLLERS, false) * OTHER_CONTROLLERS as f64;
    let mut budget = Budget::new(of_leader, of_leader, simulation.world.now);
    let mut parts: Vec<Part> = (0..PARTS).map(|_| Part::default()).collect();
    let mut accepted: BTreeMap<JobId, Instant> = BTreeMap::new();
    let (mut started, mut exited): (BTreeMap<JobId, Instant>, BTreeMap<JobId, Instant>) = Default::default();
    for step in 0..(PART_S / STEP_S) as u32 * PARTS as u32 {
        let (now, part) = (simulation.world.now, &mut parts[(f64::from(step) * STEP_S / PART_S) as usize]);
        for n in [2 * step + 2, 2 * step + 3] {
            let id = simulation.world.accept_job(&mut simulation.cluster, n, |j| j.estimate_s = 2.0);
            part.changes_of_others +=
                job_transactions::accept_job(&simulation.cluster.job(&id).unwrap().record, false).changes.len();
            part.transactions += 1;
            accepted.insert(id, now);
        }
        // Each fourth is called off while it waits or runs.
        if step % 2 == 1 {
            let id = JobId::from(format!("run-{:06}", 2 * step - (step % 5)).as_str());
            if let Some(record) =
                simulation.cluster.job(&id).filter(|job| job.ended.is_none()).map(|job| job.record.clone())
            {
                part.changes_of_others += job_transactions::cancel_job(&record, None, 0).changes.len();
                part.transactions += 1;
                simulation.cancel_job(&id);
            }
        }
        if step == 200 {
            simulation.fail_over();
        }
        for m in names {
            for attempt_report in
                simulation.world.workers[m].attempts.clone().iter().filter(|l| l.status == AttemptStatus::Running)
            {
                let id = &attempt_report.task.job;
                let since = *started.entry(id.clone()).or_insert(now);
                if let Some(at) = accepted.get(id) {
                    part.start_s = part.start_s.max((since - *at).as_secs_f64());
                }
                if now - since >= secs(2.0) {
                    simulation.world.exit_attempt(m, &attempt_report.task, attempt_report.attempt, ExitCause::Done);
                    exited.insert(id.clone(), now);
                }
            }
        }
        simulation.step();
        // As group commit: what the budget holds goes in one transaction, and clean-up gives way.
        let now = simulation.world.now;
        let part = &mut parts[(f64::from(step) * STEP_S / PART_S) as usize];
        let most = (budget.available(RequestPriority::Placement, now).max(0.0) as usize).min(limits.txn_ops as usize);
        let stored = simulation.world.store_at_most(&mut simulation.cluster, most, now);
        assert!(stored == 0 || budget.take(stored as f64, RequestPriority::Critical, now).is_ok(), "step {step}");
        let capacity =
            (budget.available(RequestPriority::Background, now).max(0.0) as usize).min(limits.txn_ops as usize);
        let dropped = simulation.world.drop_shards_at_most(&mut simulation.cluster, capacity);
        assert!(dropped == 0 || budget.take(dropped as f64, RequestPriority::Background, now).is_ok(), "step {step}");
        part.transactions += usize::from(stored > 0) + usize::from(dropped > 0);
        part.changes_of_leader += stored + dropped;
        for (id, at) in
            exited.extract_if(.., |id, _| simulation.world.other_jobs.get(id).is_some_and(|kept| kept.ended.is_some()))
        {
            if simulation.world.other_jobs[&id].ended == Some(End::Done) {
                part.done_s = part.done_s.max((now - at).as_secs_f64());
            }
        }
    }
    let jobs = PART_S * 4.0;
    for (n, part) in parts.iter().enumerate() {
        let name = format!("part {n} of {parts:?}");
        assert!(part.changes_of_leader as f64 <= jobs * 3.6, "a start and a drop a job, two changes an end: {name}");
        assert!(part.changes_of_leader as f64 <= of_leader * PART_S * 0.6, "much of the budget is left: {name}");
        assert!(part.changes_of_others as f64 <= of_others * PART_S, "{name}");
        assert!(part.transactions as f64 <= limits.rps * PART_S * 0.15, "{name}");
        assert!(part.start_s <= 2.0 && part.done_s <= 3.0, "{name}");
        let first = &parts[0];
        let flat = |now: usize, then: usize| now as f64 <= then as f64 * 1.1;
        assert!(flat(part.changes_of_leader, first.changes_of_leader), "{name}");
        assert!(flat(part.changes_of_others, first.changes_of_others), "{name}");
        assert!(flat(part.transactions, first.transactions), "{name}");
    }
    assert!(exited.len() <= 20, "what has exited is called done: {}", exited.len());
}
