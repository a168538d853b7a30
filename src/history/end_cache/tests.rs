use super::*;

fn id(n: usize) -> String {
    format!("run-{n:06}")
}

/// Two ids that look alike are two jobs: telling one's end of the other would be a wrong answer for ever.
#[test]
fn ids_are_told_apart() {
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

/// All jobs are asked about in turn, again and again: of what does not fit, a part has to stay.
#[test]
fn rounds_longer_than_what_is_held_still_find_a_part() {
    for (jobs, at_least) in [(100_000, 0.98), (2 * EndCache::capacity(), 0.15)] {
        let mut ends = EndCache::default();
        let mut found = 0;
        for n in (0..3 * jobs).map(|n| n % jobs) {
            found = if n == 0 { 0 } else { found } + usize::from(ends.get(&id(n)).is_some());
            ends.insert(&id(n), End::Done);
        }
        let part = found as f64 / jobs as f64;
        assert!(part >= at_least && ends.len() <= EndCache::capacity(), "{part} of {jobs}");
    }
}
