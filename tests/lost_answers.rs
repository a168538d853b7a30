//! A transaction of the leader is carried out at once and only its answer is lost, while other nodes read what it
//! wrote: placements, leader records and rental orders. Nothing runs twice, nothing is rented twice, nobody leads twice
//! under one fencing token, and work goes on. Acceptances, cancellations and ends are in `response_consistency.rs`.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use stand_in::observer::{REPEATABLE_REQUESTS, TestDeployment, UserRequest, id, start_leader_and_follower};
use stand_in::{ControllerProcess, ENDLESS, SHORT, job, upload, wait_until};

const PLACEMENTS: &str = "t/";
const ASSIGNMENTS: &str = "c/owner/";
const ORDERS: &str = "d/";

const LEADER: &str = "c/owner/0";

/// An election lease that outlives an answer that is waited for.
const LONG_LEASE_S: u64 = 10;
/// A takeover is to come soon.
const SHORT_LEASE_S: u64 = 3;

fn shard(n: u64) -> String {
    format!("{PLACEMENTS}{}/00000", id(n))
}

impl TestDeployment {
    /// The next transaction that writes such a key is carried out and not answered.
    fn lose_an_answer(&self, of: &'static str) {
        self.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some(of)));
    }

    fn answers_to_lose(&self) -> u32 {
        self.world.state.lock().unwrap().faults.unanswered_writes
    }

    fn machines(&self) -> usize {
        self.world.cloud.lock().unwrap().count_held(self.world.now())
    }

    fn orders(&self) -> usize {
        self.world.state.lock().unwrap().count(ORDERS)
    }

    /// A job that needs machines is accepted at this controller, and the answer to the order that the leader stores for
    /// them is lost.
    async fn lose_the_answer_of_an_order(&self, at: &ControllerProcess) {
        let job = whole_machines(1);
        upload(&self.world, &job, ENDLESS);
        self.lose_an_answer(ORDERS);
        wait_until("accepted", || async { self.submit(at, &job).await.0 / 100 == 2 }).await;
        wait_until("ordered", || async { self.answers_to_lose() == 0 }).await;
    }

    /// A new job is accepted, runs and is done: work goes on.
    async fn completes_a_new_job(&self, at: &ControllerProcess, n: u64) {
        self.submit_until_accepted(at, n, SHORT).await;
        wait_until("done", || async {
            self.request_and_check(at, n, UserRequest::LookUp).await.as_deref() == Some("done")
        })
        .await;
        assert_eq!(self.count_starts(n), 3);
    }
}

/// Each of its tasks takes an ordinary machine by itself: there are no spot ones, so that asking for those rents
/// nothing.
fn whole_machines(n: u64) -> Value {
    let mut job = job(n, TASKS as u64);
    (job["cpus"], job["memGb"], job["borrowed"]) = (json!(8.0), json!(8.0), json!(false));
    job
}

/// The leader finds its own placement in the store, and launches it once.
#[test]
fn a_placement_whose_answer_is_lost_runs_once() {
    let (deployment, leader, other) = start_leader_and_follower(LONG_LEASE_S);
    deployment.outside.block_on(async {
        for n in 1..=3 {
            deployment.lose_an_answer(PLACEMENTS);
            deployment.submit_until_accepted(&other, n, ENDLESS).await;
            wait_until("placed", || async { deployment.has(&shard(n)) }).await;
            let version = deployment.version(&shard(n));
            assert_eq!(deployment.answers_to_lose(), 0, "and its leader was not told so");
            deployment.request_in_turn([&other, &leader], n, &REPEATABLE_REQUESTS, 5).await;
            deployment.wait_until_running(n).await;
            deployment.request_concurrently(&[&other, &leader], n, &REPEATABLE_REQUESTS).await;
            assert_eq!((deployment.version(&shard(n)), deployment.count_live_tasks(n)), (version, 3), "placed once");
        }
        deployment.completes_a_new_job(&other, 4).await;
        for n in 1..=3 {
            assert_eq!((deployment.count_starts(n), deployment.count_live_tasks(n)), (3, 3), "{n} runs once");
        }
    });
    deployment.end([leader, other]);
}

/// The same where the leader ends before it hears: its successor reads the placement, of which nothing was launched.
#[test]
fn a_placement_whose_leader_ends_unanswered_runs_once() {
    let (deployment, leader, other) = start_leader_and_follower(SHORT_LEASE_S);
    deployment.outside.block_on(async {
        deployment.lose_an_answer(PLACEMENTS);
        deployment.submit_until_accepted(&other, 1, ENDLESS).await;
        wait_until("placed", || async { deployment.has(&shard(1)) }).await;
    });
    drop(leader);
    deployment.outside.block_on(async {
        deployment.request_concurrently(&[&other], 1, &REPEATABLE_REQUESTS).await;
        deployment.wait_until_running(1).await;
        deployment.completes_a_new_job(&other, 2).await;
        assert_eq!((deployment.count_starts(1), deployment.count_live_tasks(1)), (3, 3), "it runs once");
    });
    deployment.end([other]);
}

/// Tokens under which each node was seen to lead.
#[derive(Default)]
struct LeaderTokens(BTreeMap<u64, String>);

impl LeaderTokens {
    fn note(&mut self, node: &ControllerProcess) {
        let Some(cluster) = node.controller.membership.watermark() else { return };
        let name = &node.controller.settings.node;
        let by = self.0.entry(cluster.fencing_token).or_insert_with(|| name.clone());
        assert_eq!(by, name, "two lead under token {}", cluster.fencing_token);
    }
}

/// A successor is the leader and does not hear so, while a third controller reads it and users ask there: it is the
/// leader anew, and leads under that fencing token only.
#[test]
fn an_assignment_whose_answer_is_lost_at_a_takeover_is_written_anew() {
    let (deployment, first, second) = start_leader_and_follower(SHORT_LEASE_S);
    let mut fencing_tokens = LeaderTokens::default();
    fencing_tokens.note(&first);
    deployment.outside.block_on(async {
        deployment.submit_until_accepted(&second, 1, ENDLESS).await;
        deployment.wait_until_running(1).await;
    });
    let third = deployment.start_controller(&["node-a", "node-b", "node-c"], 2, SHORT_LEASE_S);
    deployment.outside.block_on(wait_until("the third is healthy", || deployment.healthy(&third)));
    deployment.lose_an_answer(ASSIGNMENTS);
    let before = deployment.version(LEADER);
    drop(first);
    deployment.outside.block_on(async {
        wait_until("assigned", || async { deployment.version(LEADER) > before }).await;
        let unheard = deployment.version(LEADER);
        assert_eq!(deployment.answers_to_lose(), 0, "and it was not told so");
        let both = [&second, &third];
        let asked = deployment.request_concurrently(&both, 1, &REPEATABLE_REQUESTS);
        let taken_over = async {
            wait_until("leadership acquired", || async {
                second.controller.membership.watermark().or(third.controller.membership.watermark()).is_some()
            })
            .await;
        };
        tokio::join!(asked, taken_over);
        fencing_tokens.note(&second);
        fencing_tokens.note(&third);
        let assigned = deployment.version(LEADER);
        assert!(assigned > unheard, "it leads under the token that it heard of");
        assert_eq!(fencing_tokens.0.last_key_value().unwrap().0, &assigned, "who leads does so by what is stored");
        deployment.completes_a_new_job(&third, 2).await;
        assert_eq!((deployment.count_starts(1), deployment.count_live_tasks(1)), (3, 3), "what ran runs on");
    });
    deployment.end([second, third]);
}

/// More machines than were ever needed at a time would have been rented twice.
#[derive(Default)]
struct Peak(AtomicUsize);

impl Peak {
    fn note(&self, deployment: &TestDeployment) -> usize {
        let machines = deployment.machines();
        self.0.fetch_max(machines, Ordering::Relaxed).max(machines)
    }

    /// All tasks of this job run, and for a while after it nothing more is rented.
    async fn until_settled(&self, deployment: &TestDeployment, n: u64) -> usize {
        wait_until("running", || async {
            self.note(deployment);
            deployment.count_live_tasks(n) == TASKS
        })
        .await;
        for _ in 0..LOOKS_AT_MACHINES {
            self.note(deployment);
            tokio::time::sleep(BETWEEN_LOOKS_AT_MACHINES).await;
        }
        self.note(deployment)
    }
}

const LOOKS_AT_MACHINES: u32 = 30;
const BETWEEN_LOOKS_AT_MACHINES: Duration = Duration::from_millis(100);

/// Machines that a job of whole machines takes where nothing is lost.
const TASKS: usize = 4;

/// The leader finds its own order in the store, and rents once.
#[test]
fn a_rental_order_whose_answer_is_lost_rents_once() {
    let (deployment, leader, other) = start_leader_and_follower(LONG_LEASE_S);
    deployment.outside.block_on(async {
        deployment.lose_the_answer_of_an_order(&other).await;
        deployment.request_in_turn([&other, &leader], 1, &[UserRequest::LookUp], 5).await;
        let most = Peak::default().until_settled(&deployment, 1).await;
        assert_eq!(most, TASKS, "as many as are needed");
        assert_eq!(deployment.count_starts(1), TASKS, "each task was started once");
        wait_until("the order is cleaned up", || async { leader_has_only_marks(&deployment) }).await;
        wait_until("withdrawn", || async {
            deployment.request_and_check(&leader, 1, UserRequest::Cancel).await.is_some()
        })
        .await;
        deployment.completes_a_new_job(&other, 2).await;
        assert_eq!(deployment.count_starts(1), TASKS, "nothing was started again");
    });
    deployment.end([leader, other]);
}

/// Orders with an unanswered try stay as marks for as long as their leader's fencing token stands.
fn leader_has_only_marks(deployment: &TestDeployment) -> bool {
    let state = deployment.world.state.lock().unwrap();
    state.store.entries_with_prefix(ORDERS).all(|(_, order, _)| order["what"] == "done")
}

/// The same where the leader ends before it hears: its successor reads the order and carries it out under its name.
#[test]
fn a_rental_order_whose_leader_ends_unanswered_is_carried_out_once() {
    let (deployment, leader, other) = start_leader_and_follower(SHORT_LEASE_S);
    deployment.outside.block_on(deployment.lose_the_answer_of_an_order(&other));
    drop(leader);
    assert_eq!((deployment.machines(), deployment.orders()), (0, 1), "ordered, and nothing rented");
    deployment.outside.block_on(async {
        let most = Peak::default().until_settled(&deployment, 1).await;
        assert_eq!(most, TASKS, "as many as are needed");
        assert_eq!(deployment.count_starts(1), TASKS, "each task was started once");
        wait_until("the order is cleaned up", || async { deployment.orders() == 0 }).await;
    });
    deployment.end([other]);
}
