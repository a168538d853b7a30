//! Ended jobs over HTTP: a store with very many of them, floods of status requests, the store of an earlier build, and
//! the status that each controller reports at each stage of a job's life.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hollylanding::history::end_cache::EndCache;
use hollylanding::jobs::record::time_of_day_ms;
use hollylanding::protocol::{self, Http};
use hollylanding_emulator::world::store::Limits;
use hyper::Method;
use serde_json::{Value, json};
use stand_in::{ControllerProcess, ENDLESS, SHORT, World, job, open_world, send_request, settings, upload, wait_until};
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The first number of open jobs; the numbers of ended jobs begin at 0.
const OPEN: u64 = 10_000_000;
/// The first number of jobs that are never submitted.
const UNKNOWN: u64 = 20_000_000;

fn id(n: u64) -> String {
    format!("run-{n:06}")
}

/// Returns a job of one task that is small enough for hundreds of them to share a machine.
fn small_job(n: u64) -> Value {
    let mut job = job(n, 1);
    (job["cpus"], job["memGb"]) = (json!(0.02), json!(0.1));
    job
}

fn open_record(n: u64) -> Value {
    json!({"spec": small_job(n), "at_ms": 1})
}

fn ended_record(n: u64) -> Value {
    json!({"spec": small_job(n), "at_ms": 1, "ended_ms": 2})
}

/// Returns the record of a job that ended recently, so that its machines still have time to prove its tasks stopped.
fn just_ended_record(n: u64) -> Value {
    json!({"spec": small_job(n), "at_ms": 1, "ended_ms": time_of_day_ms() - 14_000})
}

/// Returns the status of an ended job; every seventh was cancelled.
fn end_of(n: u64) -> &'static str {
    if n.is_multiple_of(7) { "withdrawn" } else { "done" }
}

async fn status(http: &Http, addr: &str, n: u64) -> (u16, Value) {
    send_request(http, Method::GET, addr, &format!("/work/{}", id(n)), None).await
}

async fn submit(http: &Http, addr: &str, job: &Value) -> (u16, Value) {
    send_request(http, Method::POST, addr, "/work", Some(protocol::encode(job))).await
}

async fn cancel(http: &Http, addr: &str, n: u64) -> (u16, Value) {
    send_request(http, Method::POST, addr, &format!("/work/{}/withdraw", id(n)), None).await
}

/// Sends a flood of status requests, as fast as possible or at a rate per second. Returns the number of answers by status
/// code.
async fn flood(
    addrs: [&str; 2],
    ids: Range<u64>,
    per_second: Option<f64>,
    want: fn(u64) -> u16,
) -> BTreeMap<u16, usize> {
    let (http, slots) = (Http::default(), Arc::new(Semaphore::new(200)));
    let mut pace = per_second.map(|n| tokio::time::interval(Duration::from_secs_f64(1.0 / n)));
    let mut asked = JoinSet::new();
    for n in ids {
        if let Some(pace) = pace.as_mut() {
            pace.tick().await;
        }
        let slot = slots.clone().acquire_owned().await.unwrap();
        let (http, addr) = (http.clone(), addrs[(n % 2) as usize].to_owned());
        asked.spawn(async move {
            let (code, answer) = status(&http, &addr, n).await;
            drop(slot);
            assert!(code == want(n) || code == 503, "{n}: {code}");
            assert!(code != 200 || answer["status"] == end_of(n), "{n}: {answer}");
            code
        });
    }
    let mut answers = BTreeMap::new();
    while let Some(code) = asked.join_next().await {
        *answers.entry(code.unwrap()).or_default() += 1;
    }
    answers
}

/// Runs controllers on a store with very many ended jobs: what they read, hold and answer depends only on the open jobs,
/// and a flood of status requests starves nothing.
fn run_with_ended_jobs(ended: u64, open: u64, polls: u64, per_second: Option<f64>) {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    {
        let mut state = world.state.lock().unwrap();
        state.max_page_items = 1000;
        state.limit(Limits { requests_per_second: 100.0, changes_per_second: 40.0, value_kb: 8.0, txn_ops: 24 });
        for n in 0..ended {
            let key = if end_of(n) == "done" { "h/d/" } else { "h/w/" };
            let record = if n < 20 { just_ended_record(n) } else { ended_record(n) };
            state.put(format!("{key}{}", id(n)), &record);
        }
        for n in OPEN..OPEN + open {
            upload(&world, &small_job(n), ENDLESS);
            state.put(format!("c/o/{}", id(n)), &open_record(n));
        }
        // Task shards left behind by a leader that ended; according to them half of the tasks are placed on a machine.
        for n in 0..40 {
            let tasks = if n < 20 { json!([[1, "host-000000"]]) } else { json!([1]) };
            state.put(format!("t/{}/00000", id(n)), &tasks);
        }
        state.put("c/upgraded".into(), &json!({"old_kept": false}));
    }
    let with_limits = |me: &str, other: &str| {
        let mut settings = settings(me, &[other], &door);
        settings["params"]["state"] = json!({"rps": 100, "write_rps": 40, "value_kb": 8, "txn_ops": 24});
        settings["params"]["resources"]["memory_mb"] = json!(56);
        settings
    };
    let http = Http::default();
    let a = ControllerProcess::start(&world, &with_limits("node-a", "node-b"));
    outside.block_on(wait_until("healthy", || async {
        send_request(&http, Method::GET, &a.addr, "/healthz", None).await.0 == 200
    }));
    let to_start = world.state.lock().unwrap().requests;
    // Only tasks of cancelled jobs may still be on a machine. On the cluster fa-lima-fleet a new leader held 190
    // machines for jobs that were done, and returned them since they gave no proof that the tasks were gone.
    let placed = (0..20).filter(|n| end_of(*n) == "withdrawn").count();
    outside.block_on(wait_until("took over", || async {
        a.count_held("ending") == placed && a.count_held("book_jobs") as u64 == open + placed as u64
    }));
    let (to_lead, largest) = {
        let state = world.state.lock().unwrap();
        (state.requests, state.largest)
    };
    println!(
        "{ended} ended, {open} open: healthy after {to_start} requests, leader after {to_lead}, largest answer {largest} B"
    );
    let pages = open.div_ceil(250);
    // Pages of jobs and of tasks, up to three requests for each missing job description, leases and read barriers.
    assert!(to_lead <= pages * 2 + 20 * 3 + 60, "{to_lead} requests before the leadership was acquired");
    assert!(largest <= 600 * 1024, "an answer of {largest} bytes");

    let b = ControllerProcess::start(&world, &with_limits("node-b", "node-a"));
    outside.block_on(async {
        wait_until("the second is healthy", || async {
            send_request(&http, Method::GET, &b.addr, "/healthz", None).await.0 == 200
        })
        .await;
        // A single count is not sufficient: shards are dropped in batches, and a machine that proves nothing is
        // returned, which releases the last shards too. So each shard is checked by itself, and none may be dropped
        // before its placement is.
        wait_until("shards of tasks that cannot run any more dropped", || async {
            let left: Vec<u64> = {
                let state = world.state.lock().unwrap();
                (0..40).filter(|n| state.store.value(&format!("t/{}/00000", id(*n))).is_some()).collect()
            };
            let may_run = |n: &&u64| **n < 20 && end_of(**n) == "withdrawn";
            let may_still_run = left.iter().filter(may_run).count();
            assert!(
                may_still_run >= a.count_held("ending"),
                "shard dropped while a machine may still run its task: {left:?}"
            );
            left.len() == may_still_run
        })
        .await;
        // A machine that an earlier leader gave the cancelled tasks has never reported: these cancellations are
        // reported once the machine is returned, and until then the only other answer is 503.
        wait_until("cancellations reported", || async {
            let mut all_reported = true;
            for addr in [&a.addr, &b.addr] {
                for n in [0, 7, 14] {
                    let (code, answer) = status(&http, addr, n).await;
                    assert!(code == 503 || answer["status"] == "withdrawn", "{n}: {code} {answer}");
                    all_reported &= code == 200;
                }
            }
            all_reported
        })
        .await;
        assert_eq!(
            a.count_held("ending"),
            0,
            "cancellation reported while a machine that never reported may run the task"
        );
        for addr in [&a.addr, &b.addr] {
            for n in (0..20).map(|n| n * (ended / 20)) {
                assert_eq!(status(&http, addr, n).await.1["status"], end_of(n));
                let (code, again) = submit(&http, addr, &small_job(n)).await;
                assert_eq!((code, again["status"].as_str()), (200, Some(end_of(n))), "submitted again");
                assert_eq!(cancel(&http, addr, n).await.1["status"], end_of(n), "an end must not change");
                assert_eq!(status(&http, addr, UNKNOWN + n).await.0, 404);
            }
            for n in OPEN..OPEN + 5 {
                let (code, answer) = status(&http, addr, n).await;
                assert!(code == 200 && (answer["status"] == "pending" || answer["status"] == "running"), "{answer}");
            }
        }
        // Each placement takes one change within the rate limit. They finish first, so that the job submitted during the
        // floods does not wait behind them.
        wait_until("open jobs placed", || async { world.starts.lock().unwrap().len() as u64 >= open }).await;
        // A job is submitted and completed while both controllers are flooded.
        let (from, old) = (world.state.lock().unwrap().requests, ended - 1);
        for (what, ids, want) in [
            ("nobody submitted", UNKNOWN..UNKNOWN + polls, (|_| 404) as fn(u64) -> u16),
            ("ended long ago", old.saturating_sub(polls)..old, |_| 200),
        ] {
            let started_at = Instant::now();
            let flooded = tokio::spawn({
                let (a, b) = (a.addr.clone(), b.addr.clone());
                async move { flood([&a, &b], ids, per_second, want).await }
            });
            // With a deadline, so that its task is placed wherever it fits.
            let new = OPEN * 3 + from + polls + u64::from(what.len() as u32);
            let mut job_with_deadline = small_job(new);
            job_with_deadline["dueS"] = json!(60);
            upload(&world, &job_with_deadline, SHORT);
            wait_until("accepted in the flood", || async {
                submit(&http, &b.addr, &job_with_deadline).await.0 / 100 == 2
            })
            .await;
            let accepted = started_at.elapsed();
            wait_until("done in the flood", || async {
                world.state.lock().unwrap().store.value(&format!("h/d/{}", id(new))).is_some()
            })
            .await;
            let (took, answers) = (started_at.elapsed(), flooded.await.unwrap());
            println!("{polls} polls of what {what}: {answers:?}; a job accepted in {accepted:?}, done in {took:?}");
            assert!(answers.len() > usize::from(answers.contains_key(&503)), "no request was answered");
        }
        let (requests, refused) = {
            let state = world.state.lock().unwrap();
            (state.requests - from, state.refused)
        };
        println!("{requests} requests for it, {refused} refused by the state service");
        assert_eq!(refused, 0, "the rate limits must hold under any load");
        for controller in [&a, &b] {
            println!("held: {:?}", controller.controller.entry_counts());
            assert!(
                controller.count_held("ends") <= EndCache::capacity() && controller.count_held("descriptions") <= 2000
            );
            wait_until("all open jobs known", || async { controller.count_held("open_jobs") as u64 == open }).await;
            wait_until("no request waiting", || async {
                (controller.count_held("asked"), controller.count_held("waiting")) == (0, 0)
            })
            .await;
        }
    });
}

#[test]
fn twenty_thousand_ended_jobs_do_not_slow_controllers() {
    run_with_ended_jobs(20_000, 100, 600, None);
}

/// Takes a minute and some gigabytes of memory for the emulator:
/// `cargo test --release --test history -- --ignored --nocapture`
#[test]
#[ignore = "long: a million ended jobs"]
fn a_million_ended_jobs_do_not_slow_controllers() {
    run_with_ended_jobs(1_000_000, 500, 5_000, Some(500.0));
}

/// After a restart of all controllers none has an end in its cache, and all users ask: those answered with 503 retry
/// every second (users wait 5 s). A leader's half of 80 requests a second compares 640 jobs a second, which takes 12 s for
/// these jobs.
#[test]
fn all_ended_jobs_are_answered_soon_after_all_controllers_restart() {
    const ENDED_JOBS: u64 = 8000;
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    {
        let mut state = world.state.lock().unwrap();
        state.max_page_items = 1000;
        state.limit(Limits { requests_per_second: 80.0, changes_per_second: 40.0, value_kb: 8.0, txn_ops: 16 });
        for n in 0..ENDED_JOBS {
            let key = if end_of(n) == "done" { "h/d/" } else { "h/w/" };
            state.put(format!("{key}{}", id(n)), &ended_record(n));
        }
        state.put("c/upgraded".into(), &json!({"old_kept": false}));
    }
    let mut settings = settings("node-a", &["node-b", "node-c"], &door);
    settings["params"]["state"] = json!({"rps": 80, "write_rps": 40, "value_kb": 8, "txn_ops": 16});
    let http = Http::default();
    let a = ControllerProcess::start(&world, &settings);
    outside.block_on(async {
        wait_until("healthy", || async { send_request(&http, Method::GET, &a.addr, "/healthz", None).await.0 == 200 })
            .await;
        let started_at = Instant::now();
        let mut left: Vec<u64> = (0..ENDED_JOBS).collect();
        while !left.is_empty() {
            let round = Instant::now();
            let mut asked = JoinSet::new();
            let slots = Arc::new(Semaphore::new(200));
            for n in left {
                let slot = slots.clone().acquire_owned().await.unwrap();
                let (http, addr) = (http.clone(), a.addr.clone());
                asked.spawn(async move {
                    let (code, answer) = status(&http, &addr, n).await;
                    drop(slot);
                    assert!(code == 503 || (code == 200 && answer["status"] == end_of(n)), "{n}: {code} {answer}");
                    (code == 503).then_some(n)
                });
            }
            left = asked.join_all().await.into_iter().flatten().collect();
            tokio::time::sleep_until((round + Duration::from_secs(1)).into()).await;
        }
        assert!(started_at.elapsed() < Duration::from_secs(11), "{:?}", started_at.elapsed());
        assert!(a.count_held("ends") as u64 > ENDED_JOBS * 9 / 10, "the ends must be cached from then on");
    });
}

/// A watch whose answer is larger than a controller can accept is replaced by reading pages. Otherwise the controller
/// would repeat the watch without end, or the process would run out of memory.
#[test]
fn oversized_watch_answer_is_replaced_by_reading_pages() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    let http = Http::default();
    world.state.lock().unwrap().max_page_items = 1000;
    let follower = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    outside.block_on(async {
        wait_until("healthy", || async {
            send_request(&http, Method::GET, &follower.addr, "/healthz", None).await.0 == 200
        })
        .await;
        let put_all = |ids: Range<u64>| {
            let mut state = world.state.lock().unwrap();
            ids.for_each(|n| state.put(format!("c/o/{}", id(n)), &open_record(n)));
        };
        put_all(OPEN..OPEN + 4000);
        wait_until("all jobs known", || async { follower.count_held("open_jobs") == 4000 }).await;
        let largest = std::mem::take(&mut world.state.lock().unwrap().largest);
        assert!(largest > 1024 * 1024, "the watch answer must exceed the limit: {largest} bytes");
        // The watch continues after the pages.
        put_all(OPEN + 4000..OPEN + 4001);
        wait_until("next job known", || async { follower.count_held("open_jobs") == 4001 }).await;
        assert!(world.state.lock().unwrap().largest < 600 * 1024);
    });
}

/// Reading the store in pages continues at the page that was refused. When it began anew at every refusal it did not end
/// within a minute while others used up the rate limits, and its controller was not ready and answered no requests.
#[test]
fn paged_read_continues_at_the_refused_page() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    {
        let mut state = world.state.lock().unwrap();
        state.max_page_items = 1000;
        state.limit(Limits { requests_per_second: 6.0, changes_per_second: 40.0, value_kb: 8.0, txn_ops: 24 });
        (OPEN..OPEN + 5000).for_each(|n| state.put(format!("c/o/{}", id(n)), &open_record(n)));
        state.put("c/upgraded".into(), &json!({"old_kept": false}));
    }
    let follower = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    outside.block_on(wait_until("all jobs known", || async { follower.count_held("open_jobs") == 5000 }));
    // 21 pages, and the requests that other parts send at the start.
    let state = world.state.lock().unwrap();
    let served = state.requests - state.refused;
    assert!(served <= 40, "{served} served, {} refused", state.refused);
}

/// Writes a job, and its end if it has one, as an earlier build stored them.
fn put_old_keys(world: &World, n: u64, end: Option<&str>) {
    upload(world, &small_job(n), SHORT);
    let mut state = world.state.lock().unwrap();
    state.put(format!("c/j/{}", id(n)), &open_record(n));
    if let Some(end) = end {
        state.put(format!("c/e/{}", id(n)), &json!({"end": end, "at_ms": 2}));
    }
}

/// The store of an earlier build: open jobs are moved to their new keys, and ended jobs are answered from their old keys.
/// The upgrade is interrupted by the end of its controller and then done by two controllers concurrently.
#[test]
fn store_of_an_earlier_build_is_upgraded() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    let http = Http::default();
    let ended = |n: u64| !n.is_multiple_of(3);
    for n in 0..60 {
        put_old_keys(&world, n, ended(n).then(|| end_of(n)));
    }
    {
        // A running job of the earlier build, placed by its leader.
        let mut state = world.state.lock().unwrap();
        state.put("c/owner/0".into(), &json!({"node": "old", "incarnation": "old", "teams": []}));
        state.put(format!("t/{}/00000", id(0)), &json!([3]));
        state.faults.writes_left = Some(5);
    }
    let first = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    outside.block_on(wait_until("upgrade interrupted", || async {
        world.state.lock().unwrap().faults.writes_left == Some(0)
    }));
    assert_eq!(
        outside.block_on(status(&http, &first.addr, 1)).0,
        503,
        "a controller must not be ready before the upgrade is complete"
    );
    drop(first);
    world.state.lock().unwrap().faults.writes_left = None;
    let two = ["node-a", "node-b"].map(|me| {
        let other = if me == "node-a" { "node-b" } else { "node-a" };
        ControllerProcess::start(&world, &settings(me, &[other], &door))
    });
    outside.block_on(async {
        for controller in &two {
            wait_until("healthy", || async {
                send_request(&http, Method::GET, &controller.addr, "/healthz", None).await.0 == 200
            })
            .await;
        }
        assert_eq!(world.state.lock().unwrap().count("c/j/"), 40, "ended jobs must stay under their old keys");
        for n in 0..60 {
            for controller in &two {
                if ended(n) {
                    assert_eq!(status(&http, &controller.addr, n).await.1["status"], end_of(n), "{n}");
                    assert_eq!(submit(&http, &controller.addr, &small_job(n)).await.1["status"], end_of(n), "{n}");
                } else {
                    wait_until("open job done", || async {
                        status(&http, &controller.addr, n).await.1["status"] == "done"
                    })
                    .await;
                }
            }
        }
        // An acceptance of the earlier build that is carried out only now, for a job that was reported to no user.
        put_old_keys(&world, 70, None);
        wait_until("late job adopted and done", || async {
            status(&http, &two[1].addr, 70).await.1["status"] == "done"
        })
        .await;
        assert_eq!(submit(&http, &two[0].addr, &small_job(70)).await.1["status"], "done");
        {
            let mut state = world.state.lock().unwrap();
            assert_eq!((state.count("c/o/"), state.count("h/d/")), (0, 21));
            // Accepted jobs whose records are unreadable: no controller can run them, but they stay known, and queries
            // in the same batch are answered.
            for key in ["c/j/run-000080", "c/o/run-000081"] {
                state.put(key.into(), &json!({"spec": "?"}));
            }
        }
        for controller in &two {
            for (n, want) in [(80, "pending"), (81, "pending"), (70, "done"), (0, "done")] {
                assert_eq!(status(&http, &controller.addr, n).await.1["status"], want, "{n}");
            }
            assert_eq!(status(&http, &controller.addr, 99).await.0, 404);
        }
    });
}

/// The status that the leader, a follower and a controller that has just started report at each stage of a job's life.
#[test]
fn all_controllers_report_the_same_status() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    let http = Http::default();
    for (job, run) in [(small_job(1), ENDLESS), (job(2, 100_000), ENDLESS), (small_job(3), SHORT)] {
        upload(&world, &job, run);
    }
    let names = ["node-a", "node-b", "node-c"];
    let others = |me: &str| names.into_iter().filter(|n| *n != me).collect::<Vec<_>>();
    let leader = ControllerProcess::start(&world, &settings("node-a", &others("node-a"), &door));
    let healthy = async |c: &ControllerProcess| {
        wait_until("healthy", || async { send_request(&http, Method::GET, &c.addr, "/healthz", None).await.0 == 200 })
            .await;
    };
    outside.block_on(async {
        healthy(&leader).await;
        wait_until("leadership acquired", || async { world.state.lock().unwrap().store.value("c/owner/0").is_some() })
            .await;
    });
    let follower = ControllerProcess::start(&world, &settings("node-b", &others("node-b"), &door));
    outside.block_on(healthy(&follower));
    let never_fits = |n| {
        let mut job = small_job(n);
        job["cpus"] = json!(99);
        job
    };
    enum Action {
        Submit(Value),
        Cancel(u64),
        AwaitStored(&'static str),
        AwaitRunning(usize),
    }
    // The stage, the action that leads to it, the job that is looked up then, and the expected status code and status.
    type Stage = (&'static str, Option<Action>, u64, (u16, Option<&'static str>));
    let stages: Vec<Stage> = vec![
        ("never submitted", None, 9, (404, None)),
        ("refused", Some(Action::Submit(never_fits(9))), 9, (404, None)),
        ("accepted and running", Some(Action::Submit(small_job(1))), 1, (200, None)),
        ("seen to run", Some(Action::AwaitRunning(1)), 1, (200, Some("running"))),
        ("withdrawn", Some(Action::Cancel(1)), 1, (200, Some("withdrawn"))),
        ("withdrawn before it ran", Some(Action::Submit(job(2, 100_000))), 2, (200, None)),
        ("the same, withdrawn", Some(Action::Cancel(2)), 2, (200, Some("withdrawn"))),
        ("accepted", Some(Action::Submit(small_job(3))), 3, (200, None)),
        ("done", Some(Action::AwaitStored("h/d/run-000003")), 3, (200, Some("done"))),
        ("done, then withdrawn", Some(Action::Cancel(3)), 3, (200, Some("done"))),
        ("withdrawn, then submitted again", Some(Action::Submit(small_job(1))), 1, (200, Some("withdrawn"))),
        ("done, then submitted again", Some(Action::Submit(small_job(3))), 3, (200, Some("done"))),
        ("ended, now never fits", Some(Action::Submit(never_fits(3))), 3, (200, Some("done"))),
        ("not in the form of an id", None, 10u64.pow(19), (404, None)),
    ];
    for (stage, action, n, (code, want)) in stages {
        outside.block_on(async {
            match action {
                None => {}
                Some(Action::Submit(job)) => drop(submit(&http, &follower.addr, &job).await),
                // The cancellation is repeated until it is confirmed, as users do. Until then it is answered with 503,
                // and from then on all controllers report the same status.
                Some(Action::Cancel(n)) => {
                    wait_until(stage, || async {
                        let (code, answer) = cancel(&http, &follower.addr, n).await;
                        assert!(matches!(code, 200 | 503), "{stage}: {answer}");
                        code == 200
                    })
                    .await;
                }
                Some(Action::AwaitStored(key)) => {
                    wait_until(stage, || async { world.state.lock().unwrap().store.value(key).is_some() }).await;
                }
                Some(Action::AwaitRunning(n)) => {
                    wait_until(stage, || async { world.starts.lock().unwrap().len() >= n }).await;
                    wait_until(stage, || async { status(&http, &leader.addr, 1).await.1["running"] == 1 }).await;
                }
            }
        });
        let just_started = ControllerProcess::start(&world, &settings("node-c", &others("node-c"), &door));
        outside.block_on(async {
            healthy(&just_started).await;
            for (who, controller) in [("leader", &leader), ("follower", &follower), ("just started", &just_started)] {
                let (got, answer) = status(&http, &controller.addr, n).await;
                assert_eq!(got, code, "{stage}, {who}: {answer}");
                // The leader has the counts of running tasks; the others receive them over connections that do not exist here.
                if want == Some("running") && who != "leader" {
                    assert!(answer["status"] == "pending" || answer["status"] == "running", "{stage}, {who}: {answer}");
                } else if let Some(want) = want {
                    assert_eq!(answer["status"], want, "{stage}, {who}");
                }
            }
        });
    }
}
