use super::*;
use crate::jobs::tests::spec;

#[test]
fn what_can_be_held_by_cases() {
    let large = |jobs| OpenWork { jobs, tasks: jobs * 100_000 };
    for (name, tasks, open, memory_mb, want) in [
        ("nothing open", 100_000, OpenWork::default(), Some(1.0), true),
        ("one of the largest beside small ones", 100_000, OpenWork { jobs: 300, tasks: 9000 }, Some(56.0), true),
        ("beside another", 100_000, large(1), Some(56.0), false),
        ("a small one beside three, accepted before anybody heard", 70, large(3), Some(56.0), true),
        ("ten of them at once", 100_000, large(9), Some(56.0), false),
        ("the same in more memory", 100_000, large(9), Some(1024.0), true),
        ("a small one among thousands", 1, OpenWork { jobs: 3000, tasks: 30_000 }, Some(56.0), true),
        ("too many small ones", 1, OpenWork { jobs: 7800, tasks: 7800 }, Some(56.0), false),
        ("no limit given", 100_000, large(100), None, true),
    ] {
        let spec = JobSpec { tasks, ..spec() };
        assert_eq!(fits_in_memory(&spec, open, memory_mb), want, "{name}");
    }
    let mut held = large(1);
    held -= large(2);
    assert_eq!(held, OpenWork::default(), "never below nothing");
}
