//! A controller process that was paused before its first read from the store, while the state service refuses requests:
//! it waits without using up the processor time of other processes on its machine.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use stand_in::{ControllerProcess, open_world, settings, wait_until};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// How long failed proofs that the watch cache is up to date are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// The most proofs that may fail in that time. Two a second are requested in any case; the pause detection before each
/// time-based decision requests one more, four times a second and a few times besides.
const MAX_FAILED_PROOFS: usize = 60;

#[test]
fn controller_paused_before_its_first_read_waits_for_the_store_without_busy_retries() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    world.state.lock().unwrap().store.set_refused("0", true);
    let a = ControllerProcess::start(&world, &settings("node-a", &[], &door));
    outside.block_on(async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(a.controller.store.watch_cache().watch_revision().is_none(), "nothing may be read yet");
        a.controller.membership.detect_pause(Instant::now() + Duration::from_secs(5));
        assert!(a.controller.membership.unproven(), "the pause was longer than an election lease");

        let mut failed_proofs = a.controller.store.read_barrier.subscribe_failed();
        let deadline = Instant::now() + OBSERVATION_TIME;
        let mut failed = 0;
        while let Ok(changed) = tokio::time::timeout_at(deadline.into(), failed_proofs.changed()).await {
            changed.unwrap();
            failed += 1;
        }
        assert!(failed <= MAX_FAILED_PROOFS, "{failed} failed proofs in {OBSERVATION_TIME:?}");

        world.state.lock().unwrap().store.set_refused("0", false);
        wait_until("proven once the store answers", || async {
            !a.controller.membership.unproven() && a.controller.membership.watermark().is_some()
        })
        .await;
    });
}
