use super::*;

fn id(n: usize) -> String {
    format!("run-{n:06}")
}

/// Ids that differ only in leading zeros belong to different jobs. Packing them alike would report the end of one job
/// for the other, for ever. Ids that do not fit into a slot are not cached.
#[test]
fn ids_with_different_leading_zeros_have_separate_entries_and_unpackable_ids_none() {
    let mut ends = EndCache::default();
    for (id, end) in [("run-1", End::Done), ("run-01", End::Cancelled), ("run-00000000000000001", End::Done)] {
        assert_eq!(ends.get(id), None, "{id}");
        ends.insert(id, end);
    }
    assert_eq!((ends.get("run-1"), ends.get("run-01")), (Some(End::Done), Some(End::Cancelled)));
    for id in ["run-", "run-+1", "run-001", "job-1", "run-000000000000000001", "run-18446744073709551615"] {
        ends.insert(id, End::Done);
        assert_eq!((ends.get(id).is_some(), ends.len()), (id == "run-001", 3 + usize::from(ends.len() > 3)), "{id}");
    }
}

/// All jobs are polled in turn, again and again. A least-recently-used cache with fewer entries than jobs would never
/// have the next one.
#[test]
fn polling_more_jobs_than_fit_in_turn_still_hits_the_cache_for_a_share() {
    for (jobs, min_hit_ratio) in [(100_000, 0.98), (2 * EndCache::capacity(), 0.15)] {
        let mut ends = EndCache::default();
        let mut hits = 0;
        for n in (0..3 * jobs).map(|n| n % jobs) {
            hits = if n == 0 { 0 } else { hits } + usize::from(ends.get(&id(n)).is_some());
            ends.insert(&id(n), End::Done);
        }
        let hit_ratio = hits as f64 / jobs as f64;
        assert!(
            hit_ratio >= min_hit_ratio && ends.len() <= EndCache::capacity(),
            "cache hit ratio {hit_ratio} with {jobs} jobs"
        );
    }
}
