//! Intents of operators: their effect on the queue, on reservations, scale-out and scale-in, and that decisions about
//! all other jobs stay the same.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::scheduling::cluster::TeamUsage;
use crate::scheduling::fairness::Subject;
use crate::scheduling::fairness::floor::{ClassTeamSet, Rank, Underserved};
use crate::scheduling::intents::{CapacityIntent, Intents, PriorityBoost, WindowPosition};

fn class_set(name: &str) -> ClassTeamSet {
    ClassTeamSet::from_subjects([(Subject::Class, name)].into_iter())
}

fn job_id(n: u32) -> crate::jobs::JobId {
    format!("run-{n:06}").as_str().into()
}

fn queue_order(cluster: &ClusterState, now: Instant) -> Vec<u32> {
    plan::queue(cluster, now).iter().map(|t| t.id[4..].parse().unwrap()).collect()
}

/// Builds a random cluster: jobs of all shapes, some of them placed and some waiting for long, on machines of all
/// kinds.
fn random_cluster(seed: u64, start: Instant) -> (ClusterState, Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let names: Vec<String> = (0..rng.random_range(1..12)).map(|n| format!("m{n:02}")).collect();
    let mut cluster = cluster_with(&[], start);
    for name in &names {
        let (type_name, zone) = (["c8", "g2"][rng.random_range(0..2)], ["a", "b"][rng.random_range(0..2)]);
        cluster.take_heartbeat(
            heartbeat(name, type_name, zone, rng.random(), 1, vec![]),
            MessageKind::Heartbeat,
            None,
            start,
        );
    }
    let now = start + Duration::from_secs(100);
    for n in 1..rng.random_range(4..30) {
        if n == 8 {
            let placements = plan::place(&mut cluster, &catalog(), start);
            cluster.bind_placements(placements, start);
        }
        let mut j = spec();
        j.id = job_id(n);
        j.class = ["c", "d", "e"][rng.random_range(0..3)].into();
        j.team = ["blue", "red"][rng.random_range(0..2)].into();
        j.shape = [Shape::Array, Shape::Gang, Shape::Service][rng.random_range(0..3)];
        j.urgency = [Urgency::Idle, Urgency::Normal, Urgency::High][rng.random_range(0..3)];
        j.tasks = rng.random_range(1..6);
        j.cpus = f64::from(rng.random_range(1..9));
        j.gpus = if rng.random_ratio(1, 5) { 1.0 } else { 0.0 };
        j.estimate_s = f64::from(rng.random_range(1..400));
        j.due_s = rng.random_ratio(1, 3).then(|| f64::from(rng.random_range(10..900)));
        j.checkpoint_s = f64::from(rng.random_range(0..3)) * 10.0;
        // A submission time in the future gives the job no age, so a seed always gives the same cluster.
        let record = JobRecord { spec: j, accepted_ms: u64::MAX };
        cluster.add_job(Arc::new(record), if n < 8 { start } else { now });
    }
    if rng.random() {
        cluster.set_underserved(Underserved { below_floor: class_set("d"), prioritized: class_set("d") });
    }
    for (name, seq) in names.iter().zip(2..) {
        let (type_name, zone, spot) = {
            let m = &cluster.machines[name.as_str()];
            (m.type_name.clone(), m.zone.clone(), m.spot)
        };
        cluster.take_heartbeat(
            heartbeat(name, &type_name, &zone, spot, seq + 10, vec![]),
            MessageKind::Heartbeat,
            None,
            now,
        );
    }
    (cluster, now)
}

/// Formats all decisions that intents may affect.
fn format_decisions(cluster: &mut ClusterState, now: Instant) -> String {
    let catalog = catalog();
    let queue: Vec<_> = plan::queue(cluster, now).iter().map(|t| t.id.clone()).collect();
    let mut reservations: Vec<_> =
        super::super::reservations::choose_reservations(cluster, &catalog, now).into_iter().collect();
    reservations.sort_by(|a, b| a.0.cmp(&b.0));
    let scale_out = plan_scale_out(cluster, &catalog, &CapacityRefusals::default(), &Default::default(), now);
    let surplus = find_surplus_machines(cluster, &catalog, now);
    let drained = choose_drains(cluster, &catalog, now);
    let placed = plan::place(cluster, &catalog, now);
    let reservations: Vec<_> = reservations.into_iter().map(|(m, h)| (m, h.job)).collect();
    format!("{queue:?} {reservations:?} {scale_out:?} {surplus:?} {drained:?} {placed:?}")
}

/// Intents that name no present job change no decision.
#[test]
fn intents_for_absent_jobs_change_no_decision() {
    let start = Instant::now();
    for seed in 0..300 {
        let (mut without_intents, now) = random_cluster(seed, start);
        let (mut cluster, _) = random_cluster(seed, start);
        cluster.set_intents(Intents {
            window_turns: [(job_id(900), WindowPosition { window: "w".into(), position: 1 })].into(),
            deferred_jobs: [job_id(901)].into(),
            priority_boost: Some(PriorityBoost { names: class_set("nobody"), max_core_share: 0.5 }),
            capacity: vec![CapacityIntent { task_spec: spec(), tasks: 0, needed_in_s: 0.0 }],
            ..Intents::default()
        });
        assert_eq!(format_decisions(&mut cluster, now), format_decisions(&mut without_intents, now), "seed {seed}");
    }
}

/// Intents defer jobs, prioritize jobs or put them into the order of their windows, and keep guarantees, urgencies
/// and the service floor.
#[test]
fn queue_order_follows_intents() {
    let now = Instant::now();
    // Without intents: 7 is first, within its team's guarantee, then 8, which is more urgent, then 1 to 5 by return,
    // which is highest for the shortest estimate, and 6, which is idle.
    let new_cluster = || {
        let mut cluster = cluster_with(&[("m1", "c8", "a", false)], now);
        for (n, class, estimate_s) in [(1, "x", 5.0), (2, "x", 10.0), (3, "h", 20.0), (4, "x", 40.0), (5, "h", 80.0)] {
            add_job(&mut cluster, n, now, |j| (j.class, j.estimate_s) = (class.into(), estimate_s));
        }
        add_job(&mut cluster, 6, now, |j| (j.class, j.urgency) = ("h".into(), Urgency::Idle));
        add_job(&mut cluster, 7, now, |j| (j.class, j.team, j.estimate_s) = ("x".into(), "red".into(), 90.0));
        add_job(&mut cluster, 8, now, |j| (j.class, j.urgency, j.estimate_s) = ("x".into(), Urgency::High, 30.0));
        cluster
    };
    let turn = |n: u32, window: &str, number| (job_id(n), WindowPosition { window: window.into(), position: number });
    let boost = |max_core_share| Some(PriorityBoost { names: class_set("h"), max_core_share });
    let add_usage =
        |cluster: &mut ClusterState| cluster.team_usage.insert("blue".into(), TeamUsage { cpus: 100.0, gpus: 0.0 });
    type Change<'a> = &'a dyn Fn(&mut ClusterState);
    let cases: [(&str, Change, &[u32]); 9] = [
        ("no intent", &|_| (), &[7, 8, 1, 2, 3, 4, 5, 6]),
        ("deferred jobs", &|b| b.intents.deferred_jobs = [job_id(2), job_id(7)].into(), &[8, 1, 3, 4, 5, 6]),
        (
            "jobs of a window take their own places in the order of their turns",
            &|b| b.intents.window_turns = [turn(5, "w", 1), turn(2, "w", 2), turn(1, "w", 3)].into(),
            &[7, 8, 5, 2, 3, 4, 1, 6],
        ),
        (
            "two windows do not affect each other",
            &|b| b.intents.window_turns = [turn(3, "v", 1), turn(1, "v", 2), turn(4, "w", 1), turn(2, "w", 2)].into(),
            &[7, 8, 3, 4, 1, 2, 5, 6],
        ),
        (
            "a later turn within a guarantee waits for an earlier one without",
            &|b| b.intents.window_turns = [turn(4, "w", 1), turn(7, "w", 2)].into(),
            &[8, 1, 2, 3, 4, 7, 5, 6],
        ),
        (
            "prioritized jobs stay behind guaranteed and more urgent jobs",
            &|b| {
                add_usage(b);
                b.intents.priority_boost = boost(0.5);
            },
            &[7, 8, 3, 5, 1, 2, 4, 6],
        ),
        (
            "prioritized jobs stay behind jobs below the floor",
            &|b| {
                add_usage(b);
                b.intents.priority_boost = boost(0.5);
                b.set_underserved(Underserved { below_floor: ClassTeamSet::default(), prioritized: class_set("x") });
            },
            &[7, 8, 1, 2, 4, 3, 5, 6],
        ),
        (
            "jobs are prioritized up to their share of the cores",
            &|b| {
                add_usage(b);
                b.intents.priority_boost = boost(0.011);
            },
            &[7, 8, 3, 1, 2, 4, 5, 6],
        ),
        (
            "one job is prioritized whatever the share",
            &|b| b.intents.priority_boost = boost(0.0),
            &[7, 8, 3, 1, 2, 4, 5, 6],
        ),
    ];
    for (name, change, expected) in cases {
        let mut cluster = new_cluster();
        change(&mut cluster);
        assert_eq!(queue_order(&cluster, now), expected, "{name}");
    }
}

/// The core share of prioritized jobs limits an array by single tasks.
#[test]
fn array_is_prioritized_only_up_to_the_core_share() {
    let now = Instant::now();
    let mut cluster = cluster_with(&[("m1", "c8", "a", false), ("m2", "c8", "a", false)], now);
    add_job(&mut cluster, 1, now, |j| (j.class, j.tasks, j.estimate_s) = ("h".into(), 16, 100.0));
    add_job(&mut cluster, 2, now, |j| (j.class, j.tasks, j.estimate_s) = ("x".into(), 16, 10.0));
    cluster.team_usage.insert("red".into(), TeamUsage { cpus: 20.0, gpus: 0.0 });
    cluster.intents.priority_boost = Some(PriorityBoost { names: class_set("h"), max_core_share: 0.2 });
    let placed = plan::place(&mut cluster, &catalog(), now);
    let placed_tasks = |n: u32| placed.iter().filter(|p| p.task.job == job_id(n)).count();
    assert_eq!((placed_tasks(1), placed_tasks(2)), (4, 12));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]

    /// Prioritized jobs never hold more than their share of the cores in use, or one job. No job of another urgency,
    /// within a guarantee or below the floor loses its place. In no window a later turn is queued before an earlier
    /// one.
    #[test]
    fn intents_keep_share_places_and_turns(seed in 0u64..10_000, max_core_share in 0.0..1.0f64) {
        let (mut cluster, now) = random_cluster(seed, Instant::now());
        let order_without_intents: Vec<_> = plan::queue(&cluster, now).iter().map(|t| t.id.clone()).collect();
        let ids: Vec<_> = order_without_intents.iter().cloned().enumerate().collect();
        cluster.intents.priority_boost = Some(PriorityBoost { names: class_set("c"), max_core_share });
        {
            let queued_jobs = plan::queue(&cluster, now);
            let cores = |n: usize, job: &super::super::cluster::JobState| n as f64 * job.spec().cpus;
            let prioritized_class = cluster.jobs().filter(|(_, j)| j.spec().class == "c");
            let bound_cores: f64 = prioritized_class.map(|(_, j)| cores(j.bound.len(), j)).sum();
            let prioritized = queued_jobs.iter().filter(|t| t.prioritized);
            let added_cores: Vec<f64> = prioritized.map(|t| cores(t.max_tasks.min(t.job.waiting.len()), t.job)).collect();
            let cores_in_use: f64 = cluster.team_usage.values().map(|u| u.cpus).sum();
            let by_return = |t: &&plan::QueuedJob| !t.guaranteed && t.rank != Rank::BelowFloor && !t.quarantined;
            let all_by_return = queued_jobs.iter().filter(|t| t.prioritized).all(|t| by_return(&t));
            let sum: f64 = bound_cores + added_cores.iter().sum::<f64>();
            let single_job = bound_cores == 0.0 && added_cores.len() <= 1;
            let within_share = sum <= cores_in_use * max_core_share + 0.01;
            prop_assert!(
                !all_by_return || added_cores.is_empty() || single_job || within_share,
                "{sum} of {cores_in_use} cores"
            );
            for (position, queued) in queued_jobs.iter().enumerate() {
                let previous_position = order_without_intents.iter().position(|id| id == queued.id).unwrap();
                let displaced = &queued_jobs[previous_position];
                let may_move = by_return(&queued) && queued.job.spec().urgency == displaced.job.spec().urgency;
                prop_assert!(
                    position == previous_position || may_move,
                    "{} moved from {previous_position} to {position}",
                    queued.id
                );
            }
        }
        let mut rng = StdRng::seed_from_u64(seed);
        cluster.intents.window_turns = ids.iter().filter(|(n, _)| n % 3 > 0).map(|(n, id)| {
            (id.clone(), WindowPosition { window: format!("w{}", n % 3), position: rng.random_range(1..20) })
        }).collect();
        let queued_jobs = plan::queue(&cluster, now);
        prop_assert_eq!(queued_jobs.len(), order_without_intents.len());
        for window in ["w1", "w2"] {
            let schedulable = queued_jobs.iter().filter(|t| !t.quarantined);
            let places = schedulable.filter_map(|t| cluster.intents.window_turns.get(t.id));
            let positions: Vec<u32> = places.filter(|t| t.window == window).map(|t| t.position).collect();
            prop_assert!(positions.is_sorted(), "{window}: {positions:?}");
        }
    }
}

/// Missing capacity that an intent asks for is scaled out once, a boot and a fetch ahead. Its machines are kept while
/// the intent lasts and scaled in without one.
#[test]
fn capacity_intents_scale_out_once_and_keep_machines() {
    let start = Instant::now();
    let capacity =
        |tasks, in_s| vec![CapacityIntent { task_spec: JobSpec { cpus: 4.0, ..spec() }, tasks, needed_in_s: in_s }];
    // The machine type takes 30 s to boot and 1 s to fetch the image.
    for (name, machines, tasks, in_s, expected_machines) in [
        ("no task", 0, 0, 0.0, 0),
        ("more than a boot and a fetch ahead", 0, 4, 40.0, 0),
        ("a boot and a fetch ahead", 0, 4, 31.0, 2),
        ("at once", 0, 4, 0.0, 2),
        ("all capacity present", 2, 4, 0.0, 0),
        ("half of the capacity present", 1, 4, 20.0, 1),
    ] {
        let mut cluster = cluster_of_c8(machines, start);
        cluster.intents.capacity = capacity(tasks, in_s);
        let demanded = |pending: &HashMap<MachineKind, u64>| {
            let wanted = plan_scale_out(&cluster, &catalog(), &CapacityRefusals::default(), pending, start);
            wanted.into_iter().map(|demand| (demand.kind, demand.count)).collect::<HashMap<MachineKind, u64>>()
        };
        let wanted = demanded(&HashMap::new());
        assert_eq!(wanted.values().sum::<u64>(), expected_machines, "{name}");
        assert!(demanded(&wanted).is_empty(), "{name}: demanded only once");
    }
    let later = start + Duration::from_secs(500);
    for (name, tasks, in_s, kept_machines) in
        [("no task", 0, 0.0, 0), ("soon", 3, 20.0, 2), ("much later", 3, 300.0, 0)]
    {
        let mut cluster = cluster_of_c8(5, start);
        for n in 0..5 {
            let heartbeat = heartbeat(&format!("m{n:04}"), "c8", "a", false, 2, vec![]);
            cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, None, later);
        }
        cluster.intents.capacity = capacity(tasks, in_s);
        assert_eq!(find_surplus_machines(&cluster, &catalog(), later).len(), 5 - kept_machines, "{name}: surplus");
        // In a cluster of this size one machine is drained at a time.
        let drained = choose_drains(&cluster, &catalog(), later);
        assert_eq!(drained.len(), 1, "{name}");
        cluster.intents.capacity = capacity(10, in_s);
        let drained = choose_drains(&cluster, &catalog(), later).len();
        assert_eq!(drained, usize::from(in_s > 100.0), "{name}: all machines needed");
    }
}

/// A prioritized gang gets reservations and scale-out without a wait.
#[test]
fn prioritized_gang_gets_reservations_and_scale_out_at_once() {
    let now = Instant::now();
    let new_cluster = |prioritized: bool| {
        let mut cluster = cluster_of_c8(12, now);
        add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus, j.estimate_s, j.zone) = (24, 4.0, 50.0, Some("a".into())));
        let placements = plan::place(&mut cluster, &catalog(), now);
        cluster.bind_placements(placements, now);
        add_job(&mut cluster, 2, now, |j| {
            (j.class, j.shape, j.tasks, j.cpus, j.estimate_s) = ("h".into(), Shape::Gang, 2, 8.0, 2000.0);
        });
        let max_core_share = if prioritized { 0.5 } else { 0.0 };
        cluster.intents.priority_boost = prioritized.then(|| PriorityBoost { names: class_set("h"), max_core_share });
        cluster.arrivals.clear();
        cluster
    };
    for prioritized in [false, true] {
        let cluster = new_cluster(prioritized);
        assert_eq!(
            !super::super::reservations::choose_reservations(&cluster, &catalog(), now).is_empty(),
            prioritized,
            "reserved at once"
        );
        let demands = plan_scale_out(&cluster, &catalog(), &CapacityRefusals::default(), &HashMap::new(), now);
        assert_eq!(!demands.is_empty(), prioritized, "scaled out at once");
    }
}
