use super::*;

fn id(n: usize) -> JobId {
    format!("run-{n}").into()
}

#[test]
fn queries_about_one_job_share_a_batch_unless_already_sent() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(4);
    for (waiter, n) in [('a', 1), ('b', 1), ('c', 2), ('d', 3), ('e', 4), ('f', 5)] {
        queries.enqueue(&id(n), waiter, now).unwrap();
    }
    let NextBatch { due: first, expired } = queries.next_batch(now);
    assert_eq!(first.ids().cloned().collect::<Vec<_>>(), [id(1), id(2), id(3), id(4)], "a full batch, in queue order");
    assert!(expired.is_empty());
    // The store may have read the keys before this query arrived, so it must not join the batch already sent.
    queries.enqueue(&id(1), 'g', now).unwrap();
    let failed = ["c/o/run-2", "h/d/run-3", "h/w/run-4", "c/j/run-3"].map(str::to_owned);
    let ResolvedBatch { answers, old_jobs } = queries.resolve(first, &failed);
    let ended = |end| JobQueryAnswer::Ended(end);
    assert_eq!(
        answers,
        [
            ('a', JobQueryAnswer::NeverAccepted),
            ('b', JobQueryAnswer::NeverAccepted),
            ('c', JobQueryAnswer::Open),
            ('d', ended(End::Done)),
            ('e', ended(End::Cancelled)),
        ]
    );
    assert!(old_jobs.is_empty(), "a current key takes precedence over an earlier build's key");
    assert_eq!((queries.known_end("run-3"), queries.known_end("run-1")), (Some(End::Done), None));
    let NextBatch { due: second, expired: _ } = queries.next_batch(now);
    assert_eq!(second.ids().cloned().collect::<Vec<_>>(), [id(5), id(1)], "the late query is sent in the next batch");
    assert_eq!(
        second.answer_all(JobQueryAnswer::Unavailable),
        [('f', JobQueryAnswer::Unavailable), ('g', JobQueryAnswer::Unavailable)]
    );
    assert_eq!(queries.counts(), QueryCounts { cached_ends: 2, queued_jobs: 0, waiters: 0 });
}

/// Queries that cannot be answered in time are refused at once, and expired ones cost no request.
#[test]
fn full_queue_refuses_queries_and_expired_queries_are_not_sent() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(10);
    let queued = (0..10_000).filter(|n| queries.enqueue(&id(*n), (), now).is_ok()).count();
    assert_eq!(queued, 10 * MAX_QUEUED_BATCHES);
    let joined = (0..10_000).filter(|_| queries.enqueue(&id(3), (), now).is_ok()).count();
    assert_eq!(joined, MAX_WAITERS - queued, "queries about a queued job join it up to the limit of waiters");
    let later = now + QUERY_EXPIRY + Duration::from_millis(1);
    let NextBatch { due, expired } = queries.next_batch(later);
    assert!(due.is_empty() && expired.ids().count() == queued);
    assert_eq!(queries.counts(), QueryCounts { cached_ends: 0, queued_jobs: 0, waiters: 0 });
}

#[test]
fn job_found_only_under_an_earlier_builds_key_is_returned_for_a_separate_read() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(4);
    queries.enqueue(&id(1), 'a', now).unwrap();
    let NextBatch { due: batch, expired: _ } = queries.next_batch(now);
    let ResolvedBatch { answers, old_jobs } = queries.resolve(batch, &["c/j/run-1".to_owned()]);
    assert!(answers.is_empty());
    assert_eq!(old_jobs.ids().collect::<Vec<_>>(), [&id(1)]);
}

/// Guards against queries that are dropped where a batch is split: each job is in one part, with all its waiters.
#[test]
fn split_batch_keeps_every_query() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(7);
    for n in 0..7 {
        queries.enqueue(&id(n), n, now).unwrap();
        queries.enqueue(&id(n), n + 100, now).unwrap();
    }
    let NextBatch { due: batch, expired: _ } = queries.next_batch(now);
    let parts = batch.split(3);
    assert_eq!(parts.iter().map(QueryBatch::len).collect::<Vec<_>>(), [3, 3, 1]);
    let kept: Vec<_> = parts.into_iter().flat_map(QueryBatch::into_queries).collect();
    assert_eq!(kept, (0..7).map(|n| (id(n), vec![n, n + 100])).collect::<Vec<_>>());
    queries.set_batch_size(2);
    (0..5).for_each(|n| queries.enqueue(&id(n), n, now).unwrap());
    assert_eq!(queries.next_batch(now).due.len(), 2);
}
