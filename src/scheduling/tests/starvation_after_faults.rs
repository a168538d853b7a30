//! Once all faults are over, no job waits for 90 s while a machine has enough free capacity for it.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::drawn_faults::{MACHINES, draw_job};
use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::JobId;
use crate::protocol::workers::ExitCause;
use crate::scheduling::fairness::FairShareAccounting;

/// Runs one seeded simulation and returns the longest time in seconds that a job which could start has waited after the
/// faults, with a description of that job. If `steady`, jobs also arrive after the faults.
fn longest_wait_after_faults(seed: u64, steady: bool) -> (f64, String) {
    let mut rng = StdRng::seed_from_u64(seed);
    let machines: Vec<(&str, &str)> = (0..10).map(|n| (MACHINES[n], if n % 2 == 0 { "a" } else { "b" })).collect();
    let mut simulation = Simulation::new(&machines, |j| (j.tasks, j.estimate_s) = (1, 1.0));
    for m in &MACHINES[7..] {
        simulation.world.workers.get_mut(m).unwrap().type_name = "g2";
    }
    simulation.places_tasks = true;
    let mut account =
        FairShareAccounting::new(&simulation.cluster.settings, &simulation.cluster.properties, simulation.world.now);
    let mut ends_at: BTreeMap<(TaskKey, u64), Instant> = BTreeMap::new();
    let mut waits: BTreeMap<JobId, f64> = BTreeMap::new();
    let (mut longest_wait, mut jobs) = ((0.0, String::new()), 1);
    for step in 0..560 {
        let (t, now) = (f64::from(step) * STEP_S, simulation.world.now);
        let in_fault_phase = t < 120.0;
        if (in_fault_phase || steady) && rng.random_bool(if in_fault_phase { 0.5 } else { 0.1 }) {
            jobs += 1;
            let urgencies = [Urgency::Prod, Urgency::High, Urgency::Normal];
            let id =
                simulation.world.accept_job(&mut simulation.cluster, jobs, |job| draw_job(&mut rng, &urgencies, job));
            if rng.random_bool(0.15) {
                simulation.cancel_job(&id);
            }
        }
        if in_fault_phase && rng.random_bool(0.15) {
            simulation.inject_drawn_fault(&mut rng);
        }
        if !in_fault_phase {
            simulation.end_machine_faults();
            simulation.store_available = true;
        }
        // Tasks end, or fail during the fault phase.
        for m in MACHINES {
            if simulation.paused.contains(&m) || simulation.world.workers[m].terminated {
                continue;
            }
            for attempt_report in
                simulation.world.workers[m].attempts.clone().iter().filter(|a| a.status == AttemptStatus::Running)
            {
                let estimate_s = simulation.world.spec_of(&attempt_report.task.job).estimate_s;
                let end = ends_at.entry((attempt_report.task.clone(), attempt_report.attempt)).or_insert_with(|| {
                    now + secs(if estimate_s == 0.0 { 1e6 } else { estimate_s * rng.random_range(0.5..2.0) })
                });
                let fails = in_fault_phase && rng.random_bool(0.01);
                if *end <= now || fails {
                    let cause = if fails { ExitCause::Error } else { ExitCause::Done };
                    simulation.world.exit_attempt(m, &attempt_report.task, attempt_report.attempt, cause);
                }
            }
        }
        if step % 4 == 0 && simulation.cluster.loaded {
            crate::scheduling::service_report::update_accounting(&mut account, &mut simulation.cluster, now);
            simulation.cluster.reservations =
                crate::scheduling::reservations::choose_reservations(&simulation.cluster, &catalog(), now);
        }
        preempt::preempt(&mut simulation.cluster, &catalog(), now);
        simulation.step();
        if !in_fault_phase {
            let ids: Vec<JobId> = simulation.cluster.jobs().map(|(id, _)| id.clone()).collect();
            waits.retain(|id, _| ids.contains(id));
            for id in ids {
                let waited = waits.entry(id.clone()).or_default();
                *waited = if simulation.could_start(&id, DrainingCapacity::Excluded) { *waited + STEP_S } else { 0.0 };
                if *waited > longest_wait.0 {
                    longest_wait = (
                        *waited,
                        format!("seed {seed}, at {t} s: {:?}", simulation.cluster.job(&id).map(|j| j.spec())),
                    );
                }
            }
        }
    }
    longest_wait
}

#[test]
fn no_job_waits_90_s_with_free_capacity_once_faults_are_over() {
    for seed in 0..16 {
        let (waited, job) = longest_wait_after_faults(seed, seed % 2 == 0);
        assert!(waited < 90.0, "waited for {waited} s: {job}");
    }
}

/// Regression test: capacity that is free is reserved for a late gang that has waited for long. Where the rest of the
/// capacity that it needs never comes free, as with a service running there and no machine to rent, other jobs waited
/// forever for the reserved capacity.
#[test]
fn reservation_for_a_gang_that_never_fits_does_not_block_other_jobs_forever() {
    let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| {
        (j.shape, j.tasks, j.cpus, j.estimate_s) = (Shape::Service, 1, 8.0, 0.0);
    });
    simulation.world.bind_waiting(&mut simulation.cluster, "m1");
    simulation.exchange_heartbeat("m1");
    simulation.places_tasks = true;
    let gang = simulation.world.accept_job(&mut simulation.cluster, 2, |j| {
        (j.shape, j.tasks, j.cpus, j.estimate_s) = (Shape::Gang, 2, 8.0, 5.0);
    });
    let mut account =
        FairShareAccounting::new(&simulation.cluster.settings, &simulation.cluster.properties, simulation.world.now);
    let (mut small, mut accepted_at_s) = (None, 0.0);
    for step in 0..400 {
        let t = f64::from(step) * STEP_S;
        if t == 40.0 {
            simulation.cluster.core_credit.record_placement(1000.0, false, 1.0);
            small = Some(simulation.world.accept_job(&mut simulation.cluster, 3, |j| j.estimate_s = 100.0));
            accepted_at_s = t;
        }
        if step % 4 == 0 {
            crate::scheduling::service_report::update_accounting(
                &mut account,
                &mut simulation.cluster,
                simulation.world.now,
            );
        }
        simulation.step();
        assert_eq!(simulation.live_tasks(&gang), []);
        if let Some(small) = &small {
            assert!(
                !simulation.live_tasks(small).is_empty() || t < accepted_at_s + 85.0,
                "the small job has waited for {} s",
                t - accepted_at_s
            );
        }
    }
}
