//! Users who look closely: at every node, within milliseconds, while an answer of the state service is lost, an end
//! and a cancellation meet, or the work changes hands. What any node says is held against what is stored: it may say
//! nothing older than what stood when it was asked.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::time::{Duration, Instant};

use hollylanding::protocol::{self, Http};
use hyper::Method;
use serde_json::{Value, json};
use stand_in::observer::{
    ALL_REQUESTS, REPEATABLE_REQUESTS, StoredStatus, TestDeployment, UserRequest, deployment, id, join_all, small,
};
use stand_in::{ControllerProcess, ENDLESS, SHORT, World, ask, params, settings, until, upload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

/// Carried out at once and not answered: whoever asks anywhere hears of the job from then on, its repeat too, and
/// it is accepted once.
#[test]
fn an_acceptance_whose_answer_is_lost_is_known_to_all() {
    let (deployment, a, b) = deployment(10);
    deployment.outside.block_on(async {
        deployment.quiet_watches();
        for (n, at) in [(1, &a), (2, &b)] {
            upload(&deployment.world, &small(n), ENDLESS);
            let key = format!("c/o/{}", id(n));
            deployment.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some("c/o/")));
            let others = async {
                until("stored", || async { deployment.has(&key) }).await;
                deployment.request_in_turn([&b, &a], n, &REPEATABLE_REQUESTS, 5).await
            };
            let (first, told) = tokio::join!(deployment.ask(at, n, UserRequest::Submit), others);
            assert_eq!(first.0, 503, "its answer is lost: {first:?}");
            assert!(told > 0, "nobody was answered");
            let version = deployment.version(&key);
            for at in [&b, &a] {
                until("known", || async { deployment.request_and_check(at, n, UserRequest::Submit).await.is_some() })
                    .await;
            }
            deployment.wait_until_running(n).await;
            assert_eq!((deployment.version(&key), deployment.started(n)), (version, 3), "accepted once, and run once");
        }
    });
    deployment.end([a, b]);
}

/// The same of a cancellation: nobody says from then on that the job is open, and once somebody has told it is gone.
#[test]
fn a_cancellation_whose_answer_is_lost_is_known_to_all() {
    let (deployment, a, b) = deployment(10);
    deployment.outside.block_on(async {
        for (n, at) in [(1, &a), (2, &b)] {
            deployment.submit_until_accepted(&b, n, ENDLESS).await;
            deployment.wait_until_running(n).await;
            deployment.quiet_watches();
            deployment.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some("h/w/")));
            let others = async {
                until("stored", || async { deployment.stored_status(n) == StoredStatus::Cancelled }).await;
                deployment.request_in_turn([&b, &a], n, &ALL_REQUESTS, 5).await
            };
            let (first, _) = tokio::join!(deployment.ask(at, n, UserRequest::Cancel), others);
            assert_eq!(first.0, 503, "its answer is lost: {first:?}");
            deployment.all_report([&a, &b], n, "withdrawn").await;
            until("gone", || async { deployment.live(n) == 0 }).await;
            deployment.faults(|faults| faults.quiet_watches = false);
        }
    });
    deployment.end([a, b]);
}

/// The same of the leader's `done`: it is stored once, and nobody says that the job is open after it.
#[test]
fn an_end_whose_answer_is_lost_is_known_to_all() {
    let (deployment, a, b) = deployment(10);
    deployment.outside.block_on(async {
        deployment.quiet_watches();
        for n in 1..=3 {
            let key = format!("h/d/{}", id(n));
            deployment.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some("h/d/")));
            deployment.submit_until_accepted(&b, n, SHORT).await;
            until("stored", || async { deployment.has(&key) }).await;
            let version = deployment.version(&key);
            deployment.request_in_turn([&b, &a], n, &REPEATABLE_REQUESTS, 5).await;
            deployment.all_report([&a, &b], n, "done").await;
            until("the leader has let it go", || async { a.held("book_jobs") == 0 }).await;
            assert_eq!(
                (deployment.version(&key), deployment.started(n)),
                (version, 3),
                "one end, and nothing run again"
            );
        }
    });
    deployment.end([a, b]);
}

/// With nothing wrong: right after an acceptance, an end and a confirmed cancellation at one node all nodes are asked,
/// again and again, before any has heard of it by itself.
#[test]
fn right_after_an_answer_nobody_says_anything_older() {
    let (deployment, a, b) = deployment(10);
    deployment.outside.block_on(async {
        deployment.quiet_watches();
        for (n, at, other) in [(1, &a, &b), (2, &b, &a)] {
            deployment.submit_until_accepted(at, n, ENDLESS).await;
            let told = deployment.request_in_turn([other, at], n, &REPEATABLE_REQUESTS, 3).await;
            assert!(told >= 6, "{told} of 12 were answered with nothing wrong");
            // The first is called off at once, the other once it runs.
            if n == 2 {
                deployment.wait_until_running(n).await;
            }
            until("told", || async { deployment.request_and_check(at, n, UserRequest::Cancel).await.is_some() }).await;
            deployment.request_in_turn([other, at], n, &ALL_REQUESTS, 5).await;
            deployment.all_report([&a, &b], n, "withdrawn").await;
            until("gone", || async { deployment.live(n) == 0 }).await;
        }
        for (n, at, other) in [(3, &a, &b), (4, &b, &a), (5, &a, &b), (6, &b, &a)] {
            deployment.submit_until_accepted(at, n, SHORT).await;
            until("done", || async {
                deployment.request_and_check(at, n, UserRequest::LookUp).await.as_deref() == Some("done")
            })
            .await;
            deployment.request_in_turn([other, at], n, &ALL_REQUESTS, 5).await;
            deployment.all_report([&a, &b], n, "done").await;
        }
    });
    deployment.end([a, b]);
}

/// A cancellation that is carried out only after the job's end, and an end only after its cancellation, each through
/// either node: whichever was first stays, and everybody says the same for ever.
#[test]
fn an_end_and_a_cancellation_carried_out_late_change_nothing() {
    let (deployment, a, b) = deployment(10);
    deployment.outside.block_on(async {
        let mut late = 0;
        for (n, at) in [(1, &a), (2, &b)] {
            deployment.submit_until_accepted(&b, n, Duration::from_secs(2)).await;
            deployment.wait_until_running(n).await;
            deployment
                .faults(|faults| (faults.late_writes, faults.key_prefix) = ((1, Duration::from_secs(4)), Some("h/w/")));
            let (code, answer) = deployment.ask(at, n, UserRequest::Cancel).await;
            if code == 200 {
                // A machine so busy that two seconds were over before this was sent: there is nothing late.
                assert_eq!(answer["status"], "done");
                deployment.faults(|faults| faults.late_writes.0 = 0);
            } else {
                assert_eq!(code, 503, "it is not answered: {answer}");
                late += 1;
            }
            until("ended", || async { deployment.stored_status(n) > StoredStatus::Open }).await;
            let first = deployment.stored_status(n);
            deployment.request_in_turn([&a, &b], n, &ALL_REQUESTS, 2).await;
            until("carried out late", || async {
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
            until("the end is under way", || async {
                deployment.world.state.lock().unwrap().faults.late_writes.0 == 0
            })
            .await;
            late += 1;
            until("told", || async { deployment.request_and_check(at, n, UserRequest::Cancel).await.is_some() }).await;
            let first = deployment.stored_status(n);
            assert!(first > StoredStatus::Open);
            deployment.request_in_turn([&a, &b], n, &ALL_REQUESTS, 2).await;
            until("carried out late", || async {
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

/// With nothing else wrong: in the moment in which the last task has ended users cancel, ask and submit again, at
/// both nodes at once.
#[test]
fn everybody_hears_one_end_where_a_cancellation_meets_it() {
    let (deployment, a, b) = deployment(10);
    deployment.outside.block_on(async {
        for n in 1..=12 {
            deployment.submit_until_accepted(if n % 2 == 0 { &a } else { &b }, n, SHORT).await;
            let ended = |n: u64| {
                let fleet = deployment.world.fleet.lock().unwrap();
                fleet.results().iter().filter(|task| *task.job == *id(n)).count()
            };
            // In fixed steps from some 60 ms before the leader hears of it to as long after.
            until("ended", || async { ended(n) == 3 || deployment.stored_status(n) > StoredStatus::Open }).await;
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
            until("ended", || async { deployment.stored_status(n) > StoredStatus::Open }).await;
            let first = deployment.stored_status(n);
            let want = if first == StoredStatus::Done { "done" } else { "withdrawn" };
            deployment.all_report([&a, &b], n, want).await;
            assert_eq!((deployment.stored_status(n), deployment.started(n)), (first, 3));
        }
    });
    deployment.end([a, b]);
}

/// One cancellation as it goes over the wire: its status, when to come again, and its body.
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
    let again = head.lines().find_map(|line| line.strip_prefix("retry-after:")).map(|s| s.trim().parse().unwrap());
    (code, again, protocol::decode(&answer[split + 4..]).unwrap_or_default())
}

/// Jobs are cancelled in the seconds in which the work changes hands, until somebody leads and has loaded its cluster
/// state: each is answered at once, told only once that cluster state has it, and confirmed soon after.
#[test]
fn cancellations_while_the_work_changes_hands() {
    let (deployment, a, b) = deployment(2);
    let jobs = 1..=12;
    deployment.outside.block_on(async {
        for n in jobs.clone() {
            deployment.submit_until_accepted(&b, n, ENDLESS).await;
        }
        for n in jobs.clone() {
            deployment.wait_until_running(n).await;
        }
        // A reading takes its time: many pages, of two keys each.
        deployment.faults(|faults| faults.response_delay = Duration::from_millis(150));
    });
    drop(a);
    deployment.outside.block_on(async {
        // One after another, so that there is one at each moment.
        let (mut waiting, mut told, mut next) = (Vec::<u64>::new(), Vec::new(), jobs.clone());
        let (begun, mut loaded) = (Instant::now(), None);
        while told.len() < jobs.clone().count() {
            assert!(begun.elapsed() < stand_in::LONG, "never told: {waiting:?}");
            waiting.extend(next.next());
            let mut rest = Vec::new();
            for n in waiting {
                let asked = Instant::now();
                let (code, again, answer) = cancel_raw(&b.addr, n).await;
                let took = asked.elapsed();
                assert!(took < Duration::from_secs(4), "{n} was answered only after {took:?}");
                if code == 200 {
                    assert_eq!(answer["status"], "withdrawn");
                    let version = deployment.version(&format!("h/w/{}", id(n)));
                    // What was stored under its own fencing token it has put into its cluster state itself, ahead of
                    // its watch.
                    let has = b
                        .controller
                        .membership
                        .watermark()
                        .is_some_and(|cluster| cluster.fencing_token < version || cluster.revision >= version);
                    assert!(has && version > 0, "{n} was told with no loaded cluster state that has it");
                    told.push(n);
                } else {
                    assert!(code == 503 && again.is_some_and(|s| (1..=30).contains(&s)), "{code} {again:?} {answer}");
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
            until("gone", || async { deployment.live(n) == 0 }).await;
        }
    });
    deployment.end([b]);
}

/// Cancellations of one kind that are measured.
const MEASURED: u64 = 20;
/// Between two of them at one node.
const APART: Duration = Duration::from_millis(150);

/// Three controllers of which the first leads; they hear each other or not. An address that was free a moment ago
/// will do for a measurement.
fn three(hear: bool) -> (TestDeployment, Vec<ControllerProcess>) {
    let free = || std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let outside = Runtime::new().unwrap();
    let mut params = params();
    params.fleet.lease = Duration::from_secs(3600);
    let world = outside.block_on(async { World::open(params) });
    let deployment = TestDeployment { outside, world, http: Http::default() };
    let (names, meshes) = (["node-a", "node-b", "node-c"], [free(), free(), free()]);
    let start = |at: usize| {
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        let peers: Vec<&str> = others.iter().map(|other| names[*other]).collect();
        let mut settings =
            settings(names[at], &peers, &deployment.outside.block_on(deployment.world.serve_controller(at)));
        if hear {
            settings["mesh_addr"] = json!(meshes[at]);
            for (slot, other) in others.iter().enumerate() {
                settings["peers"][slot]["endpoint"] = json!(meshes[*other]);
            }
        }
        // The default, which the stand-in shortens.
        ControllerProcess::start_with(&deployment.world, &settings, "leader.lease.seconds=3")
    };
    let a = start(0);
    deployment.outside.block_on(until("the first leads", || async { a.controller.membership.watermark().is_some() }));
    let all = vec![a, start(1), start(2)];
    deployment.outside.block_on(async {
        for at in &all {
            until("healthy", || deployment.healthy(at)).await;
        }
        for n in 1..=2 * MEASURED {
            deployment.submit_until_accepted(&all[1], n, ENDLESS).await;
        }
        for n in 1..=2 * MEASURED {
            deployment.wait_until_running(n).await;
        }
    });
    (deployment, all)
}

impl TestDeployment {
    /// Cancels at this node, and again after each second as it is told, until that is confirmed.
    async fn confirmed(&self, addr: String, n: u64) -> (u64, Duration) {
        let (begun, mut asked) = (Instant::now(), 1);
        loop {
            let path = format!("/work/{}/withdraw", id(n));
            let (code, answer) = ask(&self.http, Method::POST, &addr, &path, None).await;
            if code == 200 {
                assert_eq!(answer["status"], "withdrawn");
                return (asked, begun.elapsed());
            }
            assert!(matches!(code, 0 | 503) && begun.elapsed() < stand_in::LONG, "{n}: {code} {answer}");
            asked += 1;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Cancels at two nodes side by side, and says how long that took at each.
    async fn measured(&self, day: &str, at: [(&str, &ControllerProcess); 2]) {
        let of = |at: &ControllerProcess, first: u64| {
            let addr = at.addr.clone();
            async move {
                let mut all = Vec::new();
                for n in 0..MEASURED {
                    let addr = addr.clone();
                    all.push(async move {
                        tokio::time::sleep(APART * n as u32).await;
                        self.confirmed(addr, first + n).await
                    });
                }
                join_all(all).await
            }
        };
        let (first, second) = tokio::join!(of(at[0].1, 1), of(at[1].1, 1 + MEASURED));
        for ((who, _), mut took) in at.into_iter().zip([first, second]) {
            took.sort_by_key(|(_, took)| *took);
            let at_once = took.iter().filter(|(asked, _)| *asked == 1).count();
            let s = |at: usize| took[at].1.as_secs_f64();
            println!(
                "{day}, through {who}: median {:.2} s, worst {:.2} s of {}; {at_once} with the first answer",
                (s(took.len() / 2 - 1) + s(took.len() / 2)) / 2.0,
                s(took.len() - 1),
                took.len()
            );
        }
        for n in 1..=2 * MEASURED {
            until("gone", || async { self.live(n) == 0 }).await;
        }
    }
}

/// How long it takes until a cancellation is confirmed, from the user's first request on, by a user who stays with
/// one node and comes again after each second.
/// `cargo test --test response_consistency -- --ignored --nocapture --test-threads=1`
#[test]
#[ignore = "a measurement"]
fn until_a_cancellation_is_confirmed() {
    for hear in [true, false] {
        let how = if hear { "hear" } else { "do not hear" };
        let (deployment, all) = three(hear);
        let day = format!("a quiet day, controllers {how} each other");
        deployment.outside.block_on(deployment.measured(&day, [("the leader", &all[0]), ("a follower", &all[1])]));
        deployment.end(all);

        let (deployment, mut all) = three(hear);
        drop(all.remove(0));
        let day = format!("from the leader's end on, controllers {how} each other");
        deployment.outside.block_on(deployment.measured(&day, [("node-b", &all[0]), ("node-c", &all[1])]));
        let leader = deployment.world.state.lock().unwrap().store.value("c/owner/0").unwrap()["node"].clone();
        println!("  the successor was {leader}");
        deployment.end(all);

        let (deployment, all) = three(hear);
        let day = format!("from the store's refusal of the leader for 14 s on, controllers {how} each other");
        let refuse = |refused| deployment.world.state.lock().unwrap().store.set_refused("0", refused);
        refuse(true);
        deployment.outside.block_on(async {
            let served_again = async {
                tokio::time::sleep(Duration::from_secs(14)).await;
                refuse(false);
            };
            tokio::join!(served_again, deployment.measured(&day, [("the leader", &all[0]), ("a follower", &all[1])]));
        });
        deployment.end(all);
    }
}
