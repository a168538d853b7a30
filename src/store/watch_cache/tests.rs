use super::*;
use crate::declarations::{DeclarationKind, Versioned};
use crate::jobs::record::JobRecord;
use crate::jobs::record::open_key;
use crate::jobs::tests::spec;
use crate::store::client::{KeyValue, KeyValuePage};
use serde_json::json;

fn open_event(n: u64, version: u64) -> WatchEvent {
    let id = format!("run-{n:06}");
    let record = JobRecord { spec: crate::jobs::JobSpec { id: id.as_str().into(), ..spec() }, accepted_ms: 5 };
    WatchEvent { write: Some(open_key(&id)), drop: None, value: serde_json::to_value(record).unwrap(), version }
}
fn end_event(n: u64, version: u64) -> WatchEvent {
    WatchEvent { write: None, drop: Some(open_key(&format!("run-{n:06}"))), value: Value::Null, version }
}
fn response(log: Vec<WatchEvent>, revision: u64) -> WatchResponse {
    WatchResponse { revision, log }
}
fn page(events: Vec<WatchEvent>, revision: u64) -> KeyValuePage {
    let item = |e: WatchEvent| KeyValue { path: e.write.unwrap(), value: e.value, version: e.version };
    KeyValuePage { items: events.into_iter().map(item).collect(), more: false, revision }
}
fn reload(watch_cache: &mut WatchCache, pages: Vec<KeyValuePage>) -> CacheChanges {
    let mut cache_reload = watch_cache.begin_reload();
    for page in &pages {
        watch_cache.apply_page(&mut cache_reload, page);
    }
    watch_cache.finish_reload(cache_reload)
}

/// Responses of two watches may arrive in any order; an older response must not restore an older state.
#[test]
fn stale_watch_response_restores_no_older_state() {
    let mut watch_cache = WatchCache::default();
    reload(&mut watch_cache, vec![]);
    watch_cache.apply_watch(&response(vec![open_event(1, 1), end_event(1, 2), open_event(2, 2)], 2));
    let changes = watch_cache.apply_watch(&response(vec![open_event(1, 1)], 1)).unwrap();
    assert!(changes.is_empty());
    assert!(watch_cache.open_job("run-000001").is_none(), "the job has ended");
    assert_eq!((watch_cache.revision(), watch_cache.open_work().jobs), (2, 1));
    assert!(watch_cache.ended_record("run-000001").is_some(), "a new leader needs no read of its record");
}

/// A job end that a watch reports during a reload must not be lost to a page that was read before the end: if the watch
/// continued from any revision later than the first page's, the job would stay open in the cache forever.
#[test]
fn watch_response_during_reload_is_ignored() {
    let mut watch_cache = WatchCache::default();
    reload(&mut watch_cache, vec![page(vec![open_event(1, 1)], 1)]);
    let mut cache_reload = watch_cache.begin_reload();
    let ignored = watch_cache.apply_watch(&response(vec![end_event(1, 5)], 5));
    assert!(ignored.is_none() && watch_cache.watch_revision().is_none());
    watch_cache.apply_page(&mut cache_reload, &page(vec![open_event(1, 1)], 4));
    watch_cache.finish_reload(cache_reload);
    assert_eq!(watch_cache.watch_revision(), Some(4), "the watch continues from the first page");
    assert!(watch_cache.open_job("run-000001").is_some());
    let changes = watch_cache.apply_watch(&response(vec![end_event(1, 5)], 5)).unwrap();
    assert!(changes.ended.len() == 1 && watch_cache.open_job("run-000001").is_none());
}

#[test]
fn reload_detects_ended_jobs_and_keeps_only_open_ones() {
    let mut watch_cache = WatchCache::default();
    reload(&mut watch_cache, vec![page((0..50).map(|n| open_event(n, n + 1)).collect(), 50)]);
    let changes = reload(
        &mut watch_cache,
        vec![page(vec![open_event(7, 8)], 90), page(vec![open_event(8, 9), open_event(70, 95)], 96)],
    );
    assert_eq!(changes.ended.len(), 48);
    assert_eq!((watch_cache.open_jobs().count(), watch_cache.open_work().jobs, watch_cache.revision()), (3, 3, 90));
    let marker =
        WatchEvent { write: Some("c/upgraded".into()), drop: None, value: json!({"old_kept": false}), version: 9 };
    assert!(watch_cache.may_hold_old_jobs(), "unknown before the marker is read");
    reload(&mut watch_cache, vec![page(vec![marker], 97)]);
    assert!(!watch_cache.may_hold_old_jobs());
}

/// Specs and statuses arrive in the same pages and watch responses as jobs. They do not count as jobs, and without any
/// declaration no change of declarations is reported.
#[test]
fn specs_and_statuses_are_cached_from_pages_and_watch_responses() {
    let write = |path: &str, n: u64, version| WatchEvent {
        write: Some(path.into()),
        drop: None,
        value: json!({"n": n}),
        version,
    };
    let mut watch_cache = WatchCache::default();
    let changes = reload(&mut watch_cache, vec![page(vec![open_event(1, 1)], 1)]);
    let expected = CacheChanges { opened: vec![], ended: vec![], leadership: true, declared: false };
    assert_eq!(changes, expected, "no declarations exist");
    let changes = watch_cache.apply_watch(&response(vec![open_event(2, 2), end_event(1, 3)], 3)).unwrap();
    assert!(!changes.declared && changes.opened.len() == 1 && changes.ended.len() == 1);

    let (spec, status) = ("c/s/window/w", "c/t/window/w");
    let changes = watch_cache.apply_watch(&response(vec![write(spec, 1, 4), write(status, 1, 5)], 5)).unwrap();
    assert_eq!(changes, CacheChanges { declared: true, ..CacheChanges::default() });
    assert_eq!(
        watch_cache.registry().raw_status(DeclarationKind::Window, "w"),
        Some(Versioned { value: json!({"n": 1}), version: 5 })
    );
    // After a reload the watch continues from the first page: an event that a later page already included is skipped.
    let pages = vec![page(vec![open_event(2, 2)], 6), page(vec![write(spec, 1, 4), write(status, 3, 8)], 8)];
    assert!(reload(&mut watch_cache, pages).declared);
    watch_cache.apply_watch(&response(vec![write(status, 2, 7), write(status, 3, 8)], 8));
    assert_eq!(
        watch_cache.registry().raw_status(DeclarationKind::Window, "w"),
        Some(Versioned { value: json!({"n": 3}), version: 8 })
    );
    let status_changes: Vec<_> =
        watch_cache.registry_mut().take_status_changes().into_iter().map(|c| c.after()).collect();
    assert_eq!(status_changes, [Some(json!({"n": 1})), Some(json!({"n": 3}))], "each change is reported once");
    let drop = WatchEvent { write: None, drop: Some(spec.into()), value: Value::Null, version: 9 };
    watch_cache.apply_watch(&response(vec![drop], 9));
    assert_eq!(watch_cache.registry().orphaned_statuses().count(), 1, "a status without its spec");
    assert!(reload(&mut watch_cache, vec![page(vec![open_event(2, 2)], 10)]).declared, "all declarations are gone");
    assert!(watch_cache.registry().is_empty());
    assert!(!reload(&mut watch_cache, vec![page(vec![open_event(2, 2)], 11)]).declared);
}

fn written_event(path: &str, value: Value, version: u64) -> WatchEvent {
    WatchEvent { write: Some(path.into()), drop: None, value, version }
}

fn job_with(id: &str, change: impl FnOnce(&mut crate::jobs::JobSpec)) -> Value {
    let mut spec = crate::jobs::JobSpec { id: id.into(), ..spec() };
    change(&mut spec);
    serde_json::to_value(JobRecord { spec, accepted_ms: 5 }).unwrap()
}

/// An undecodable value under any of the cached keys is skipped, and the rest is read, from a page as from a watch.
#[test]
fn undecodable_values_do_not_affect_other_keys() {
    let undecodable = [json!(null), json!("x"), json!(["x", 2]), json!({}), json!({"node": 7}), json!(-1e300)];
    let paths = [
        "c/o/run-000002",
        "c/o/",
        "c/owner/0",
        "c/leader",
        "c/plea",
        "c/watermark",
        "c/s/window/a",
        "c/s/later/a",
        "c/t/heat/a",
        "c/t/",
        "c/zzz",
    ];
    for path in paths {
        for value in &undecodable {
            let events = [open_event(1, 1), written_event(path, value.clone(), 2), open_event(3, 3)];
            let mut paged = WatchCache::default();
            reload(&mut paged, vec![page(events.to_vec(), 3)]);
            let mut watched = WatchCache::default();
            reload(&mut watched, vec![]);
            watched.apply_watch(&response(events.to_vec(), 3));
            for watch_cache in [&paged, &watched] {
                let open_jobs = watch_cache.open_jobs().count();
                assert!(watch_cache.is_ready() && open_jobs == 2, "{path} {value}: {open_jobs} open jobs");
                assert!(
                    watch_cache.lease_holder().is_none()
                        && watch_cache.leader_record().is_none()
                        && watch_cache.takeover_request().is_none()
                );
                assert!(watch_cache.watermark().is_none(), "{path} {value}");
            }
        }
    }
}

/// A key with an undecodable value keeps its version, which is the condition for overwriting it: if it counted as
/// absent, no controller could acquire the lease or lead again.
#[test]
fn undecodable_lease_holder_and_leader_record_keep_their_versions() {
    let mut watch_cache = WatchCache::default();
    reload(&mut watch_cache, vec![]);
    assert_eq!(
        (
            watch_cache.lease_holder_version(),
            watch_cache.leader_record_version(),
            watch_cache.undecodable_lease_holder_version()
        ),
        (0, 0, None)
    );
    watch_cache.apply_watch(&response(
        vec![written_event("c/leader", json!(7), 3), written_event("c/owner/0", json!(7), 4)],
        4,
    ));
    assert_eq!(
        (
            watch_cache.lease_holder_version(),
            watch_cache.leader_record_version(),
            watch_cache.undecodable_lease_holder_version()
        ),
        (3, 4, Some(3))
    );
    let lease_holder = json!({"node": "a", "incarnation": "1", "later": true});
    watch_cache.apply_watch(&response(vec![written_event("c/leader", lease_holder, 5)], 5));
    assert_eq!(
        (watch_cache.lease_holder_version(), watch_cache.undecodable_lease_holder_version()),
        (5, None),
        "fields of a later build are ignored"
    );
}

/// The upgrade marker is written only once: if an undecodable one did not count, controllers would wait for it
/// forever.
#[test]
fn undecodable_upgrade_marker_counts_as_upgraded() {
    let mut watch_cache = WatchCache::default();
    let mut cache_reload = watch_cache.begin_reload();
    watch_cache.apply_page(&mut cache_reload, &page(vec![written_event("c/upgraded", json!("x"), 2)], 2));
    assert!(cache_reload.store_is_upgraded());
    watch_cache.finish_reload(cache_reload);
    assert!(watch_cache.may_hold_old_jobs(), "jobs may exist under the keys of an earlier build");
}

#[test]
fn invalid_open_jobs_are_ignored() {
    type Change = fn(&mut crate::jobs::JobSpec);
    let cases: [(&str, Change, bool); 6] = [
        ("valid job", |_| {}, true),
        ("id of another job", |spec| spec.id = "run-000009".into(), false),
        ("more tasks than fit into memory", |spec| spec.tasks = u64::MAX, false),
        ("no tasks", |spec| spec.tasks = 0, false),
        ("estimate that overflows", |spec| spec.estimate_s = 1e300, false),
        ("negative due time", |spec| spec.due_s = Some(-1.0), false),
    ];
    for (case, change, cached) in cases {
        let mut watch_cache = WatchCache::default();
        reload(
            &mut watch_cache,
            vec![page(vec![written_event("c/o/run-000002", job_with("run-000002", change), 2)], 2)],
        );
        assert_eq!(watch_cache.open_job("run-000002").is_some(), cached, "{case}");
    }
}

/// A watermark ahead of the store would confirm cancellations to users that no leader knows of.
#[test]
fn stored_watermark_ahead_of_the_store_is_ignored() {
    for (fencing_token, revision, valid) in
        [(3, 8, true), (3, 9, true), (3, 10, false), (10, 8, false), (3, u64::MAX, false)]
    {
        let mut watch_cache = WatchCache::default();
        let value = json!({"token": fencing_token, "revision": revision});
        reload(&mut watch_cache, vec![page(vec![written_event("c/watermark", value, 9)], 9)]);
        assert_eq!(watch_cache.watermark().is_some(), valid, "{fencing_token} {revision}");
    }
}

/// Guards against a job that one controller reports as open after another one has reported it as cancelled: what is
/// stored must leave its cancellation unconfirmed, and every leader since must store confirmations first.
#[test]
fn cancellation_is_proven_unconfirmed_only_by_decodable_values_of_leaders_that_store_first() {
    let leader = |stored: Value| {
        let mut record = json!({"node": "a", "incarnation": "1", "teams": []});
        record["stored_confirmations"] = stored;
        written_event("c/owner/0", record, 10)
    };
    let stores_first = || leader(json!({"since": 5}));
    let confirmed = |value: Value| written_event("c/watermark", value, 40);
    let of_revision =
        |through: u64| confirmed(json!({"token": 10, "revision": 12, "through": through, "held": ["run-1"]}));
    // (name, changes, job, revision of the cancellation, whether it is proven unconfirmed)
    for (name, events, id, cancelled_at, proven) in [
        ("nothing confirmed yet", vec![stores_first()], "run-2", 20, true),
        ("after all that is confirmed", vec![stores_first(), of_revision(30)], "run-2", 31, true),
        ("confirmed", vec![stores_first(), of_revision(30)], "run-2", 30, false),
        ("held", vec![stores_first(), of_revision(30)], "run-1", 30, true),
        ("before leaders stored first", vec![stores_first()], "run-2", 5, false),
        ("right after", vec![stores_first()], "run-2", 6, true),
        ("held, from before leaders stored first", vec![stores_first(), of_revision(30)], "run-1", 5, false),
        ("a leader of an earlier build", vec![leader(Value::Null), of_revision(30)], "run-1", 30, false),
        ("no leader known", vec![of_revision(30)], "run-1", 30, false),
        ("undecodable", vec![stores_first(), confirmed(json!(["x"]))], "run-2", 20, false),
        ("ahead of the store", vec![stores_first(), of_revision(41)], "run-2", 50, false),
    ] {
        let mut watch_cache = WatchCache::default();
        reload(&mut watch_cache, vec![]);
        watch_cache.apply_watch(&response(events, 60));
        assert_eq!(watch_cache.is_proven_unconfirmed(id, RevisionBounds::exact(cancelled_at)), proven, "{name}");
    }
}
