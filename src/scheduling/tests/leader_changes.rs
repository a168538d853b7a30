//! Leaders change again and again, and old reports meet a new leader.

use super::play::*;
use super::world::*;
use super::*;
use crate::wire::workers::Cause;

// Leaders change ten times in two minutes, also inside an outage.

/// The machine of a withdrawn task hangs while owners come and go, with or without the store between: it is gone in
/// time by the first withdrawal, and what runs on the others goes on.
#[test]
fn ten_leaders_in_two_minutes_begin_no_patience_anew_and_lose_nothing() {
    for (gap_s, outage) in [(12.0, false), (12.0, true), (5.0, false), (2.0, true)] {
        for goes_on_at in [8.0, 20.0, 1000.0] {
            let name = format!("every {gap_s} s, outage {outage}, the machine goes on at {goes_on_at} s");
            let mut play = Play::new(&[("m1", "a"), ("m2", "a"), ("m3", "a"), ("m4", "a")], |_| ());
            play.world.place(&mut play.cluster, "m1");
            play.reports("m1");
            play.reports("m1");
            let long = play.world.accept(&mut play.cluster, 2, |j| (j.tasks, j.cpus, j.estimate_s) = (3, 8.0, 900.0));
            play.plans = true;
            play.run(5.0);
            assert_eq!(play.live(&long).len(), 3, "{name}");
            play.withdraw(&JOB.into());
            play.hang = vec!["m1"];
            for step in 0..240 {
                let t = f64::from(step) * STEP;
                if t == goes_on_at {
                    play.hang.clear();
                }
                if step > 0 && t % gap_s == 0.0 && t <= gap_s * 10.0 {
                    play.successor();
                }
                play.store = !outage || !(10.0..30.0).contains(&t);
                play.step();
            }
            let attempts: Vec<u64> = play.cluster.job(&long).unwrap().tasks.iter().map(|t| t.attempt).collect();
            assert_eq!((play.live(&long).len(), attempts), (3, vec![1, 1, 1]), "{name}");
            assert!(play.returned.iter().all(|m| *m == "m1"), "{name}: {:?}", play.returned);
            assert_eq!(play.live(&JOB.into()), [], "{name}");
        }
    }
}

// An old report reaches every controller just as a new leader begins.

/// A copy of a report of each moment of a task's life comes to the owner, to its successor before it has read the store,
/// after that, and once the worker has reported to it, and to the successor of that one: the task runs once, wherever, and
/// what was done stays done.
#[test]
fn an_old_report_to_every_controller_as_a_new_leader_begins_changes_nothing() {
    for (copied_at, again_on) in (0..5).flat_map(|at| ["m1", "m2"].map(|m| (at, m))) {
        for done in [false, true] {
            let name = format!("copied at {copied_at}, again on {again_on}, done: {done}");
            let mut play = Play::new(&[("m1", "a"), ("m2", "a")], |j| j.tasks = 2);
            let mut copies = Vec::new();
            let mut copy = |play: &mut Play, step: usize| {
                if step == copied_at {
                    copies.push(play.world.report("m1"));
                }
            };
            copy(&mut play, 0);
            play.world.place_these(&mut play.cluster, &[0], "m1");
            play.reports("m1");
            copy(&mut play, 1);
            play.reports("m1");
            // Its first attempt ends, by a stop or by the end of a lease, and it runs again, here or there.
            if copied_at == 3 {
                play.world.lease_ends("m1");
            } else {
                play.cluster.halt(&task(0), 0, play.world.now);
            }
            for _ in 0..3 {
                play.reports("m1");
                copy(&mut play, 2);
            }
            play.world.place_these(&mut play.cluster, &[0], again_on);
            for m in ["m1", "m2", "m1", "m2"] {
                play.reports(m);
            }
            copy(&mut play, 3);
            bound(&play.cluster, 0, 2, again_on);
            assert_eq!(play.live(&JOB.into()), [(0, again_on)], "{name}");
            if done {
                play.world.exits(again_on, 0, 2, Cause::Done);
                play.reports(again_on);
                play.world.store(&mut play.cluster);
            }
            copy(&mut play, 4);
            let arrive = |play: &mut Play| {
                for copy in &copies {
                    play.cluster.take_report(copy.clone(), Via::Report, None, play.world.now);
                    // Whoever sent it waits for no answer.
                    drop(play.cluster.orders_in_answer("m1", play.world.now));
                }
            };
            arrive(&mut play);
            play.plans = true;
            for successor in 0..2 {
                play.cluster = play.world.assigned();
                arrive(&mut play);
                play.world.load(&mut play.cluster);
                play.listed();
                arrive(&mut play);
                play.step();
                arrive(&mut play);
                play.run(8.0);
                arrive(&mut play);
                play.run(8.0);
                let live = play.live(&JOB.into());
                let runs: Vec<u32> = live.iter().map(|(index, _)| *index).collect();
                assert_eq!(runs, if done { vec![1] } else { vec![0, 1] }, "{name}, successor {successor}");
                assert_eq!(
                    play.cluster.job(&JOB.into()).unwrap().done,
                    u64::from(done),
                    "{name}, successor {successor}"
                );
                let attempt = play.cluster.job(&JOB.into()).unwrap().tasks[0].attempt;
                assert_eq!(attempt, if done { 0 } else { 2 }, "{name}, successor {successor}: what is done has none");
                assert_eq!(play.returned.len(), 0, "{name}, successor {successor}");
            }
        }
    }
}

/// The machine of a withdrawn task hears a deposed owner alone, which renews its lease and knows of no withdrawal, while
/// ten others own one after the other and nobody reaches it: it is returned in time by the first withdrawal, which
/// the play checks at every step.
#[test]
fn ten_leaders_while_a_deposed_one_renews_a_lease_stop_the_withdrawn_in_time() {
    for gap_s in [12.0, 6.0, 5.0, 4.0, 2.0] {
        let name = format!("every {gap_s} s");
        let mut play = Play::new(&[("m1", "a"), ("m2", "a"), ("m3", "a"), ("m4", "a")], |_| ());
        play.world.place(&mut play.cluster, "m1");
        play.reports("m1");
        play.reports("m1");
        let long = play.world.accept(&mut play.cluster, 2, |j| (j.tasks, j.cpus, j.estimate_s) = (3, 8.0, 9000.0));
        play.plans = true;
        play.run(6.0);
        assert_eq!((play.live(&JOB.into()).len(), play.live(&long).len()), (1, 3), "{name}");
        let successor = play.world.owner();
        let mut deposed = std::mem::replace(&mut play.cluster, successor);
        play.listed();
        (play.outbound_lost, play.unreached) = (vec!["m1"], vec!["m1"]);
        play.withdraw(&JOB.into());
        for step in 0..240 {
            let t = f64::from(step) * STEP;
            if step > 0 && t % gap_s == 0.0 && t <= gap_s * 10.0 {
                play.successor();
            }
            if step % REPORT_STEPS as i32 == 0 {
                play.answered_by(&mut deposed, &["m1"]);
            }
            play.step();
        }
        // Each successor returns it again until the cloud's list, which lags, does not name it any more.
        assert!(play.returned.iter().all(|m| *m == "m1") && play.world.workers["m1"].gone, "{name}");
        assert_eq!(play.lost, 0, "{name}: its lease never ended");
        let attempts: Vec<u64> = play.cluster.job(&long).unwrap().tasks.iter().map(|t| t.attempt).collect();
        assert_eq!((play.live(&long).len(), attempts), (3, vec![1, 1, 1]), "{name}");
    }
}
