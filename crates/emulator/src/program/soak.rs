//! Soak tests: rehearsals of randomly drawn pairs of faults.

use std::path::Path;
use std::time::{Duration, Instant};

use hollylanding_emulator::scenario;
use hollylanding_emulator::sizes::Sizes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::error::ProgramError;
use super::run::{Rehearsal, rehearse};

/// The faults of which a soak test draws pairs, in the script language of scenarios.
const SOAK_FAULTS: [&str; 25] = [
    "lose_machines(0.5)",
    "lose_holder()",
    "take_spot(1.0)",
    "hang(0.3, 6)",
    "sick(0.2, 8)",
    "slow(0.3, 4)",
    "drift(0.4, 2)",
    "cut(\"owner\", \"workers\", 9)",
    "cut(\"owner\", \"store\", 6)",
    "reset(\"all\", \"peers\", 5)",
    "delay(\"all\", \"store\", 0.2, 8)",
    "cut(\"owner\", \"cloud\", 8)",
    "outage(5)",
    "refuse(\"owner\", 6)",
    "unanswered(4)",
    "late_writes(3, 6)",
    "end(\"owner\", 2)",
    "end(\"all\", 2)",
    "pause(\"owner\", 7)",
    "deaf(0.2, 12)",
    "late_copies(0.5, 1, 14, 10)",
    "lone(\"owner\", 8)",
    "lone(1, 8)",
    "end(\"owner\", 0.1)",
    "end(\"all\", 0.3)",
];

/// Runs rehearsals with consecutive seeds, each with a pair of faults drawn by its seed, until the time is over or a
/// rehearsal fails. A failure can be reproduced with its seed.
///
/// # Errors
/// A rehearsal cannot be run.
pub fn soak(minutes: f64, seed: u64, sizes: &Sizes, folder: &Path) -> Result<bool, ProgramError> {
    let deadline = Instant::now() + Duration::from_secs_f64(minutes.clamp(0.0, 1440.0) * 60.0);
    let mut seed = seed;
    while Instant::now() < deadline {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = || (rng.random_range(3.0..14.0_f64), SOAK_FAULTS[rng.random_range(0..SOAK_FAULTS.len())]);
        let ((first_at, first), (second_at, second)) = (draw(), draw());
        let script = format!("at({first_at:.2}, {first}); at({second_at:.2}, {second});");
        println!("seed {seed}: {script}");
        let plan = scenario::read(&script, seed).map_err(|source| ProgramError::Script { file: None, source })?;
        let title = format!("seed {seed}");
        if !rehearse(&Rehearsal { title: &title, file: None, plan: &plan, sizes, seed, folder })? {
            println!("again: rehearse --soak 0.1 --seed {seed}");
            return Ok(false);
        }
        seed += 1;
    }
    Ok(true)
}
