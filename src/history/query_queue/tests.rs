use super::*;

fn id(n: usize) -> JobId {
    format!("run-{n}").into()
}

#[test]
fn like_questions_go_together_unless_already_sent() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(4);
    for (waiter, n) in [('a', 1), ('b', 1), ('c', 2), ('d', 3), ('e', 4), ('f', 5)] {
        queries.enqueue(&id(n), waiter, now).unwrap();
    }
    let NextBatch { due: first, expired: stale } = queries.next_batch(now);
    assert_eq!(first.ids().cloned().collect::<Vec<_>>(), [id(1), id(2), id(3), id(4)], "a batch, in order");
    assert!(stale.is_empty());
    // The store may have looked before this one asked.
    queries.enqueue(&id(1), 'g', now).unwrap();
    let failed = ["c/o/run-2", "h/d/run-3", "h/w/run-4", "c/j/run-3"].map(str::to_owned);
    let ResolvedBatch { answers, old_jobs: old } = queries.resolve(first, &failed);
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
    assert!(old.is_empty(), "its own end goes before an earlier build's key");
    assert_eq!((queries.known_end("run-3"), queries.known_end("run-1")), (Some(End::Done), None));
    let NextBatch { due: second, expired: _ } = queries.next_batch(now);
    assert_eq!(second.ids().cloned().collect::<Vec<_>>(), [id(5), id(1)], "asked anew");
    assert_eq!(
        second.answer_all(JobQueryAnswer::Unavailable),
        [('f', JobQueryAnswer::Unavailable), ('g', JobQueryAnswer::Unavailable)]
    );
    assert_eq!(queries.counts(), QueryCounts { cached_ends: 2, queued_jobs: 0, waiters: 0 });
}

/// What cannot be answered in time is refused at once, and what nobody waits for any more
/// costs no request.
#[test]
fn a_flood_is_bounded_and_the_stale_are_dropped() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(10);
    let taken = (0..10_000).filter(|n| queries.enqueue(&id(*n), (), now).is_ok()).count();
    assert_eq!(taken, 10 * MAX_BATCHES);
    let joined = (0..10_000).filter(|_| queries.enqueue(&id(3), (), now).is_ok()).count();
    assert_eq!(joined, MAX_WAITERS - taken, "many may ask about one job, within the bound");
    let later = now + QUERY_EXPIRY + Duration::from_millis(1);
    let NextBatch { due: fresh, expired: stale } = queries.next_batch(later);
    assert!(fresh.is_empty() && stale.ids().count() == taken);
    assert_eq!(queries.counts(), QueryCounts { cached_ends: 0, queued_jobs: 0, waiters: 0 });
}

#[test]
fn what_an_earlier_build_left_is_looked_at_by_itself() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(4);
    queries.enqueue(&id(1), 'a', now).unwrap();
    let NextBatch { due: batch, expired: _ } = queries.next_batch(now);
    let ResolvedBatch { answers, old_jobs: old } = queries.resolve(batch, &["c/j/run-1".to_owned()]);
    assert!(answers.is_empty());
    assert_eq!(old.ids().collect::<Vec<_>>(), [&id(1)]);
}
