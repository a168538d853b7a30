use super::*;
use serde_json::json;

const START: Duration = Duration::ZERO;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn write(key: &str, permit: Option<u64>) -> Change {
    Change::Write { write: key.into(), value: json!({"v": key}), permit }
}

fn limited() -> Store {
    Store::new(Limits { requests_per_second: 10.0, changes_per_second: 4.0, value_kb: 1.0, txn_ops: 3 })
}

fn transact(store: &mut Store, changes: &[Change], now: Duration) -> Result<Result<u64, FailedConditions>, Refusal> {
    store.compare_and_swap(&CompareAndSwap::new(&[], changes), now)
}

/// Transactions by the rules of the protocol, one case per row.
#[test]
fn transaction_applies_or_fails_by_case() {
    let big = Change::write("a", json!("x".repeat(1100)));
    let at = |version| Condition::at("a", version);
    type Row<'a> = (&'a str, Vec<Condition>, Vec<Change>, Result<Result<u64, &'a [&'a str]>, u16>);
    let rows: Vec<Row> = vec![
        ("condition holds", vec![at(1)], vec![write("b", None)], Ok(Ok(2))),
        ("key changed since", vec![at(9)], vec![write("b", None)], Ok(Err(&["a"]))),
        (
            "key exists that must be absent",
            vec![at(0), Condition::absent("z")],
            vec![write("b", None)],
            Ok(Err(&["a"])),
        ),
        ("conditions without changes", vec![at(1)], vec![], Ok(Ok(1))),
        ("all changes at one revision", vec![], vec![write("b", None), write("c", None)], Ok(Ok(2))),
        ("too many changes", vec![], vec![write("b", None); 4], Err(400)),
        ("too many conditions", vec![at(1); 13], vec![], Err(400)),
        ("as many as permitted", vec![at(1); 12], vec![write("b", None); 3], Ok(Ok(2))),
        ("value above the limit", vec![], vec![big], Err(400)),
        ("key with a space", vec![], vec![write("b c", None)], Err(400)),
        ("key too long", vec![], vec![write(&"k".repeat(201), None)], Err(400)),
        ("empty key", vec![Condition::absent("")], vec![], Err(400)),
        ("unknown lease, although a condition fails", vec![at(9)], vec![write("b", Some(7))], Err(400)),
    ];
    for (name, conditions, changes, want) in rows {
        let mut store = limited();
        transact(&mut store, &[write("a", None)], START).unwrap().unwrap();
        let got = store.compare_and_swap(&CompareAndSwap::new(&conditions, &changes), START + s(1.0));
        let got = got.as_ref().map(|r| r.as_ref().map(|n| *n).map_err(|f| f.failed.as_slice()));
        match (&got, &want) {
            (Ok(Err(failed)), Ok(Err(keys))) => assert_eq!(failed, keys, "{name}"),
            (Ok(Ok(at)), Ok(Ok(version))) => {
                assert_eq!(at, version, "{name}");
                assert!(changes.iter().all(|_| store.version("b") == *version), "{name}: one version for all changes");
            }
            (Err(refusal), Err(status)) => assert_eq!(refusal.status(), *status, "{name}"),
            _ => panic!("{name}: {got:?}"),
        }
    }
}

#[test]
fn rate_limits_of_requests_and_changes_allow_bursts_of_one_second() {
    let mut store = limited();
    let served = (0..20).filter(|_| store.admit("n", START).is_ok()).count();
    assert_eq!((served, store.admit("n", START)), (10, Err(Refusal::TooMany)));
    assert!(store.admit("n", START + s(0.1)).is_ok(), "one more request after 0.1 s");
    assert!(transact(&mut store, &[write("a", None), write("b", None)], START).is_ok());
    // A transaction whose conditions fail counts against the limit of changes as well.
    let wrong = [Condition::at("a", 99)];
    assert!(
        store
            .compare_and_swap(&CompareAndSwap::new(&wrong, &[write("c", None), write("d", None)]), START)
            .unwrap()
            .is_err()
    );
    assert_eq!(transact(&mut store, &[write("c", None)], START).unwrap_err(), Refusal::TooMany);
    assert!(
        store.compare_and_swap(&CompareAndSwap::new(&wrong, &[]), START).unwrap().is_err(),
        "a transaction without changes does not count against the limit of changes"
    );
    assert!(transact(&mut store, &[write("c", None)], START + s(0.25)).is_ok());
}

#[test]
fn lease_expiry_deletes_keys_and_an_outage_restarts_the_lease_time() {
    let mut store = Store::default();
    assert_eq!([99, 600_001].map(|ms| store.grant(ms, START).is_err()), [true; 2]);
    let permit = store.grant(1000, START).unwrap();
    transact(&mut store, &[write("kept", Some(permit)), write("freed", Some(permit)), write("other", None)], START)
        .unwrap()
        .unwrap();
    transact(&mut store, &[write("freed", None)], START).unwrap().unwrap();
    store.renew(permit, s(0.9)).unwrap();
    store.expire_leases(s(1.8));
    assert!(store.has("kept"), "renewed");
    store.set_outage(true, s(1.85));
    assert_eq!(store.admit("n", s(30.0)), Err(Refusal::Unavailable));
    store.set_outage(false, s(60.0));
    store.expire_leases(s(60.9));
    assert!(store.has("kept"), "the outage restarted the full time to live");
    store.expire_leases(s(61.0));
    assert!(!store.has("kept") && store.has("freed") && store.has("other"));
    assert_eq!(store.renew(permit, s(61.0)), Err(Refusal::Absent));
    assert_eq!(transact(&mut store, &[write("late", Some(permit))], s(61.0)), Err(Refusal::LeaseExpired));
    let changes = store.watch("kept", 1).unwrap();
    assert_eq!(
        changes.log.last().and_then(|e| e.drop.as_deref()),
        Some("kept"),
        "watches must report the deletion by lease expiry"
    );
    let next = store.grant(1000, s(61.0)).unwrap();
    transact(&mut store, &[write("short", Some(next))], s(61.0)).unwrap().unwrap();
    store.release(next).unwrap();
    assert!(!store.has("short") && store.release(next) == Err(Refusal::Absent));
}

#[test]
fn watch_returns_logged_changes_and_fails_before_the_log() {
    let mut store = Store::default();
    for n in 0..MAX_LOG_LENGTH + 5 {
        let key = format!("{}/{n}", if n.is_multiple_of(2) { "even" } else { "odd" });
        transact(&mut store, &[Change::write(key, json!(n))], START).unwrap().unwrap();
    }
    assert_eq!(store.watch("even/", 4).unwrap_err(), Refusal::TooOld);
    let changes = store.watch("even/", 5).unwrap();
    assert_eq!((changes.log.len(), changes.revision), (MAX_LOG_LENGTH / 2, store.revision()));
    assert!(changes.log.iter().all(|e| e.path().starts_with("even/")));
    assert!(store.watch("", store.revision()).unwrap().log.is_empty());
}

#[test]
fn listing_pages_are_ordered_and_bounded() {
    let mut store = Store::default();
    let large = json!("x".repeat(4000));
    for n in 0..1500 {
        let value = if n < 200 { large.clone() } else { json!(n) };
        transact(&mut store, &[Change::write(format!("k/{n:04}"), value)], START).unwrap().unwrap();
    }
    let (mut since, mut seen, mut pages) = (String::new(), Vec::new(), 0);
    loop {
        let page = store.page("k/", &since, 5000);
        assert!(page.items.len() <= MAX_PAGE_ITEMS);
        let bytes: usize = page.items.iter().map(|i| json_size(&i.value)).sum();
        assert!(bytes <= MAX_PAGE_BYTES);
        seen.extend(page.items.iter().map(|i| i.path.clone()));
        pages += 1;
        if !page.more {
            break;
        }
        since = page.items.last().unwrap().path.clone();
    }
    assert_eq!((seen.len(), seen.is_sorted()), (1500, true));
    assert!(pages >= 3, "{pages}");
    assert!(store.page("none/", "", 10).items.is_empty());
    assert_eq!(store.get("none/"), Err(Refusal::Absent));
}

#[test]
fn refused_node_is_unavailable_while_others_are_served_and_its_leases_expire() {
    let mut store = Store::default();
    let permit = store.grant(500, START).unwrap();
    transact(&mut store, &[write("lead", Some(permit))], START).unwrap().unwrap();
    store.set_refused("a", true);
    assert_eq!((store.admit("a", s(0.1)), store.admit("b", s(0.1))), (Err(Refusal::Unavailable), Ok(())));
    assert!(store.admit("b", s(0.6)).is_ok());
    assert!(!store.has("lead"), "leases of a refused node must expire");
    store.set_refused("a", false);
    assert!(store.admit("a", s(0.7)).is_ok());
}
