//! Jobs bound to one zone, arrays too, lose machines.

use super::play::*;
use super::world::*;
use super::*;

/// Four tasks, then machines of theirs hang, are cut off, or a successor has never heard them and is told no list: the
/// others are placed only where the rule allows by all that is not proven gone, which the play checks at each step;
/// and in the end all run, in the other zone where the first has no room left.
#[test]
fn what_was_lost_is_replaced_only_where_the_rest_allows() {
    type Change = fn(&mut JobSpec);
    // How many run in the end: nothing is left in the first zone.
    let jobs: [(&str, Change, usize); 4] = [
        ("an array in one zone", |j| j.same_zone = true, 4),
        ("a gang in one zone", |j| (j.shape, j.same_zone) = (Shape::Gang, true), 4),
        ("scattered", |j| j.spread = true, 2),
        ("one zone allowed", |j| j.zone = Some("a".into()), 0),
    ];
    for (name, change, left) in jobs {
        for (trouble, successor, listed) in
            ["hang", "cut", "gone"].into_iter().flat_map(|t| [(t, false, true), (t, true, true), (t, true, false)])
        {
            let name = format!("{name}: {trouble}, successor {successor}, listed {listed}");
            let machines = [("m1", "a"), ("m2", "a"), ("m3", "b"), ("m4", "b"), ("m5", "b"), ("m6", "b")];
            let mut play = Play::new(&machines, |j| {
                (j.tasks, j.cpus, j.estimate_s) = (4, 4.0, 600.0);
                change(j);
            });
            // Room for it in one zone alone, at first.
            let full = play.world.accept(&mut play.cluster, 2, |j| {
                (j.tasks, j.cpus, j.zone, j.shape, j.estimate_s) = (4, 8.0, Some("b".into()), Shape::Service, 0.0);
            });
            let scattered = play.world.record.spec.spread;
            play.plans = true;
            if scattered {
                play.withdraw(&full);
            }
            play.run(6.0);
            assert_eq!(play.live(&JOB.into()).len(), 4, "{name}");
            if !scattered {
                play.withdraw(&full);
            }
            play.run(4.0);
            let lost = ["m1", "m2"];
            match trouble {
                "hang" => play.hang = lost.into(),
                "cut" => (play.outbound_lost, play.unreached) = (lost.into(), lost.into()),
                _ => lost.iter().for_each(|m| {
                    // Died, and nobody has told the owner.
                    play.world.workers.get_mut(m).unwrap().legs.clear();
                    play.hang = lost.into();
                }),
            }
            if successor {
                play.cluster = play.world.owner();
                if listed {
                    play.listed();
                }
            }
            // One of its tasks that are well ends up stopped, and waits again: so something is to be placed meanwhile.
            play.run(4.0);
            if let Some((index, _)) = play.live(&JOB.into()).into_iter().find(|(_, m)| !lost.contains(m)) {
                play.cluster.halt(&task(index), 0, play.world.now);
            }
            play.run(80.0);
            let live = play.live(&JOB.into());
            assert_eq!(live.len(), left, "{name}: {live:?}");
        }
    }
}

/// A successor is not told yet in which zone a machine is that holds half of a scattered job, nor has it heard it: it may
/// be the zone of those that it has heard. The same for an array in one zone.
#[test]
fn where_an_inherited_task_is_has_to_be_known() {
    // (its zone, scattered or in one zone, placed once it is known)
    for (zone, scattered, want) in [("a", true, 0), ("b", true, 2), ("a", false, 2), ("b", false, 0)] {
        let mut play = Play::new(&[("m1", zone), ("m2", "a")], |j| {
            (j.tasks, j.same_zone, j.spread, j.estimate_s) = (4, !scattered, scattered, 600.0);
        });
        play.world.place_these(&mut play.cluster, &[0, 1], "m1");
        play.reports("m1");
        assert_eq!(play.live(&JOB.into()).len(), 2);
        (play.outbound_lost, play.unreached) = (vec!["m1"], vec!["m1"]);
        play.cluster = play.world.owner();
        play.reports("m2");
        play.reports("m2");
        play.plans = true;
        play.run(4.0);
        assert_eq!(play.live(&JOB.into()).len(), 2, "zone {zone}, scattered {scattered}: nothing is known yet");
        play.listed();
        play.run(4.0);
        assert_eq!(play.live(&JOB.into()).len(), 2 + want, "zone {zone}, scattered {scattered}");
    }
}
