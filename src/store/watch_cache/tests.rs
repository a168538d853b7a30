use super::*;
use crate::declarations::{DeclarationKind, Versioned};
use crate::jobs::record::JobRecord;
use crate::jobs::record::open_key;
use crate::jobs::tests::spec;
use crate::store::client::{KeyValue, KeyValuePage};
use serde_json::json;

fn opened(n: u64, version: u64) -> WatchEvent {
    let id = format!("run-{n:06}");
    let record = JobRecord { spec: crate::jobs::JobSpec { id: id.as_str().into(), ..spec() }, at_ms: 5 };
    WatchEvent { write: Some(open_key(&id)), drop: None, value: serde_json::to_value(record).unwrap(), version }
}
fn ended(n: u64, version: u64) -> WatchEvent {
    WatchEvent { write: None, drop: Some(open_key(&format!("run-{n:06}"))), value: Value::Null, version }
}
fn response(log: Vec<WatchEvent>, revision: u64) -> WatchResponse {
    WatchResponse { revision, log }
}
fn page(events: Vec<WatchEvent>, revision: u64) -> KeyValuePage {
    let item = |e: WatchEvent| KeyValue { path: e.write.unwrap(), value: e.value, version: e.version };
    KeyValuePage { items: events.into_iter().map(item).collect(), more: false, revision }
}
fn read_whole(watch_cache: &mut WatchCache, pages: Vec<KeyValuePage>) -> CacheChanges {
    let mut loading = watch_cache.begin_reload();
    for page in &pages {
        watch_cache.apply_page(&mut loading, page);
    }
    watch_cache.finish_reload(loading)
}

/// Two watches answer in either order; an older one must not bring back an older state.
#[test]
fn answers_may_overlap_and_come_in_any_order() {
    let mut watch_cache = WatchCache::default();
    read_whole(&mut watch_cache, vec![]);
    watch_cache.apply_watch(&response(vec![opened(1, 1), ended(1, 2), opened(2, 2)], 2));
    let news = watch_cache.apply_watch(&response(vec![opened(1, 1)], 1)).unwrap();
    assert!(news.is_empty());
    assert!(watch_cache.open_job("run-000001").is_none(), "ended");
    assert_eq!((watch_cache.revision(), watch_cache.open_work().jobs), (2, 1));
    assert!(watch_cache.ended_record("run-000001").is_some(), "a new leader needs no reading for it");
}

/// A page that was read before an end must not outlive a watch that has told of the end: the
/// job would stay open here for ever if the reading were response from any later revision.
#[test]
fn a_watch_answered_while_reading_anew_is_passed_over() {
    let mut watch_cache = WatchCache::default();
    read_whole(&mut watch_cache, vec![page(vec![opened(1, 1)], 1)]);
    let mut loading = watch_cache.begin_reload();
    let refused = watch_cache.apply_watch(&response(vec![ended(1, 5)], 5));
    assert!(refused.is_none() && watch_cache.watch_revision().is_none());
    watch_cache.apply_page(&mut loading, &page(vec![opened(1, 1)], 4));
    watch_cache.finish_reload(loading);
    assert_eq!(watch_cache.watch_revision(), Some(4), "response from the first page on");
    assert!(watch_cache.open_job("run-000001").is_some());
    let news = watch_cache.apply_watch(&response(vec![ended(1, 5)], 5)).unwrap();
    assert!(news.ended.len() == 1 && watch_cache.open_job("run-000001").is_none());
}

#[test]
fn reading_anew_finds_what_has_ended_and_holds_no_more_than_is_open() {
    let mut watch_cache = WatchCache::default();
    read_whole(&mut watch_cache, vec![page((0..50).map(|n| opened(n, n + 1)).collect(), 50)]);
    let news =
        read_whole(&mut watch_cache, vec![page(vec![opened(7, 8)], 90), page(vec![opened(8, 9), opened(70, 95)], 96)]);
    assert_eq!(news.ended.len(), 48);
    assert_eq!((watch_cache.open_jobs().count(), watch_cache.open_work().jobs, watch_cache.revision()), (3, 3, 90));
    let control =
        WatchEvent { write: Some("c/upgraded".into()), drop: None, value: json!({"old_kept": false}), version: 9 };
    assert!(watch_cache.may_hold_old_jobs(), "not known yet");
    read_whole(&mut watch_cache, vec![page(vec![control], 97)]);
    assert!(!watch_cache.may_hold_old_jobs());
}

/// Specs and statuses come with the same pages and answers as jobs do, are no jobs, and nobody hears
/// of them as long as there are none.
#[test]
fn what_is_declared_comes_with_the_rest() {
    let write = |path: &str, n: u64, version| WatchEvent {
        write: Some(path.into()),
        drop: None,
        value: json!({"n": n}),
        version,
    };
    let mut watch_cache = WatchCache::default();
    let news = read_whole(&mut watch_cache, vec![page(vec![opened(1, 1)], 1)]);
    let want = CacheChanges { opened: vec![], ended: vec![], leadership: true, declared: false };
    assert_eq!(news, want, "with nothing declared as ever");
    let news = watch_cache.apply_watch(&response(vec![opened(2, 2), ended(1, 3)], 3)).unwrap();
    assert!(!news.declared && news.opened.len() == 1 && news.ended.len() == 1);

    let (spec, status) = ("c/s/window/w", "c/t/window/w");
    let news = watch_cache.apply_watch(&response(vec![write(spec, 1, 4), write(status, 1, 5)], 5)).unwrap();
    assert_eq!(news, CacheChanges { declared: true, ..CacheChanges::default() });
    assert_eq!(
        watch_cache.registry().raw_status(DeclarationKind::Window, "w"),
        Some(Versioned { value: json!({"n": 1}), version: 5 })
    );
    // Read anew, and response from its first page on: what a later page had already is passed over.
    let pages = vec![page(vec![opened(2, 2)], 6), page(vec![write(spec, 1, 4), write(status, 3, 8)], 8)];
    assert!(read_whole(&mut watch_cache, pages).declared);
    watch_cache.apply_watch(&response(vec![write(status, 2, 7), write(status, 3, 8)], 8));
    assert_eq!(
        watch_cache.registry().raw_status(DeclarationKind::Window, "w"),
        Some(Versioned { value: json!({"n": 3}), version: 8 })
    );
    let told: Vec<_> = watch_cache.registry_mut().take_status_changes().into_iter().map(|c| c.after()).collect();
    assert_eq!(told, [Some(json!({"n": 1})), Some(json!({"n": 3}))], "once each");
    let drop = WatchEvent { write: None, drop: Some(spec.into()), value: Value::Null, version: 9 };
    watch_cache.apply_watch(&response(vec![drop], 9));
    assert_eq!(watch_cache.registry().orphaned_statuses().count(), 1, "a status whose spec is gone");
    assert!(read_whole(&mut watch_cache, vec![page(vec![opened(2, 2)], 10)]).declared, "nothing is declared any more");
    assert!(watch_cache.registry().is_empty());
    assert!(!read_whole(&mut watch_cache, vec![page(vec![opened(2, 2)], 11)]).declared);
}

fn written(path: &str, value: Value, version: u64) -> WatchEvent {
    WatchEvent { write: Some(path.into()), drop: None, value, version }
}

fn job_with(id: &str, change: impl FnOnce(&mut crate::jobs::JobSpec)) -> Value {
    let mut spec = crate::jobs::JobSpec { id: id.into(), ..spec() };
    change(&mut spec);
    serde_json::to_value(JobRecord { spec, at_ms: 5 }).unwrap()
}

/// Whatever stands under any of the cached keys, a controller reads the rest; told by a page or by a watch.
#[test]
fn what_cannot_be_read_costs_nothing_but_itself() {
    let nonsense = [json!(null), json!("x"), json!(["x", 2]), json!({}), json!({"node": 7}), json!(-1e300)];
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
        for value in &nonsense {
            let all = [opened(1, 1), written(path, value.clone(), 2), opened(3, 3)];
            let mut paged = WatchCache::default();
            read_whole(&mut paged, vec![page(all.to_vec(), 3)]);
            let mut watched = WatchCache::default();
            read_whole(&mut watched, vec![]);
            watched.apply_watch(&response(all.to_vec(), 3));
            for watch_cache in [&paged, &watched] {
                let open = watch_cache.open_jobs().count();
                assert!(watch_cache.is_ready() && open == 2, "{path} {value}: {open} jobs are read");
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

/// A key that cannot be read has a version all the same, by which it is written over: taken for absent, nobody
/// take the lease or lead any more.
#[test]
fn unreadable_lease_holders_and_leaders_are_known_by_their_version() {
    let mut watch_cache = WatchCache::default();
    read_whole(&mut watch_cache, vec![]);
    assert_eq!(
        (
            watch_cache.lease_holder_version(),
            watch_cache.leader_record_version(),
            watch_cache.unreadable_lease_holder()
        ),
        (0, 0, None)
    );
    watch_cache.apply_watch(&response(vec![written("c/leader", json!(7), 3), written("c/owner/0", json!(7), 4)], 4));
    assert_eq!(
        (
            watch_cache.lease_holder_version(),
            watch_cache.leader_record_version(),
            watch_cache.unreadable_lease_holder()
        ),
        (3, 4, Some(3))
    );
    let lease_holder = json!({"node": "a", "incarnation": "1", "later": true});
    watch_cache.apply_watch(&response(vec![written("c/leader", lease_holder, 5)], 5));
    assert_eq!(
        (watch_cache.lease_holder_version(), watch_cache.unreadable_lease_holder()),
        (5, None),
        "fields of a later build are passed over"
    );
}

/// The mark of an upgrade is written once; unreadable, it was waited for without end.
#[test]
fn an_unreadable_mark_of_an_upgrade_is_a_mark() {
    let mut watch_cache = WatchCache::default();
    let mut loading = watch_cache.begin_reload();
    watch_cache.apply_page(&mut loading, &page(vec![written("c/upgraded", json!("x"), 2)], 2));
    assert!(loading.store_is_upgraded());
    watch_cache.finish_reload(loading);
    assert!(watch_cache.may_hold_old_jobs(), "jobs may stand under the keys of an earlier build");
}

#[test]
fn jobs_that_nobody_could_have_accepted_are_passed_over_by_cases() {
    type Change = fn(&mut crate::jobs::JobSpec);
    let cases: [(&str, Change, bool); 6] = [
        ("as accepted", |_| {}, true),
        ("another's id", |spec| spec.id = "run-000009".into(), false),
        ("more tasks than memory", |spec| spec.tasks = u64::MAX, false),
        ("no task", |spec| spec.tasks = 0, false),
        ("a time that overflows", |spec| spec.estimate_s = 1e300, false),
        ("a time before all times", |spec| spec.due_s = Some(-1.0), false),
    ];
    for (name, change, taken) in cases {
        let mut watch_cache = WatchCache::default();
        read_whole(&mut watch_cache, vec![page(vec![written("c/o/run-000002", job_with("run-000002", change), 2)], 2)]);
        assert_eq!(watch_cache.open_job("run-000002").is_some(), taken, "{name}");
    }
}

/// A watermark ahead of the store would let users hear of cancellations that no leader knows.
#[test]
fn a_stored_watermark_ahead_of_the_store_is_not_believed() {
    for (fencing_token, revision, believed) in
        [(3, 8, true), (3, 9, true), (3, 10, false), (10, 8, false), (3, u64::MAX, false)]
    {
        let mut watch_cache = WatchCache::default();
        let value = json!({"token": fencing_token, "revision": revision});
        read_whole(&mut watch_cache, vec![page(vec![written("c/watermark", value, 9)], 9)]);
        assert_eq!(watch_cache.watermark().is_some(), believed, "{fencing_token} {revision}");
    }
}
