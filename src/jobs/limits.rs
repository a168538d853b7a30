//! How much open work a controller can hold: every one must be able to own all of it.

use std::ops::{AddAssign, SubAssign};

use super::JobSpec;

/// What a job takes in an owner's memory besides its tasks: description, sums, entries in maps.
const JOB_BYTES: u64 = 4096;
/// What a task takes: its state, its place among the waiting, and its part of what is being read
/// or stored; what runs takes more, but of that there is as much as the machines hold. Three jobs
/// of 100,000 tasks took about 37 MB on simulated machines.
const TASK_BYTES: u64 = 96;
/// The part of the memory that open work may take. The rest is the program, machines, connections
/// and answers being read.
const PART: f64 = 0.55;
/// The part up to which large jobs are taken, so that small ones still find room beside them, and
/// so that as many as there are controllers may be accepted before each hears of the others.
const PART_LARGE: f64 = 0.3;
/// A job is large from this part of the memory on.
const LARGE: f64 = 0.02;

/// What open jobs take of an owner's memory, by the sums above.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    pub jobs: u64,
    pub tasks: u64,
}

impl Held {
    pub fn bytes(self) -> u64 {
        self.jobs * JOB_BYTES + self.tasks * TASK_BYTES
    }
}

impl AddAssign for Held {
    fn add_assign(&mut self, other: Self) {
        self.jobs += other.jobs;
        self.tasks += other.tasks;
    }
}

impl SubAssign for Held {
    fn sub_assign(&mut self, other: Self) {
        self.jobs = self.jobs.saturating_sub(other.jobs);
        self.tasks = self.tasks.saturating_sub(other.tasks);
    }
}

pub fn cost(spec: &JobSpec) -> Held {
    Held { jobs: 1, tasks: spec.tasks }
}

/// Whether one more job can be held beside what is open, in a controller of so much memory (none:
/// not limited). What is refused can be submitted again once something has ended; a job by itself
/// is always taken, since nothing that ends would make more room for it.
pub fn can_hold(spec: &JobSpec, open: Held, memory_mb: Option<f64>) -> bool {
    let Some(memory_mb) = memory_mb else { return true };
    let (memory, alone) = (memory_mb * 1024.0 * 1024.0, cost(spec).bytes() as f64);
    let part = if alone >= memory * LARGE { PART_LARGE } else { PART };
    open.jobs == 0 || open.bytes() as f64 + alone <= memory * part
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::tests::spec;

    #[test]
    fn what_can_be_held_by_cases() {
        let large = |jobs| Held { jobs, tasks: jobs * 100_000 };
        for (name, tasks, open, memory_mb, want) in [
            ("nothing open", 100_000, Held::default(), Some(1.0), true),
            ("one of the largest beside small ones", 100_000, Held { jobs: 300, tasks: 9000 }, Some(56.0), true),
            ("beside another", 100_000, large(1), Some(56.0), false),
            ("a small one beside three, accepted before anybody heard", 70, large(3), Some(56.0), true),
            ("ten of them at once", 100_000, large(9), Some(56.0), false),
            ("the same in more memory", 100_000, large(9), Some(1024.0), true),
            ("a small one among thousands", 1, Held { jobs: 3000, tasks: 30_000 }, Some(56.0), true),
            ("too many small ones", 1, Held { jobs: 7800, tasks: 7800 }, Some(56.0), false),
            ("no limit given", 100_000, large(100), None, true),
        ] {
            let spec = JobSpec { tasks, ..spec() };
            assert_eq!(can_hold(&spec, open, memory_mb), want, "{name}");
        }
        let mut held = large(1);
        held -= large(2);
        assert_eq!(held, Held::default(), "never below nothing");
    }
}
