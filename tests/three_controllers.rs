//! Responses of three controllers: the leader, a lagging one whose watch events arrive late, and one that has just
//! started and has not read the whole store. All are asked concurrently, within milliseconds, right after a job was
//! accepted, has ended or was confirmed as cancelled, and its submission is repeated at each. Every response is compared
//! with what is stored before and after it (`stand_in::observer`).

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use stand_in::observer::{
    ALL_REQUESTS, REPEATABLE_REQUESTS, StoredStatus, TestDeployment, UserRequest, id, start_deployment,
};
use stand_in::{ControllerProcess, ENDLESS, SHORT, wait_until};

const NAMES: [&str; 3] = ["node-a", "node-b", "node-c"];
/// The index of the lagging controller.
const LAGGING: usize = 1;
/// The index of the controller that has just started.
const STARTING: usize = 2;

/// The state service's path for watches.
const WATCH_PATH: &str = "/follow";
/// The state service's path for pages of keys.
const PAGE_PATH: &str = "/keys";

/// The delay of the lagging controller's watch answers, which include confirmations of its read barriers.
const WATCH_DELAY: Duration = Duration::from_millis(350);
/// A delay that outlasts every test.
const UNLIMITED_DELAY: Duration = Duration::from_secs(3600);
/// The run time of a job that is still open when the starting controller has read its key.
const RUN_TIME: Duration = Duration::from_secs(3);
/// The number of the job whose key is read last, since it follows the keys of all other jobs.
const LAST_JOB: u64 = 900;
/// An election lease that is short, so that a takeover follows soon.
const SHORT_LEASE_S: u64 = 3;

/// Starts the leader and the lagging controller.
fn start_leader_and_lagging(lease_s: u64) -> (TestDeployment, ControllerProcess, ControllerProcess) {
    let (deployment, leader, lagging) = start_deployment(&NAMES, lease_s);
    deployment.delay_answers(LAGGING, WATCH_PATH, 0, WATCH_DELAY);
    deployment.outside.block_on(deployment.submit_until_accepted(&leader, LAST_JOB, ENDLESS));
    (deployment, leader, lagging)
}

/// Starts the third controller. It reads `pages` pages of the store, and the rest only once the delay is ended.
fn start_third(deployment: &TestDeployment, pages: u32, lease_s: u64) -> ControllerProcess {
    deployment.delay_answers(STARTING, PAGE_PATH, pages, UNLIMITED_DELAY);
    let controller = deployment.start_controller(&NAMES, STARTING, lease_s);
    let begun = wait_until("the first pages read", || async {
        deployment.remaining_undelayed_answers(STARTING, PAGE_PATH) == 0
    });
    deployment.outside.block_on(begun);
    controller
}

impl TestDeployment {
    /// Sends requests to all controllers concurrently. The starting one reads on only after the others have answered.
    async fn request_from_all(
        &self,
        [leader, lagging, starting]: [&ControllerProcess; 3],
        n: u64,
        ways: &[UserRequest],
    ) {
        let others = async {
            self.request_concurrently(&[leader, lagging], n, ways).await;
            self.stop_delaying_answers(STARTING, PAGE_PATH);
        };
        let starting = [starting];
        tokio::join!(others, self.request_concurrently(&starting, n, ways));
    }

    /// Looks the job up at this controller before, during and after `happens`, so that at most moments a read barrier that
    /// began earlier is in flight for it.
    async fn while_looked_up(&self, at: &ControllerProcess, n: u64, happens: impl Future<Output = ()>) {
        let (look_ups, over) = (AtomicUsize::new(0), AtomicBool::new(false));
        let look_up = async {
            while !over.load(Ordering::Relaxed) {
                self.request_and_check(at, n, UserRequest::LookUp).await;
                look_ups.fetch_add(1, Ordering::Relaxed);
            }
        };
        let happens = async {
            wait_until("looked up", || async { look_ups.load(Ordering::Relaxed) > 0 }).await;
            happens.await;
            over.store(true, Ordering::Relaxed);
        };
        tokio::join!(look_up, happens);
    }

    /// Repeats the request until the controller reports the status `want`.
    async fn wait_until_reported(&self, at: &ControllerProcess, n: u64, how: UserRequest, want: &str) {
        wait_until(want, || async { self.request_and_check(at, n, how).await.as_deref() == Some(want) }).await;
    }

    /// Waits until no task of the job runs any more.
    async fn wait_until_stopped(&self, n: u64) {
        wait_until("all tasks stopped", || async { self.count_live_tasks(n) == 0 }).await;
    }
}

/// The leader or the lagging controller accepts a job after the starting one has read past the position of its key.
#[test]
fn job_just_accepted_is_reported_open_by_all_three() {
    let (deployment, leader, lagging) = start_leader_and_lagging(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        let starting = start_third(&deployment, 2, 10);
        deployment.outside.block_on(async {
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            let key = format!("c/o/{}", id(n));
            let version = deployment.version(&key);
            deployment.request_from_all([&leader, &lagging, &starting], n, &REPEATABLE_REQUESTS).await;
            deployment.wait_until_running(n).await;
            assert_eq!(
                (deployment.version(&key), deployment.count_starts(n)),
                (version, 3),
                "the job must be accepted and run once"
            );
        });
    }
    deployment.end([leader, lagging]);
}

/// The leader or the lagging controller reports a job as done after the starting one has read it as open.
#[test]
fn job_just_done_is_reported_done_by_all_three() {
    let (deployment, leader, lagging) = start_leader_and_lagging(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        deployment.outside.block_on(deployment.submit_until_accepted(at, n, RUN_TIME));
        let starting = start_third(&deployment, 1, 10);
        deployment.outside.block_on(async {
            let key = format!("h/d/{}", id(n));
            let ends = async {
                deployment.wait_until_reported(at, n, UserRequest::LookUp, "done").await;
                deployment.request_from_all([&leader, &lagging, &starting], n, &ALL_REQUESTS).await;
            };
            deployment.while_looked_up(&lagging, n, ends).await;
            let version = deployment.version(&key);
            deployment.all_report([&leader, &lagging, &starting], n, "done").await;
            assert_eq!(
                (deployment.version(&key), deployment.count_starts(n)),
                (version, 3),
                "the end must be stored once and no task run again"
            );
        });
    }
    deployment.end([leader, lagging]);
}

/// The leader or the lagging controller confirms a cancellation after the starting one has read the job as open.
#[test]
fn job_just_cancelled_is_reported_cancelled_by_all_three() {
    let (deployment, leader, lagging) = start_leader_and_lagging(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        deployment.outside.block_on(async {
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            deployment.wait_until_running(n).await;
        });
        let starting = start_third(&deployment, 1, 10);
        deployment.outside.block_on(async {
            let is_cancelled = async {
                deployment.wait_until_reported(at, n, UserRequest::Cancel, "withdrawn").await;
                assert!(
                    deployment.some_cluster_has(&[&leader, &lagging, &starting], n),
                    "cancellation reported before a leader has it"
                );
                deployment.request_from_all([&leader, &lagging, &starting], n, &ALL_REQUESTS).await;
            };
            deployment.while_looked_up(&lagging, n, is_cancelled).await;
            deployment.all_report([&leader, &lagging, &starting], n, "withdrawn").await;
            deployment.wait_until_stopped(n).await;
            assert_eq!(deployment.count_starts(n), 3, "no task may be started after the cancellation");
        });
    }
    deployment.end([leader, lagging]);
}

/// A job is cancelled at all three controllers right after its acceptance, while other requests look it up and resubmit it.
#[test]
fn job_cancelled_right_after_acceptance_is_reported_cancelled_by_all_three() {
    let (deployment, leader, lagging) = start_leader_and_lagging(10);
    for (n, at) in [(1, &leader), (2, &lagging), (3, &leader), (4, &lagging)] {
        let starting = start_third(&deployment, 1, 10);
        deployment.outside.block_on(async {
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            deployment.request_from_all([&leader, &lagging, &starting], n, &ALL_REQUESTS).await;
            deployment.all_report([&leader, &lagging, &starting], n, "withdrawn").await;
            deployment.wait_until_stopped(n).await;
            assert!(deployment.count_starts(n) <= 3, "no task may be started again");
        });
    }
    deployment.end([leader, lagging]);
}

/// The leader ends right after it has reported the status of all jobs, the lagging or the starting controller takes over,
/// and then the other of the two. The status of each job stays consistent throughout, and a cancellation between the two
/// takeovers is reported only once a leader has it.
#[test]
fn no_controller_reports_an_older_status_during_takeovers() {
    let (deployment, leader, lagging) = start_leader_and_lagging(SHORT_LEASE_S);
    let [open, done, cancelled, cancelled_between] = [1, 2, 3, 4];
    deployment.outside.block_on(async {
        for n in [open, cancelled, cancelled_between] {
            deployment.submit_until_accepted(&leader, n, ENDLESS).await;
            deployment.wait_until_running(n).await;
        }
    });
    let starting = start_third(&deployment, 1, SHORT_LEASE_S);
    deployment.outside.block_on(async {
        deployment.submit_until_accepted(&leader, done, SHORT).await;
        deployment.wait_until_reported(&leader, done, UserRequest::LookUp, "done").await;
        deployment.wait_until_reported(&leader, cancelled, UserRequest::Cancel, "withdrawn").await;
    });
    drop(leader);
    deployment.outside.block_on(async {
        let both = [&lagging, &starting];
        let all_the_time = async {
            tokio::join!(
                deployment.request_concurrently(&both, open, &REPEATABLE_REQUESTS),
                deployment.request_concurrently(&both, done, &ALL_REQUESTS),
                deployment.request_concurrently(&both, cancelled, &ALL_REQUESTS),
            )
        };
        let between = async {
            deployment.wait_until_reported(&lagging, cancelled_between, UserRequest::Cancel, "withdrawn").await;
            assert!(
                deployment.some_cluster_has(&both, cancelled_between),
                "cancellation reported before a leader has it"
            );
            deployment.stop_delaying_answers(STARTING, PAGE_PATH);
            deployment.request_concurrently(&both, cancelled_between, &ALL_REQUESTS).await;
        };
        tokio::join!(all_the_time, between);
    });
    drop(lagging);
    deployment.outside.block_on(async {
        let last = [&starting];
        tokio::join!(
            deployment.request_concurrently(&last, open, &REPEATABLE_REQUESTS),
            deployment.request_concurrently(&last, done, &ALL_REQUESTS),
            deployment.request_concurrently(&last, cancelled, &ALL_REQUESTS),
            deployment.request_concurrently(&last, cancelled_between, &ALL_REQUESTS),
        );
        wait_until("leadership acquired", || async { starting.controller.membership.watermark().is_some() }).await;
        for (n, want) in [(done, "done"), (cancelled, "withdrawn"), (cancelled_between, "withdrawn")] {
            deployment.all_report(last, n, want).await;
        }
        deployment.wait_until_stopped(cancelled).await;
        deployment.wait_until_stopped(cancelled_between).await;
        assert_eq!(
            (deployment.stored_status(open), deployment.count_live_tasks(open)),
            (StoredStatus::Open, 3),
            "the open job must keep running"
        );
        for n in [open, done, cancelled, cancelled_between] {
            assert_eq!(deployment.count_starts(n), 3, "the tasks of {n} must be started once");
        }
    });
    deployment.end([starting]);
}
