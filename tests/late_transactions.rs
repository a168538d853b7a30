//! Transactions that the state service carries out but never answers, over HTTP: a controller may not wait without
//! limit for the missing answer.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use hollylanding::protocol::{self, Http};
use hyper::Method;
use stand_in::{ControllerProcess, ENDLESS, job, open_world, send_request, settings, upload, wait_until};
use tokio::runtime::Runtime;

/// The first three transactions of a new store record the takeover, the holder of the election lease and the leader. A
/// controller that missed the answer to the third stayed assigned for the rest of its life without ever leading.
#[test]
fn assigned_controller_leads_although_the_answer_to_its_assignment_is_lost() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    upload(&world, &job(1, 3), ENDLESS);
    world.state.lock().unwrap().faults.unanswered_writes = 3;
    // The election lease outlasts the wait for a missing answer.
    let a = ControllerProcess::start_with(&world, &settings("node-a", &[], &door), "leader.lease.seconds=6\n");
    outside.block_on(async {
        let http = Http::default();
        wait_until("assigned as leader", || async { world.state.lock().unwrap().store.has("c/owner/0") }).await;
        assert_eq!(world.state.lock().unwrap().faults.unanswered_writes, 0, "all three answers must be lost");
        wait_until("accepted", || async {
            send_request(&http, Method::POST, &a.addr, "/work", Some(protocol::encode(&job(1, 3)))).await.0 / 100 == 2
        })
        .await;
        wait_until("all tasks started", || async { world.starts.lock().unwrap().len() == 3 }).await;
    });
    drop(a);
    outside.shutdown_background();
}
