//! Faults in the scenario language, and error messages that name the invalid argument and its value.

#![cfg(feature = "commands")]
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

use std::time::Duration;

use hollylanding_emulator::scenario::{Fault, Trigger, read};
use hollylanding_emulator::sizes::Sizes;

#[test]
fn slow_store_and_withdraw_share_accept_or_reject_arguments_by_case() {
    let ms = Duration::from_millis;
    let rows: [(&str, Result<Fault, &str>); 9] = [
        ("slow_store(1400, 6)", Ok(Fault::SlowStore(ms(1400), ms(6000)))),
        ("slow_store(0.5 * 500, 0.5)", Ok(Fault::SlowStore(ms(250), ms(500)))),
        ("slow_store(0, 6)", Err("slow_store: 0 is not between 1 and 20000")),
        ("slow_store(60000, 6)", Err("slow_store: 60000 is not between 1 and 20000")),
        ("slow_store(\"long\", 6)", Err("slow_store: expected a number, found string")),
        ("slow_store(100, -1)", Err("-1 is not between 0")),
        ("withdraw_share(0.5)", Ok(Fault::CancelShare(0.5))),
        ("withdraw_share(1.5)", Err("withdraw_share: 1.5 is not between 0 and 1")),
        ("withdraw_share(-1)", Err("withdraw_share: -1 is not between 0 and 1")),
    ];
    for (fault, want) in rows {
        match (read(&format!("\nat(3, {fault});"), 1), want) {
            (Ok(plan), Ok(fault)) => assert_eq!(plan.steps, [(Trigger::At(ms(3000)), fault)]),
            (Err(error), Err(why)) => {
                assert!(error.to_string().contains(why), "{fault}: {error}");
                assert_eq!(error.line, 2, "{fault}");
            }
            (got, _) => panic!("{fault}: {got:?}"),
        }
    }
}

#[test]
fn outage_of_the_combined_faults_exceeds_the_cancellation_deadline() {
    let sizes = Sizes::parse(include_str!("../../../scenarios/combined-faults.toml")).unwrap();
    let plan = read(include_str!("../../../scenarios/combined-faults.rhai"), 1).unwrap();
    assert_eq!(plan.sizes.as_deref(), Some("combined-faults.toml"));
    let outage = plan.steps.iter().find_map(|(_, fault)| match fault {
        Fault::Outage(time) => Some(*time),
        _ => None,
    });
    assert!(outage.unwrap().as_secs_f64() > sizes.workers.cancel_s);
}
