//! Transactions that are carried out and never answered, over HTTP: nobody may wait for ever for an answer that
//! does not come.

// A stand-in that panics fails its test, as it should.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use hollylanding::protocol::{self, Http};
use hyper::Method;
use stand_in::{ControllerProcess, ENDLESS, ask, job, open_world, settings, until, upload};
use tokio::runtime::Runtime;

/// The first three transactions of a new store say what was taken over, who holds the lease and who leads. A controller
/// that did not hear of the third was assigned for as long as it lived, and led nothing.
#[test]
fn a_leader_that_never_heard_of_its_assignment_owns() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    upload(&world, &job(1, 3), ENDLESS);
    world.state.lock().unwrap().faults.unanswered_writes = 3;
    // Its lease outlives an answer that is waited for.
    let a = ControllerProcess::start_with(&world, &settings("node-a", &[], &door), "leader.lease.seconds=6\n");
    outside.block_on(async {
        let http = Http::default();
        until("it is assigned", || async { world.state.lock().unwrap().store.has("c/owner/0") }).await;
        assert_eq!(world.state.lock().unwrap().faults.unanswered_writes, 0, "and was not told so");
        until("accepted", || async {
            ask(&http, Method::POST, &a.addr, "/work", Some(protocol::encode(&job(1, 3)))).await.0 / 100 == 2
        })
        .await;
        until("it runs", || async { world.starts.lock().unwrap().len() == 3 }).await;
    });
    drop(a);
    outside.shutdown_background();
}
