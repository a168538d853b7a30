//! Every fault violates an assumption of a naive scheduler: the assumption holds without the fault and fails with it.

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

fn machine_type() -> MachineType {
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

/// Simulates two machines for 20 s; a task of 10 s starts on the first one at 1 s.
fn simulate_fleet(mut on_second: impl FnMut(&mut Fleet, u64)) -> Fleet {
    let mut fleet = Fleet::new(Params { lease: s(24), gang_wait: s(30), gang_peer: s(5) });
    fleet.upload(Upload { spec: spec(), run: s(10), broken: false });
    for name in ["m1", "m2"] {
        let machine = Machine {
            addr: "127.0.0.1:1".into(),
            machine_type: machine_type(),
            zone: "a".into(),
            spot: true,
            speed: 1.0,
        };
        fleet.add_machine(name, machine, s(0));
    }
    launch(&mut fleet, "m1", 1, 1);
    for at in 2..=20 {
        on_second(&mut fleet, at);
        fleet.tick(s(at));
    }
    fleet
}

/// Whether the task completes if an action is executed on the fleet every second.
fn completes_with(action: impl Fn(&mut Fleet, u64)) -> bool {
    !simulate_fleet(|fleet, at| action(fleet, at)).results().is_empty()
}

/// Starts the task on the second machine if the first one sends no heartbeat at 8 s. Returns whether the task was on
/// one machine at a time.
fn runs_once_if_silent_machine_is_replaced(hangs: bool) -> bool {
    let mut record = vec![Entry { at: s(0), event: Event::Submitted(Arc::new(spec())) }];
    simulate_fleet(|fleet, at| {
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

/// A cloud in which three machines were requested at the start.
fn provisioned_cloud(fault: impl Fn(&mut Cloud), spot: bool) -> Cloud {
    let params = cloud::Params {
        types: vec![machine_type()],
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

/// Sends a write to the state service. Returns whether it was answered, and its body.
fn write(state: &mut State, value: u64) -> (bool, Value) {
    let body = json!({"if": [], "apply": [{"write": "k", "value": value}]});
    (matches!(state.compare_and_swap(&body), Outcome::Answer(Ok(_))), body)
}

#[test]
fn each_fault_violates_an_assumption_of_a_naive_scheduler() {
    type Assumption = fn(bool) -> bool;
    let rows: [(&str, Assumption); 20] = [
        ("a started task ends", |f| {
            completes_with(|fleet, at| {
                if f && at == 5 {
                    fleet.remove_machine("m1", s(at));
                }
            })
        }),
        ("a result can be read from its machine", |f| {
            let mut simulated = simulate_fleet(|fleet, at| {
                if f && at == 15 {
                    fleet.remove_machine("m1", s(at));
                }
            });
            simulated.heartbeat("m1", s(20)).is_some()
        }),
        ("a machine without heartbeats is gone", runs_once_if_silent_machine_is_replaced),
        ("a failed task succeeds when it is retried", |f| {
            completes_with(|fleet, at| {
                fleet.set_sick("m1", f);
                launch(fleet, "m1", at, at);
            })
        }),
        ("a task ends within twice its estimate", |f| {
            completes_with(|fleet, _| fleet.set_speed("m1", if f { 0.25 } else { 1.0 }))
        }),
        ("a lease lasts equally long on every clock", |f| {
            completes_with(|fleet, _| fleet.set_clock_rate("m1", if f { 4.0 } else { 1.0 }))
        }),
        ("a task runs only on the machine on which it was started", |f| {
            let mut doubled = false;
            simulate_fleet(|fleet, at| doubled |= f && at == 5 && fleet.start_twice(s(at)));
            !doubled
        }),
        ("a machine whose heartbeats arrive receives commands", |f| {
            let mut received = false;
            simulate_fleet(|fleet, at| {
                if f {
                    fleet.partition_inbound("m1", s(30));
                }
                received |= fleet
                    .command("m1", &WorkerCommands { fencing_token: 1, agent_epoch: Some(1), orders: vec![] }, s(at))
                    .is_some();
            });
            received
        }),
        ("a heartbeat comes from a machine that still exists", |f| {
            let mut simulated = simulate_fleet(|fleet, at| {
                if f {
                    fleet.copy_heartbeats("m1", s(9), s(5), s(30));
                }
                fleet.heartbeat("m1", s(at));
            });
            simulated.remove_machine("m1", s(20));
            simulated.copies_due(s(30)).is_empty()
        }),
        ("a provisioned machine boots", |f| {
            let boots = if f { BootMode::Never } else { BootMode::Usual };
            provisioned_cloud(|cloud| cloud.set_boots(boots), false).tick(s(60)).len() == 3
        }),
        ("a provisioned machine stays", |f| {
            let mut cloud = provisioned_cloud(|_| (), true);
            if f {
                cloud.interrupt_spot_machines(1.0, s(10));
            }
            cloud.tick(s(60));
            cloud.count_held(s(60)) == 3
        }),
        ("the cloud is available", |f| provisioned_cloud(|cloud| cloud.set_outage(f), false).admit(s(1)).is_ok()),
        ("an acknowledged write is stored", |f| {
            let mut state = store(|state| state.faults.writes_to_lose = u32::from(f));
            write(&mut state, 1).0 && state.store.has("k")
        }),
        ("an unanswered write was not applied", |f| {
            let mut state = store(|state| state.faults.unanswered_writes = u32::from(f));
            write(&mut state, 1).0 == state.store.has("k")
        }),
        ("the last write takes effect last", |f| {
            let mut state = store(|state| state.faults.late_writes = (u32::from(f), s(9)));
            let (answered, first) = write(&mut state, 1);
            write(&mut state, 2);
            if !answered {
                state.apply_late(&first);
            }
            state.store.value("k") == Some(&json!(2))
        }),
        ("a stored key stays", |f| {
            let mut state = store(|_| ());
            state.store.lose_newest_keys("old", usize::from(f));
            state.store.has("old")
        }),
        ("a lease lives until it expires", |f| {
            let mut state = store(|_| ());
            let permit = state.store.grant(60_000, s(0)).unwrap();
            if f {
                state.store.drop_leases();
            }
            state.store.renew(permit, s(1)).is_ok()
        }),
        ("a watch reports every change at once", |f| {
            let later = Instant::now() + s(600);
            store(|state| state.faults.watches_stalled_until = f.then_some(later)).follow("old", 0).is_some()
        }),
        ("a watch can always be resumed", |f| {
            let mut state = store(|_| ());
            if f {
                state.store.discard_log();
            }
            matches!(state.follow("old", 0), Some(Ok(_)))
        }),
        ("the state service serves all nodes or none", |f| {
            let mut state = store(|state| state.store.set_refused("1", f));
            state.admit("0").is_ok() == state.admit("1").is_ok()
        }),
    ];
    for (assumption, holds) in rows {
        assert!(holds(false), "{assumption}: must hold without the fault");
        assert!(!holds(true), "{assumption}: must not hold with the fault");
    }
}
