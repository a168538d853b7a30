//! A transaction of the leader is carried out immediately and only its answer is lost, while other controllers read what
//! it wrote: placements, leader records and scale-out orders. No task runs twice, no machine is rented twice, no two
//! controllers lead under one fencing token, and jobs are still completed. Acceptances, cancellations and ends are in
//! `response_consistency.rs`.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use stand_in::observer::{REPEATABLE_REQUESTS, TestDeployment, UserRequest, id, start_leader_and_follower};
use stand_in::{ControllerProcess, ENDLESS, SHORT, job, upload, wait_until};

/// The key prefix of placements.
const PLACEMENTS: &str = "t/";
/// The key prefix of leader records.
const LEADER_RECORDS: &str = "c/owner/";
/// The key prefix of cloud orders.
const ORDERS: &str = "d/";

/// The key of the leader record.
const LEADER: &str = "c/owner/0";

/// An election lease that outlasts the wait for a missing answer.
const LONG_LEASE_S: u64 = 10;
/// An election lease that is short, so that a takeover follows soon.
const SHORT_LEASE_S: u64 = 3;

/// Returns the key of the job's only task shard.
fn shard_key(n: u64) -> String {
    format!("{PLACEMENTS}{}/00000", id(n))
}

impl TestDeployment {
    /// Makes the state service carry out the next transaction that writes a key with this prefix without answering it.
    fn lose_an_answer(&self, key_prefix: &'static str) {
        self.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some(key_prefix)));
    }

    /// Returns how many answers are still to be lost.
    fn answers_to_lose(&self) -> u32 {
        self.world.state.lock().unwrap().faults.unanswered_writes
    }

    /// Returns the number of rented machines.
    fn count_machines(&self) -> usize {
        self.world.cloud.lock().unwrap().count_held(self.world.now())
    }

    /// Returns the keys of the stored cloud orders.
    fn order_keys(&self) -> Vec<String> {
        let state = self.world.state.lock().unwrap();
        state.store.entries_with_prefix(ORDERS).map(|(key, ..)| key.to_owned()).collect()
    }

    /// Submits a job that needs machines at this controller, and loses the answer to the scale-out order that the leader
    /// stores for them.
    async fn lose_the_answer_of_an_order(&self, at: &ControllerProcess) {
        let job = whole_machine_job(1);
        upload(&self.world, &job, ENDLESS);
        self.lose_an_answer(ORDERS);
        wait_until("accepted", || async { self.submit(at, &job).await.0 / 100 == 2 }).await;
        wait_until("ordered", || async { self.answers_to_lose() == 0 }).await;
    }

    /// Checks that a new job is accepted, run and completed.
    async fn complete_a_new_job(&self, at: &ControllerProcess, n: u64) {
        self.submit_until_accepted(at, n, SHORT).await;
        wait_until("done", || async {
            self.request_and_check(at, n, UserRequest::LookUp).await.as_deref() == Some("done")
        })
        .await;
        assert_eq!(self.count_starts(n), 3);
    }
}

/// Returns a job whose tasks each need a whole on-demand machine. The world has no spot machines, so that a request for
/// those would rent nothing.
fn whole_machine_job(n: u64) -> Value {
    let mut job = job(n, TASKS as u64);
    (job["cpus"], job["memGb"], job["borrowed"]) = (json!(8.0), json!(8.0), json!(false));
    job
}

/// The leader finds its own placement in the store, and starts its tasks once.
#[test]
fn placement_with_lost_answer_runs_once() {
    let (deployment, leader, other) = start_leader_and_follower(LONG_LEASE_S);
    deployment.outside.block_on(async {
        for n in 1..=3 {
            deployment.lose_an_answer(PLACEMENTS);
            deployment.submit_until_accepted(&other, n, ENDLESS).await;
            wait_until("placed", || async { deployment.has(&shard_key(n)) }).await;
            let version = deployment.version(&shard_key(n));
            assert_eq!(deployment.answers_to_lose(), 0, "the answer to the placement must be lost");
            deployment.request_in_turn([&other, &leader], n, &REPEATABLE_REQUESTS, 5).await;
            deployment.wait_until_running(n).await;
            deployment.request_concurrently(&[&other, &leader], n, &REPEATABLE_REQUESTS).await;
            assert_eq!(
                (deployment.version(&shard_key(n)), deployment.count_live_tasks(n)),
                (version, 3),
                "the tasks must be placed once"
            );
        }
        deployment.complete_a_new_job(&other, 4).await;
        for n in 1..=3 {
            assert_eq!(
                (deployment.count_starts(n), deployment.count_live_tasks(n)),
                (3, 3),
                "the tasks of {n} must run once"
            );
        }
    });
    deployment.end([leader, other]);
}

/// The answer to a placement is lost and the leader ends before it learns of it: its successor reads the placement, whose
/// tasks were not started.
#[test]
fn placement_of_a_leader_that_ends_without_an_answer_runs_once() {
    let (deployment, leader, other) = start_leader_and_follower(SHORT_LEASE_S);
    deployment.outside.block_on(async {
        deployment.lose_an_answer(PLACEMENTS);
        deployment.submit_until_accepted(&other, 1, ENDLESS).await;
        wait_until("placed", || async { deployment.has(&shard_key(1)) }).await;
    });
    drop(leader);
    deployment.outside.block_on(async {
        deployment.request_concurrently(&[&other], 1, &REPEATABLE_REQUESTS).await;
        deployment.wait_until_running(1).await;
        deployment.complete_a_new_job(&other, 2).await;
        assert_eq!((deployment.count_starts(1), deployment.count_live_tasks(1)), (3, 3), "the tasks must run once");
    });
    deployment.end([other]);
}

/// The fencing tokens under which each controller was seen to lead.
#[derive(Default)]
struct LeaderTokens(BTreeMap<u64, String>);

impl LeaderTokens {
    /// Records the controller's token if it leads, and fails the test if another controller led under it.
    fn record(&mut self, node: &ControllerProcess) {
        let Some(cluster) = node.controller.membership.watermark() else { return };
        let name = &node.controller.settings.node;
        let leader = self.0.entry(cluster.fencing_token).or_insert_with(|| name.clone());
        assert_eq!(leader, name, "two controllers lead under token {}", cluster.fencing_token);
    }
}

/// The answer to a successor's leader record is lost, while a third controller reads that record and answers users. The
/// successor writes a new record, and leads only under the fencing token of that one.
#[test]
fn leader_record_with_lost_answer_at_a_takeover_is_written_again() {
    let (deployment, first, second) = start_leader_and_follower(SHORT_LEASE_S);
    let mut fencing_tokens = LeaderTokens::default();
    fencing_tokens.record(&first);
    deployment.outside.block_on(async {
        deployment.submit_until_accepted(&second, 1, ENDLESS).await;
        deployment.wait_until_running(1).await;
    });
    let third = deployment.start_controller(&["node-a", "node-b", "node-c"], 2, SHORT_LEASE_S);
    deployment.outside.block_on(wait_until("the third is healthy", || deployment.healthy(&third)));
    deployment.lose_an_answer(LEADER_RECORDS);
    let before = deployment.version(LEADER);
    drop(first);
    deployment.outside.block_on(async {
        wait_until("assigned", || async { deployment.version(LEADER) > before }).await;
        let unanswered = deployment.version(LEADER);
        assert_eq!(deployment.answers_to_lose(), 0, "the answer to the leader record must be lost");
        let both = [&second, &third];
        let requests = deployment.request_concurrently(&both, 1, &REPEATABLE_REQUESTS);
        let taken_over = async {
            wait_until("leadership acquired", || async {
                second.controller.membership.watermark().or(third.controller.membership.watermark()).is_some()
            })
            .await;
        };
        tokio::join!(requests, taken_over);
        fencing_tokens.record(&second);
        fencing_tokens.record(&third);
        let assigned = deployment.version(LEADER);
        assert!(assigned > unanswered, "the successor must lead under a token whose answer it received");
        assert_eq!(
            fencing_tokens.0.last_key_value().unwrap().0,
            &assigned,
            "the leader's token must be the stored one"
        );
        deployment.complete_a_new_job(&third, 2).await;
        assert_eq!(
            (deployment.count_starts(1), deployment.count_live_tasks(1)),
            (3, 3),
            "running tasks must keep running"
        );
    });
    deployment.end([second, third]);
}

/// The largest number of machines seen at a time. More than the job needs would mean that some were rented twice.
#[derive(Default)]
struct Peak(AtomicUsize);

impl Peak {
    /// Updates the peak with the present number of machines, and returns it.
    fn update(&self, deployment: &TestDeployment) -> usize {
        let machines = deployment.count_machines();
        self.0.fetch_max(machines, Ordering::Relaxed).max(machines)
    }

    /// Waits until all tasks of this job run, observes the machines for a while after that, and returns the peak.
    async fn observe_until_settled(&self, deployment: &TestDeployment, n: u64) -> usize {
        wait_until("running", || async {
            self.update(deployment);
            deployment.count_live_tasks(n) == TASKS
        })
        .await;
        for _ in 0..MACHINE_OBSERVATIONS {
            self.update(deployment);
            tokio::time::sleep(MACHINE_OBSERVATION_INTERVAL).await;
        }
        self.update(deployment)
    }
}

/// The number of observations of the machines after all tasks run.
const MACHINE_OBSERVATIONS: u32 = 30;
/// The time between two observations of the machines.
const MACHINE_OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// The number of tasks of a job of whole machines, and of the machines that it needs without faults.
const TASKS: usize = 4;

/// The leader finds its own scale-out order in the store, and rents the machines once.
#[test]
fn scale_out_order_with_lost_answer_rents_once() {
    let (deployment, leader, other) = start_leader_and_follower(LONG_LEASE_S);
    deployment.outside.block_on(async {
        deployment.lose_the_answer_of_an_order(&other).await;
        deployment.request_in_turn([&other, &leader], 1, &[UserRequest::LookUp], 5).await;
        let most = Peak::default().observe_until_settled(&deployment, 1).await;
        assert_eq!(most, TASKS, "only the needed machines must be rented");
        assert_eq!(deployment.count_starts(1), TASKS, "each task must be started once");
        wait_until("the order is cleaned up", || async { only_done_orders_are_stored(&deployment) }).await;
        wait_until("withdrawn", || async {
            deployment.request_and_check(&leader, 1, UserRequest::Cancel).await.is_some()
        })
        .await;
        deployment.complete_a_new_job(&other, 2).await;
        assert_eq!(deployment.count_starts(1), TASKS, "no task may be started again");
    });
    deployment.end([leader, other]);
}

/// Returns whether all stored orders are marked as done. Orders stay as markers while the fencing token under which they
/// were written is valid, since their write could be applied late or once more.
fn only_done_orders_are_stored(deployment: &TestDeployment) -> bool {
    let state = deployment.world.state.lock().unwrap();
    state.store.entries_with_prefix(ORDERS).all(|(_, order, _)| order["what"] == "done")
}

/// The answer to a scale-out order is lost and the leader ends before it learns of it: its successor reads the order and
/// carries it out under the order's name. The inherited order is deleted, since no write of an earlier leader is applied
/// any more, and no order is left open.
#[test]
fn scale_out_order_of_a_leader_that_ends_without_an_answer_is_carried_out_once() {
    let (deployment, leader, other) = start_leader_and_follower(SHORT_LEASE_S);
    deployment.outside.block_on(deployment.lose_the_answer_of_an_order(&other));
    drop(leader);
    let inherited = deployment.order_keys();
    assert_eq!(
        (deployment.count_machines(), inherited.len()),
        (0, 1),
        "the order must be stored and no machine rented"
    );
    deployment.outside.block_on(async {
        let most = Peak::default().observe_until_settled(&deployment, 1).await;
        assert_eq!(most, TASKS, "only the needed machines must be rented");
        assert_eq!(deployment.count_starts(1), TASKS, "each task must be started once");
        wait_until("the inherited order is deleted and no other is open", || async {
            let keys = deployment.order_keys();
            inherited.iter().all(|key| !keys.contains(key)) && only_done_orders_are_stored(&deployment)
        })
        .await;
    });
    deployment.end([other]);
}
