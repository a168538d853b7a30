//! Repeated submissions of accepted jobs with different bodies, and submissions of jobs that can never run: without
//! faults, during a cancellation, during a failover, and at a controller that cannot reach the cloud.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use serde_json::{Value, json};
use stand_in::observer::{StoredStatus, TestDeployment, UserRequest, small_job, start_leader_and_follower};
use stand_in::{ControllerProcess, ENDLESS, SHORT, settings, wait_until};

/// Returns different bodies under the id of job `n`; only the first body is used for its first submission.
fn other_bodies(n: u64) -> Vec<(&'static str, Value)> {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut job = small_job(n);
        change(&mut job);
        job
    };
    vec![
        ("the same", small_job(n)),
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
    /// Submits an accepted job again with every body. Returns whether all responses reported its status.
    async fn resubmit_all_bodies(&self, at: &ControllerProcess, n: u64) -> bool {
        let mut all_answered = true;
        for (what, body) in other_bodies(n) {
            let (code, answer) = self.submit(at, &body).await;
            let node = &at.controller.settings.node;
            assert!(matches!(code, 200 | 503), "{n} again at {node}, {what}: {code} {answer}");
            all_answered &= code == 200;
        }
        all_answered
    }

    /// Submits jobs that can never run under ids that were not accepted. Returns whether all were rejected permanently.
    async fn submit_impossible_jobs(&self, at: &ControllerProcess, ids: std::ops::Range<u64>) -> bool {
        let mut all_answered = true;
        for n in ids {
            for (what, body) in other_bodies(n).into_iter().skip(2) {
                let want = if matches!(what, "fits no machine" | "of no team") { 422 } else { 400 };
                let (code, answer) = self.submit(at, &body).await;
                let node = &at.controller.settings.node;
                assert!(code == want || code == 503, "{what} at {node}: {code} {answer}");
                all_answered &= code == want;
            }
            assert_eq!(self.stored_status(n), StoredStatus::Absent);
        }
        all_answered
    }
}

/// Repeated and invalid submissions without faults, while a cancellation is unconfirmed, during a failover, and to a
/// controller that has just started and cannot reach the cloud: a repeated submission of an accepted job is never
/// rejected permanently, whatever else its body says, and a job that can never run is never accepted.
#[test]
fn accepted_jobs_are_never_rejected_and_impossible_jobs_never_accepted() {
    let (deployment, a, b) = start_leader_and_follower(3);
    deployment.outside.block_on(async {
        for (n, run) in [(1, ENDLESS), (2, SHORT), (3, ENDLESS)] {
            deployment.submit_until_accepted(&b, n, run).await;
        }
        deployment.wait_until_running(1).await;
        deployment.wait_until_running(3).await;
        deployment.all_report([&a, &b], 2, "done").await;
        for at in [&a, &b] {
            for n in 1..=3 {
                assert!(
                    deployment.resubmit_all_bodies(at, n).await,
                    "without faults every repeated submission of {n} must be answered"
                );
            }
            assert!(deployment.submit_impossible_jobs(at, 11..13).await);
        }

        // Accepted so recently that the other controller does not know the job, and checks the body of a repeated submission.
        for (n, at, other) in [(4, &a, &b), (5, &b, &a)] {
            deployment.quiet_watches();
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            assert!(
                deployment.resubmit_all_bodies(other, n).await,
                "without faults every repeated submission of {n} must be answered"
            );
            deployment.faults(|faults| faults.quiet_watches = false);
        }

        // The state service refuses the leader: the cancellation is stored and cannot be confirmed.
        deployment.world.state.lock().unwrap().store.set_refused("0", true);
        let (code, answer) = deployment.send(&b, 3, UserRequest::Cancel).await;
        assert_eq!((code, deployment.stored_status(3)), (503, StoredStatus::Cancelled), "{answer}");
        for at in [&b, &a] {
            for n in 1..=3 {
                deployment.resubmit_all_bodies(at, n).await;
            }
            deployment.submit_impossible_jobs(at, 13..14).await;
        }
        assert_eq!(deployment.request_and_check(&b, 2, UserRequest::Cancel).await.as_deref(), Some("done"));
        deployment.world.state.lock().unwrap().store.set_refused("0", false);
    });
    // The first controller ends; if it still was the leader, the other one takes over.
    drop(a);
    deployment.outside.block_on(async {
        wait_until("taken over", || async {
            for n in 1..=3 {
                deployment.resubmit_all_bodies(&b, n).await;
                deployment.request_and_check(&b, n, UserRequest::LookUp).await;
            }
            deployment.submit_impossible_jobs(&b, 14..15).await;
            b.controller.membership.watermark().is_some()
        })
        .await;
        deployment.all_report([&b, &b], 3, "withdrawn").await;
        wait_until("all tasks stopped", || async { deployment.count_live_tasks(3) == 0 }).await;
    });
    let door = deployment.outside.block_on(deployment.world.serve_controller(2));
    let mut settings_without_cloud = settings("node-c", &["node-a", "node-b"], &door);
    // This address has no listener.
    settings_without_cloud["endpoints"]["cloud"] = json!("127.0.0.1:1");
    let c = ControllerProcess::start(&deployment.world, &settings_without_cloud);
    deployment.outside.block_on(async {
        wait_until("all repeated submissions answered", || async {
            let mut all_answered = true;
            for n in 1..=3 {
                all_answered &= deployment.resubmit_all_bodies(&c, n).await;
            }
            deployment.submit_impossible_jobs(&c, 15..16).await;
            all_answered
        })
        .await;
        assert!(c.controller.catalog.get().is_none());
        let (code, answer) = deployment.submit(&c, &other_bodies(16)[2].1).await;
        assert_eq!(code, 503, "without machine types nothing may be decided: {answer}");
        assert_eq!(
            (deployment.count_starts(1), deployment.count_live_tasks(1)),
            (3, 3),
            "no repeated submission may change the job"
        );
        let stored = deployment.world.state.lock().unwrap().store.value("c/o/run-000001").unwrap()["spec"].clone();
        assert_eq!((&stored["legs"], &stored["cpus"]), (&json!(3), &json!(0.1)));
    });
    deployment.end([b, c]);
}

/// Guards against repeated submissions that are answered 503 for as long as the cloud is out: a controller that was
/// started meanwhile does not know the machine types, and has not heard of jobs that ended before its start.
#[test]
fn repeated_submission_of_an_ended_job_is_answered_without_machine_types() {
    let (deployment, a, b) = start_leader_and_follower(3);
    deployment.outside.block_on(async {
        for n in [1, 2] {
            deployment.submit_until_accepted(&a, n, if n == 1 { SHORT } else { ENDLESS }).await;
        }
        deployment.all_report([&a, &b], 1, "done").await;
        wait_until("cancelled", || async { deployment.request_and_check(&a, 2, UserRequest::Cancel).await.is_some() })
            .await;
    });
    deployment.world.cloud.lock().unwrap().set_outage(true);
    let c = deployment.start_controller(&["node-a", "node-b", "node-c"], 2, 3);
    deployment.outside.block_on(async {
        wait_until("the third has read the store", || async { c.controller.store.watch_cache().is_ready() }).await;
        for (n, status) in [(1, "done"), (2, "withdrawn")] {
            let answer = deployment.request_and_check(&c, n, UserRequest::Submit).await;
            assert_eq!(answer.as_deref(), Some(status), "{n}");
        }
        assert!(c.controller.catalog.get().is_none());
        assert_eq!(deployment.request_and_check(&c, 3, UserRequest::Submit).await, None, "nothing may be decided");
    });
    deployment.end([a, b, c]);
}
