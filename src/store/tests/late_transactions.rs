//! Delayed copies of transactions. The tests run a few jobs, cloud orders and statuses through their whole lifecycle.
//! Each transaction is built by the code that builds it in a controller, and a copy of each arrives again after every
//! later one: the copy must be rejected, or must change nothing.

use std::collections::HashMap;
use std::sync::Arc;

use hollylanding_emulator::world::store::Store;
use serde_json::json;

use crate::audit::restore_end;
use crate::cloud_orders::{CloudAction, CloudOrder, OrderCleanUp};
use crate::declarations::DeclarationKind;
use crate::declarations::driver::{self, StatusWrite};
use crate::declarations::records::{spec_key, status_key};
use crate::history::job_transactions::{self, JobTransaction};
use crate::history::upgrade::mark_upgraded;
use crate::jobs::record::{
    JobRecord, LEADER_RECORD_KEY, LEASE_HOLDER_KEY, StoredTask, old_job_key, open_key, shard_key,
};
use crate::jobs::tests::spec;
use crate::jobs::{End, JobId, JobSpec};
use crate::membership::{leader_record_write, lease_acquisition, lease_removal};
use crate::records::leadership::{LeaderRecord, LeaseHolder, TakeoverRequest};
use crate::scheduling::cluster::{ShardValue, ShardWrite};
use crate::scheduling::commit::{CommitBatch, remaining_drops, shard_drops};
use crate::store::{Change, Condition};

/// Transactions of which late copies may be applied: what they write is stored already, or its readers check whether it
/// still applies.
const REPEATABLE: [&str; 4] = ["takeover request", "shards dropped", "order cleaned up", "order marked as done"];

fn record(n: u64) -> Arc<JobRecord> {
    let id: JobId = format!("run-{n:06}").as_str().into();
    Arc::new(JobRecord { spec: JobSpec { id, ..spec() }, accepted_ms: 1 })
}

/// A store and the transactions sent to it, of which late copies are replayed.
#[derive(Default)]
struct Lifecycle {
    store: Store,
    sent: Vec<(&'static str, Vec<Condition>, Vec<Change>)>,
    /// Number of late copies replayed.
    replayed_copies: usize,
    /// Names of the late copies that were applied.
    applied_copies: Vec<&'static str>,
}

impl Lifecycle {
    /// Sends a transaction, and then late copies of all transactions sent so far, including this one.
    fn send(
        &mut self,
        name: &'static str,
        conditions: impl Into<Vec<Condition>>,
        changes: impl Into<Vec<Change>>,
    ) -> u64 {
        let (conditions, changes) = (conditions.into(), changes.into());
        assert!(conditions.len() <= 4 * changes.len(), "{name}: the service allows four conditions per change");
        let version =
            self.store.apply_if(&conditions, &changes).unwrap_or_else(|rejection| panic!("{name}: {rejection:?}"));
        self.sent.push((name, conditions, changes));
        for (late, conditions, changes) in &self.sent {
            self.replayed_copies += 1;
            if !self.store.failed_conditions(conditions).is_empty() {
                continue;
            }
            assert!(REPEATABLE.contains(late), "late copy of {late:?} is applied after {name:?}");
            self.applied_copies.push(*late);
            for change in changes {
                match change {
                    Change::Drop { drop } => {
                        assert!(!self.store.has(drop), "late copy of {late:?} after {name:?} drops {drop}")
                    }
                    Change::Write { write, value, .. } => {
                        assert_eq!(
                            self.store.value(write),
                            Some(value),
                            "late copy of {late:?} after {name:?} changes {write}"
                        );
                    }
                }
            }
        }
        version
    }

    fn send_job_transaction(&mut self, name: &'static str, transaction: JobTransaction) -> u64 {
        self.send(name, transaction.conditions, transaction.changes)
    }

    fn send_batch(
        &mut self,
        name: &'static str,
        fencing_token: u64,
        ends: Vec<Arc<JobRecord>>,
        shards: Vec<ShardWrite>,
    ) -> u64 {
        let batch = CommitBatch { ends, shards, at_ms: 5, max_value_bytes: usize::MAX };
        self.send(name, batch.conditions(fencing_token), batch.changes())
    }

    fn become_leader(&mut self, name: &'static str) -> u64 {
        let me =
            LeaderRecord { node: "a".into(), incarnation: name.into(), teams: Vec::new(), stored_confirmations: None };
        let (conditions, change) =
            leader_record_write(&me, self.store.version(LEASE_HOLDER_KEY), self.store.version(LEADER_RECORD_KEY));
        self.send(name, conditions, [change])
    }

    fn acquire_lease(&mut self, name: &'static str) {
        let lease = self.store.grant(3000, std::time::Duration::ZERO).unwrap();
        let me = LeaseHolder { node: "a".into(), incarnation: name.into() };
        let (condition, change) = lease_acquisition(&me, lease);
        self.send(name, [condition], [change]);
    }

    fn write_status(&mut self, name: &'static str, fencing_token: u64, value: Option<serde_json::Value>) -> u64 {
        let version = |key: String| self.store.version(&key);
        let (spec_version, status_version) =
            (version(spec_key(DeclarationKind::Window, "w")), version(status_key(DeclarationKind::Window, "w")));
        let write =
            [StatusWrite { kind: DeclarationKind::Window, name: "w".into(), spec_version, status_version, value }];
        self.send(name, driver::transaction_conditions(&write, fencing_token), driver::transaction_changes(&write))
    }

    fn change_declaration(&mut self, change: Change) {
        self.store.apply_if(&[], &[change]).unwrap();
    }
}

fn shard(record: &JobRecord, version: u64, attempt: u64) -> ShardWrite {
    let tasks = vec![StoredTask::Bound(attempt, "host-000001".into())];
    let shard = ShardValue { first_task: 0, version, is_part: false, tasks };
    ShardWrite { job: record.spec.id.clone(), shard, split_off: Vec::new() }
}

#[test]
fn late_copies_are_rejected_or_change_nothing() {
    let mut lifecycle = Lifecycle::default();
    let jobs: Vec<Arc<JobRecord>> = (1..=4).map(record).collect();
    lifecycle.acquire_lease("a holds the lease");
    let fencing_token = lifecycle.become_leader("a leads");
    // A job of an earlier build is adopted.
    let old = serde_json::to_value(&*jobs[3]).unwrap();
    let version = lifecycle.store.apply_if(&[], &[Change::write(old_job_key(&jobs[3].spec.id), old)]).unwrap();
    lifecycle.send_job_transaction("adoption", job_transactions::adopt_job(&jobs[3], version));
    let (condition, change) = mark_upgraded(true);
    lifecycle.send("upgraded", [condition], [change]);

    lifecycle.send_job_transaction("acceptance", job_transactions::accept_job(&jobs[0], true));
    let placed = lifecycle.send_batch("first placement", fencing_token, vec![], vec![shard(&jobs[0], 0, 1)]);
    let placed = lifecycle.send_batch("next placement", fencing_token, vec![], vec![shard(&jobs[0], placed, 2)]);
    lifecycle.send_job_transaction("second acceptance", job_transactions::accept_job(&jobs[1], true));
    lifecycle.send_batch("placement of the second job", fencing_token, vec![], vec![shard(&jobs[1], 0, 1)]);
    lifecycle.send_job_transaction("cancellation", job_transactions::cancel_job(&jobs[1], None, 5, usize::MAX));
    lifecycle.send_batch("update of the first job", fencing_token, vec![], vec![shard(&jobs[0], placed, 3)]);
    lifecycle.send_batch("end", fencing_token, vec![jobs[0].clone()], vec![]);
    let drops = jobs[..2].iter().map(|job| (job.spec.id.clone(), 0)).collect::<Vec<_>>();
    let (conditions, changes) = shard_drops(&drops, fencing_token);
    lifecycle.send("shards dropped", conditions, changes);
    lifecycle.send_job_transaction("third acceptance", job_transactions::accept_job(&jobs[2], true));

    // An order of an earlier token, whose key is deleted, and one of the current token, which is marked as done.
    let order = |n| CloudOrder::new("me", fencing_token, n, CloudAction::Terminate(vec![format!("m{n}")]));
    let (earlier, current) = (order(1), order(2));
    lifecycle.send("order", earlier.conditions(fencing_token), [earlier.change()]);
    let fencing_token = lifecycle.become_leader("a leads under the next token");
    lifecycle.send("next order", current.conditions(fencing_token), [current.change()]);
    let write_tokens = HashMap::from([(current.key.clone(), fencing_token)]);
    for (clean_up, key) in [("order cleaned up", earlier.key), ("order marked as done", current.key)] {
        let OrderCleanUp { conditions, changes } = OrderCleanUp::new(&[key], &write_tokens, fencing_token);
        lifecycle.send(clean_up, conditions, changes);
    }

    // A status whose spec is written, removed and created again under the same name.
    lifecycle.change_declaration(Change::write(spec_key(DeclarationKind::Window, "w"), json!(1)));
    lifecycle.write_status("first status", fencing_token, Some(json!(1)));
    lifecycle.write_status("next status", fencing_token, Some(json!(2)));
    lifecycle.change_declaration(Change::Drop { drop: spec_key(DeclarationKind::Window, "w") });
    lifecycle.write_status("status dropped", fencing_token, None);
    lifecycle.change_declaration(Change::write(spec_key(DeclarationKind::Window, "w"), json!(1)));
    lifecycle.write_status("first status of the new spec", fencing_token, Some(json!(1)));

    let takeover_request = TakeoverRequest { node: "b".into(), fencing_token, machines: 2 };
    let (conditions, changes) = takeover_request.transaction();
    lifecycle.send("takeover request", conditions, changes);

    // Data that the store has lost is restored.
    lifecycle.store.lose_newest_keys("h/d/", 1);
    lifecycle.send_job_transaction("end restored", restore_end(&jobs[0], End::Done, 9, usize::MAX));
    lifecycle.store.lose_newest_keys(&open_key(&jobs[2].spec.id), 1);
    lifecycle.send_job_transaction("job restored", job_transactions::accept_job(&jobs[2], true));

    let fencing_token = lifecycle.become_leader("a leads under a higher token");
    // A late lease acquisition is rejected once the lease that it is attached to has ended
    // (`membership::election::tests::late`).
    lifecycle.sent.retain(|(name, ..)| *name != "a holds the lease");
    let (condition, change) = lease_removal(lifecycle.store.version(LEASE_HOLDER_KEY));
    lifecycle.send("expiry", [condition], [change]);
    lifecycle.acquire_lease("b holds the lease");
    lifecycle.become_leader("b leads");
    lifecycle.applied_copies.clear();
    let new_token = lifecycle.store.version(LEADER_RECORD_KEY);
    assert!(new_token > fencing_token);
    lifecycle.send_batch("placement by b", new_token, vec![], vec![shard(&jobs[2], 0, 1)]);
    assert!(
        lifecycle.applied_copies.is_empty(),
        "late copies of an earlier leader's transactions are applied: {:?}",
        lifecycle.applied_copies
    );
    assert!(lifecycle.replayed_copies > 300, "{}", lifecycle.replayed_copies);
}

/// A job whose end the store has lost is restored and placed again. A late copy of the earlier shard drop used to
/// delete the new bindings, so that a succeeding leader would have placed the tasks a second time.
#[test]
fn late_shard_drop_deletes_no_bindings_of_a_restored_job() {
    let (mut store, job, fencing_token) = (Store::default(), record(1), 1);
    store.apply_if(&[], &[Change::write(LEADER_RECORD_KEY, json!("a"))]).unwrap();
    let accept = job_transactions::accept_job(&job, false);
    let place = |version| CommitBatch {
        ends: vec![],
        shards: vec![shard(&job, version, 1)],
        at_ms: 5,
        max_value_bytes: usize::MAX,
    };
    let end = CommitBatch { ends: vec![job.clone()], shards: vec![], at_ms: 5, max_value_bytes: usize::MAX };
    store.apply_if(&accept.conditions, &accept.changes).unwrap();
    store.apply_if(&place(0).conditions(fencing_token), &place(0).changes()).unwrap();
    store.apply_if(&end.conditions(fencing_token), &end.changes()).unwrap();
    let drops = vec![(job.spec.id.clone(), 0)];
    let (conditions, changes) = shard_drops(&drops, fencing_token);
    store.apply_if(&conditions, &changes).unwrap();
    // The end is lost, and the job is restored by the controller that accepted it and has not learned of its end.
    assert_eq!(store.lose_newest_keys("h/d/", 1).len(), 1);
    store.apply_if(&accept.conditions, &accept.changes).unwrap();
    store.apply_if(&place(0).conditions(fencing_token), &place(0).changes()).unwrap();
    let rejection = store.apply_if(&conditions, &changes).unwrap_err();
    assert!(store.has(&shard_key(&job.spec.id, 0)), "the new bindings are kept");
    // The rejected drop is not retried forever: the others of the same batch are retried without it.
    let other = ("run-000002".into(), 3);
    assert_eq!(remaining_drops(vec![drops[0].clone(), other], &rejection.failed), [("run-000002".into(), 3)]);
}
