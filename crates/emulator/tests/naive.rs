//! Every fault by an assumption of a naive scheduler: it holds as long as nothing goes wrong, and does not
//! once the fault is commanded.

#![allow(clippy::unwrap_used, clippy::too_many_lines)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use hollylanding_emulator::driver::state::{Outcome, State};
use hollylanding_emulator::judge::{Entry, Event, Rule, RuleParams, judge};
use hollylanding_emulator::world::cloud::{self, BootMode, Capacity, Cloud};
use hollylanding_emulator::world::fleet::{Fleet, Machine, Params, Upload};
use hollylanding_emulator::world::store::Limits;
use hollylanding_protocol::cloud::{MachineType, ProvisioningRequest};
use hollylanding_protocol::jobs::JobSpec;
use hollylanding_protocol::workers::{TaskKey, WorkerCommand, WorkerCommands};
use serde_json::{Value, json};

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn of() -> MachineType {
    serde_json::from_value(json!({"name": "c8", "cpus": 8.0, "memGb": 32.0, "pullGbPerS": 1.0, "rate": 1.0,
        "spotPrice": 0.5, "startupS": 10.0, "yards": ["a"]}))
    .unwrap()
}

fn spec() -> JobSpec {
    serde_json::from_value(json!({"uid": "run-1", "jobFamily": "c", "desk": "t", "shape": "sweep", "urgency": "normal",
        "legs": 1, "cpus": 1.0, "accelerators": 0.0, "memGb": 1.0, "kit": "i", "imageGb": 0.0, "samePlace": false,
        "scatter": false, "borrowed": true, "expectedS": 10.0, "milestoneS": 0.0, "stowS": 0.0}))
    .unwrap()
}

fn launch(fleet: &mut Fleet, machine: &str, attempt: u64, at: u64) {
    let task = TaskKey { job: "run-1".into(), index: 0 };
    let orders = vec![WorkerCommand::Launch { task, attempt }];
    fleet.command(machine, &WorkerCommands { fencing_token: 1, agent_epoch: Some(1), orders }, s(at));
}

/// Two machines; a task of ten seconds begins on the first at one second. Simulated for 20 s.
fn fleet(mut on: impl FnMut(&mut Fleet, u64)) -> Fleet {
    let mut fleet = Fleet::new(Params { lease: s(24), gang_wait: s(30), gang_peer: s(5) });
    fleet.upload(Upload { spec: spec(), run: s(10), broken: false });
    for name in ["m1", "m2"] {
        let machine =
            Machine { addr: "127.0.0.1:1".into(), machine_type: of(), zone: "a".into(), spot: true, speed: 1.0 };
        fleet.add_machine(name, machine, s(0));
    }
    launch(&mut fleet, "m1", 1, 1);
    for at in 2..=20 {
        on(&mut fleet, at);
        fleet.tick(s(at));
    }
    fleet
}

/// Whether the result comes, with something done to the workers at every second.
fn done_with(act: impl Fn(&mut Fleet, u64)) -> bool {
    !fleet(|fleet, at| act(fleet, at)).results().is_empty()
}

/// Whoever hears nothing at 8 s starts the task elsewhere: is it on one machine at a time?
fn silence_means_gone(hangs: bool) -> bool {
    let mut record = vec![Entry { at: s(0), event: Event::Submitted(Arc::new(spec())) }];
    fleet(|fleet, at| {
        if hangs && at == 3 {
            fleet.hang("m1", s(15));
        }
        if at == 8 && fleet.heartbeat("m1", s(at)).is_none() {
            launch(fleet, "m2", 2, at);
        }
        record.extend(fleet.drain_events().into_iter().map(|h| Entry { at: s(at), event: Event::Machine(h) }));
    });
    judge(&record, &RuleParams::default()).first_violation(Rule::RanTwice).is_none()
}

/// Three machines asked for at the beginning.
fn rented(fault: impl Fn(&mut Cloud), spot: bool) -> Cloud {
    let params = cloud::Params {
        types: vec![of()],
        capacity: vec![Capacity { type_name: "c8".into(), zone: "a".into(), on_demand: 9, spot: 9 }],
        ..cloud::Params::default()
    };
    let mut cloud = Cloud::new(params, 1);
    fault(&mut cloud);
    let rental = ProvisioningRequest { request: "r".into(), type_name: "c8".into(), zone: "a".into(), spot, count: 3 };
    cloud.provision(&rental, s(0)).unwrap();
    cloud
}

/// A state service that holds one key.
fn store(fault: impl Fn(&mut State)) -> State {
    let mut state = State::new(Limits::default(), 100);
    state.put("old".into(), &json!(1));
    fault(&mut state);
    state
}

/// Whether a write is answered, and the write.
fn write(state: &mut State, value: u64) -> (bool, Value) {
    let body = json!({"if": [], "apply": [{"write": "k", "value": value}]});
    (matches!(state.compare_and_swap(&body), Outcome::Answer(Ok(_))), body)
}

#[test]
fn what_a_naive_scheduler_assumes() {
    type Assumption = fn(bool) -> bool;
    let rows: [(&str, Assumption); 20] = [
        ("what was started ends", |f| {
            done_with(|fleet, at| {
                if f && at == 5 {
                    fleet.remove_machine("m1", s(at));
                }
            })
        }),
        ("a result can be learned from its machine", |f| {
            let mut simulated = fleet(|fleet, at| {
                if f && at == 15 {
                    fleet.remove_machine("m1", s(at));
                }
            });
            simulated.heartbeat("m1", s(20)).is_some()
        }),
        ("silence means gone", silence_means_gone),
        ("a task that failed needs only another try", |f| {
            done_with(|fleet, at| {
                fleet.set_sick("m1", f);
                launch(fleet, "m1", at, at);
            })
        }),
        ("work ends in twice its estimate", |f| {
            done_with(|fleet, _| fleet.set_speed("m1", if f { 0.25 } else { 1.0 }))
        }),
        ("a lease lasts as long on every clock", |f| {
            done_with(|fleet, _| fleet.set_clock_rate("m1", if f { 4.0 } else { 1.0 }))
        }),
        ("a task is only where it was started", |f| {
            let mut doubled = false;
            fleet(|fleet, at| doubled |= f && at == 5 && fleet.start_twice(s(at)));
            !doubled
        }),
        ("whoever is heard hears", |f| {
            let mut heard = false;
            fleet(|fleet, at| {
                if f {
                    fleet.partition_inbound("m1", s(30));
                }
                heard |= fleet
                    .command("m1", &WorkerCommands { fencing_token: 1, agent_epoch: Some(1), orders: vec![] }, s(at))
                    .is_some();
            });
            heard
        }),
        ("a report is of a machine that is there", |f| {
            let mut simulated = fleet(|fleet, at| {
                if f {
                    fleet.copy_heartbeats("m1", s(9), s(5), s(30));
                }
                fleet.heartbeat("m1", s(at));
            });
            simulated.remove_machine("m1", s(20));
            simulated.copies_due(s(30)).is_empty()
        }),
        ("what is rented comes up", |f| {
            let boots = if f { BootMode::Never } else { BootMode::Usual };
            rented(|cloud| cloud.set_boots(boots), false).tick(s(60)).len() == 3
        }),
        ("what is rented stays", |f| {
            let mut cloud = rented(|_| (), true);
            if f {
                cloud.interrupt_spot_machines(1.0, s(10));
            }
            cloud.tick(s(60));
            cloud.count_held(s(60)) == 3
        }),
        ("the cloud answers", |f| rented(|cloud| cloud.set_outage(f), false).admit(s(1)).is_ok()),
        ("what is acknowledged is stored", |f| {
            let mut state = store(|state| state.faults.writes_to_lose = u32::from(f));
            write(&mut state, 1).0 && state.store.has("k")
        }),
        ("what is not answered was not done", |f| {
            let mut state = store(|state| state.faults.unanswered_writes = u32::from(f));
            write(&mut state, 1).0 == state.store.has("k")
        }),
        ("the last write stands", |f| {
            let mut state = store(|state| state.faults.late_writes = (u32::from(f), s(9)));
            let (answered, first) = write(&mut state, 1);
            write(&mut state, 2);
            if !answered {
                state.apply_late(&first);
            }
            state.store.value("k") == Some(&json!(2))
        }),
        ("what was read is still there", |f| {
            let mut state = store(|_| ());
            state.store.lose_newest_keys("old", usize::from(f));
            state.store.has("old")
        }),
        ("a lease lives until its time is over", |f| {
            let mut state = store(|_| ());
            let permit = state.store.grant(60_000, s(0)).unwrap();
            if f {
                state.store.drop_leases();
            }
            state.store.renew(permit, s(1)).is_ok()
        }),
        ("a watch tells of every change", |f| {
            let later = Instant::now() + s(600);
            store(|state| state.faults.watches_stalled_until = f.then_some(later)).follow("old", 0).is_some()
        }),
        ("a watch can always be gone on with", |f| {
            let mut state = store(|_| ());
            if f {
                state.store.discard_log();
            }
            matches!(state.follow("old", 0), Some(Ok(_)))
        }),
        ("the state service serves everybody or nobody", |f| {
            let mut state = store(|state| state.store.set_refused("1", f));
            state.admit("0").is_ok() == state.admit("1").is_ok()
        }),
    ];
    for (assumption, holds) in rows {
        assert!(holds(false), "{assumption}: without the fault");
        assert!(!holds(true), "{assumption}: with it");
    }
}
