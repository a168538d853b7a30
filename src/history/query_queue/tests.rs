use super::*;

fn id(n: usize) -> JobId {
    format!("run-{n}").into()
}

#[test]
fn like_questions_go_together_unless_already_sent() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(4);
    for (waiter, n) in [('a', 1), ('b', 1), ('c', 2), ('d', 3), ('e', 4), ('f', 5)] {
        queries.ask(&id(n), waiter, now).unwrap();
    }
    let (first, stale) = queries.next_batch(now);
    assert_eq!(first.ids().cloned().collect::<Vec<_>>(), [id(1), id(2), id(3), id(4)], "a batch, in order");
    assert!(stale.is_empty());
    // The store may have looked before this one asked.
    queries.ask(&id(1), 'g', now).unwrap();
    let failed = ["c/o/run-2", "h/d/run-3", "h/w/run-4", "c/j/run-3"].map(str::to_owned);
    let (answers, old) = queries.answered(first, &failed);
    let ended = |end| Verdict::Ended(end);
    assert_eq!(
        answers,
        [
            ('a', Verdict::Never),
            ('b', Verdict::Never),
            ('c', Verdict::Open),
            ('d', ended(End::Done)),
            ('e', ended(End::Cancelled)),
        ]
    );
    assert!(old.is_empty(), "its own end goes before an earlier build's key");
    assert_eq!((queries.ended("run-3"), queries.ended("run-1")), (Some(End::Done), None));
    let (second, _) = queries.next_batch(now);
    assert_eq!(second.ids().cloned().collect::<Vec<_>>(), [id(5), id(1)], "asked anew");
    assert_eq!(second.all(Verdict::Later), [('f', Verdict::Later), ('g', Verdict::Later)]);
    assert_eq!(queries.held(), [2, 0, 0]);
}

/// What cannot be answered in time is refused at once, and what nobody waits for any more
/// costs no request.
#[test]
fn a_flood_is_bounded_and_the_stale_are_dropped() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(10);
    let taken = (0..10_000).filter(|n| queries.ask(&id(*n), (), now).is_ok()).count();
    assert_eq!(taken, 10 * MOST_BATCHES);
    let joined = (0..10_000).filter(|_| queries.ask(&id(3), (), now).is_ok()).count();
    assert_eq!(joined, MOST_WAITING - taken, "many may ask about one job, within the bound");
    let later = now + WORTH_ASKING + Duration::from_millis(1);
    let (fresh, stale) = queries.next_batch(later);
    assert!(fresh.is_empty() && stale.ids().count() == taken);
    assert_eq!(queries.held(), [0, 0, 0]);
}

#[test]
fn what_an_earlier_build_left_is_looked_at_by_itself() {
    let now = Instant::now();
    let mut queries = QueryQueue::new(4);
    queries.ask(&id(1), 'a', now).unwrap();
    let (batch, _) = queries.next_batch(now);
    let (answers, old) = queries.answered(batch, &["c/j/run-1".to_owned()]);
    assert!(answers.is_empty());
    assert_eq!(old.ids().collect::<Vec<_>>(), [&id(1)]);
}
