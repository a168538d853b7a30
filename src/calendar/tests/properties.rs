//! Property tests of planning windows for arbitrary windows, jobs, wall-clock steps and pauses of the leader.

use std::collections::{HashMap, HashSet};

use proptest::prelude::*;
use serde_json::json;

use super::{AMPLE_QUOTA, HOUR_MS, MIDNIGHT_MS, World, window};
use crate::calendar::spec::WindowSpec;
use crate::calendar::status::{ClosedInstance, WindowStatus};
use crate::calendar::step::{CLOSE_GRACE_MS, JobProgress, latest_start_ms};

/// Generates windows of 20 minutes per day; jobs need 10 minutes.
fn any_window() -> impl Strategy<Value = WindowSpec> {
    let turns = proptest::sample::select(vec![
        json!([]),
        json!(["plan"]),
        json!(["roster", "plan"]),
        json!(["run-3", "roster"]),
        json!(["plan", "plan", "roster"]),
    ]);
    (turns, 0u32..3, 0u32..2).prop_map(|(turns, more, early)| {
        let jobs = turns.as_array().map_or(0, Vec::len) as u32 + more;
        window(json!({"turns": turns, "jobs": jobs.max(1), "opens": "06:00", "closes": "06:20",
                      "early_s": early * 300, "estimate_s": 0.0}))
    })
}

/// A step of a generated sequence.
#[derive(Debug, Clone, Copy)]
enum Event {
    Submit {
        class: usize,
    },
    Begin {
        n: usize,
    },
    Done {
        n: usize,
    },
    Cancel {
        n: usize,
    },
    /// No leader evaluates for this many seconds.
    NoLeader {
        s: u64,
    },
    /// The computed status is not stored: the leader is lost before the write, or the store rejects it.
    WriteLost,
    /// The wall clock steps back.
    ClockBack {
        s: u64,
    },
    Wait {
        s: u64,
    },
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0usize..3).prop_map(|class| Event::Submit { class }),
        3 => (0usize..12).prop_map(|n| Event::Begin { n }),
        3 => (0usize..12).prop_map(|n| Event::Done { n }),
        1 => (0usize..12).prop_map(|n| Event::Cancel { n }),
        1 => proptest::sample::select(vec![90u64, 600, 1500, 90_000, 300_000]).prop_map(|s| Event::NoLeader { s }),
        1 => Just(Event::WriteLost),
        1 => (1u64..700).prop_map(|s| Event::ClockBack { s }),
        4 => (1u64..300).prop_map(|s| Event::Wait { s }),
    ]
}

/// Returns the instance without the time at which its outcome was decided.
fn without_decision_time(closed: &ClosedInstance) -> ClosedInstance {
    ClosedInstance { decided_ms: 0, ..closed.clone() }
}

/// Returns whether a job may begin by the stored status, as placement decides it.
fn may_begin(world: &World, spec: &WindowSpec, stored: &WindowStatus, n: usize) -> bool {
    !world.intents(spec, stored, AMPLE_QUOTA).deferred_jobs.contains(format!("run-{n}").as_str())
}

/// Checks that claims and turns are neither revoked nor assigned twice, and that a turn starts only when the jobs of
/// earlier turns have begun, have ended, or would make a waiting job miss its latest start.
fn check_turns(
    world: &World,
    spec: &WindowSpec,
    before: &WindowStatus,
    after: &WindowStatus,
) -> Result<(), TestCaseError> {
    let Some(current) = &after.current else { return Ok(()) };
    let previous = before.current.as_ref().filter(|previous| previous.day == current.day);
    if let Some(previous) = previous {
        prop_assert!(current.turn >= previous.turn && current.claims.len() >= previous.claims.len());
        for (old, new) in previous.claims.iter().zip(&current.claims) {
            prop_assert_eq!((&old.job, old.turn), (&new.job, new.turn));
            prop_assert!(old.end.is_none() || old.end == new.end);
        }
    }
    let turns: HashSet<u32> = current.claims.iter().map(|c| c.turn).collect();
    let jobs: HashSet<_> = current.claims.iter().map(|c| &c.job).collect();
    prop_assert_eq!((turns.len(), jobs.len()), (current.claims.len(), current.claims.len()));
    prop_assert!(current.active_claims() <= spec.jobs as usize);
    if current.turn > previous.map_or(0, |p| p.turn).max(1) {
        let is_waiting = |id| matches!(world.progress_by_job.get(id), Some(JobProgress::Open { begun: false, .. }));
        let latest_start = latest_start_ms(current.closes_ms, super::EXPECTED_S);
        let may_advance = (previous.map_or(1, |p| p.turn.max(1))..current.turn).all(|turn| {
            let claim = current.claims.iter().find(|c| c.turn == turn);
            let is_listed = turn as usize <= spec.turns.len();
            world.now_ms >= latest_start || claim.map_or(!is_listed, |c| !is_waiting(&c.job))
        });
        prop_assert!(may_advance, "turn {} started at {}: {:?}", current.turn, world.now_ms, current);
    }
    prop_assert!(world.now_ms >= current.opens_ms || current.turn == previous.map_or(0, |p| p.turn));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(192))]

    /// Whatever leaders, jobs and clocks do, each instance closes once and in order, never reopens, and turns start in
    /// order. No instance is skipped, however long no leader evaluates.
    #[test]
    fn instances_close_once_and_turns_start_in_order(
        spec in any_window(),
        start_s in 0u64..2400,
        events in proptest::collection::vec(any_event(), 1..60),
    ) {
        let mut world = World::at(MIDNIGHT_MS + 6 * HOUR_MS - 1_200_000 + start_s * 1000);
        let mut stored = WindowStatus::default();
        let mut outcomes: HashMap<i32, ClosedInstance> = HashMap::new();
        let mut jobs = 0;
        let last_events = [Event::Wait { s: 1 }, Event::NoLeader { s: 100_000 }, Event::Wait { s: 70 }];
        for event in events.into_iter().chain(last_events) {
            match event {
                Event::Submit { class } if jobs < 12 => {
                    world.submit(jobs, ["plan", "roster", "other"][class]);
                    jobs += 1;
                }
                Event::Submit { .. } => {}
                Event::Begin { n } if n < jobs && may_begin(&world, &spec, &stored, n) => {
                    // Jobs begin in the order of their turns, as placement starts them.
                    let intents = world.intents(&spec, &stored, AMPLE_QUOTA);
                    let position = |n: usize| intents.window_turns.get(format!("run-{n}").as_str()).map(|t| t.position);
                    let has_earlier_turn = |m: &usize| {
                        matches!(world.progress_by_job.get(format!("run-{m}").as_str()), Some(JobProgress::Open { begun: false, .. }))
                            && position(*m) < position(n) && position(*m).is_some()
                    };
                    let n = (0..jobs).filter(has_earlier_turn).min_by_key(|m| position(*m)).unwrap_or(n);
                    world.begin(n);
                }
                Event::Done { n } => {
                    if matches!(world.progress_by_job.get(format!("run-{n}").as_str()), Some(JobProgress::Open { begun: true, .. })) {
                        world.set(n, JobProgress::Done { at_ms: Some(world.now_ms) });
                    }
                }
                Event::Cancel { n } => {
                    if matches!(world.progress_by_job.get(format!("run-{n}").as_str()), Some(JobProgress::Open { .. })) {
                        world.set(n, JobProgress::Cancelled);
                    }
                }
                Event::Begin { .. } | Event::WriteLost => {}
                Event::ClockBack { s } => world.now_ms -= s * 1000,
                Event::Wait { s } | Event::NoLeader { s } => world.now_ms += s * 1000,
            }
            if matches!(event, Event::WriteLost) {
                continue;
            }
            let after = world.step(&spec, &stored);
            check_turns(&world, &spec, &stored, &after)?;
            prop_assert!(after.last_day() >= stored.last_day());
            for closed in after.missed.iter().chain(&after.last) {
                let known = outcomes.entry(closed.day).or_insert_with(|| closed.clone());
                prop_assert_eq!(&*known, closed, "an outcome is decided once");
            }
            if let Some(last) = after.last_day() {
                prop_assert!(after.current.as_ref().is_none_or(|current| current.day > last));
            }
            stored = after;
        }
        // Every instance that closed since the declaration has an outcome, up to one whose job ends are still queried.
        let declared = spec.declared_ms.unwrap_or_default();
        let mut next = spec.next_instance(None, declared);
        while let Some(span) = next.filter(|span| span.closes_ms + CLOSE_GRACE_MS <= world.now_ms) {
            prop_assert!(outcomes.contains_key(&span.day), "{} was skipped", span.day);
            next = spec.next_instance(Some(span.day), declared);
        }
    }

}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// A successor that evaluates only once arrives at the same status as a leader that evaluated every second,
    /// whatever users submitted in the meantime.
    #[test]
    fn catching_up_equals_stepping_each_second(
        spec in any_window(),
        window_jobs in proptest::collection::btree_map(0u64..4000, 0usize..3, 0..8),
        takeover_s in 0u64..2400,
        days in 0u64..3,
    ) {
        let begin_ms = MIDNIGHT_MS + 6 * HOUR_MS - 1_800_000;
        let mut world = World::at(begin_ms);
        let (mut stepped, mut successor) = (WindowStatus::default(), None);
        let mut window_jobs: Vec<(u64, usize)> = window_jobs.into_iter().collect();
        window_jobs.reverse();
        let mut jobs = 0;
        for day in 0..=days {
            for second in 0..4300u64 {
                world.now_ms = begin_ms + day * 24 * HOUR_MS + second * 1000;
                if day == 0 && window_jobs.last().is_some_and(|(at, _)| *at <= second) {
                    let (_, class) = window_jobs.pop().unwrap();
                    world.submit(jobs, ["plan", "roster", "other"][class]);
                    jobs += 1;
                }
                // Outside of the window the status does not change, so fewer steps suffice.
                if second % 61 == 0 || (1400..3010).contains(&second) {
                    stepped = world.step(&spec, &stepped);
                }
                if day == 0 && second == takeover_s {
                    successor = Some(stepped.clone());
                }
            }
        }
        let successor = world.step(&spec, &successor.unwrap());
        prop_assert_eq!(
            stepped.missed.iter().map(without_decision_time).collect::<Vec<_>>(),
            successor.missed.iter().map(without_decision_time).collect::<Vec<_>>()
        );
        prop_assert_eq!(
            stepped.last.as_ref().map(without_decision_time),
            successor.last.as_ref().map(without_decision_time)
        );
        prop_assert_eq!(&stepped.current, &successor.current);
        prop_assert_eq!(stepped.past_usage, successor.past_usage);
    }
}
