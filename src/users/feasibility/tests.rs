use super::*;
use crate::jobs::tests::spec;
use crate::machine_kinds::tests::machine_type;
use crate::settings::tests::example;

#[test]
fn infeasible_jobs_by_cases() {
    let of = machine_type("c8", 8.0, 0.0, 1.0);
    let catalog = Catalog { types: vec![of] };
    type Case = (&'static str, fn(&mut JobSpec), bool);
    let cases: [Case; 14] = [
        ("fits", |_| (), true),
        ("unknown team", |j| j.team = "green".into(), false),
        ("too many cores for any type", |j| j.cpus = 9.0, false),
        ("accelerators nobody has", |j| j.gpus = 1.0, false),
        ("a type that does not exist", |j| j.types = Some(vec!["x".into()]), false),
        ("a zone without the type", |j| j.zone = Some("b".into()), false),
        ("an array above the limit in sum", |j| (j.team, j.cpus, j.tasks) = ("red".into(), 8.0, 9), true),
        ("a gang above the limit", |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 8.0, 3, Shape::Gang), false),
        (
            "a service above the limit",
            |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 8.0, 3, Shape::Service),
            false,
        ),
        ("an array apart in its only zone", |j| (j.tasks, j.spread) = (5, true), true),
        ("a gang apart in its only zone", |j| (j.tasks, j.spread, j.shape) = (2, true, Shape::Gang), false),
        ("a service apart in its only zone", |j| (j.tasks, j.spread, j.shape) = (2, true, Shape::Service), false),
        ("a gang of one apart in its only zone", |j| (j.spread, j.shape) = (true, Shape::Gang), true),
        ("a gang at the limit", |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 5.0, 4, Shape::Gang), true),
    ];
    for (name, change, good) in cases {
        let mut job = spec();
        change(&mut job);
        assert_eq!(check_feasible(&job, &example(), &catalog).is_ok(), good, "{name}");
    }
}
