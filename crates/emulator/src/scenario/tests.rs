use super::*;

#[test]
fn script_yields_its_plan_or_an_error_by_case() {
    let s = Duration::from_secs;
    type Steps = Vec<(Trigger, Fault)>;
    let rows: [(&str, Result<Steps, &str>); 12] = [
        (
            "for n in 0..2 { at(10 + n, end(n, 3)) }",
            Ok(vec![
                (Trigger::At(s(10)), Fault::End(ControllerSelector::Number(0), s(3))),
                (Trigger::At(s(11)), Fault::End(ControllerSelector::Number(1), s(3))),
            ]),
        ),
        (
            "when(\"the owner has just placed\", lose_machines(0.5));\nat(2, cut(\"owner\", \"store\", 9.0));",
            Ok(vec![
                (Trigger::When(Condition::JustPlaced, s(0)), Fault::LoseMachines(MachineAmount::Part(0.5))),
                (Trigger::At(s(2)), Fault::Link(ControllerSelector::Leader, Link::Store, LinkState::Held, s(9))),
            ]),
        ),
        (
            "when(\"an election is under way\", 9, end(1, 0.05)); at(1, late_copies(2, 1, 30, 9)); at(2, lone(1, 4))",
            Ok(vec![
                (
                    Trigger::When(Condition::Election, s(9)),
                    Fault::End(ControllerSelector::Number(1), Duration::from_millis(50)),
                ),
                (Trigger::At(s(1)), Fault::LateCopies(MachineAmount::Count(2), s(1), s(30), s(9))),
                (Trigger::At(s(2)), Fault::Lone(ControllerSelector::Number(1), s(4))),
            ]),
        ),
        (
            "at(3, says(\"met\", exits(2, operator([\"declare\", \"{spec}\"], #{name: \"w\"}))))",
            Ok(vec![(
                Trigger::At(s(3)),
                Fault::Operator(OperatorCommand {
                    args: vec!["declare".into(), "{spec}".into()],
                    spec: Some("{\"name\":\"w\"}".into()),
                    exit: 2,
                    says: "met".into(),
                }),
            )]),
        ),
        ("at(1, says(\"met\", drop_leases()))", Err("has no output: `says` applies only to operator commands")),
        ("\n\nat(1, hang(2, ))", Err("line 3")),
        ("at(1, cut(\"owner\", \"moon\", 9))", Err("unknown link \"moon\"")),
        ("at(-1, drop_leases())", Err("is not between")),
        ("when(\"it rains\", drop_leases())", Err("unknown condition \"it rains\": expected one of")),
        ("at(1, take_spots(1))", Err("Function not found")),
        ("loop { }", Err("Too many operations")),
        ("loop { at(1, drop_leases()) }", Err("more than 1000 faults")),
    ];
    for (script, want) in rows {
        match (read(script, 1), want) {
            (Ok(plan), Ok(steps)) => assert_eq!(plan.steps, steps, "{script}"),
            (Err(error), Err(why)) => assert!(error.to_string().contains(why), "{script}: {error}"),
            (got, _) => panic!("{script}: {got:?}"),
        }
    }
    let drawn = |seed| read("for n in 0..5 { at_random(1, 9, lose_machines(1)) }", seed).unwrap();
    assert_eq!(drawn(7), drawn(7), "equal seeds must draw equal plans");
    assert_ne!(drawn(7), drawn(8));
}

#[test]
fn leader_and_owner_select_the_same_controller() {
    let read_both = ["leader", "owner"].map(|word| read(&format!("at(1, end(\"{word}\", 2))"), 1).unwrap());
    assert_eq!(read_both[0], read_both[1]);
    assert_eq!(read_both[0].steps[0].1, Fault::End(ControllerSelector::Leader, Duration::from_secs(2)));
}
