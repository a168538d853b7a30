//! Tests of stored orders: outcomes of attempts, inheritance, and a simulation of leaders that replace one another.

mod late;

use std::collections::BTreeSet;

use hollylanding_emulator::world::store::{Limits, Store};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;
use serde_json::json;

fn failed(keys: &[&str]) -> Result<CompareAndSwapOutcome, StoreError> {
    Ok(CompareAndSwapOutcome::Failed(keys.iter().map(|k| (*k).to_owned()).collect()))
}

#[test]
fn step_after_an_attempt_to_store_by_cases() {
    let order = CloudOrder::new("me", 7, 1, CloudAction::Terminate(vec!["m1".into()]));
    assert_eq!(order.key, "d/me-7-1");
    let cases = [
        ("applied", Ok(CompareAndSwapOutcome::Applied(9)), Some(7), StoreStep::Execute),
        ("applied, and replaced since", Ok(CompareAndSwapOutcome::Applied(9)), None, StoreStep::Abandon),
        ("an earlier copy applied", failed(&["d/me-7-1"]), Some(7), StoreStep::Execute),
        ("another assignment", failed(&[LEADER_RECORD_KEY]), Some(7), StoreStep::Retry),
        ("applied under another assignment", failed(&[LEADER_RECORD_KEY, "d/me-7-1"]), Some(8), StoreStep::Retry),
        ("another assignment, known", failed(&[LEADER_RECORD_KEY]), None, StoreStep::Abandon),
        ("not answered", Err(StoreError::Unanswered), Some(7), StoreStep::Retry),
        ("refused", Err(StoreError::Unavailable(429)), Some(7), StoreStep::Retry),
    ];
    for (name, outcome, fencing_token, want) in cases {
        assert_eq!(order.step_after(&outcome, fencing_token), want, "{name}");
    }
    let item = KeyValue { path: order.key.clone(), value: serde_json::json!({"epoch": 7}), version: 1 };
    assert_eq!(CloudOrder::from_key_value(&item), None, "an order of which half is missing");
}

#[test]
fn inherited_terminations_are_merged_into_few_calls() {
    let names = |from: usize, n: usize| (from..from + n).map(|m| format!("m{m}")).collect::<Vec<_>>();
    let sizes = [60, 30, 20, 100, 1];
    let orders = (1..).zip(sizes).map(|(n, size)| CloudOrder::new("me", 7, n, CloudAction::Terminate(names(0, size))));
    let returns = InheritedOrders::group(orders.collect(), 100).terminations;
    let sizes: Vec<(usize, usize)> = returns.iter().map(|call| (call.machines.len(), call.keys.len())).collect();
    assert_eq!(sizes, [(90, 2), (20, 1), (100, 1), (1, 1)], "nothing is split, and none over the limit");
}

/// Regression: a process that led twice gave its requests the names of its first term again, and the cloud answered
/// with the machines of that term.
#[test]
fn request_names_are_unique_across_terms() {
    let terms = [("a", 3), ("b", 5), ("a", 9)];
    let names: BTreeSet<String> = terms.iter().flat_map(|(i, t)| (1..50).map(|n| unique_name(i, *t, n))).collect();
    assert_eq!(names.len(), terms.len() * 49);
}

/// A leader at some step of a return: it may be paused before any of them.
#[derive(Clone)]
struct SimulatedLeader {
    fencing_token: u64,
    /// Machines that it takes to be there and not on their way out, and what it has placed.
    fleet: BTreeSet<String>,
    placed: BTreeSet<String>,
    orders: Vec<(CloudOrder, bool)>,
    unanswered: HashMap<String, u64>,
    number: u64,
}

/// SimulatedLeaders replace one another at any moment, and any of them may go on later. `fenced`: orders
/// are stored, and read by the next one. Gives how often a machine was returned by one that no
/// longer led while its successor had work on it.
fn simulate(seed: u64, fenced: bool) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store::new(Limits::default());
    let mut cloud: BTreeSet<String> = (0..12).map(|n| format!("m{n:02}")).collect();
    let mut leaders: Vec<SimulatedLeader> = Vec::new();
    let (mut late, mut harm): (Vec<(CloudOrder, u64)>, usize) = (Vec::new(), 0);
    for step in 0..400 {
        if leaders.is_empty() || rng.random_ratio(1, 25) {
            let write = [Change::write(LEADER_RECORD_KEY, serde_json::json!(step))];
            let fencing_token = store.apply_if(&[], &write).unwrap();
            let items = store.under(CLOUD_ORDERS).map(|(path, value, version)| {
                CloudOrder::from_key_value(&KeyValue { path: path.into(), value: value.clone(), version }).unwrap()
            });
            let orders: Vec<(CloudOrder, bool)> = items.filter(|_| fenced).map(|o| (o, true)).collect();
            let leaving: BTreeSet<String> = orders.iter().flat_map(|(o, _)| returned(o)).collect();
            let fleet = cloud.difference(&leaving).cloned().collect();
            let (placed, unanswered) = (BTreeSet::new(), HashMap::new());
            leaders.push(SimulatedLeader { fencing_token, fleet, placed, orders, unanswered, number: 0 });
        }
        // The present leader mostly, or one that was replaced and has not heard of it.
        let newest = leaders.len() - 1;
        let which = if rng.random_ratio(3, 4) { newest } else { rng.random_range(0..leaders.len()) };
        let leads = which == newest;
        let used = leaders[newest].placed.clone();
        let leader = &mut leaders[which];
        match rng.random_range(0..5) {
            0 => {
                // Decides to return an empty machine.
                let free = leader.fleet.iter().find(|m| !leader.placed.contains(*m)).cloned();
                if let Some(machine) = free {
                    leader.fleet.remove(&machine);
                    leader.number += 1;
                    let action = CloudAction::Terminate(vec![machine]);
                    leader.orders.push((CloudOrder::new("h", leader.fencing_token, leader.number, action), false));
                }
            }
            1 => {
                // Stores what it has decided; some tries are answered late or never.
                let open: Vec<usize> = (0..leader.orders.len()).filter(|n| !leader.orders[*n].1).collect();
                for n in open {
                    let order = leader.orders[n].0.clone();
                    if !fenced {
                        leader.orders[n].1 = true;
                    } else if rng.random_ratio(1, 4) {
                        leader.unanswered.insert(order.key.clone(), leader.fencing_token);
                        late.push((order, leader.fencing_token));
                    } else {
                        let outcome = store.apply_if(&order.conditions(leader.fencing_token), &[order.change()]);
                        let outcome = match outcome {
                            Ok(version) => Ok(CompareAndSwapOutcome::Applied(version)),
                            Err(refused) => Ok(CompareAndSwapOutcome::Failed(refused.failed)),
                        };
                        leader.orders[n].1 =
                            order.step_after(&outcome, Some(leader.fencing_token)) == StoreStep::Execute;
                    }
                }
            }
            2 => {
                // Carries out what stands.
                for (order, _) in leader.orders.iter().filter(|(_, stands)| *stands) {
                    for machine in returned(order) {
                        if cloud.remove(&machine) && !leads {
                            harm += usize::from(used.contains(&machine));
                        }
                    }
                }
                if leads && fenced {
                    let stands = leader.orders.iter().filter(|(_, stands)| *stands);
                    let keys: Vec<String> = stands.map(|(o, _)| o.key.clone()).collect();
                    let clean_up = OrderCleanUp::new(&keys, &leader.unanswered, leader.fencing_token);
                    store.apply_if(&clean_up.conditions, &clean_up.changes).unwrap();
                    leader.orders.retain(|(_, stands)| !stands);
                }
            }
            3 => {
                // Places on whatever it takes to be there; only the present leader's placement counts.
                let n = rng.random_range(0..12);
                leader.placed.extend(leader.fleet.iter().nth(n).cloned());
            }
            _ => {
                // A try that was not answered comes late.
                if let Some((order, fencing_token)) = late.pop() {
                    let _ = store.apply_if(&order.conditions(fencing_token), &[order.change()]);
                }
                // New machines keep the simulation going.
                let name = format!("m{:02}-{step}", rng.random_range(0..99));
                cloud.insert(name.clone());
                leaders[newest].fleet.insert(name);
            }
        }
    }
    harm
}

fn returned(order: &CloudOrder) -> Vec<String> {
    match &order.action {
        CloudAction::Terminate(names) => names.clone(),
        CloudAction::Provision(_) | CloudAction::Completed => Vec::new(),
    }
}

/// A controller that was paused between asking the store and calling the cloud returned machines on
/// which its successor had placed work.
#[test]
fn replaced_leader_terminates_no_machine_that_its_successor_uses() {
    let harm = |fenced| (0..200).map(|seed| simulate(seed, fenced)).sum::<usize>();
    assert_eq!(harm(true), 0);
    assert!(harm(false) > 0, "without stored orders the simulation finds it");
}

/// An order that cannot be carried out is left in the store; a controller continues with the others.
#[test]
fn stored_orders_are_checked_by_cases() {
    let rental = |count: u64| json!({"request": "r", "typeName": "g8", "zone": "a", "spot": false, "count": count});
    let written = |action: CloudAction| serde_json::to_value(StoredOrder { epoch: 7, action }).unwrap();
    let of = |count: u64| {
        let rental =
            ProvisioningRequest { request: "r".into(), type_name: "g8".into(), zone: "a".into(), spot: false, count };
        written(CloudAction::Provision(vec![rental]))
    };
    let names = |n: usize| written(CloudAction::Terminate(vec!["m".into(); n]));
    for (name, value, read) in [
        ("a rental", of(MOST_PER_PROVISIONING), true),
        ("of none", of(0), false),
        ("of more than the cloud rents at once", of(u64::MAX), false),
        ("a return", names(MOST_PER_TERMINATION), true),
        ("of more than the cloud takes at once", names(MOST_PER_TERMINATION + 1), false),
        ("done", written(CloudAction::Completed), true),
        ("of a later build", json!({"epoch": 7, "what": {"move": []}}), false),
        ("with a field of a later build", json!({"epoch": 7, "what": "done", "why": "x"}), true),
        ("without its epoch", json!({"what": "done"}), false),
        ("half a rental", json!({"epoch": 7, "what": {"rent": [rental(1)["zone"]]}}), false),
        ("nothing", json!(null), false),
    ] {
        let item = KeyValue { path: "d/me-7-1".into(), value, version: 1 };
        assert_eq!(CloudOrder::from_key_value(&item).is_some(), read, "{name}");
    }
}
