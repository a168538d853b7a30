//! What holds for any windows, jobs, clocks and absences.

use std::collections::{HashMap, HashSet};

use proptest::prelude::*;
use serde_json::json;

use super::{HOUR, MIDNIGHT, PLENTY, World, window};
use crate::calendar::spec::WindowSpec;
use crate::calendar::status::{ClosedInstance, WindowStatus};
use crate::calendar::step::{GRACE_MS, JobProgress, latest_start_ms};

/// A window of 20 minutes a day; jobs need 10 of them.
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
    /// Nobody looks for so many seconds.
    Away {
        s: u64,
    },
    /// What is decided now is not stored: its leader is lost before, or the store refuses it.
    Lost,
    Back {
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
        1 => proptest::sample::select(vec![90u64, 600, 1500, 90_000, 300_000]).prop_map(|s| Event::Away { s }),
        1 => Just(Event::Lost),
        1 => (1u64..700).prop_map(|s| Event::Back { s }),
        4 => (1u64..300).prop_map(|s| Event::Wait { s }),
    ]
}

fn same(ended: &ClosedInstance) -> ClosedInstance {
    ClosedInstance { decided_ms: 0, ..ended.clone() }
}

/// Whether a job may begin is asked of what is stored, as placing does.
fn may_begin(world: &World, spec: &WindowSpec, stored: &WindowStatus, n: usize) -> bool {
    !world.intents(spec, stored, PLENTY).deferred_jobs.contains(format!("run-{n}").as_str())
}

/// Claims and turns are never taken back or given twice, and a turn comes only when those before it
/// have begun, are over, or wait past the latest start of one that waits.
fn check_turns(
    world: &World,
    spec: &WindowSpec,
    before: &WindowStatus,
    after: &WindowStatus,
) -> Result<(), TestCaseError> {
    let Some(now) = &after.current else { return Ok(()) };
    let was = before.current.as_ref().filter(|was| was.day == now.day);
    if let Some(was) = was {
        prop_assert!(now.turn >= was.turn && now.claims.len() >= was.claims.len());
        for (old, new) in was.claims.iter().zip(&now.claims) {
            prop_assert_eq!((&old.job, old.turn), (&new.job, new.turn));
            prop_assert!(old.end.is_none() || old.end == new.end);
        }
    }
    let turns: HashSet<u32> = now.claims.iter().map(|c| c.turn).collect();
    let jobs: HashSet<_> = now.claims.iter().map(|c| &c.job).collect();
    prop_assert_eq!((turns.len(), jobs.len()), (now.claims.len(), now.claims.len()));
    prop_assert!(now.active_claims() <= spec.jobs as usize);
    if now.turn > was.map_or(0, |w| w.turn).max(1) {
        let waits = |id| matches!(world.progress_by_job.get(id), Some(JobProgress::Open { begun: false, .. }));
        let latest = latest_start_ms(now.closes_ms, super::EXPECTED_S);
        let passed = (was.map_or(1, |w| w.turn.max(1))..now.turn).all(|turn| {
            let claim = now.claims.iter().find(|c| c.turn == turn);
            let awaited = turn as usize <= spec.turns.len();
            world.now_ms >= latest || claim.map_or(!awaited, |c| !waits(&c.job))
        });
        prop_assert!(passed, "turn {} came at {}: {:?}", now.turn, world.now_ms, now);
    }
    prop_assert!(world.now_ms >= now.opens_ms || now.turn == was.map_or(0, |w| w.turn));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(192))]

    /// Guards: each window ends once and in order, never reopens, turns go in order, whatever leaders,
    /// jobs and clocks do; and none slips past, however long nobody looked.
    #[test]
    fn instances_end_once_and_turns_go_in_order(
        spec in any_window(),
        start_s in 0u64..2400,
        events in proptest::collection::vec(any_event(), 1..60),
    ) {
        let mut world = World::at(MIDNIGHT + 6 * HOUR - 1_200_000 + start_s * 1000);
        let mut stored = WindowStatus::default();
        let mut ends: HashMap<i32, ClosedInstance> = HashMap::new();
        let mut jobs = 0;
        for event in events.into_iter().chain([Event::Wait { s: 1 }, Event::Away { s: 100_000 }, Event::Wait { s: 70 }]) {
            match event {
                Event::Submit { class } if jobs < 12 => {
                    world.submit(jobs, ["plan", "roster", "other"][class]);
                    jobs += 1;
                }
                Event::Submit { .. } => {}
                Event::Begin { n } if n < jobs && may_begin(&world, &spec, &stored, n) => {
                    // In the order of their turns, as placing has them.
                    let intents = world.intents(&spec, &stored, PLENTY);
                    let number = |n: usize| intents.window_turns.get(format!("run-{n}").as_str()).map(|t| t.position);
                    let first = |m: &usize| {
                        matches!(world.progress_by_job.get(format!("run-{m}").as_str()), Some(JobProgress::Open { begun: false, .. }))
                            && number(*m) < number(n) && number(*m).is_some()
                    };
                    let n = (0..jobs).filter(first).min_by_key(|m| number(*m)).unwrap_or(n);
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
                Event::Begin { .. } | Event::Lost => {}
                Event::Back { s } => world.now_ms -= s * 1000,
                Event::Wait { s } | Event::Away { s } => world.now_ms += s * 1000,
            }
            if matches!(event, Event::Lost) {
                continue;
            }
            let after = world.step(&spec, &stored);
            check_turns(&world, &spec, &stored, &after)?;
            prop_assert!(after.last_day() >= stored.last_day());
            for ended in after.missed.iter().chain(&after.last) {
                let known = ends.entry(ended.day).or_insert_with(|| ended.clone());
                prop_assert_eq!(&*known, ended, "an end is decided once");
            }
            if let Some(last) = after.last_day() {
                prop_assert!(after.current.as_ref().is_none_or(|now| now.day > last));
            }
            stored = after;
        }
        // Everything that closed since it was declared has its end, up to one that is still asked for.
        let declared = spec.declared_ms.unwrap_or_default();
        let mut day = spec.next_instance(None, declared);
        while let Some(span) = day.filter(|span| span.closes_ms + GRACE_MS <= world.now_ms) {
            prop_assert!(ends.contains_key(&span.day), "{} slipped past", span.day);
            day = spec.next_instance(Some(span.day), declared);
        }
    }

}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards: a successor that looks only once comes to what one that looked each second came to, whatever
    /// users submitted meanwhile.
    #[test]
    fn catching_up_equals_stepping_each_second(
        spec in any_window(),
        window_jobs in proptest::collection::btree_map(0u64..4000, 0usize..3, 0..8),
        before in 0u64..2400,
        days in 0u64..3,
    ) {
        let begin = MIDNIGHT + 6 * HOUR - 1_800_000;
        let mut world = World::at(begin);
        let (mut each, mut successor) = (WindowStatus::default(), None);
        let mut window_jobs: Vec<(u64, usize)> = window_jobs.into_iter().collect();
        window_jobs.reverse();
        let mut jobs = 0;
        for day in 0..=days {
            for second in 0..4300u64 {
                world.now_ms = begin + day * 24 * HOUR + second * 1000;
                if day == 0 && window_jobs.last().is_some_and(|(at, _)| *at <= second) {
                    let (_, class) = window_jobs.pop().unwrap();
                    world.submit(jobs, ["plan", "roster", "other"][class]);
                    jobs += 1;
                }
                // Outside of the window nothing moves.
                if second % 61 == 0 || (1400..3010).contains(&second) {
                    each = world.step(&spec, &each);
                }
                if day == 0 && second == before {
                    successor = Some(each.clone());
                }
            }
        }
        let successor = world.step(&spec, &successor.unwrap());
        prop_assert_eq!(each.missed.iter().map(same).collect::<Vec<_>>(), successor.missed.iter().map(same).collect::<Vec<_>>());
        prop_assert_eq!(each.last.as_ref().map(same), successor.last.as_ref().map(same));
        prop_assert_eq!(&each.current, &successor.current);
        prop_assert_eq!(each.past_usage, successor.past_usage);
    }
}
