//! The life of a few jobs, orders and statuses, each transaction made by what makes it in a controller, and
//! a copy of each of them that comes after every newer one: it is refused, or it changes nothing.

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
use crate::scheduling::cluster::ShardWrite;
use crate::scheduling::commit::{CommitBatch, remaining_drops, shard_drops};
use crate::store::{Change, Condition};

/// Copies of these may be taken: what they write stands already, or whoever reads it judges for himself.
const TAKEN: [&str; 4] = ["plea", "chunks dropped", "order cleaned up", "order marked as done"];

fn record(n: u64) -> Arc<JobRecord> {
    let id: JobId = format!("run-{n:06}").as_str().into();
    Arc::new(JobRecord { spec: JobSpec { id, ..spec() }, at_ms: 1 })
}

#[derive(Default)]
struct Life {
    store: Store,
    sent: Vec<(&'static str, Vec<Condition>, Vec<Change>)>,
    compared: usize,
    taken: Vec<&'static str>,
}

impl Life {
    /// Sends one, and then a copy of each that was sent before it, and of itself.
    fn send(
        &mut self,
        name: &'static str,
        conditions: impl Into<Vec<Condition>>,
        changes: impl Into<Vec<Change>>,
    ) -> u64 {
        let (conditions, changes) = (conditions.into(), changes.into());
        assert!(conditions.len() <= 4 * changes.len(), "{name}: the service takes four a change");
        let version =
            self.store.apply_if(&conditions, &changes).unwrap_or_else(|refused| panic!("{name}: {refused:?}"));
        self.sent.push((name, conditions, changes));
        for (late, conditions, changes) in &self.sent {
            self.compared += 1;
            if !self.store.compare(conditions).is_empty() {
                continue;
            }
            assert!(TAKEN.contains(late), "{late} is taken once more after {name}");
            self.taken.push(*late);
            for change in changes {
                match change {
                    Change::Drop { drop } => assert!(!self.store.has(drop), "{late} after {name} takes {drop}"),
                    Change::Write { write, value, .. } => {
                        assert_eq!(self.store.value(write), Some(value), "{late} after {name} changes {write}");
                    }
                }
            }
        }
        version
    }

    fn send_move(&mut self, name: &'static str, sent: JobTransaction) -> u64 {
        self.send(name, sent.conditions, sent.changes)
    }

    fn batch(
        &mut self,
        name: &'static str,
        fencing_token: u64,
        ends: Vec<Arc<JobRecord>>,
        shards: Vec<ShardWrite>,
    ) -> u64 {
        let batch = CommitBatch { ends, shards, at_ms: 5 };
        self.send(name, batch.conditions(fencing_token), batch.changes())
    }

    fn become_leader(&mut self, name: &'static str) -> u64 {
        let me = LeaderRecord { node: "a".into(), incarnation: name.into(), teams: Vec::new() };
        let (conditions, change) =
            leader_record_write(&me, self.store.version(LEASE_HOLDER_KEY), self.store.version(LEADER_RECORD_KEY));
        self.send(name, conditions, [change])
    }

    fn take_lease(&mut self, name: &'static str) {
        let lease = self.store.grant(3000, std::time::Duration::ZERO).unwrap();
        let me = LeaseHolder { node: "a".into(), incarnation: name.into() };
        let (condition, change) = lease_acquisition(&me, lease);
        self.send(name, [condition], [change]);
    }

    fn status(&mut self, name: &'static str, fencing_token: u64, value: Option<serde_json::Value>) -> u64 {
        let version = |key: String| self.store.version(&key);
        let (spec_version, status_version) =
            (version(spec_key(DeclarationKind::Window, "w")), version(status_key(DeclarationKind::Window, "w")));
        let write =
            [StatusWrite { kind: DeclarationKind::Window, name: "w".into(), spec_version, status_version, value }];
        self.send(name, driver::conditions(&write, fencing_token), driver::changes(&write))
    }

    fn declare(&mut self, change: Change) {
        self.store.apply_if(&[], &[change]).unwrap();
    }
}

fn shard(record: &JobRecord, version: u64, attempt: u64) -> ShardWrite {
    let tasks = vec![StoredTask::Bound(attempt, "host-000001".into())];
    ShardWrite { job: record.spec.id.clone(), shard: 0, version, tasks }
}

#[test]
fn every_late_copy_is_refused_or_changes_nothing() {
    let mut life = Life::default();
    let jobs: Vec<Arc<JobRecord>> = (1..=4).map(record).collect();
    life.take_lease("a holds the lease");
    let fencing_token = life.become_leader("a leads");
    // An earlier build's job, taken over.
    let old = serde_json::to_value(&*jobs[3]).unwrap();
    let version = life.store.apply_if(&[], &[Change::write(old_job_key(&jobs[3].spec.id), old)]).unwrap();
    life.send_move("adoption", job_transactions::adopt_job(&jobs[3], version));
    let (condition, change) = mark_upgraded(true);
    life.send("upgraded", [condition], [change]);

    life.send_move("acceptance", job_transactions::accept_job(&jobs[0], true));
    let placed = life.batch("first placement", fencing_token, vec![], vec![shard(&jobs[0], 0, 1)]);
    let placed = life.batch("next placement", fencing_token, vec![], vec![shard(&jobs[0], placed, 2)]);
    life.send_move("second acceptance", job_transactions::accept_job(&jobs[1], true));
    life.batch("placement beside it", fencing_token, vec![], vec![shard(&jobs[1], 0, 1)]);
    life.send_move("withdrawal", job_transactions::cancel_job(&jobs[1], None, 5));
    life.batch("news of the first", fencing_token, vec![], vec![shard(&jobs[0], placed, 3)]);
    life.batch("done", fencing_token, vec![jobs[0].clone()], vec![]);
    let drops = jobs[..2].iter().map(|job| (job.spec.id.clone(), 0)).collect::<Vec<_>>();
    let (conditions, changes) = shard_drops(&drops, fencing_token);
    life.send("chunks dropped", conditions, changes);
    life.send_move("third acceptance", job_transactions::accept_job(&jobs[2], true));

    // An order of which one try was not answered, and one of which all were.
    for (n, name, cleaned, unsure) in
        [(1, "order", "order marked as done", true), (2, "next order", "order cleaned up", false)]
    {
        let order = CloudOrder::new("me", fencing_token, n, CloudAction::Terminate(vec![format!("m{n}")]));
        life.send(name, order.conditions(fencing_token), [order.change()]);
        let late: HashMap<String, u64> = unsure.then(|| (order.key.clone(), fencing_token)).into_iter().collect();
        let OrderCleanUp { conditions, changes } =
            OrderCleanUp::new(std::slice::from_ref(&order.key), &late, fencing_token);
        if !unsure {
            // Every try was answered, so none comes late.
            life.sent.retain(|(sent, ..)| *sent != name);
        }
        life.send(cleaned, conditions, changes);
    }

    // A status, and its spec written, removed and made anew under its name.
    life.declare(Change::write(spec_key(DeclarationKind::Window, "w"), json!(1)));
    life.status("first status", fencing_token, Some(json!(1)));
    life.status("next status", fencing_token, Some(json!(2)));
    life.declare(Change::Drop { drop: spec_key(DeclarationKind::Window, "w") });
    life.status("status dropped", fencing_token, None);
    life.declare(Change::write(spec_key(DeclarationKind::Window, "w"), json!(1)));
    life.status("first status of the next", fencing_token, Some(json!(1)));

    let takeover_request = TakeoverRequest { node: "b".into(), fencing_token, machines: 2 };
    let (conditions, changes) = takeover_request.transaction();
    life.send("plea", conditions, changes);

    // What the store has lost is put back.
    life.store.vanish("h/d/", 1);
    life.send_move("end put back", restore_end(&jobs[0], End::Done, 9));
    life.store.vanish(&open_key(&jobs[2].spec.id), 1);
    life.send_move("job put back", job_transactions::accept_job(&jobs[2], true));

    let fencing_token = life.become_leader("a leads under a higher token");
    // A candidacy is refused once the lease that it hangs on is over (`membership::late`).
    life.sent.retain(|(name, ..)| *name != "a holds the lease");
    let (condition, change) = lease_removal(life.store.version(LEASE_HOLDER_KEY));
    life.send("expiry", [condition], [change]);
    life.take_lease("b holds the lease");
    life.become_leader("b leads");
    life.taken.clear();
    let third = life.store.version(LEADER_RECORD_KEY);
    assert!(third > fencing_token);
    life.batch("placement by b", third, vec![], vec![shard(&jobs[2], 0, 1)]);
    assert!(life.taken.is_empty(), "nothing of an earlier leader is taken any more: {:?}", life.taken);
    assert!(life.compared > 300, "{}", life.compared);
}

/// A job whose end the store has lost is put back and placed again: a copy of the drop from before took what
/// was bound since, and a successor would have placed it a second time.
#[test]
fn a_late_drop_of_shards_takes_nothing_of_a_job_that_was_put_back() {
    let (mut store, job, fencing_token) = (Store::default(), record(1), 1);
    store.apply_if(&[], &[Change::write(LEADER_RECORD_KEY, json!("a"))]).unwrap();
    let accept = job_transactions::accept_job(&job, false);
    let place = |version| CommitBatch { ends: vec![], shards: vec![shard(&job, version, 1)], at_ms: 5 };
    let end = CommitBatch { ends: vec![job.clone()], shards: vec![], at_ms: 5 };
    store.apply_if(&accept.conditions, &accept.changes).unwrap();
    store.apply_if(&place(0).conditions(fencing_token), &place(0).changes()).unwrap();
    store.apply_if(&end.conditions(fencing_token), &end.changes()).unwrap();
    let drops = vec![(job.spec.id.clone(), 0)];
    let (conditions, changes) = shard_drops(&drops, fencing_token);
    store.apply_if(&conditions, &changes).unwrap();
    // Lost, and put back by whoever had accepted it and has not heard of its end.
    assert_eq!(store.vanish("h/d/", 1).len(), 1);
    store.apply_if(&accept.conditions, &accept.changes).unwrap();
    store.apply_if(&place(0).conditions(fencing_token), &place(0).changes()).unwrap();
    let refused = store.apply_if(&conditions, &changes).unwrap_err();
    assert!(store.has(&shard_key(&job.spec.id, 0)), "what is bound stands");
    // And it is not tried for ever: the rest of what was refused together goes without it.
    let rest = ("run-000002".into(), 3);
    assert_eq!(remaining_drops(vec![drops[0].clone(), rest], &refused.failed), [("run-000002".into(), 3)]);
}
