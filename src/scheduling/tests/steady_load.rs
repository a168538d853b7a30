//! One-task jobs come four a second for minutes, a quarter of them withdrawn.

use std::collections::BTreeMap;

use super::play::*;
use super::*;
use crate::wire::workers::Cause;

/// With a change of leaders in the middle: everything that could grow is small at each moment, and all are served.
#[test]
fn four_jobs_a_second_for_minutes_grow_nothing() {
    let names = ["m1", "m2", "m3", "m4"];
    let mut play = Play::new(&names.map(|m| (m, "a")), |j| j.estimate_s = 1.0);
    play.plans = true;
    let (mut jobs, mut last) = (1, Vec::new());
    let mut started: BTreeMap<(TaskKey, u64), usize> = BTreeMap::new();
    for step in 0..480 {
        if step < 400 {
            for _ in 0..2 {
                jobs += 1;
                let id = play.world.accept(&mut play.book, jobs, |j| j.estimate_s = 2.0);
                last.push((step, id));
            }
        }
        // Each fourth is called off, at once or while it runs.
        for (at, id) in last.extract_if(.., |(at, _)| step >= *at + 3) {
            if (at + id.len()) % 2 == 0 && id.ends_with(['0', '2', '4', '6', '8']) {
                play.withdraw(&id);
            }
        }
        if step == 200 {
            play.heir();
        }
        for m in names {
            for leg in play.world.workers[m].legs.clone().iter().filter(|l| l.status == LegStatus::Running) {
                if step > *started.entry((leg.task.clone(), leg.attempt)).or_insert(step) + 4 {
                    play.world.exits_of(m, &leg.task, leg.attempt, Cause::Done);
                }
            }
        }
        play.step();
        let kept = play.world.drop_chunks(&mut play.book);
        assert!(kept <= 20, "chunks of jobs that are over: {kept}");
        for (what, n) in play.book.held() {
            assert!(n <= 60, "{what} at step {step}: {n}");
        }
        assert!(play.world.workers.values().all(|w| w.legs.len() <= 40), "exits are reaped");
    }
    for id in play.world.more.keys() {
        assert!(play.world.more[id].ended.is_some() || play.withdrawn.contains_key(id), "{id} was never served");
    }
    let withdrawn = play.withdrawn.len();
    assert!(jobs == 801 && (150..250).contains(&withdrawn), "{withdrawn} of {jobs} were withdrawn");
    let left: usize = play
        .book
        .held()
        .into_iter()
        .filter(|(what, _)| ["ending", "to_store", "to_drop"].contains(what))
        .map(|(_, n)| n)
        .sum();
    let kept = play.world.drop_chunks(&mut play.book);
    assert_eq!((play.book.job_count(), left, kept), (0, 0, 0), "{:?}", play.book.held());
}
