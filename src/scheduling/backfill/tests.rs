use super::*;
use crate::jobs::Urgency;
use crate::jobs::tests::spec;
use crate::machine_kinds::MachineType;
use crate::machine_kinds::tests::machine_type;

fn of(cpus: f64, gpus: f64) -> MachineType {
    machine_type("t", cpus, gpus, 1.0)
}

#[test]
fn what_idle_work_may_cause_by_cases() {
    let (plain, dear) = (of(16.0, 0.0), of(16.0, 2.0));
    for (name, urgency, gpus, of, dearer, overdue, want) in [
        ("normal work, anything", Urgency::Normal, 0.0, &dear, 14.0, false, (true, true)),
        ("idle work, the cheapest", Urgency::Idle, 0.0, &plain, 1.0, false, (true, true)),
        ("idle work, three times as dear", Urgency::Idle, 0.0, &plain, 3.0, false, (true, true)),
        ("idle work, too dear: kept where it is there", Urgency::Idle, 0.0, &plain, 5.0, false, (false, true)),
        ("the same, waiting for longer than it runs", Urgency::Idle, 0.0, &plain, 5.0, true, (true, true)),
        ("idle work, accelerators it has no use for", Urgency::Idle, 0.0, &dear, 1.0, true, (false, false)),
        ("idle work that uses accelerators", Urgency::Idle, 1.0, &dear, 2.0, false, (true, true)),
    ] {
        let job = JobSpec { urgency, gpus, ..spec() };
        let offer = CapacityOffer { machine_type: of, zone: "a", spot: false };
        let got = idle_permissions(&job, &offer, dearer, 3.0, overdue);
        assert_eq!((got.rent, got.keep), want, "{name}");
    }
}

#[test]
fn what_is_kept_free_by_cases() {
    let asks = |class: &str, within_s| Objective {
        kind: "wait".into(),
        class: class.into(),
        within_s,
        times: 0.0,
        share: 0.8,
    };
    for (name, urgency, within_s, class, want) in [
        ("promised sooner than a boot", Urgency::Normal, 15.0, "c", 25),
        ("promised later than that", Urgency::Normal, 60.0, "c", 0),
        ("promised to others", Urgency::Normal, 15.0, "d", 0),
        ("idle itself", Urgency::Idle, 15.0, "c", 0),
    ] {
        let job = JobSpec { urgency, class: "c".into(), ..spec() };
        assert_eq!(tasks_kept_free_for(&job, 2.5, &[asks(class, within_s)], 30.0), want, "{name}");
    }
}

#[test]
fn where_idle_work_may_start_by_cases() {
    let (plain, dear) = (of(16.0, 0.0), of(16.0, 2.0));
    let (gang, wide) = (JobSpec { cpus: 15.0, ..spec() }, of(17.0, 0.0));
    // (name, machine, taken by others, taken by idle work, is being left, what waits, allowed)
    for (name, of, others, idle, leaving, waits, want) in [
        ("an empty machine", &plain, 0.0, 0.0, false, None, true),
        ("an empty machine with accelerators", &dear, 0.0, 0.0, false, None, false),
        ("one with nothing but idle work", &dear, 0.0, 4.0, false, None, false),
        ("what others leave over of it", &dear, 6.0, 4.0, false, None, true),
        ("a machine that a gang waits for", &plain, 0.0, 4.0, false, Some(&gang), false),
        ("one that others use as well", &plain, 4.0, 4.0, false, None, false),
        ("one that would still hold the gang", &wide, 0.0, 0.5, false, Some(&gang), true),
        ("one that is being left, beside others", &plain, 4.0, 4.0, true, None, true),
        ("one that the others have left", &plain, 0.0, 4.0, true, None, false),
    ] {
        let mut capacity = FreeCapacity::empty(of, 0);
        (capacity.idle_usage, capacity.draining) = ((idle, 0.0, 0.0), leaving);
        capacity.add(-others - idle, 0.0, 0.0);
        let mut backfill = Backfill::default();
        if let Some(spec) = waits {
            backfill.record_unplaced(spec, &[true], false);
            backfill.record_unplaced(spec, &[true], false);
            assert_eq!(backfill.unplaced.len(), 1, "like asks are one");
        }
        let job = JobSpec { urgency: Urgency::Idle, checkpoint_s: 30.0, ..spec() };
        assert_eq!(backfill.allows_start(&job, &capacity, Duration::ZERO), want, "{name}");
    }
    let mut shared = FreeCapacity::empty(&plain, 0);
    shared.add(-4.0, 0.0, -4.0);
    let tiny = JobSpec { urgency: Urgency::Idle, cpus: 0.25, ..spec() };
    assert!(Backfill::default().allows_start(&tiny, &shared, Duration::ZERO), "a little of it is left to the tiny");
    shared.idle_usage.0 = 1.0;
    assert!(!Backfill::default().allows_start(&tiny, &shared, Duration::ZERO), "and no more than that");
    assert!(Backfill::default().allows_start(&tiny, &shared, TINY_TASK_WAIT), "before it would wait for ever");
    let mut kept = FreeCapacity::empty(&plain, 0);
    kept.kept_for_arrivals = true;
    assert!(!Backfill::default().allows_start(&spec(), &kept, TINY_TASK_WAIT), "kept for prompt arrivals");
    let mut backfill = Backfill::default();
    backfill.record_unplaced(&gang, &[true], true);
    assert!(backfill.unplaced.is_empty(), "what fails everywhere keeps nobody out");
}
