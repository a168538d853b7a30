//! Simulated time until every job query has an answer again after no controller has any end in memory, while users poll
//! every ended job every 5 s.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::{Duration, Instant};

use crate::history::end_sweep::EndSweep;
use crate::history::end_sweep_loop::REQUESTS_PER_PAGE;
use crate::history::job_transactions::end_changes;
use crate::history::query_queue::{QueryBatch, QueryQueue};
use crate::jobs::record::{JobRecord, time_of_day_ms};
use crate::jobs::tests::spec;
use crate::jobs::{End, JobId, JobSpec};
use crate::store::Change;
use crate::store::budget::{RequestPriority, TokenBucket};

const MILLISECOND: Duration = Duration::from_millis(1);
/// Time between two polls of the same job.
const POLL_PERIOD_MS: usize = 5000;
/// Mean response time of the state service, slow responses included.
const RESPONSE_MS: u64 = 30;
/// Number of keys in a page.
const PAGE_SIZE: usize = 1000;

/// A response of the state service that arrives at some time.
enum Response {
    /// To a batch of queries.
    Batch(QueryBatch<usize>),
    /// To a page of an end sweep, with the index of its first job.
    Page(usize),
}

/// Milliseconds until each of `jobs` was answered once, at a controller that may send `per_second` requests per second;
/// `u64::MAX` if that takes 80 s or more. Ends are also read in pages if `with_sweep`.
fn time_until_all_answered(jobs: usize, per_second: f64, txn_ops: usize, with_sweep: bool) -> u64 {
    let start = Instant::now();
    let ids: Vec<JobId> = (0..jobs).map(|n| format!("run-{n:06}").into()).collect();
    let (mut queries, mut sweep) = (QueryQueue::new(txn_ops), EndSweep::default());
    let mut budget = TokenBucket::new(per_second, per_second, start);
    let mut responses: BTreeMap<u64, Vec<Response>> = BTreeMap::new();
    let (mut batches_in_flight, mut page_in_flight) = (0, false);
    // Proofs of freshness and the watch each take a quarter of the share of requests. The heap holds when the next
    // request of each is due.
    let mut background_requests: BinaryHeap<Reverse<u64>> = [Reverse(0), Reverse(50)].into();
    let background_period_ms = (4000.0 / per_second) as u64;
    let page_period_ms = (1000.0 * REQUESTS_PER_PAGE / per_second) as u64;
    // When the next batch began to wait for the request budget, and when the next page may be requested.
    let (mut batch_waits_since, mut next_page_ms) = (None, 0);
    let mut unanswered: HashSet<usize> = (0..jobs).collect();
    for ms in 0..80_000u64 {
        let now = start + MILLISECOND * ms as u32;
        while background_requests.peek().is_some_and(|due| due.0 <= ms)
            && budget.take(1.0, RequestPriority::Critical, now).is_ok()
        {
            background_requests.pop();
            background_requests.push(Reverse(ms + background_period_ms));
        }
        for response in responses.remove(&ms).unwrap_or_default() {
            match response {
                Response::Batch(batch) => {
                    batches_in_flight -= 1;
                    let failed: Vec<String> = batch.ids().map(|id| format!("h/d/{id}")).collect();
                    queries
                        .resolve(batch, &failed)
                        .answers
                        .into_iter()
                        .for_each(|(job, _)| _ = unanswered.remove(&job));
                }
                Response::Page(first) => {
                    page_in_flight = false;
                    let end = (first + PAGE_SIZE).min(jobs);
                    ids[first..end].iter().for_each(|id| queries.note_end(id, End::Done));
                    sweep.finish_page(ids.get(end - 1).map(|id| id.to_string()), end < jobs, now);
                }
            }
        }
        // Jobs are polled in an order unrelated to that of their keys.
        for n in (ms as usize % POLL_PERIOD_MS..jobs).step_by(POLL_PERIOD_MS) {
            let job = n * 7919 % jobs;
            if queries.known_end(&ids[job]).is_some() {
                unanswered.remove(&job);
            } else {
                let _ = queries.enqueue(&ids[job], job, now);
            }
        }
        if with_sweep && queries.is_half_full() {
            sweep.request(now);
        }
        if batches_in_flight < 4 && queries.has_queued() {
            let priority =
                RequestPriority::Query.after_waiting(MILLISECOND * (ms - *batch_waits_since.get_or_insert(ms)) as u32);
            if budget.take(1.0, priority, now).is_ok() {
                (batch_waits_since, batches_in_flight) = (None, batches_in_flight + 1);
                responses.entry(ms + RESPONSE_MS).or_default().push(Response::Batch(queries.next_batch(now).due));
            }
        }
        if let Some(last_key) = sweep.next_page(now).filter(|_| !page_in_flight && ms >= next_page_ms)
            && budget.take(1.0, RequestPriority::Placement, now).is_ok()
        {
            let first = last_key.map_or(0, |last| ids.partition_point(|id| **id <= *last));
            (next_page_ms, page_in_flight) = (ms + page_period_ms, true);
            responses.entry(ms + RESPONSE_MS).or_default().push(Response::Page(first));
        }
        if unanswered.is_empty() {
            return ms;
        }
    }
    u64::MAX
}

/// The aim is that all users have an answer within 20 s of the end of all faults, at the usual limits of the state
/// service. Batches of queries without pages of ends take minutes.
#[test]
fn hundred_thousand_ended_jobs_are_answered_within_twenty_seconds() {
    // The state service's limits of requests per second and of changes per transaction. A controller that does not lead
    // has 0.225 of the requests.
    for (limit, txn_ops) in [(300.0, 24), (150.0, 24), (100.0, 16), (80.0, 16)] {
        let share = limit * 0.45 / 2.0;
        let took_ms = time_until_all_answered(100_000, share, txn_ops, true);
        assert!(took_ms <= 20_000, "all answered only after {took_ms} ms at {limit} requests per second");
    }
    let without_sweep_ms = time_until_all_answered(100_000, 18.0, 16, false);
    assert!(without_sweep_ms > 75_000, "all answered after only {without_sweep_ms} ms without a sweep");
}

/// The state service limits a page to 512 KiB. Larger records would leave fewer ends in a page than the number
/// requested.
#[test]
fn full_page_of_large_ended_records_fits_the_page_size_limit() {
    let strings = ["airflow-solve", "greenhouse-north", "img-0007", "type-g8", "type-c96"].map(str::to_owned);
    let [class, team, image, g8, c96] = strings;
    let spec = JobSpec { class, team, image, types: Some(vec![g8, c96]), due_s: Some(86_399.5), ..spec() };
    let record = JobRecord { spec, accepted_ms: time_of_day_ms() };
    let [Change::Write { write, value, .. }, _] = end_changes(&record, End::Cancelled, time_of_day_ms(), usize::MAX)
    else {
        panic!("a write and a drop");
    };
    let item = serde_json::json!({"path": write, "value": value, "stamp": 1_000_000_000});
    assert!(item.to_string().len() * PAGE_SIZE <= 512 * 1024, "{item}");
}

/// Job queries must still be sent when leases, proofs of freshness and placements need more than the request budget.
#[test]
fn queries_are_not_starved_by_requests_of_higher_priority() {
    let start = Instant::now();
    let mut budget = TokenBucket::new(30.0, 30.0, start);
    let (mut longest_wait_ms, mut waits_since, mut next_try, mut sent) = (0, 0u64, 0, 0);
    for ms in 0..60_000u64 {
        let now = start + MILLISECOND * ms as u32;
        // Requests of the highest priority take all that the budget gives them, before the query tries.
        while budget.take(1.0, RequestPriority::Critical, now).is_ok() {}
        if ms >= next_try {
            let waited = ms - waits_since;
            match budget.take(1.0, RequestPriority::Query.after_waiting(MILLISECOND * waited as u32), now) {
                Ok(()) => {
                    (longest_wait_ms, waits_since, next_try, sent) = (longest_wait_ms.max(waited), ms, ms, sent + 1)
                }
                Err(wait) => next_try = ms + (wait.as_millis() as u64).clamp(2, 200),
            }
        }
    }
    assert!(longest_wait_ms <= 700 && sent >= 85, "{sent} queries sent, longest wait {longest_wait_ms} ms");
    assert!(sent <= 150, "{sent} queries sent, more than a tenth of the budget");
}
