//! The work of a plan for jobs that are spread over zones or keep to one, counted in rooms looked at.

use super::*;

const MACHINES: usize = 1000;
const ZONED_JOBS: u32 = 200;
/// A few passes over all machines, far below one for each job.
const FEW_LOOKS: u64 = 10 * MACHINES as u64;

/// Machines of which all have one core left, in zone a.
fn nearly_full(now: Instant) -> ClusterState {
    let mut cluster = cluster_of_c8(MACHINES, now);
    add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus) = (MACHINES as u64, 7.0));
    let placed = plan::place(&mut cluster, &catalog(), now);
    assert_eq!(placed.len(), MACHINES);
    cluster.bind_placements(placed, now);
    cluster
}

/// A small job for a zone without machines: for its sake no machine is left out of the plan for being full.
fn add_small_job_elsewhere(cluster: &mut ClusterState, now: Instant) {
    add_job(cluster, 2, now, |j| (j.tasks, j.cpus, j.zone) = (1, 0.5, Some("b".into())));
}

fn add_zoned_jobs(cluster: &mut ClusterState, spread: bool, now: Instant) {
    for n in 10..10 + ZONED_JOBS {
        add_job(cluster, n, now, |j| (j.tasks, j.cpus, j.spread, j.same_zone) = (4, 2.0, spread, !spread));
    }
}

#[test]
fn zoned_jobs_that_find_no_room_do_not_each_search_all_machines() {
    let now = Instant::now();
    for spread in [true, false] {
        let mut cluster = nearly_full(now);
        add_small_job_elsewhere(&mut cluster, now);
        add_zoned_jobs(&mut cluster, spread, now);
        let (placed, looked) = plan::place_counting_examined(&mut cluster, &catalog(), now);
        assert!(placed.is_empty(), "spread {spread}: {placed:?}");
        assert!(looked < FEW_LOOKS, "spread {spread}: {looked}");
    }
}

/// Half of each job runs in the only zone that has machines, and the other half may not go there.
#[test]
fn spread_jobs_whose_zone_is_used_up_do_not_each_search_all_machines() {
    let now = Instant::now();
    let mut cluster = cluster_of_c8(MACHINES, now);
    add_zoned_jobs(&mut cluster, true, now);
    let (placed, _) = plan::place_counting_examined(&mut cluster, &catalog(), now);
    assert_eq!(placed.len(), 2 * ZONED_JOBS as usize);
    cluster.bind_placements(placed, now);
    let (placed, looked) = plan::place_counting_examined(&mut cluster, &catalog(), now);
    assert!(placed.is_empty(), "{placed:?}");
    assert!(looked < FEW_LOOKS, "{looked}");
}

/// What a spread job may no longer use because of its own tasks is open to the jobs after it, spread or not.
#[test]
fn a_spread_job_that_used_up_its_zone_keeps_no_other_job_from_it() {
    let now = Instant::now();
    for spread in [false, true] {
        let mut cluster = cluster_of_c8(4, now);
        add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus, j.spread) = (4, 4.0, true));
        add_job(&mut cluster, 2, now, |j| (j.tasks, j.cpus, j.spread) = (4, 4.0, spread));
        let placed = plan::place(&mut cluster, &catalog(), now);
        let of = |id: &str| placed.iter().filter(|p| p.task.job.to_string() == id).count();
        assert_eq!(of("run-000001"), 2, "spread {spread}");
        assert_eq!(of("run-000002"), if spread { 2 } else { 4 }, "spread {spread}");
    }
}

/// An array that keeps to the zone where it began says nothing of the other zone.
#[test]
fn an_array_that_filled_its_zone_keeps_no_other_job_from_the_other_zone() {
    let now = Instant::now();
    let mut cluster = cluster_with(&[("m1", "c8", "a", false), ("m2", "c8", "b", false)], now);
    add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus, j.same_zone) = (4, 4.0, true));
    add_job(&mut cluster, 2, now, |j| (j.tasks, j.cpus, j.same_zone) = (2, 4.0, true));
    let placed = plan::place(&mut cluster, &catalog(), now);
    assert_eq!(placed.len(), 4, "{placed:?}");
}
