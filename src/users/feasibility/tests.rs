//! Tests of the feasibility checks.

use super::*;
use crate::jobs::tests::spec;
use crate::machine_kinds::tests::machine_type;
use crate::settings::tests::example;

#[test]
fn job_is_feasible_only_within_limits_machine_types_and_zones() {
    let c8 = machine_type("c8", 8.0, 0.0, 1.0);
    let catalog = Catalog { types: vec![c8] };
    type Case = (&'static str, fn(&mut JobSpec), bool);
    let cases: [Case; 14] = [
        ("a job that fits", |_| (), true),
        ("an unknown team", |j| j.team = "green".into(), false),
        ("more cores than any machine type has", |j| j.cpus = 9.0, false),
        ("accelerators that no machine type has", |j| j.gpus = 1.0, false),
        ("an unknown machine type", |j| j.types = Some(vec!["x".into()]), false),
        ("a zone without the machine type", |j| j.zone = Some("b".into()), false),
        (
            "an array whose sum of tasks is above the limit",
            |j| (j.team, j.cpus, j.tasks) = ("red".into(), 8.0, 9),
            true,
        ),
        ("a gang above the limit", |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 8.0, 3, Shape::Gang), false),
        (
            "a service above the limit",
            |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 8.0, 3, Shape::Service),
            false,
        ),
        ("an array spread in a single zone", |j| (j.tasks, j.spread) = (5, true), true),
        ("a gang spread in a single zone", |j| (j.tasks, j.spread, j.shape) = (2, true, Shape::Gang), false),
        ("a service spread in a single zone", |j| (j.tasks, j.spread, j.shape) = (2, true, Shape::Service), false),
        ("a gang of one task spread in a single zone", |j| (j.spread, j.shape) = (true, Shape::Gang), true),
        ("a gang at the limit", |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 5.0, 4, Shape::Gang), true),
    ];
    for (name, change, feasible) in cases {
        let mut job = spec();
        change(&mut job);
        assert_eq!(check_feasible(&job, &example(), &catalog).is_ok(), feasible, "{name}");
    }
}
