//! A state service that loses acknowledged writes: a controller writes again what it still knows, and users notice
//! nothing.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::state::State;
use hyper::Method;
use stand_in::{ControllerProcess, ENDLESS, SHORT, job, open_world, send_request, settings, upload, wait_until};
use tokio::runtime::Runtime;

#[test]
fn writes_lost_by_the_store_are_written_again() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    for (n, run) in [(1, ENDLESS), (2, SHORT), (3, ENDLESS), (4, ENDLESS)] {
        upload(&world, &job(n, 3), run);
    }
    let a = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    outside.block_on(async {
        let http = Http::default();
        let submit = |n: u64| {
            let (http, addr) = (http.clone(), a.addr.clone());
            async move { send_request(&http, Method::POST, &addr, "/work", Some(protocol::encode(&job(n, 3)))).await.0 }
        };
        let state = |f: &dyn Fn(&mut State) -> bool| f(&mut world.state.lock().unwrap());
        let started =
            |n: u64| world.starts.lock().unwrap().iter().filter(|s| s.starts_with(&format!("run-{n:06}/"))).count();
        wait_until("leadership acquired", || async { state(&|s| s.store.has("c/owner/0")) }).await;
        for n in 1..=3 {
            wait_until("accepted", || async { submit(n).await / 100 == 2 }).await;
        }
        wait_until("two jobs running and one done", || async {
            started(1) == 3
                && started(3) == 3
                && state(&|s| s.store.has("h/d/run-000002") && s.store.has("t/run-000001/00000"))
        })
        .await;
        let cancelled = send_request(&http, Method::POST, &a.addr, "/work/run-000003/withdraw", Some(Vec::new())).await;
        assert_eq!(cancelled.1["status"], "withdrawn");

        // An acceptance that is acknowledged and never carried out: only the controller that reported it knows of it.
        // The leader may write as well in the meantime, so the write that is lost is told by its key.
        state(&|s| {
            (s.faults.key_prefix, s.faults.writes_to_lose) = (Some("c/o/run-000004"), 1);
            true
        });
        assert_eq!(submit(4).await, 201);
        assert!(state(&|s| s.faults.lost_writes == 1 && !s.store.has("c/o/run-000004")));
        // Stored and reported keys are lost: an open job, a task shard with placements, and two ends.
        for prefix in ["c/o/run-000001", "t/run-000001/", "h/d/run-000002", "h/w/run-000003"] {
            assert!(state(&|s| !s.store.lose_newest_keys(prefix, 1).is_empty()), "{prefix}");
        }
        for key in ["c/o/run-000004", "c/o/run-000001", "t/run-000001/00000", "h/d/run-000002", "h/w/run-000003"] {
            wait_until(key, || async { state(&|s| s.store.has(key)) }).await;
        }
        wait_until("the job whose acceptance was lost runs", || async { started(4) == 3 }).await;
        assert_eq!((started(1), started(3)), (3, 3), "no task may be started again");
    });
    // A controller that starts later reports every job as users were told before.
    let b = ControllerProcess::start(&world, &settings("node-b", &["node-a"], &door));
    outside.block_on(async {
        let http = Http::default();
        wait_until("healthy", || async { send_request(&http, Method::GET, &b.addr, "/healthz", None).await.0 == 200 })
            .await;
        for (n, want) in [(1, "running"), (2, "done"), (3, "withdrawn"), (4, "running")] {
            let path = format!("/work/run-{n:06}");
            wait_until(want, || async {
                let (code, answer) = send_request(&http, Method::GET, &b.addr, &path, None).await;
                assert!(code == 503 || code == 200, "{path}: {code}");
                // A follower's counts of running tasks may lag, but an end that users were told of may not, although it
                // was stored again later than it was confirmed.
                assert!(code == 503 || want == "running" || answer["status"] == want, "{path}: {answer}");
                answer["status"] == want || (want == "running" && answer["status"] == "pending")
            })
            .await;
        }
    });
}
