//! Tests of stored orders: the step after each outcome of a write, inheritance, limits, and a simulation of leaders
//! that replace one another.

mod late;

use std::collections::BTreeSet;

use hollylanding_emulator::world::store::{Limits, Store};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;
use crate::store::transaction_limits::TransactionSize;
use serde_json::json;

fn failed(keys: &[&str]) -> Result<CompareAndSwapOutcome, StoreError> {
    Ok(CompareAndSwapOutcome::Failed(keys.iter().map(|k| (*k).to_owned()).collect()))
}

#[test]
fn next_step_follows_from_write_outcome_and_fencing_token() {
    let order = CloudOrder::new("me", 7, 1, CloudAction::Terminate(vec!["m1".into()]));
    assert_eq!(order.key, "d/me-7-1");
    let cases = [
        ("applied", Ok(CompareAndSwapOutcome::Applied(9)), Some(7), StoreStep::Execute),
        ("applied, leader deposed since", Ok(CompareAndSwapOutcome::Applied(9)), None, StoreStep::Abandon),
        ("an earlier attempt applied", failed(&["d/me-7-1"]), Some(7), StoreStep::Execute),
        ("leader record changed", failed(&[LEADER_RECORD_KEY]), Some(7), StoreStep::Retry),
        (
            "an earlier attempt applied, leader record changed",
            failed(&[LEADER_RECORD_KEY, "d/me-7-1"]),
            Some(8),
            StoreStep::Retry,
        ),
        ("leader record changed, leader deposed", failed(&[LEADER_RECORD_KEY]), None, StoreStep::Abandon),
        ("unanswered", Err(StoreError::Unanswered), Some(7), StoreStep::Retry),
        ("refused", Err(StoreError::Unavailable(429)), Some(7), StoreStep::Retry),
    ];
    for (name, outcome, fencing_token, want) in cases {
        assert_eq!(order.next_step(&outcome, fencing_token), want, "{name}");
    }
    let too_large = || Err(StoreError::TooLarge(Box::new(TransactionSize::of(&[], &[order.change()]))));
    let machines = |n: usize| CloudAction::Terminate(vec!["m".into(); n]);
    for (action, fencing_token, want) in [
        (machines(2), Some(7), StoreStep::Split),
        (machines(2), None, StoreStep::Abandon),
        (machines(1), Some(7), StoreStep::Retry),
    ] {
        let order = CloudOrder::new("me", 7, 1, action.clone());
        assert_eq!(order.next_step(&too_large(), fencing_token), want, "{action:?}, too large");
    }
    let item = KeyValue { path: order.key.clone(), value: serde_json::json!({"epoch": 7}), version: 1 };
    assert_eq!(CloudOrder::from_key_value(&item), None, "an order without its action is rejected");
}

#[test]
fn inherited_terminations_are_merged_into_calls_within_the_limit() {
    let names = |from: usize, n: usize| (from..from + n).map(|m| format!("m{m}")).collect::<Vec<_>>();
    let sizes = [60, 30, 20, 100, 1];
    let orders = (1..).zip(sizes).map(|(n, size)| CloudOrder::new("me", 7, n, CloudAction::Terminate(names(0, size))));
    let calls = InheritedOrders::group(orders.collect(), 100).terminations;
    let sizes: Vec<(usize, usize)> = calls.iter().map(|call| (call.machines.len(), call.keys.len())).collect();
    assert_eq!(sizes, [(90, 2), (20, 1), (100, 1), (1, 1)], "no order is split, and no call exceeds the limit");
}

/// Regression: a process that led twice reused the request names of its first term, and the cloud answered with the
/// machines of that term.
#[test]
fn request_names_are_unique_across_terms() {
    let terms = [("a", 3), ("b", 5), ("a", 9)];
    let names: BTreeSet<String> = terms.iter().flat_map(|(i, t)| (1..50).map(|n| unique_name(i, *t, n))).collect();
    assert_eq!(names.len(), terms.len() * 49);
}

/// Leader that decides, stores and carries out termination orders. It may be paused before any of these steps.
#[derive(Clone)]
struct SimulatedLeader {
    fencing_token: u64,
    /// Machines that it assumes to exist and that no order terminates.
    fleet: BTreeSet<String>,
    /// Machines on which it has placed work.
    used: BTreeSet<String>,
    /// Its orders, each with whether it is stored and may be carried out.
    orders: Vec<(CloudOrder, bool)>,
    write_tokens: HashMap<String, u64>,
    last_number: u64,
}

/// Simulates leaders that replace one another at any moment; a replaced one may go on later. With `with_stored_orders`,
/// each order is stored before it is carried out, and a new leader reads the stored orders. Returns how often a
/// replaced leader terminated a machine on which the current leader had placed work.
fn count_harmful_terminations(seed: u64, with_stored_orders: bool) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store::new(Limits::default());
    let mut cloud: BTreeSet<String> = (0..12).map(|n| format!("m{n:02}")).collect();
    let mut leaders: Vec<SimulatedLeader> = Vec::new();
    let (mut late_writes, mut harmful): (Vec<(CloudOrder, u64)>, usize) = (Vec::new(), 0);
    for step in 0..400 {
        if leaders.is_empty() || rng.random_ratio(1, 25) {
            let write = [Change::write(LEADER_RECORD_KEY, serde_json::json!(step))];
            let fencing_token = store.apply_if(&[], &write).unwrap();
            let items = store.entries_with_prefix(CLOUD_ORDER_PREFIX).map(|(path, value, version)| {
                CloudOrder::from_key_value(&KeyValue { path: path.into(), value: value.clone(), version }).unwrap()
            });
            let orders: Vec<(CloudOrder, bool)> = items.filter(|_| with_stored_orders).map(|o| (o, true)).collect();
            let terminating: BTreeSet<String> = orders.iter().flat_map(|(o, _)| machines_to_terminate(o)).collect();
            let fleet = cloud.difference(&terminating).cloned().collect();
            let (used, write_tokens) = (BTreeSet::new(), HashMap::new());
            leaders.push(SimulatedLeader { fencing_token, fleet, used, orders, write_tokens, last_number: 0 });
        }
        // Mostly the current leader, otherwise any of them: a replaced one may not know that it was replaced.
        let newest = leaders.len() - 1;
        let which = if rng.random_ratio(3, 4) { newest } else { rng.random_range(0..leaders.len()) };
        let is_current = which == newest;
        let used_by_current = leaders[newest].used.clone();
        let leader = &mut leaders[which];
        match rng.random_range(0..5) {
            0 => {
                // Decides to terminate a machine without work.
                let free = leader.fleet.iter().find(|m| !leader.used.contains(*m)).cloned();
                if let Some(machine) = free {
                    leader.fleet.remove(&machine);
                    leader.last_number += 1;
                    let action = CloudAction::Terminate(vec![machine]);
                    leader.orders.push((CloudOrder::new("h", leader.fencing_token, leader.last_number, action), false));
                }
            }
            1 => {
                // Stores its new orders. Some writes are unanswered, and applied late or never.
                let open: Vec<usize> = (0..leader.orders.len()).filter(|n| !leader.orders[*n].1).collect();
                for n in open {
                    let order = leader.orders[n].0.clone();
                    if !with_stored_orders {
                        leader.orders[n].1 = true;
                        continue;
                    }
                    leader.write_tokens.insert(order.key.clone(), leader.fencing_token);
                    if rng.random_ratio(1, 4) {
                        late_writes.push((order, leader.fencing_token));
                    } else {
                        let outcome = store.apply_if(&order.conditions(leader.fencing_token), &[order.change()]);
                        let outcome = match outcome {
                            Ok(version) => Ok(CompareAndSwapOutcome::Applied(version)),
                            Err(refused) => Ok(CompareAndSwapOutcome::Failed(refused.failed)),
                        };
                        leader.orders[n].1 =
                            order.next_step(&outcome, Some(leader.fencing_token)) == StoreStep::Execute;
                    }
                }
            }
            2 => {
                // Carries out the orders that are stored.
                for (order, _) in leader.orders.iter().filter(|(_, is_stored)| *is_stored) {
                    for machine in machines_to_terminate(order) {
                        if cloud.remove(&machine) && !is_current {
                            harmful += usize::from(used_by_current.contains(&machine));
                        }
                    }
                }
                if is_current && with_stored_orders {
                    let stored = leader.orders.iter().filter(|(_, is_stored)| *is_stored);
                    let keys: Vec<String> = stored.map(|(o, _)| o.key.clone()).collect();
                    let clean_up = OrderCleanUp::new(&keys, &leader.write_tokens, leader.fencing_token);
                    store.apply_if(&clean_up.conditions, &clean_up.changes).unwrap();
                    leader.orders.retain(|(_, is_stored)| !is_stored);
                }
            }
            3 => {
                // Places work on a machine that it assumes to exist; only the current leader's placement counts.
                let n = rng.random_range(0..12);
                leader.used.extend(leader.fleet.iter().nth(n).cloned());
            }
            _ => {
                // An unanswered write is applied late.
                if let Some((order, fencing_token)) = late_writes.pop() {
                    let _ = store.apply_if(&order.conditions(fencing_token), &[order.change()]);
                }
                // A new machine joins, so that the simulation does not run out of machines.
                let name = format!("m{:02}-{step}", rng.random_range(0..99));
                cloud.insert(name.clone());
                leaders[newest].fleet.insert(name);
            }
        }
    }
    harmful
}

fn machines_to_terminate(order: &CloudOrder) -> Vec<String> {
    match &order.action {
        CloudAction::Terminate(names) => names.clone(),
        CloudAction::Provision(_) | CloudAction::Completed => Vec::new(),
    }
}

/// Regression: a controller that was paused between its check with the store and its call to the cloud terminated
/// machines on which its successor had placed work.
#[test]
fn replaced_leader_terminates_no_machine_that_its_successor_uses() {
    let harmful =
        |with_stored_orders| (0..200).map(|seed| count_harmful_terminations(seed, with_stored_orders)).sum::<usize>();
    assert_eq!(harmful(true), 0);
    assert!(harmful(false) > 0, "without stored orders the simulation reproduces the fault");
}

/// An order that cannot be carried out is rejected, so that it stays in the store and the controller continues with the
/// others.
#[test]
fn malformed_or_oversized_stored_orders_are_rejected() {
    let stored_request =
        |count: u64| json!({"request": "r", "typeName": "g8", "zone": "a", "spot": false, "count": count});
    let stored_order = |action: CloudAction| serde_json::to_value(StoredOrder { epoch: 7, action }).unwrap();
    let provisioning = |count: u64| {
        let request =
            ProvisioningRequest { request: "r".into(), type_name: "g8".into(), zone: "a".into(), spot: false, count };
        stored_order(CloudAction::Provision(vec![request]))
    };
    let termination = |n: usize| stored_order(CloudAction::Terminate(vec!["m".into(); n]));
    for (name, value, is_accepted) in [
        ("provisioning, maximum count", provisioning(MAX_MACHINES_PER_PROVISIONING), true),
        ("provisioning of no machine", provisioning(0), false),
        ("provisioning above the limit", provisioning(u64::MAX), false),
        ("termination, maximum count", termination(MAX_MACHINES_PER_TERMINATION), true),
        ("termination above the limit", termination(MAX_MACHINES_PER_TERMINATION + 1), false),
        ("completed", stored_order(CloudAction::Completed), true),
        ("an action of a later build", json!({"epoch": 7, "what": {"move": []}}), false),
        ("a field of a later build", json!({"epoch": 7, "what": "done", "why": "x"}), true),
        ("no epoch", json!({"what": "done"}), false),
        (
            "an incomplete provisioning request",
            json!({"epoch": 7, "what": {"rent": [stored_request(1)["zone"]]}}),
            false,
        ),
        ("null", json!(null), false),
    ] {
        let item = KeyValue { path: "d/me-7-1".into(), value, version: 1 };
        assert_eq!(CloudOrder::from_key_value(&item).is_some(), is_accepted, "{name}");
    }
}
