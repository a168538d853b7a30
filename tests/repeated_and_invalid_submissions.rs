//! Odd requests: accepted jobs that are submitted again in other words, and jobs that can never run, at every moment.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use serde_json::{Value, json};
use stand_in::observer::{StoredStatus, TestDeployment, UserRequest, deployment, small};
use stand_in::{ControllerProcess, ENDLESS, SHORT, settings, until};

/// The same job, described in other ways: nobody submits it so the first time.
fn other_bodies(n: u64) -> Vec<(&'static str, Value)> {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut job = small(n);
        change(&mut job);
        job
    };
    vec![
        ("the same", small(n)),
        ("other tasks", with(&|job| job["legs"] = json!(5))),
        ("fits no machine", with(&|job| job["cpus"] = json!(99.0))),
        ("of no team", with(&|job| job["desk"] = json!("green"))),
        ("no tasks", with(&|job| job["legs"] = json!(0))),
        ("less than nothing", with(&|job| job["memGb"] = json!(-1.0))),
        ("text for a number", with(&|job| job["cpus"] = json!("many"))),
        ("a field is missing", with(&|job| drop(job.as_object_mut().unwrap().remove("memGb")))),
        ("larger than can be kept", with(&|job| job["kit"] = json!("i".repeat(9000)))),
    ]
}

impl TestDeployment {
    /// A job that was accepted is submitted again in every way. Whether all were answered with its state.
    async fn repeats(&self, at: &ControllerProcess, n: u64) -> bool {
        let mut all = true;
        for (what, body) in other_bodies(n) {
            let (code, answer) = self.submit(at, &body).await;
            let node = &at.controller.settings.node;
            assert!(matches!(code, 200 | 503), "{n} again at {node}, {what}: {code} {answer}");
            all &= code == 200;
        }
        all
    }

    /// What can never run, of ids that nobody has accepted. Whether all were refused for good.
    async fn hopeless(&self, at: &ControllerProcess, ids: std::ops::Range<u64>) -> bool {
        let mut all = true;
        for n in ids {
            for (what, body) in other_bodies(n).into_iter().skip(2) {
                let want = if matches!(what, "fits no machine" | "of no team") { 422 } else { 400 };
                let (code, answer) = self.submit(at, &body).await;
                let node = &at.controller.settings.node;
                assert!(code == want || code == 503, "{what} at {node}: {code} {answer}");
                all &= code == want;
            }
            assert_eq!(self.stored_status(n), StoredStatus::Absent);
        }
        all
    }
}

/// Odd requests on a quiet day, while a cancellation is under way, while the work changes hands, and to a node that
/// has just started and hears nothing of the cloud: what is accepted is never refused for good, whatever else its
/// repeat says, and what can never run is never accepted.
#[test]
fn odd_requests_by_whatever_moment() {
    let (deployment, a, b) = deployment(3);
    deployment.outside.block_on(async {
        for (n, run) in [(1, ENDLESS), (2, SHORT), (3, ENDLESS)] {
            deployment.submit_until_accepted(&b, n, run).await;
        }
        deployment.wait_until_running(1).await;
        deployment.wait_until_running(3).await;
        deployment.all_report([&a, &b], 2, "done").await;
        for at in [&a, &b] {
            for n in 1..=3 {
                assert!(deployment.repeats(at, n).await, "all well, and not all of {n} were answered");
            }
            assert!(deployment.hopeless(at, 11..13).await);
        }

        // Accepted so lately that the other has not heard: what is wrong with a repeat is looked at there.
        for (n, at, other) in [(4, &a, &b), (5, &b, &a)] {
            deployment.quiet_watches();
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            assert!(deployment.repeats(other, n).await, "all well, and not all of {n} were answered");
            deployment.faults(|faults| faults.quiet_watches = false);
        }

        // The leader is refused: the cancellation is stored, and cannot be told.
        deployment.world.state.lock().unwrap().store.set_refused("0", true);
        let (code, answer) = deployment.ask(&b, 3, UserRequest::Cancel).await;
        assert_eq!((code, deployment.stored_status(3)), (503, StoredStatus::Cancelled), "{answer}");
        for at in [&b, &a] {
            for n in 1..=3 {
                deployment.repeats(at, n).await;
            }
            deployment.hopeless(at, 13..14).await;
        }
        assert_eq!(deployment.request_and_check(&b, 2, UserRequest::Cancel).await.as_deref(), Some("done"));
        deployment.world.state.lock().unwrap().store.set_refused("0", false);
    });
    // The leader ends, if it still is the leader; somebody takes over.
    drop(a);
    deployment.outside.block_on(async {
        until("taken over", || async {
            for n in 1..=3 {
                deployment.repeats(&b, n).await;
                deployment.request_and_check(&b, n, UserRequest::LookUp).await;
            }
            deployment.hopeless(&b, 14..15).await;
            b.controller.membership.watermark().is_some()
        })
        .await;
        deployment.all_report([&b, &b], 3, "withdrawn").await;
        until("gone", || async { deployment.live(3) == 0 }).await;
    });
    let door = deployment.outside.block_on(deployment.world.serve_controller(2));
    let mut blind = settings("node-c", &["node-a", "node-b"], &door);
    // Nobody listens there.
    blind["endpoints"]["cloud"] = json!("127.0.0.1:1");
    let c = ControllerProcess::start(&deployment.world, &blind);
    deployment.outside.block_on(async {
        until("all are answered", || async {
            let mut all = true;
            for n in 1..=3 {
                all &= deployment.repeats(&c, n).await;
            }
            deployment.hopeless(&c, 15..16).await;
            all
        })
        .await;
        assert!(c.controller.catalog.get().is_none());
        let (code, answer) = deployment.submit(&c, &other_bodies(16)[2].1).await;
        assert_eq!(code, 503, "it cannot know that it fits no machine: {answer}");
        assert_eq!((deployment.started(1), deployment.live(1)), (3, 3), "none of this was taken for the job");
        let stored = deployment.world.state.lock().unwrap().store.value("c/o/run-000001").unwrap()["spec"].clone();
        assert_eq!((&stored["legs"], &stored["cpus"]), (&json!(3), &json!(0.1)));
    });
    deployment.end([b, c]);
}
