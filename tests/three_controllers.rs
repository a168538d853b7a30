//! Users who look closely where there are three controllers: one leads, one is lagging, since what its watches tell it
//! arrives late, and one has just started and has not read everything. All are asked at once, within milliseconds,
//! right after a job was accepted, has ended or was confirmed as cancelled, and its submission is repeated at each.
//! Every answer is held against what is stored before and after it (`stand_in::observer`).

// A stand-in that panics fails its test, as it should.
#![allow(clippy::unwrap_used)]

mod stand_in;

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use stand_in::observer::{ALL, How, LOOKS, Stage, Stands, id, stage_among};
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
fn two_of_three(lease_s: u64) -> (Stage, ControllerProcess, ControllerProcess) {
    let (stage, leader, lagging) = stage_among(&NAMES, lease_s);
    stage.hold_back(LAGGING, WATCHES, 0, LAG);
    stage.outside.block_on(stage.accepted(&leader, LAST, ENDLESS));
    (stage, leader, lagging)
}

/// The third, which has read so many pages of what is stored by now, and reads on only once it is let go.
fn starting(stage: &Stage, pages: u32, lease_s: u64) -> ControllerProcess {
    stage.hold_back(STARTING, PAGES, pages, FOR_EVER);
    let controller = stage.starts(&NAMES, STARTING, lease_s);
    let begun = until("it has begun to read", || async { stage.still_passing(STARTING, PAGES) == 0 });
    stage.outside.block_on(begun);
    controller
}

impl Stage {
    /// Everybody is asked at once. The one that starts reads on only after the others have answered.
    async fn everybody_answers(&self, [leader, lagging, starting]: [&ControllerProcess; 3], n: u64, ways: &[How]) {
        let others = async {
            self.all_answer(&[leader, lagging], n, ways).await;
            self.let_go(STARTING, PAGES);
        };
        let starting = [starting];
        tokio::join!(others, self.all_answer(&starting, n, ways));
    }

    /// Users look the job up at this node before, throughout and after what happens: in most moments a proof of
    /// freshness is on its way to it, which was made before.
    async fn while_looked_up(&self, at: &ControllerProcess, n: u64, happens: impl Future<Output = ()>) {
        let (looks, over) = (AtomicUsize::new(0), AtomicBool::new(false));
        let look_up = async {
            while !over.load(Ordering::Relaxed) {
                self.look(at, n, How::LookUp).await;
                looks.fetch_add(1, Ordering::Relaxed);
            }
        };
        let happens = async {
            until("looked up", || async { looks.load(Ordering::Relaxed) > 0 }).await;
            happens.await;
            over.store(true, Ordering::Relaxed);
        };
        tokio::join!(look_up, happens);
    }

    async fn told(&self, at: &ControllerProcess, n: u64, how: How, want: &str) {
        until(want, || async { self.look(at, n, how).await.as_deref() == Some(want) }).await;
    }

    async fn gone(&self, n: u64) {
        until("gone", || async { self.live(n) == 0 }).await;
    }
}

/// Accepted by the leader or by the lagging one, while the third has read past the place of its key.
#[test]
fn a_job_just_accepted_is_open_to_all_three() {
    let (stage, leader, lagging) = two_of_three(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        let starting = starting(&stage, 2, 10);
        stage.outside.block_on(async {
            stage.accepted(at, n, ENDLESS).await;
            let key = format!("c/o/{}", id(n));
            let version = stage.version(&key);
            stage.everybody_answers([&leader, &lagging, &starting], n, &LOOKS).await;
            stage.running(n).await;
            assert_eq!((stage.version(&key), stage.started(n)), (version, 3), "accepted once, and run once");
        });
    }
    stage.end([leader, lagging]);
}

/// Told as done by the leader or by the lagging one, while the third has read it as open.
#[test]
fn a_job_just_done_is_done_to_all_three() {
    let (stage, leader, lagging) = two_of_three(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        stage.outside.block_on(stage.accepted(at, n, A_WHILE));
        let starting = starting(&stage, 1, 10);
        stage.outside.block_on(async {
            let key = format!("h/d/{}", id(n));
            let ends = async {
                stage.told(at, n, How::LookUp, "done").await;
                stage.everybody_answers([&leader, &lagging, &starting], n, &ALL).await;
            };
            stage.while_looked_up(&lagging, n, ends).await;
            let version = stage.version(&key);
            stage.all_say([&leader, &lagging, &starting], n, "done").await;
            assert_eq!((stage.version(&key), stage.started(n)), (version, 3), "one end, and nothing run again");
        });
    }
    stage.end([leader, lagging]);
}

/// Confirmed as cancelled by the leader or by the lagging one, while the third has read it as open.
#[test]
fn a_job_just_confirmed_as_cancelled_is_so_to_all_three() {
    let (stage, leader, lagging) = two_of_three(10);
    for (n, at) in [(1, &leader), (2, &lagging)] {
        stage.outside.block_on(async {
            stage.accepted(at, n, ENDLESS).await;
            stage.running(n).await;
        });
        let starting = starting(&stage, 1, 10);
        stage.outside.block_on(async {
            let is_cancelled = async {
                stage.told(at, n, How::Cancel, "withdrawn").await;
                assert!(stage.some_cluster_has(&[&leader, &lagging, &starting], n), "told before a leader has it");
                stage.everybody_answers([&leader, &lagging, &starting], n, &ALL).await;
            };
            stage.while_looked_up(&lagging, n, is_cancelled).await;
            stage.all_say([&leader, &lagging, &starting], n, "withdrawn").await;
            stage.gone(n).await;
            assert_eq!(stage.started(n), 3, "nothing was started after it");
        });
    }
    stage.end([leader, lagging]);
}

/// Cancelled in the same moment in which it was accepted, at all three at once, while others look and submit again.
#[test]
fn a_job_canceln_at_once_is_cancelled_to_all_three() {
    let (stage, leader, lagging) = two_of_three(10);
    for (n, at) in [(1, &leader), (2, &lagging), (3, &leader), (4, &lagging)] {
        let starting = starting(&stage, 1, 10);
        stage.outside.block_on(async {
            stage.accepted(at, n, ENDLESS).await;
            stage.everybody_answers([&leader, &lagging, &starting], n, &ALL).await;
            stage.all_say([&leader, &lagging, &starting], n, "withdrawn").await;
            stage.gone(n).await;
            assert!(stage.started(n) <= 3, "started again");
        });
    }
    stage.end([leader, lagging]);
}

/// The leader ends right after it has told of all of these, the lagging one or the one that starts takes over, and then
/// the other of them: all say the same of each job throughout, and a cancellation that comes in between is told only
/// once a leader has it.
#[test]
fn takeovers_make_nobody_answer_anything_older() {
    let (stage, leader, lagging) = two_of_three(LEASE_S);
    let [open, done, cancelled, cancelled_between] = [1, 2, 3, 4];
    stage.outside.block_on(async {
        for n in [open, cancelled, cancelled_between] {
            stage.accepted(&leader, n, ENDLESS).await;
            stage.running(n).await;
        }
    });
    let starting = starting(&stage, 1, LEASE_S);
    stage.outside.block_on(async {
        stage.accepted(&leader, done, SHORT).await;
        stage.told(&leader, done, How::LookUp, "done").await;
        stage.told(&leader, cancelled, How::Cancel, "withdrawn").await;
    });
    drop(leader);
    stage.outside.block_on(async {
        let both = [&lagging, &starting];
        let all_the_time = async {
            tokio::join!(
                stage.all_answer(&both, open, &LOOKS),
                stage.all_answer(&both, done, &ALL),
                stage.all_answer(&both, cancelled, &ALL),
            )
        };
        let between = async {
            stage.told(&lagging, cancelled_between, How::Cancel, "withdrawn").await;
            assert!(stage.some_cluster_has(&both, cancelled_between), "told before a leader has it");
            stage.let_go(STARTING, PAGES);
            stage.all_answer(&both, cancelled_between, &ALL).await;
        };
        tokio::join!(all_the_time, between);
    });
    drop(lagging);
    stage.outside.block_on(async {
        let last = [&starting];
        tokio::join!(
            stage.all_answer(&last, open, &LOOKS),
            stage.all_answer(&last, done, &ALL),
            stage.all_answer(&last, cancelled, &ALL),
            stage.all_answer(&last, cancelled_between, &ALL),
        );
        until("it leads", || async { starting.controller.membership.watermark().is_some() }).await;
        for (n, want) in [(done, "done"), (cancelled, "withdrawn"), (cancelled_between, "withdrawn")] {
            stage.all_say(last, n, want).await;
        }
        stage.gone(cancelled).await;
        stage.gone(cancelled_between).await;
        assert_eq!((stage.stands(open), stage.live(open)), (Stands::Open, 3), "what is open runs on");
        for n in [open, done, cancelled, cancelled_between] {
            assert_eq!(stage.started(n), 3, "{n} was started once");
        }
    });
    stage.end([starting]);
}
