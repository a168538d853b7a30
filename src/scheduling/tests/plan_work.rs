//! The work of a plan for jobs that are spread over zones or keep to one zone, counted in machines examined.

use super::*;

const MACHINES: usize = 1000;
const ZONED_JOBS: u32 = 200;
/// Bound on the machines examined in a plan: a few passes over all machines, far fewer than one for each job.
const MAX_EXAMINED: u64 = 10 * MACHINES as u64;

/// A cluster of machines in zone `a` that have one core left each.
fn nearly_full_cluster(now: Instant) -> ClusterState {
    let mut cluster = cluster_of_c8(MACHINES, now);
    add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus) = (MACHINES as u64, 7.0));
    let placed = plan::place(&mut cluster, &catalog(), now);
    assert_eq!(placed.len(), MACHINES);
    cluster.bind_placements(placed, now);
    cluster
}

/// Adds a small job for a zone without machines. Since it would fit on any machine, the plan leaves out no machine as
/// full.
fn add_small_job_for_empty_zone(cluster: &mut ClusterState, now: Instant) {
    add_job(cluster, 2, now, |j| (j.tasks, j.cpus, j.zone) = (1, 0.5, Some("b".into())));
}

/// Adds jobs that are spread over zones, or else keep to one zone.
fn add_zoned_jobs(cluster: &mut ClusterState, spread: bool, now: Instant) {
    for n in 10..10 + ZONED_JOBS {
        add_job(cluster, n, now, |j| (j.tasks, j.cpus, j.spread, j.same_zone) = (4, 2.0, spread, !spread));
    }
}

#[test]
fn zoned_jobs_that_do_not_fit_do_not_each_examine_all_machines() {
    let now = Instant::now();
    for spread in [true, false] {
        let mut cluster = nearly_full_cluster(now);
        add_small_job_for_empty_zone(&mut cluster, now);
        add_zoned_jobs(&mut cluster, spread, now);
        let (placed, examined) = plan::place_counting_examined(&mut cluster, &catalog(), now);
        assert!(placed.is_empty(), "spread {spread}: {placed:?}");
        assert!(examined < MAX_EXAMINED, "spread {spread}: {examined}");
    }
}

/// Half of each job runs in the only zone that has machines, and the other half is not allowed there.
#[test]
fn spread_jobs_at_their_limit_in_a_zone_do_not_each_examine_all_machines() {
    let now = Instant::now();
    let mut cluster = cluster_of_c8(MACHINES, now);
    add_zoned_jobs(&mut cluster, true, now);
    let (placed, _) = plan::place_counting_examined(&mut cluster, &catalog(), now);
    assert_eq!(placed.len(), 2 * ZONED_JOBS as usize);
    cluster.bind_placements(placed, now);
    let (placed, examined) = plan::place_counting_examined(&mut cluster, &catalog(), now);
    assert!(placed.is_empty(), "{placed:?}");
    assert!(examined < MAX_EXAMINED, "{examined}");
}

/// A zone that a spread job may no longer use because of its own tasks stays open to the jobs after it, spread or not.
#[test]
fn spread_job_at_its_limit_in_a_zone_does_not_exclude_other_jobs_from_it() {
    let now = Instant::now();
    for spread in [false, true] {
        let mut cluster = cluster_of_c8(4, now);
        add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus, j.spread) = (4, 4.0, true));
        add_job(&mut cluster, 2, now, |j| (j.tasks, j.cpus, j.spread) = (4, 4.0, spread));
        let placed = plan::place(&mut cluster, &catalog(), now);
        let placed_of = |id: &str| placed.iter().filter(|p| p.task.job.to_string() == id).count();
        assert_eq!(placed_of("run-000001"), 2, "spread {spread}");
        assert_eq!(placed_of("run-000002"), if spread { 2 } else { 4 }, "spread {spread}");
    }
}

/// An array that must stay in the zone where it began and no longer fits there does not mark the other zone as full.
#[test]
fn array_that_filled_its_zone_does_not_exclude_other_jobs_from_the_other_zone() {
    let now = Instant::now();
    let mut cluster = cluster_with(&[("m1", "c8", "a", false), ("m2", "c8", "b", false)], now);
    add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus, j.same_zone) = (4, 4.0, true));
    add_job(&mut cluster, 2, now, |j| (j.tasks, j.cpus, j.same_zone) = (2, 4.0, true));
    let placed = plan::place(&mut cluster, &catalog(), now);
    assert_eq!(placed.len(), 4, "{placed:?}");
}
