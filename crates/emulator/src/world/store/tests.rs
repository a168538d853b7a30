use super::*;
use serde_json::json;

const T: Duration = Duration::ZERO;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn write(key: &str, permit: Option<u64>) -> Change {
    Change::Write { write: key.into(), value: json!({"v": key}), permit }
}

fn limited() -> Store {
    Store::new(Limits { requests_per_second: 10.0, changes_per_second: 4.0, value_kb: 1.0, txn_ops: 3 })
}

fn put(store: &mut Store, changes: &[Change], now: Duration) -> Result<Result<u64, FailedConditions>, Refusal> {
    store.compare_and_swap(&CompareAndSwap::new(&[], changes), now)
}

/// What the protocol says of transactions, a line a row.
#[test]
fn transactions_by_cases() {
    let big = Change::write("a", json!("x".repeat(1100)));
    let at = |version| Condition::at("a", version);
    type Row<'a> = (&'a str, Vec<Condition>, Vec<Change>, Result<Result<u64, &'a [&'a str]>, u16>);
    let rows: Vec<Row> = vec![
        ("a key as it is", vec![at(1)], vec![write("b", None)], Ok(Ok(2))),
        ("changed since", vec![at(9)], vec![write("b", None)], Ok(Err(&["a"]))),
        ("absent asked, there", vec![at(0), Condition::absent("z")], vec![write("b", None)], Ok(Err(&["a"]))),
        ("compares only", vec![at(1)], vec![], Ok(Ok(1))),
        ("all at one revision", vec![], vec![write("b", None), write("c", None)], Ok(Ok(2))),
        ("too many changes", vec![], vec![write("b", None); 4], Err(400)),
        ("too many conditions", vec![at(1); 13], vec![], Err(400)),
        ("as many as may be", vec![at(1); 12], vec![write("b", None); 3], Ok(Ok(2))),
        ("a value above the limit", vec![], vec![big], Err(400)),
        ("a key with a space", vec![], vec![write("b c", None)], Err(400)),
        ("a key too long", vec![], vec![write(&"k".repeat(201), None)], Err(400)),
        ("no key", vec![Condition::absent("")], vec![], Err(400)),
        ("a lease that is over, whatever the conditions", vec![at(9)], vec![write("b", Some(7))], Err(400)),
    ];
    for (name, conditions, changes, want) in rows {
        let mut store = limited();
        put(&mut store, &[write("a", None)], T).unwrap().unwrap();
        let got = store.compare_and_swap(&CompareAndSwap::new(&conditions, &changes), T + s(1.0));
        let got = got.as_ref().map(|r| r.as_ref().map(|n| *n).map_err(|f| f.failed.as_slice()));
        match (&got, &want) {
            (Ok(Err(failed)), Ok(Err(keys))) => assert_eq!(failed, keys, "{name}"),
            (Ok(Ok(at)), Ok(Ok(version))) => {
                assert_eq!(at, version, "{name}");
                assert!(changes.iter().all(|_| store.version("b") == *version), "{name}: one stamp");
            }
            (Err(refusal), Err(status)) => assert_eq!(refusal.status(), *status, "{name}"),
            _ => panic!("{name}: {got:?}"),
        }
    }
}

#[test]
fn limits_count_requests_and_changes_with_bursts_of_a_second() {
    let mut store = limited();
    let served = (0..20).filter(|_| store.admit("n", T).is_ok()).count();
    assert_eq!((served, store.admit("n", T)), (10, Err(Refusal::TooMany)));
    assert!(store.admit("n", T + s(0.1)).is_ok(), "one more after a tenth of a second");
    assert!(put(&mut store, &[write("a", None), write("b", None)], T).is_ok());
    // A transaction whose conditions fail counts as well.
    let wrong = [Condition::at("a", 99)];
    assert!(
        store
            .compare_and_swap(&CompareAndSwap::new(&wrong, &[write("c", None), write("d", None)]), T)
            .unwrap()
            .is_err()
    );
    assert_eq!(put(&mut store, &[write("c", None)], T).unwrap_err(), Refusal::TooMany);
    assert!(
        store.compare_and_swap(&CompareAndSwap::new(&wrong, &[]), T).unwrap().is_err(),
        "a comparison costs no change"
    );
    assert!(put(&mut store, &[write("c", None)], T + s(0.25)).is_ok());
}

#[test]
fn leases_hold_keys_and_have_their_time_again_after_an_outage() {
    let mut store = Store::default();
    assert_eq!([99, 600_001].map(|ms| store.grant(ms, T).is_err()), [true; 2]);
    let permit = store.grant(1000, T).unwrap();
    put(&mut store, &[write("kept", Some(permit)), write("freed", Some(permit)), write("other", None)], T)
        .unwrap()
        .unwrap();
    put(&mut store, &[write("freed", None)], T).unwrap().unwrap();
    store.renew(permit, s(0.9)).unwrap();
    store.expire_leases(s(1.8));
    assert!(store.has("kept"), "renewed");
    store.set_outage(true, s(1.85));
    assert_eq!(store.admit("n", s(30.0)), Err(Refusal::Unavailable));
    store.set_outage(false, s(60.0));
    store.expire_leases(s(60.9));
    assert!(store.has("kept"), "its full time again");
    store.expire_leases(s(61.0));
    assert!(!store.has("kept") && store.has("freed") && store.has("other"));
    assert_eq!(store.renew(permit, s(61.0)), Err(Refusal::Absent));
    assert_eq!(put(&mut store, &[write("late", Some(permit))], s(61.0)), Err(Refusal::LeaseExpired));
    let told = store.watch("kept", 1).unwrap();
    assert_eq!(told.log.last().and_then(|e| e.drop.as_deref()), Some("kept"), "watches hear of it");
    let next = store.grant(1000, s(61.0)).unwrap();
    put(&mut store, &[write("short", Some(next))], s(61.0)).unwrap().unwrap();
    store.release(next).unwrap();
    assert!(!store.has("short") && store.release(next) == Err(Refusal::Absent));
}

#[test]
fn watches_tell_what_is_kept_and_say_when_it_is_not() {
    let mut store = Store::default();
    for n in 0..MAX_LOG_LENGTH + 5 {
        let key = format!("{}/{n}", if n.is_multiple_of(2) { "even" } else { "odd" });
        put(&mut store, &[Change::write(key, json!(n))], T).unwrap().unwrap();
    }
    assert_eq!(store.watch("even/", 4).unwrap_err(), Refusal::TooOld);
    let told = store.watch("even/", 5).unwrap();
    assert_eq!((told.log.len(), told.revision), (MAX_LOG_LENGTH / 2, store.revision()));
    assert!(told.log.iter().all(|e| e.path().starts_with("even/")));
    assert!(store.watch("", store.revision()).unwrap().log.is_empty());
}

#[test]
fn listings_are_ordered_and_bounded() {
    let mut store = Store::default();
    let large = json!("x".repeat(4000));
    for n in 0..1500 {
        let value = if n < 200 { large.clone() } else { json!(n) };
        put(&mut store, &[Change::write(format!("k/{n:04}"), value)], T).unwrap().unwrap();
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
fn one_node_alone_may_be_refused() {
    let mut store = Store::default();
    let permit = store.grant(500, T).unwrap();
    put(&mut store, &[write("lead", Some(permit))], T).unwrap().unwrap();
    store.set_refused("a", true);
    assert_eq!((store.admit("a", s(0.1)), store.admit("b", s(0.1))), (Err(Refusal::Unavailable), Ok(())));
    assert!(store.admit("b", s(0.6)).is_ok());
    assert!(!store.has("lead"), "its leases run out meanwhile");
    store.set_refused("a", false);
    assert!(store.admit("a", s(0.7)).is_ok());
}
