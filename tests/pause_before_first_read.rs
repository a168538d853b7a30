//! A controller that was paused before it had read anything, while the state service answers nobody: it waits, and
//! takes no processor time from those who share its machine.

// A stand-in that panics fails its test, as it should.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use stand_in::{ControllerProcess, open_world, settings, until};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const WATCHED: Duration = Duration::from_secs(2);
/// Proofs of freshness that are given up in that time: two a second are asked for anyhow, and a beat before a judgement
/// by time asks for one more, four times a second and a few.
const FEW: usize = 60;

#[test]
fn who_was_paused_before_it_had_read_anything_waits_for_the_store() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    world.state.lock().unwrap().store.set_refused("0", true);
    let a = ControllerProcess::start(&world, &settings("node-a", &[], &door));
    outside.block_on(async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(a.controller.store.watch_cache().watch_revision().is_none(), "nothing is read yet");
        a.controller.membership.detect_pause(Instant::now() + Duration::from_secs(5));
        assert!(a.controller.membership.unproven(), "it was paused for longer than an election lease");

        let mut given_up = a.controller.store.read_barrier.subscribe_failed();
        let until_then = Instant::now() + WATCHED;
        let mut seen = 0;
        while let Ok(told) = tokio::time::timeout_at(until_then.into(), given_up.changed()).await {
            told.unwrap();
            seen += 1;
        }
        assert!(seen <= FEW, "{seen} proofs given up in {WATCHED:?}");

        world.state.lock().unwrap().store.set_refused("0", false);
        until("proven once the store answers", || async {
            !a.controller.membership.unproven() && a.controller.membership.watermark().is_some()
        })
        .await;
    });
}
