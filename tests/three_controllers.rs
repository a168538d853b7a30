//! Users who look closely where there are three controllers: one leads, one is lagging, since what its watches tell it
//! arrives late, and one has just started and has not read everything. All are asked at once, within milliseconds,
//! right after a job was accepted, has ended or was confirmed as cancelled, and its submission is repeated at each.
//! Every answer is held against what is stored before and after it (`stand_in::observer`).

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use stand_in::observer::{
    ALL_REQUESTS, REPEATABLE_REQUESTS, StoredStatus, TestDeployment, UserRequest, id, start_deployment,
};
use stand_in::{ControllerProcess, ENDLESS, SHORT, until};

const NAMES: [&str; 3] = ["node-a", "node-b", "node-c"];
const LAGGING: usize = 1;
const STARTING: usize = 2;

const WATCHES: &str = "/follow";
const PAGES: &str = "/keys";

/// How late the lagging controller hears what its watches were told, proofs of freshness too.
const LAG: Duration = Duration::from_millis(350);
/// Longer than any test takes.
const FOR_EVER: Duration = Duration::from_secs(3600);
/// A job that ends in its own time is still open when the controller that starts has read its key.
const A_WHILE: Duration = Duration::from_secs(3);
/// Its key comes after those of all other jobs: the last to be read.
const LAST: u64 = 900;
/// A takeover is to come soon.
const LEASE_S: u64 = 3;

/// The leader and the lagging one.
fn two_of_three(lease_s: u64) -> (TestDeployment, ControllerProcess, ControllerProcess) {
    let (deployment, leader, lagging) = start_deployment(&NAMES, lease_s);
    deployment.hold_back(LAGGING, WATCHES, 0, LAG);
    deployment.outside.block_on(deployment.submit_until_accepted(&leader, LAST, ENDLESS));
    (deployment, leader, lagging)
}

/// The third, which has read so many pages of what is stored by now, and reads on only once it is let go.
fn starting(deployment: &TestDeployment, pages: u32, lease_s: u64) -> ControllerProcess {
    deployment.hold_back(STARTING, PAGES, pages, FOR_EVER);
    let controller = deployment.start_controller(&NAMES, STARTING, lease_s);
    let begun = until("it has begun to read", || async { deployment.still_passing(STARTING, PAGES) == 0 });
    deployment.outside.block_on(begun);
    controller
}

impl TestDeployment {
    /// Everybody is asked at once. The one that starts reads on only after the others have answered.
    async fn everybody_answers(
        &self,
        [leader, lagging, starting]: [&ControllerProcess; 3],
        n: u64,
        ways: &[UserRequest],
    ) {
        let others = async {
            self.request_concurrently(&[leader, lagging], n, ways).await;
            self.let_go(STARTING, PAGES);
        };
        let starting = [starting];
        tokio::join!(others, self.request_concurrently(&starting, n, ways));
    }

    /// Users look the job up at this node before, throughout and after what happens: in most moments a proof of
    /// freshness is on its way to it, which was made before.
    async fn while_looked_up(&self, at: &ControllerProcess, n: u64, happens: impl Future<Output = ()>) {
        let (request_in_turn, over) = (AtomicUsize::new(0), AtomicBool::new(false));
        let look_up = async {
            while !over.load(Ordering::Relaxed) {
                self.request_and_check(at, n, UserRequest::LookUp).await;
                request_in_turn.fetch_add(1, Ordering::Relaxed);
            }
        };
        let happens = async {
            until("looked up", || async { request_in_turn.load(Ordering::Relaxed) > 0 }).await;
            happens.await;
            over.store(true, Ordering::Relaxed);
        };
        tokio::join!(look_up, happens);
    }

    async fn told(&self, at: &ControllerProcess, n: u64, how: UserRequest, want: &str) {
        until(want, || async { self.request_and_check(at, n, how).await.as_deref() == Some(want) }).await;
    }

    async fn gone(&self, n: u64) {
        until("gone", || async { self.live(n) == 0 }).await;
    }
}

/// Accepted by the leader or by the lagging one, while the third has read past the place of its key.
#[test]
fn a_job_just_accepted_is_open_to_all_three() {
    let (deployment, leader, lagging) = two_of_three(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        let starting = starting(&deployment, 2, 10);
        deployment.outside.block_on(async {
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            let key = format!("c/o/{}", id(n));
            let version = deployment.version(&key);
            deployment.everybody_answers([&leader, &lagging, &starting], n, &REPEATABLE_REQUESTS).await;
            deployment.wait_until_running(n).await;
            assert_eq!((deployment.version(&key), deployment.started(n)), (version, 3), "accepted once, and run once");
        });
    }
    deployment.end([leader, lagging]);
}

/// Told as done by the leader or by the lagging one, while the third has read it as open.
#[test]
fn a_job_just_done_is_done_to_all_three() {
    let (deployment, leader, lagging) = two_of_three(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        deployment.outside.block_on(deployment.submit_until_accepted(at, n, A_WHILE));
        let starting = starting(&deployment, 1, 10);
        deployment.outside.block_on(async {
            let key = format!("h/d/{}", id(n));
            let ends = async {
                deployment.told(at, n, UserRequest::LookUp, "done").await;
                deployment.everybody_answers([&leader, &lagging, &starting], n, &ALL_REQUESTS).await;
            };
            deployment.while_looked_up(&lagging, n, ends).await;
            let version = deployment.version(&key);
            deployment.all_report([&leader, &lagging, &starting], n, "done").await;
            assert_eq!(
                (deployment.version(&key), deployment.started(n)),
                (version, 3),
                "one end, and nothing run again"
            );
        });
    }
    deployment.end([leader, lagging]);
}

/// Confirmed as cancelled by the leader or by the lagging one, while the third has read it as open.
#[test]
fn a_job_just_confirmed_as_cancelled_is_so_to_all_three() {
    let (deployment, leader, lagging) = two_of_three(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        deployment.outside.block_on(async {
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            deployment.wait_until_running(n).await;
        });
        let starting = starting(&deployment, 1, 10);
        deployment.outside.block_on(async {
            let is_cancelled = async {
                deployment.told(at, n, UserRequest::Cancel, "withdrawn").await;
                assert!(deployment.some_cluster_has(&[&leader, &lagging, &starting], n), "told before a leader has it");
                deployment.everybody_answers([&leader, &lagging, &starting], n, &ALL_REQUESTS).await;
            };
            deployment.while_looked_up(&lagging, n, is_cancelled).await;
            deployment.all_report([&leader, &lagging, &starting], n, "withdrawn").await;
            deployment.gone(n).await;
            assert_eq!(deployment.started(n), 3, "nothing was started after it");
        });
    }
    deployment.end([leader, lagging]);
}

/// Cancelled in the same moment in which it was accepted, at all three at once, while others look and submit again.
#[test]
fn a_job_cancelled_at_once_is_cancelled_to_all_three() {
    let (deployment, leader, lagging) = two_of_three(10);
    for (n, at) in [(1, &leader), (2, &lagging), (3, &leader), (4, &lagging)] {
        let starting = starting(&deployment, 1, 10);
        deployment.outside.block_on(async {
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            deployment.everybody_answers([&leader, &lagging, &starting], n, &ALL_REQUESTS).await;
            deployment.all_report([&leader, &lagging, &starting], n, "withdrawn").await;
            deployment.gone(n).await;
            assert!(deployment.started(n) <= 3, "started again");
        });
    }
    deployment.end([leader, lagging]);
}

/// The leader ends right after it has told of all of these, the lagging one or the one that starts takes over, and then
/// the other of them: all say the same of each job throughout, and a cancellation that comes in between is told only
/// once a leader has it.
#[test]
fn takeovers_make_nobody_answer_anything_older() {
    let (deployment, leader, lagging) = two_of_three(LEASE_S);
    let [open, done, cancelled, cancelled_between] = [1, 2, 3, 4];
    deployment.outside.block_on(async {
        for n in [open, cancelled, cancelled_between] {
            deployment.submit_until_accepted(&leader, n, ENDLESS).await;
            deployment.wait_until_running(n).await;
        }
    });
    let starting = starting(&deployment, 1, LEASE_S);
    deployment.outside.block_on(async {
        deployment.submit_until_accepted(&leader, done, SHORT).await;
        deployment.told(&leader, done, UserRequest::LookUp, "done").await;
        deployment.told(&leader, cancelled, UserRequest::Cancel, "withdrawn").await;
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
            deployment.told(&lagging, cancelled_between, UserRequest::Cancel, "withdrawn").await;
            assert!(deployment.some_cluster_has(&both, cancelled_between), "told before a leader has it");
            deployment.let_go(STARTING, PAGES);
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
        until("it leads", || async { starting.controller.membership.watermark().is_some() }).await;
        for (n, want) in [(done, "done"), (cancelled, "withdrawn"), (cancelled_between, "withdrawn")] {
            deployment.all_report(last, n, want).await;
        }
        deployment.gone(cancelled).await;
        deployment.gone(cancelled_between).await;
        assert_eq!(
            (deployment.stored_status(open), deployment.live(open)),
            (StoredStatus::Open, 3),
            "what is open runs on"
        );
        for n in [open, done, cancelled, cancelled_between] {
            assert_eq!(deployment.started(n), 3, "{n} was started once");
        }
    });
    deployment.end([starting]);
}
