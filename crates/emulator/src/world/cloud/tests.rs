use super::*;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn cloud(change: impl Fn(&mut Params)) -> Cloud {
    let of = MachineType {
        name: "g8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        fetch_gb_per_s: 1.0,
        cache_gb: None,
        price: 3600.0,
        spot_price: 1800.0,
        boot_s: 40.0,
        zones: vec!["a".into()],
    };
    let mut params = Params {
        types: vec![of],
        capacity: vec![Capacity { type_name: "g8".into(), zone: "a".into(), on_demand: 60, spot: 20 }],
        requests_per_second: 3.0,
        list_lag: s(8),
        notice: s(20),
        silent: 0.0,
        never_up: 0.0,
        slow_up: 0.0,
    };
    change(&mut params);
    Cloud::new(params, 7)
}

fn rental(request: &str, spot: bool, count: u64) -> ProvisioningRequest {
    ProvisioningRequest { request: request.into(), type_name: "g8".into(), zone: "a".into(), spot, count }
}

#[test]
fn provisioning_is_granted_partly_granted_or_refused_by_case() {
    let mut cloud = cloud(|_| ());
    let mut of = |rental: &ProvisioningRequest| cloud.provision(rental, s(1)).map(|names| names.len());
    let unknown_type = ProvisioningRequest { type_name: "g9".into(), ..rental("x", false, 1) };
    for (name, rental, want) in [
        ("fully granted", rental("r1", false, 50), Ok(50)),
        ("partly granted", rental("r2", false, 50), Ok(10)),
        ("no capacity left", rental("r3", false, 1), Err((503, "no capacity"))),
        ("spot capacity is separate", rental("r4", true, 5), Ok(5)),
        ("count too large", rental("r5", true, 51), Err((400, "count is 1 to 50"))),
        ("count of zero", rental("r6", true, 0), Err((400, "count is 1 to 50"))),
        ("no such type", unknown_type, Err((400, "no such type"))),
        ("another zone", ProvisioningRequest { zone: "b".into(), ..rental("r7", true, 1) }, Err((503, "no capacity"))),
    ] {
        assert_eq!(of(&rental).map_err(|r| r.status_and_text()), want, "{name}");
    }
    let again = cloud.provision(&rental("r2", false, 50), s(9)).unwrap();
    assert_eq!((again.len(), cloud.count_held(s(9))), (10, 65), "a repeated request provisions nothing");
    cloud.terminate(&again, s(10)).unwrap();
    assert_eq!(
        cloud.provision(&rental("r2", false, 50), s(11)).unwrap(),
        again,
        "also after its machines were terminated"
    );
    // A request that was refused can be repeated under the same name.
    assert_eq!(cloud.provision(&rental("r3", false, 1), s(11)).unwrap().len(), 1);
    assert!(cloud.terminate(&vec!["host-9".to_owned(); 101], s(11)).is_err());
    assert_eq!(cloud.terminate(&["host-999999".to_owned()], s(11)).unwrap(), Vec::<String>::new(), "unknown");
}

#[test]
fn request_limit_allows_bursts_of_two_seconds() {
    let mut cloud = cloud(|_| ());
    assert_eq!((0..10).filter(|_| cloud.admit(s(0)).is_ok()).count(), 6);
    assert_eq!((cloud.admit(s(0)).unwrap_err().status_and_text().0, cloud.admit(s(1))), (429, Ok(())));
    cloud.set_outage(true);
    assert_eq!(cloud.admit(s(5)).unwrap_err().status_and_text(), (503, "trouble"));
}

#[test]
fn boot_times_follow_the_boot_mode_and_the_parameters() {
    type Row = (&'static str, fn(&mut Params), BootMode, std::ops::Range<u64>, usize);
    let rows: [Row; 5] = [
        ("usual", |_| (), BootMode::Usual, 24..60, 50),
        ("at once", |_| (), BootMode::AtOnce, 0..3, 50),
        ("never, by boot mode", |_| (), BootMode::Never, 0..1, 0),
        ("never, by parameter", |p| p.never_up = 1.0, BootMode::Usual, 0..1, 0),
        ("several times as long", |p| p.slow_up = 1.0, BootMode::Usual, 48..361, 50),
    ];
    for (name, change, boots, expected_s, want) in rows {
        let mut cloud = cloud(change);
        cloud.set_boots(boots);
        cloud.provision(&rental("r", false, 50), s(0)).unwrap();
        let boot_times_s: Vec<u64> = (0..600).flat_map(|t| cloud.tick(s(t)).into_iter().map(move |_| t)).collect();
        assert_eq!(boot_times_s.len(), want, "{name}");
        assert!(
            boot_times_s.iter().all(|t| expected_s.contains(&t.saturating_sub(1)) || expected_s.contains(t)),
            "{name}: {boot_times_s:?}"
        );
        // Machines that never finish booting are charged as well.
        assert!((cloud.total_cost() - 50.0 * 599.0).abs() < 1.0, "{name}: {}", cloud.total_cost());
    }
}

#[test]
fn machine_list_lags_and_may_be_older_than_the_previous_one() {
    let mut cloud = cloud(|_| ());
    cloud.set_boots(BootMode::AtOnce);
    let names = cloud.provision(&rental("r", false, 50), s(0)).unwrap();
    assert!(cloud.list("", 500, s(3)).machines.is_empty(), "not listed yet");
    assert_eq!(cloud.list("", 500, s(16)).machines.len(), 50, "listed by twice the lag");
    let ages: Vec<f64> = (16..60).map(|t| cloud.list("", 500, s(t)).machines[0].held_s).collect();
    assert!(!ages.is_sorted(), "some lists must be older than the previous one");
    let (mut since, mut seen) = (String::new(), 0);
    loop {
        let page = cloud.list(&since, 20, s(70));
        seen += page.machines.len();
        since = page.machines.last().unwrap().id.clone();
        if !page.more {
            break;
        }
    }
    assert_eq!(seen, 50, "the pages must list every machine once");
    cloud.kill(&names[0], s(70));
    let state = |cloud: &mut Cloud, t| cloud.list("", 1, s(t)).machines[0].state.clone();
    assert_eq!((state(&mut cloud, 90), state(&mut cloud, 120)), ("running".into(), "failed".into()));
    cloud.tick(s(500));
    assert_eq!(state(&mut cloud, 500), "failed", "a failed machine stays listed until it is terminated");
    cloud.terminate(&names, s(500)).unwrap();
    assert_eq!(
        cloud.list("", 500, s(501)).machines.len(),
        50,
        "terminated machines must still be listed during the lag"
    );
    cloud.tick(s(520));
    assert!(cloud.list("", 500, s(520)).machines.is_empty());
}

#[test]
fn machines_are_charged_by_the_second_until_terminated_or_failed() {
    let mut cloud = cloud(|_| ());
    let names = cloud.provision(&rental("r", false, 3), s(0)).unwrap();
    cloud.terminate(&names[..1], s(10)).unwrap();
    assert!(
        (cloud.total_cost() - 80.0).abs() < 1e-6,
        "3 x 10 s and the rest of the minimum of 60 s: {}",
        cloud.total_cost()
    );
    cloud.kill(&names[1], s(100));
    cloud.tick(s(200));
    assert!(
        (cloud.total_cost() - (80.0 + 2.0 * 90.0 + 100.0)).abs() < 1e-6,
        "a failed machine costs nothing: {}",
        cloud.total_cost()
    );
    let prices: Vec<f64> = (0..1800).map(|t| cloud.catalog(s(t)).types[0].spot_price).collect();
    assert!(prices.iter().all(|p| (1200.0..=2400.0).contains(p)));
    assert!(prices.iter().any(|p| *p > 2300.0) && prices.iter().any(|p| *p < 1300.0), "spot prices must vary");
}

#[test]
fn spot_machines_are_interrupted_with_and_without_notice() {
    let mut notified = cloud(|_| ());
    notified.provision(&rental("r", true, 20), s(0)).unwrap();
    let notices = notified.interrupt_spot_machines(1.0, s(100));
    assert!(notices.iter().all(|e| matches!(e, Event::Notice(_, left) if (s(10)..=s(30)).contains(left))));
    assert_eq!((notices.len(), notified.count_held(s(105))), (20, 20));
    notified.tick(s(109));
    let interrupted = notified.tick(s(131)).into_iter().filter(|e| matches!(e, Event::Interrupted(_))).count();
    assert!(interrupted > 0 && notified.count_held(s(131)) == 0);
    let mut silent = cloud(|p| p.silent = 1.0);
    silent.provision(&rental("r", true, 20), s(0)).unwrap();
    silent.provision(&rental("o", false, 5), s(0)).unwrap();
    assert!(silent.interrupt_spot_machines(1.0, s(100)).is_empty());
    silent.tick(s(100));
    assert_eq!(silent.count_held(s(100)), 5, "on-demand machines must stay");
}
