//! Tests of the limits on open jobs.

use super::*;
use crate::jobs::tests::spec;

#[test]
fn job_fits_in_memory_by_its_size_and_the_open_jobs() {
    let large_jobs = |jobs| OpenWork { jobs, tasks: jobs * 100_000 };
    for (name, tasks, open, memory_mb, want) in [
        ("no open job", 100_000, OpenWork::default(), Some(1.0), true),
        ("a job of the largest size beside small jobs", 100_000, OpenWork { jobs: 300, tasks: 9000 }, Some(56.0), true),
        ("a job of the largest size beside another", 100_000, large_jobs(1), Some(56.0), false),
        (
            "a small job beside three of the largest size, accepted by three controllers at once",
            70,
            large_jobs(3),
            Some(56.0),
            true,
        ),
        ("a tenth job of the largest size", 100_000, large_jobs(9), Some(56.0), false),
        ("a tenth job of the largest size in more memory", 100_000, large_jobs(9), Some(1024.0), true),
        ("a small job beside thousands", 1, OpenWork { jobs: 3000, tasks: 30_000 }, Some(56.0), true),
        ("a small job beside too many", 1, OpenWork { jobs: 7800, tasks: 7800 }, Some(56.0), false),
        ("no memory limit", 100_000, large_jobs(100), None, true),
    ] {
        let spec = JobSpec { tasks, ..spec() };
        assert_eq!(fits_in_memory(&spec, open, memory_mb), want, "{name}");
    }
    let mut open = large_jobs(1);
    open -= large_jobs(2);
    assert_eq!(open, OpenWork::default(), "the counts do not fall below zero");
}
