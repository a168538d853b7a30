//! The state service lowers its limits on transactions, values and rates without notice while real controllers work.
//! Each test makes one kind of transaction larger than the new limits allow. Nothing that was accepted is lost or stuck,
//! and no transaction is sent again and again.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used)]

mod stand_in;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hollylanding_emulator::driver::state::InvalidTransaction;
use hollylanding_emulator::world::store::Limits;
use hyper::Method;
use serde_json::{Value, json};
use stand_in::observer::{StoredStatus, TestDeployment, UserRequest, id, small_job, start_leader_and_follower};
use stand_in::{ControllerProcess, ENDLESS, SHORT, WAIT_TIMEOUT, job, send_request, upload, wait_until};

/// An election lease that is short, so that a takeover follows soon.
const LEASE_S: u64 = 3;
/// The lower limit on changes; a transaction may have four times as many conditions.
const FEW_CHANGES: usize = 5;
/// The lower limit on a value, in KiB.
const SMALL_VALUE_KB: f64 = 1.0;
/// Most transactions that two controllers may send in vain until each knows the new limits. Each refusal of a controller
/// halves what it sends, for changes and for values in turn.
const MAX_REFUSALS: usize = 30;

/// Limits under which a transaction may have few changes and conditions.
fn few_changes() -> Limits {
    Limits { txn_ops: FEW_CHANGES, ..Limits::default() }
}

/// Limits under which values must be small.
fn small_values() -> Limits {
    Limits { value_kb: SMALL_VALUE_KB, ..Limits::default() }
}

impl TestDeployment {
    /// Lowers the limits of the state service.
    fn lower_limits(&self, limits: Limits) {
        self.world.state.lock().unwrap().store.set_limits(limits);
    }

    /// Returns the transactions that were refused as larger than the limits allow.
    fn refused(&self) -> Vec<InvalidTransaction> {
        self.world.state.lock().unwrap().invalid.clone()
    }

    /// Checks that at least one refused transaction is of the kind that the test is about, and that none was repeated
    /// again and again.
    fn check_refusals(&self, what: &str, is_meant: impl Fn(&InvalidTransaction) -> bool) {
        let refused = self.refused();
        assert!(refused.iter().any(is_meant), "no refused transaction {what}: {refused:?}");
        assert!(refused.len() <= MAX_REFUSALS, "{} transactions were refused: {refused:?}", refused.len());
    }

    /// Submits a job until it is accepted.
    async fn accept(&self, at: &ControllerProcess, job: &Value, run: Duration) {
        upload(&self.world, job, run);
        wait_until("accepted", || async { self.submit(at, job).await.0 / 100 == 2 }).await;
    }

    async fn wait_until_stored(&self, n: u64, status: StoredStatus) {
        wait_until(&format!("{} stored as {status:?}", id(n)), || async { self.stored_status(n) == status }).await;
    }

    /// Cancels a job, and waits until the cancellation is confirmed and no task of the job is left.
    async fn cancel_and_confirm(&self, at: &ControllerProcess, n: u64) {
        wait_until("cancelled", || async {
            self.request_and_check(at, n, UserRequest::Cancel).await.as_deref() == Some("withdrawn")
        })
        .await;
        wait_until("stopped", || async { self.count_live_tasks(n) == 0 }).await;
    }

    /// Returns the number of stored task shards of a job.
    fn count_shards(&self, n: u64) -> usize {
        self.world.state.lock().unwrap().count(&format!("t/{}/", id(n)))
    }
}

/// A job of so many tasks, of which two fill a machine. They are expected to run for long, so that machines are provisioned
/// for all of them, and not on spot machines, of which the world has none.
fn wide_job(n: u64, tasks: u64) -> Value {
    let mut job = job(n, tasks);
    (job["cpus"], job["expectedS"], job["borrowed"]) = (json!(4.0), json!(600.0), json!(false));
    job
}

fn changes_any(transaction: &InvalidTransaction, key_prefix: &str) -> bool {
    transaction.changed_keys.iter().any(|key| key.starts_with(key_prefix))
}

/// Guards against `review/1`: the group commit repeated a batch of more changes than the limit for ever, and no accepted
/// job was started or ended any more.
#[test]
fn jobs_start_and_end_after_the_limit_on_changes_falls() {
    let (deployment, leader, other) = start_leader_and_follower(LEASE_S);
    deployment.outside.block_on(async {
        deployment.accept(&other, &small_job(1), ENDLESS).await;
        deployment.wait_until_running(1).await;
        deployment.lower_limits(few_changes());
        for n in 2..=31 {
            upload(&deployment.world, &small_job(n), SHORT);
        }
        let submissions = (2..=31).map(|n| {
            let (http, addr, body) = (deployment.http.clone(), other.addr.clone(), small_job(n));
            tokio::spawn(async move {
                wait_until("accepted", || async {
                    let body = Some(hollylanding::protocol::encode(&body));
                    send_request(&http, Method::POST, &addr, "/work", body).await.0 / 100 == 2
                })
                .await;
            })
        });
        for submission in submissions.collect::<Vec<_>>() {
            submission.await.unwrap();
        }
        for n in 2..=31 {
            deployment.wait_until_stored(n, StoredStatus::Done).await;
        }
        deployment.cancel_and_confirm(&other, 1).await;
        deployment.check_refusals("of several starts or ends", |refused| {
            refused.changed_keys.len() > FEW_CHANGES && (changes_any(refused, "t/") || changes_any(refused, "h/"))
        });
    });
    deployment.end([leader, other]);
}

/// Guards against a job that stands still since its task shard, stored before, is larger than a value may be now. The
/// successor of the leader reads the parts, and no task runs twice.
#[test]
fn job_with_a_shard_larger_than_the_limit_goes_on_through_a_failover() {
    /// Stored under one key, in almost 3 KiB.
    const TASKS: usize = 150;
    /// Machines that are lost, and the tasks on each of them.
    const LOST_MACHINES: usize = 5;
    const TASKS_PER_MACHINE: usize = 2;
    let (deployment, leader, other) = start_leader_and_follower(LEASE_S);
    deployment.outside.block_on(async {
        deployment.accept(&other, &wide_job(1, TASKS as u64), ENDLESS).await;
        wait_until("all tasks started", || async { deployment.count_starts(1) == TASKS }).await;
        assert_eq!(deployment.count_shards(1), 1);
        deployment.lower_limits(small_values());
        let machines: Vec<String> = deployment.world.fleet.lock().unwrap().machine_names().cloned().collect();
        let lost = machines.iter().step_by(machines.len() / LOST_MACHINES).take(LOST_MACHINES);
        lost.for_each(|machine| deployment.world.kill(machine));
        let restarted = TASKS + LOST_MACHINES * TASKS_PER_MACHINE;
        wait_until("lost tasks started again", || async { deployment.count_starts(1) == restarted }).await;
        assert!(deployment.count_shards(1) >= 4, "{} shards", deployment.count_shards(1));
        deployment.check_refusals("of a task shard", |refused| changes_any(refused, "t/"));
        drop(leader);
        deployment.accept(&other, &small_job(2), SHORT).await;
        deployment.wait_until_stored(2, StoredStatus::Done).await;
        assert_eq!((deployment.count_starts(1), deployment.count_live_tasks(1)), (restarted, TASKS));
        deployment.cancel_and_confirm(&other, 1).await;
        wait_until("shards dropped", || async { deployment.count_shards(1) == 0 }).await;
    });
    deployment.end([other]);
}

/// Guards against a successor that never finishes its load, since it compares more keys at once than the limit allows.
#[test]
fn successor_loads_more_ended_jobs_than_one_comparison_may_name() {
    const ENDED_JOBS: u64 = 60;
    let (deployment, leader, other) = start_leader_and_follower(LEASE_S);
    deployment.outside.block_on(async {
        deployment.accept(&other, &small_job(1), ENDLESS).await;
        deployment.wait_until_running(1).await;
        drop(leader);
        {
            let mut state = deployment.world.state.lock().unwrap();
            state.max_page_items = 250;
            state.store.set_limits(few_changes());
            for n in 100..100 + ENDED_JOBS {
                state.put(format!("h/d/{}", id(n)), &json!({"spec": small_job(n), "at_ms": 1, "ended_ms": 2}));
                state.put(format!("t/{}/00000", id(n)), &json!([[1, "host-000001"]]));
            }
        }
        deployment.accept(&other, &small_job(2), SHORT).await;
        deployment.wait_until_stored(2, StoredStatus::Done).await;
        wait_until("shards of ended jobs dropped", || async {
            (100..100 + ENDED_JOBS).all(|n| deployment.count_shards(n) == 0)
        })
        .await;
        deployment.cancel_and_confirm(&other, 1).await;
        deployment.check_refusals("that compares many keys", |refused| {
            refused.changed_keys.is_empty() && refused.conditions > FEW_CHANGES * 4
        });
    });
    deployment.end([other]);
}

/// Guards against jobs that count as forgotten: a controller asked about more jobs at once than the limit allows, and
/// none of its users got an answer.
#[test]
fn queries_about_many_jobs_at_once_are_answered() {
    const JOBS: u64 = 60;
    let (deployment, leader, other) = start_leader_and_follower(LEASE_S);
    deployment.outside.block_on(async {
        {
            let mut state = deployment.world.state.lock().unwrap();
            for n in 100..100 + JOBS {
                state.put(format!("h/d/{}", id(n)), &json!({"spec": small_job(n), "at_ms": 1, "ended_ms": 2}));
            }
        }
        deployment.lower_limits(few_changes());
        let queries = (100..100 + 2 * JOBS).map(|n| {
            let (http, addr) = (deployment.http.clone(), other.addr.clone());
            tokio::spawn(async move {
                let path = format!("/work/{}", id(n));
                let asked_at = Instant::now();
                loop {
                    let (code, answer) = send_request(&http, Method::GET, &addr, &path, None).await;
                    if code != 503 {
                        return (code, answer["status"].as_str().map(str::to_owned));
                    }
                    assert!(asked_at.elapsed() < WAIT_TIMEOUT, "{path} is not answered");
                }
            })
        });
        let mut answers = BTreeMap::<_, u64>::new();
        for query in queries.collect::<Vec<_>>() {
            *answers.entry(query.await.unwrap()).or_default() += 1;
        }
        let wanted = BTreeMap::from([((200, Some("done".to_owned())), JOBS), ((404, None), JOBS)]);
        assert_eq!(answers, wanted);
        deployment.check_refusals("that compares many keys", |refused| {
            refused.changed_keys.is_empty() && refused.conditions > FEW_CHANGES * 4
        });
    });
    deployment.end([leader, other]);
}

/// Guards against lost writes that are never found: the audit compared more keys at once than the limit allows.
#[test]
fn lost_writes_are_found_after_the_limit_on_conditions_falls() {
    let (deployment, leader, other) = start_leader_and_follower(LEASE_S);
    deployment.outside.block_on(async {
        for n in 1..=20 {
            deployment.accept(&leader, &small_job(n), ENDLESS).await;
        }
        for n in 1..=20 {
            deployment.wait_until_running(n).await;
        }
        deployment.lower_limits(few_changes());
        wait_until("refused", || async { !deployment.refused().is_empty() }).await;
        for prefix in ["t/run-000007/", "c/o/run-000011"] {
            assert!(!deployment.world.state.lock().unwrap().store.lose_newest_keys(prefix, 1).is_empty(), "{prefix}");
        }
        for key in ["t/run-000007/00000", "c/o/run-000011"] {
            wait_until(key, || async { deployment.has(key) }).await;
        }
        deployment.check_refusals("of the audit", |refused| {
            refused.changed_keys.is_empty() && refused.conditions > FEW_CHANGES * 4
        });
    });
    deployment.end([leader, other]);
}

/// Guards against jobs that cannot end: the record of an end holds all that the user sent, and may be larger than a value
/// may be now. A submission as large is refused for good, with an error that says so.
#[test]
fn jobs_with_large_records_end_and_are_cancelled() {
    let large = |n: u64| {
        let mut job = small_job(n);
        job["kit"] = json!("i".repeat(3000));
        job
    };
    let (deployment, leader, other) = start_leader_and_follower(LEASE_S);
    deployment.outside.block_on(async {
        deployment.accept(&other, &large(1), Duration::from_secs(3)).await;
        deployment.accept(&other, &large(2), ENDLESS).await;
        deployment.wait_until_running(1).await;
        deployment.wait_until_running(2).await;
        deployment.lower_limits(small_values());
        deployment.cancel_and_confirm(&other, 2).await;
        deployment.wait_until_stored(1, StoredStatus::Done).await;
        upload(&deployment.world, &large(3), SHORT);
        wait_until("refused for good", || async { deployment.submit(&leader, &large(3)).await.0 == 400 }).await;
        let again = Cell::new(503);
        wait_until("answered", || async {
            again.set(deployment.submit(&leader, &large(1)).await.0);
            again.get() != 503
        })
        .await;
        assert_eq!(again.get(), 200, "an accepted job is known, however large it is");
        deployment.check_refusals("of an end", |refused| changes_any(refused, "h/"));
    });
    deployment.end([leader, other]);
}

/// Guards against machines that are never returned: the order that names them all is larger than a value may be now.
#[test]
fn many_idle_machines_are_returned_in_smaller_orders() {
    let (deployment, leader, other) = start_leader_and_follower(LEASE_S);
    drop(other);
    drop(leader);
    let door = deployment.outside.block_on(deployment.world.serve_controller(0));
    let properties = format!("leader.lease.seconds={LEASE_S}\nmachines.idle.seconds=1");
    let settings = stand_in::settings("node-a", &[], &door);
    let leader = ControllerProcess::start_with(&deployment.world, &settings, &properties);
    deployment.outside.block_on(async {
        wait_until("healthy", || deployment.healthy(&leader)).await;
        deployment.accept(&leader, &wide_job(1, 150), ENDLESS).await;
        wait_until("all tasks started", || async { deployment.count_starts(1) == 150 }).await;
        deployment.lower_limits(small_values());
        deployment.cancel_and_confirm(&leader, 1).await;
        let held = || deployment.world.cloud.lock().unwrap().count_held(deployment.world.now());
        wait_until("all machines returned", || async { held() == 0 }).await;
        deployment.check_refusals("of an order", |refused| changes_any(refused, "d/"));
    });
    deployment.end([leader]);
}

/// Guards against a batch that the state service never takes, since it has more changes than a lowered rate allows in
/// one burst.
#[test]
fn jobs_end_after_the_rate_falls_below_one_batch() {
    let (deployment, leader, other) = start_leader_and_follower(LEASE_S);
    deployment.outside.block_on(async {
        // The jobs start and end together.
        for n in 1..=20 {
            deployment.accept(&other, &wide_job(n, 1), Duration::from_secs(6)).await;
        }
        for n in 1..=20 {
            wait_until("started", || async { deployment.count_starts(n) == 1 }).await;
        }
        deployment.lower_limits(Limits { changes_per_second: 6.0, ..Limits::default() });
        for n in 1..=20 {
            deployment.wait_until_stored(n, StoredStatus::Done).await;
        }
    });
    deployment.end([leader, other]);
}
