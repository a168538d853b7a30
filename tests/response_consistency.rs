//! Requests to every controller within milliseconds, while an answer of the state service is lost, a job's end races
//! with its cancellation, or the leadership changes. Each response is compared with the stored state: it may report
//! nothing older than what was stored when the request was sent.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::time::{Duration, Instant};

use hollylanding::protocol;
use hyper::Method;
use serde_json::{Value, json};
use stand_in::observer::{
    ALL_REQUESTS, REPEATABLE_REQUESTS, StoredStatus, TestDeployment, UserRequest, id, join_all, small_job,
    start_leader_and_follower,
};
use stand_in::{ControllerProcess, ENDLESS, SHORT, World, params, send_request, settings, upload, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

/// The store carries out an acceptance and its answer is lost. From then on every controller reports the job, also to
/// a repeated submission, and the job is accepted once.
#[test]
fn acceptance_with_lost_answer_is_reported_by_all_controllers() {
    let (deployment, a, b) = start_leader_and_follower(10);
    deployment.outside.block_on(async {
        deployment.quiet_watches();
        for (n, at) in [(1, &a), (2, &b)] {
            upload(&deployment.world, &small_job(n), ENDLESS);
            let key = format!("c/o/{}", id(n));
            deployment.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some("c/o/")));
            let others = async {
                wait_until("key stored", || async { deployment.has(&key) }).await;
                deployment.request_in_turn([&b, &a], n, &REPEATABLE_REQUESTS, 5).await
            };
            let (first, reported) = tokio::join!(deployment.send(at, n, UserRequest::Submit), others);
            assert_eq!(first.0, 503, "the lost answer must not be reported as success: {first:?}");
            assert!(reported > 0, "no request was answered");
            let version = deployment.version(&key);
            for at in [&b, &a] {
                wait_until("job known", || async {
                    deployment.request_and_check(at, n, UserRequest::Submit).await.is_some()
                })
                .await;
            }
            deployment.wait_until_running(n).await;
            assert_eq!(
                (deployment.version(&key), deployment.count_starts(n)),
                (version, 3),
                "the job must be accepted and run once"
            );
        }
    });
    deployment.end([a, b]);
}

/// The store carries out a cancellation and its answer is lost. Once it is confirmed no controller reports the job as
/// open, and all tasks stop.
#[test]
fn cancellation_with_lost_answer_is_reported_by_all_controllers() {
    let (deployment, a, b) = start_leader_and_follower(10);
    deployment.outside.block_on(async {
        for (n, at) in [(1, &a), (2, &b)] {
            deployment.submit_until_accepted(&b, n, ENDLESS).await;
            deployment.wait_until_running(n).await;
            deployment.quiet_watches();
            deployment.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some("h/w/")));
            let others = async {
                wait_until("key stored", || async { deployment.stored_status(n) == StoredStatus::Cancelled }).await;
                deployment.request_in_turn([&b, &a], n, &ALL_REQUESTS, 5).await
            };
            let (first, _) = tokio::join!(deployment.send(at, n, UserRequest::Cancel), others);
            assert_eq!(first.0, 503, "the lost answer must not be reported as success: {first:?}");
            deployment.all_report([&a, &b], n, "withdrawn").await;
            wait_until("all tasks stopped", || async { deployment.count_live_tasks(n) == 0 }).await;
            deployment.faults(|faults| faults.quiet_watches = false);
        }
    });
    deployment.end([a, b]);
}

/// The store carries out the leader's write of a job's end and its answer is lost. The end is stored once, and no
/// controller reports the job as open after it.
#[test]
fn job_end_with_lost_answer_is_reported_by_all_controllers() {
    let (deployment, a, b) = start_leader_and_follower(10);
    deployment.outside.block_on(async {
        deployment.quiet_watches();
        for n in 1..=3 {
            let key = format!("h/d/{}", id(n));
            deployment.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some("h/d/")));
            deployment.submit_until_accepted(&b, n, SHORT).await;
            wait_until("key stored", || async { deployment.has(&key) }).await;
            let version = deployment.version(&key);
            deployment.request_in_turn([&b, &a], n, &REPEATABLE_REQUESTS, 5).await;
            deployment.all_report([&a, &b], n, "done").await;
            wait_until("the leader has dropped the job", || async { a.count_held("book_jobs") == 0 }).await;
            assert_eq!(
                (deployment.version(&key), deployment.count_starts(n)),
                (version, 3),
                "the end must be stored once and no task run again"
            );
        }
    });
    deployment.end([a, b]);
}

/// Without faults: right after one controller reports an acceptance, an end or a confirmed cancellation, all controllers
/// are asked repeatedly, before a watch event has told any of them.
#[test]
fn no_controller_reports_an_older_status_right_after_an_answer() {
    let (deployment, a, b) = start_leader_and_follower(10);
    deployment.outside.block_on(async {
        deployment.quiet_watches();
        for (n, at, other) in [(1, &a, &b), (2, &b, &a)] {
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            let reported = deployment.request_in_turn([other, at], n, &REPEATABLE_REQUESTS, 3).await;
            assert!(reported >= 6, "{reported} of 12 requests were answered without faults");
            // The first job is cancelled at once, the second one while it runs.
            if n == 2 {
                deployment.wait_until_running(n).await;
            }
            wait_until("status reported", || async {
                deployment.request_and_check(at, n, UserRequest::Cancel).await.is_some()
            })
            .await;
            deployment.request_in_turn([other, at], n, &ALL_REQUESTS, 5).await;
            deployment.all_report([&a, &b], n, "withdrawn").await;
            wait_until("all tasks stopped", || async { deployment.count_live_tasks(n) == 0 }).await;
        }
        for (n, at, other) in [(3, &a, &b), (4, &b, &a), (5, &a, &b), (6, &b, &a)] {
            deployment.submit_until_accepted(at, n, SHORT).await;
            wait_until("done", || async {
                deployment.request_and_check(at, n, UserRequest::LookUp).await.as_deref() == Some("done")
            })
            .await;
            deployment.request_in_turn([other, at], n, &ALL_REQUESTS, 5).await;
            deployment.all_report([&a, &b], n, "done").await;
        }
    });
    deployment.end([a, b]);
}

/// A cancellation that is carried out only after the job's end, and an end that is carried out only after the job's
/// cancellation, each through either controller: the first one stays, and all controllers report it from then on.
#[test]
fn late_end_or_cancellation_does_not_replace_the_stored_end() {
    let (deployment, a, b) = start_leader_and_follower(10);
    deployment.outside.block_on(async {
        let mut late = 0;
        for (n, at) in [(1, &a), (2, &b)] {
            deployment.submit_until_accepted(&b, n, Duration::from_secs(2)).await;
            deployment.wait_until_running(n).await;
            deployment
                .faults(|faults| (faults.late_writes, faults.key_prefix) = ((1, Duration::from_secs(4)), Some("h/w/")));
            let (code, answer) = deployment.send(at, n, UserRequest::Cancel).await;
            if code == 200 {
                // On a busy machine the two seconds may have passed before the request was sent; no write is late then.
                assert_eq!(answer["status"], "done");
                deployment.faults(|faults| faults.late_writes.0 = 0);
            } else {
                assert_eq!(code, 503, "the late cancellation must not be confirmed: {answer}");
                late += 1;
            }
            wait_until("job ended", || async { deployment.stored_status(n) > StoredStatus::Open }).await;
            let first = deployment.stored_status(n);
            deployment.request_in_turn([&a, &b], n, &ALL_REQUESTS, 2).await;
            wait_until("late write carried out", || async {
                deployment.world.state.lock().unwrap().faults.finished_late_writes == late
            })
            .await;
            assert_eq!(deployment.stored_status(n), first);
            let want = if first == StoredStatus::Done { "done" } else { "withdrawn" };
            deployment.all_report([&a, &b], n, want).await;
        }
        for (n, at) in [(3, &a), (4, &b)] {
            deployment
                .faults(|faults| (faults.late_writes, faults.key_prefix) = ((1, Duration::from_secs(4)), Some("h/d/")));
            deployment.submit_until_accepted(&b, n, SHORT).await;
            wait_until("write of the end delayed", || async {
                deployment.world.state.lock().unwrap().faults.late_writes.0 == 0
            })
            .await;
            late += 1;
            wait_until("status reported", || async {
                deployment.request_and_check(at, n, UserRequest::Cancel).await.is_some()
            })
            .await;
            let first = deployment.stored_status(n);
            assert!(first > StoredStatus::Open);
            deployment.request_in_turn([&a, &b], n, &ALL_REQUESTS, 2).await;
            wait_until("late write carried out", || async {
                deployment.world.state.lock().unwrap().faults.finished_late_writes == late
            })
            .await;
            assert_eq!(deployment.stored_status(n), first);
            let want = if first == StoredStatus::Done { "done" } else { "withdrawn" };
            deployment.all_report([&a, &b], n, want).await;
        }
    });
    deployment.end([a, b]);
}

/// Without other faults: at the moment at which the last task has ended, users cancel, look up and resubmit the job at
/// both controllers concurrently.
#[test]
fn all_controllers_report_one_end_when_cancellation_races_with_completion() {
    let (deployment, a, b) = start_leader_and_follower(10);
    deployment.outside.block_on(async {
        for n in 1..=12 {
            deployment.submit_until_accepted(if n % 2 == 0 { &a } else { &b }, n, SHORT).await;
            let ended = |n: u64| {
                let fleet = deployment.world.fleet.lock().unwrap();
                fleet.results().iter().filter(|task| *task.job == *id(n)).count()
            };
            // The requests are sent in fixed steps, from some 60 ms before the leader learns of the end to as long after it.
            wait_until("job ended", || async { ended(n) == 3 || deployment.stored_status(n) > StoredStatus::Open })
                .await;
            let begun = Instant::now();
            while begun.elapsed() < Duration::from_millis(10 * n) && deployment.stored_status(n) == StoredStatus::Open {
                tokio::task::yield_now().await;
            }
            tokio::join!(
                deployment.request_and_check(&a, n, UserRequest::Cancel),
                deployment.request_and_check(&b, n, UserRequest::Cancel),
                deployment.request_and_check(&a, n, UserRequest::LookUp),
                deployment.request_and_check(&b, n, UserRequest::LookUp),
                deployment.request_and_check(&a, n, UserRequest::Submit),
                deployment.request_and_check(&b, n, UserRequest::Submit),
            );
            wait_until("job ended", || async { deployment.stored_status(n) > StoredStatus::Open }).await;
            let first = deployment.stored_status(n);
            let want = if first == StoredStatus::Done { "done" } else { "withdrawn" };
            deployment.all_report([&a, &b], n, want).await;
            assert_eq!((deployment.stored_status(n), deployment.count_starts(n)), (first, 3));
        }
    });
    deployment.end([a, b]);
}

/// Sends one cancellation over a raw connection. Returns the status code, the seconds of `retry-after` and the body.
async fn cancel_raw(addr: &str, n: u64) -> (u16, Option<u64>, Value) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let request = format!(
        "POST /work/{}/withdraw HTTP/1.1\r\nhost: {addr}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        id(n)
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let split = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap();
    let head = String::from_utf8_lossy(&answer[..split]).to_ascii_lowercase();
    let code = head.split(' ').nth(1).unwrap().parse().unwrap();
    let retry_after =
        head.lines().find_map(|line| line.strip_prefix("retry-after:")).map(|s| s.trim().parse().unwrap());
    (code, retry_after, protocol::decode(&answer[split + 4..]).unwrap_or_default())
}

/// Jobs are cancelled during a failover, until the successor leads and has loaded its cluster state. Each cancellation
/// is answered quickly, reported only once that cluster state has it, and confirmed soon after.
#[test]
fn cancellations_during_failover_are_confirmed_only_once_the_successor_has_them() {
    let (deployment, a, b) = start_leader_and_follower(2);
    let jobs = 1..=12;
    deployment.outside.block_on(async {
        for n in jobs.clone() {
            deployment.submit_until_accepted(&b, n, ENDLESS).await;
        }
        for n in jobs.clone() {
            deployment.wait_until_running(n).await;
        }
        // Loading the cluster state takes long: it has many pages, of two keys each.
        deployment.faults(|faults| faults.response_delay = Duration::from_millis(150));
    });
    drop(a);
    deployment.outside.block_on(async {
        // One after another, so that a cancellation is in flight at every moment.
        let (mut waiting, mut confirmed, mut next) = (Vec::<u64>::new(), Vec::new(), jobs.clone());
        let (begun, mut loaded) = (Instant::now(), None);
        while confirmed.len() < jobs.clone().count() {
            assert!(begun.elapsed() < stand_in::WAIT_TIMEOUT, "never confirmed: {waiting:?}");
            waiting.extend(next.next());
            let mut rest = Vec::new();
            for n in waiting {
                let asked = Instant::now();
                let (code, retry_after, answer) = cancel_raw(&b.addr, n).await;
                let took = asked.elapsed();
                assert!(took < Duration::from_secs(4), "{n} was answered only after {took:?}");
                if code == 200 {
                    assert_eq!(answer["status"], "withdrawn");
                    let version = deployment.version(&format!("h/w/{}", id(n)));
                    // A leader applies what it stored under its own fencing token to its cluster state itself, ahead of
                    // its watch.
                    let has = b
                        .controller
                        .membership
                        .watermark()
                        .is_some_and(|cluster| cluster.fencing_token < version || cluster.revision >= version);
                    assert!(has && version > 0, "{n} was confirmed before a loaded cluster state has its cancellation");
                    confirmed.push(n);
                } else {
                    assert!(
                        code == 503 && retry_after.is_some_and(|s| (1..=30).contains(&s)),
                        "{code} {retry_after:?} {answer}"
                    );
                    rest.push(n);
                }
            }
            waiting = rest;
            if loaded.is_none() && b.controller.membership.watermark().is_some() {
                loaded = Some(Instant::now());
            }
        }
        let took = loaded.unwrap().elapsed();
        assert!(took < Duration::from_secs(10), "confirmed {took:?} after the cluster state was loaded");
        for n in jobs {
            wait_until("all tasks stopped", || async { deployment.count_live_tasks(n) == 0 }).await;
        }
    });
    deployment.end([b]);
}

/// The number of cancellations that are measured at each controller.
const MEASURED_CANCELLATIONS: u64 = 20;
/// The time between two cancellations at one controller.
const CANCELLATION_INTERVAL: Duration = Duration::from_millis(150);

/// Starts three controllers, of which the first leads, connected to each other or not. The addresses for their
/// connections were free a moment ago, which is sufficient for a measurement.
fn start_three_controllers(connected: bool) -> (TestDeployment, Vec<ControllerProcess>) {
    let free_address = || std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let outside = Runtime::new().unwrap();
    let mut params = params();
    params.fleet.lease = Duration::from_secs(3600);
    let world = outside.block_on(async { World::open(params) });
    let deployment = TestDeployment::new(outside, world);
    let (names, meshes) = (["node-a", "node-b", "node-c"], [free_address(), free_address(), free_address()]);
    let start = |at: usize| {
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        let peers: Vec<&str> = others.iter().map(|other| names[*other]).collect();
        let mut settings =
            settings(names[at], &peers, &deployment.outside.block_on(deployment.world.serve_controller(at)));
        if connected {
            settings["mesh_addr"] = json!(meshes[at]);
            for (slot, other) in others.iter().enumerate() {
                settings["peers"][slot]["endpoint"] = json!(meshes[*other]);
            }
        }
        // The default lease, which the test harness shortens otherwise.
        ControllerProcess::start_with(&deployment.world, &settings, "leader.lease.seconds=3")
    };
    let a = start(0);
    deployment
        .outside
        .block_on(wait_until("the first leads", || async { a.controller.membership.watermark().is_some() }));
    let all = vec![a, start(1), start(2)];
    deployment.outside.block_on(async {
        for at in &all {
            wait_until("healthy", || deployment.healthy(at)).await;
        }
        for n in 1..=2 * MEASURED_CANCELLATIONS {
            deployment.submit_until_accepted(&all[1], n, ENDLESS).await;
        }
        for n in 1..=2 * MEASURED_CANCELLATIONS {
            deployment.wait_until_running(n).await;
        }
    });
    (deployment, all)
}

impl TestDeployment {
    /// Cancels a job at this address, repeatedly after a second as the response demands, until the cancellation is
    /// confirmed. Returns the number of requests and the time taken.
    async fn cancel_until_confirmed(&self, addr: String, n: u64) -> (u64, Duration) {
        let (begun, mut asked) = (Instant::now(), 1);
        loop {
            let path = format!("/work/{}/withdraw", id(n));
            let (code, answer) = send_request(&self.http, Method::POST, &addr, &path, None).await;
            if code == 200 {
                assert_eq!(answer["status"], "withdrawn");
                return (asked, begun.elapsed());
            }
            assert!(matches!(code, 0 | 503) && begun.elapsed() < stand_in::WAIT_TIMEOUT, "{n}: {code} {answer}");
            asked += 1;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Cancels jobs at two controllers concurrently, and prints how long that took at each.
    async fn measure(&self, situation: &str, at: [(&str, &ControllerProcess); 2]) {
        let of = |at: &ControllerProcess, first: u64| {
            let addr = at.addr.clone();
            async move {
                let mut all = Vec::new();
                for n in 0..MEASURED_CANCELLATIONS {
                    let addr = addr.clone();
                    all.push(async move {
                        tokio::time::sleep(CANCELLATION_INTERVAL * n as u32).await;
                        self.cancel_until_confirmed(addr, first + n).await
                    });
                }
                join_all(all).await
            }
        };
        let (first, second) = tokio::join!(of(at[0].1, 1), of(at[1].1, 1 + MEASURED_CANCELLATIONS));
        for ((who, _), mut took) in at.into_iter().zip([first, second]) {
            took.sort_by_key(|(_, took)| *took);
            let at_once = took.iter().filter(|(asked, _)| *asked == 1).count();
            let s = |at: usize| took[at].1.as_secs_f64();
            println!(
                "{situation}, through {who}: median {:.2} s, worst {:.2} s of {}; {at_once} with the first answer",
                (s(took.len() / 2 - 1) + s(took.len() / 2)) / 2.0,
                s(took.len() - 1),
                took.len()
            );
        }
        for n in 1..=2 * MEASURED_CANCELLATIONS {
            wait_until("all tasks stopped", || async { self.count_live_tasks(n) == 0 }).await;
        }
    }
}

/// Measures the time from a user's first request until a cancellation is confirmed. The user stays with one controller
/// and repeats the request every second.
/// `cargo test --test response_consistency -- --ignored --nocapture --test-threads=1`
#[test]
#[ignore = "a measurement"]
fn measure_time_until_a_cancellation_is_confirmed() {
    for connected in [true, false] {
        let how = if connected { "are connected to" } else { "are not connected to" };
        let (deployment, all) = start_three_controllers(connected);
        let situation = format!("no faults, controllers {how} each other");
        deployment.outside.block_on(deployment.measure(&situation, [("the leader", &all[0]), ("a follower", &all[1])]));
        deployment.end(all);

        let (deployment, mut all) = start_three_controllers(connected);
        drop(all.remove(0));
        let situation = format!("from the leader's end on, controllers {how} each other");
        deployment.outside.block_on(deployment.measure(&situation, [("node-b", &all[0]), ("node-c", &all[1])]));
        let leader = deployment.world.state.lock().unwrap().store.value("c/owner/0").unwrap()["node"].clone();
        println!("  the successor was {leader}");
        deployment.end(all);

        let (deployment, all) = start_three_controllers(connected);
        let situation = format!("from the store's refusal of the leader for 14 s on, controllers {how} each other");
        let refuse = |refused| deployment.world.state.lock().unwrap().store.set_refused("0", refused);
        refuse(true);
        deployment.outside.block_on(async {
            let served_again = async {
                tokio::time::sleep(Duration::from_secs(14)).await;
                refuse(false);
            };
            tokio::join!(
                served_again,
                deployment.measure(&situation, [("the leader", &all[0]), ("a follower", &all[1])])
            );
        });
        deployment.end(all);
    }
}
