//! Workers that cannot open connections to any controller, while direct commands still reach them.

use super::play::*;
use super::world::*;

/// A task of a machine whose reports have just begun to be lost is withdrawn at once or later, with and without a takeover, whether
/// or not commands reach it and the cloud answers. By command, by return or by the end of its lease it is gone in
/// time, which the play checks at every step.
#[test]
fn what_is_withdrawn_on_a_machine_whose_reports_are_lost_is_gone_in_time() {
    for (commands, cloud) in [(true, true), (true, false), (false, true), (false, false)] {
        for (after_s, successor) in
            [0.0, 4.0, 11.0, 20.0].into_iter().flat_map(|t| (0..3).map(move |successor| (t, successor)))
        {
            let name = format!("commands {commands}, cloud {cloud}, after {after_s} s, successor {successor}");
            let mut play = Play::new(&[("m1", "a"), ("m2", "a")], |_| ());
            play.world.place(&mut play.cluster, "m1");
            play.reports("m1");
            // Or it has never shown the task, which then no command can name.
            let shown = after_s > 0.0;
            if shown {
                play.reports("m1");
            }
            assert_eq!(play.live(&JOB.into()), [(0, "m1")], "{name}");
            play.outbound_lost = vec!["m1"];
            play.unreached = if commands { vec![] } else { vec!["m1"] };
            play.cloud = cloud;
            play.run(after_s);
            if successor == 1 {
                play.successor();
                play.run(0.5);
            }
            let runs = !play.live(&JOB.into()).is_empty();
            play.withdraw(&JOB.into());
            play.run(1.5);
            // One that is to be returned is told by answers alone.
            if commands && shown && successor == 0 && (cloud || after_s < 12.0) {
                assert_eq!(play.live(&JOB.into()), [], "{name}: by command, at once");
            }
            if successor == 2 {
                play.successor();
            }
            play.run(60.0);
            assert_eq!(play.live(&JOB.into()), [], "{name}");
            // All that is to be gone was withdrawn: the machine goes alone, if the cloud answers.
            assert!(!runs || !cloud || (commands && successor == 0) || play.world.workers["m1"].gone, "{name}");
            assert!(!play.world.workers["m2"].gone, "{name}");
        }
    }
}

/// Commands start work on a machine that cannot report, and their replies look like signs of life. They renew no
/// lease: what was started there is lost once, and then it gets no more.
#[test]
fn a_machine_whose_reports_are_lost_gets_no_work_that_it_loses_without_end() {
    let mut play = Play::new(&[("m1", "a"), ("m2", "a")], |j| (j.tasks, j.cpus) = (1, 8.0));
    play.world.place(&mut play.cluster, "m2");
    play.reports("m2");
    play.plans = true;
    play.outbound_lost = vec!["m1"];
    // One small job after the other, soon withdrawn: each a command, and each reply a report. And long ones.
    play.world.accept(&mut play.cluster, 2, |j| (j.tasks, j.cpus, j.estimate_s) = (4, 1.0, 600.0));
    let mut small = None;
    for n in 0..300 {
        if n % 4 == 0 {
            small = Some(play.world.accept(&mut play.cluster, 100 + n, |j| j.estimate_s = 1.0));
        }
        play.step();
        if n % 4 == 2 {
            small.take().iter().for_each(|id| play.withdraw(id));
        }
    }
    assert!(play.lost <= 8, "{} tasks were lost with leases that nothing renewed", play.lost);
    assert!(play.world.workers["m1"].gone, "silent, once it has no more to be told");
}

/// Higher tokens are told by commands again and again, and so a machine whose reports are lost is never silent: it is returned after
/// two leases all the same, and has no new work from the time at which its reports are missed.
#[test]
fn a_machine_whose_reports_are_lost_that_answers_commands_is_returned_after_two_leases() {
    let mut play = Play::new(&[("m1", "a"), ("m2", "a")], |j| (j.tasks, j.cpus) = (1, 8.0));
    play.world.place(&mut play.cluster, "m2");
    play.reports("m2");
    (play.plans, play.outbound_lost) = (true, vec!["m1"]);
    for t in 1..60 {
        if t == 9 {
            play.world.accept(&mut play.cluster, 2, |j| (j.tasks, j.cpus) = (1, 1.0));
        }
        if t % 5 == 0 {
            play.world.stamp += 1;
            let token = play.world.stamp;
            play.cluster.raise_token(token);
        }
        play.run(1.0);
        let m1 = &play.world.workers["m1"];
        assert!(m1.gone || m1.token + 2 >= play.cluster.token, "at {t} s: commands reach it");
        assert_eq!(m1.gone, t >= 51, "at {t} s");
    }
    assert_eq!((play.lost, play.live(&"run-000002".into())), (0, vec![]));
}
