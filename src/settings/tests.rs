use super::*;

pub const EXAMPLE: &str = r#"{
        "host_name":"node-0","area":"a","api_addr":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "peers":[{"host_name":"node-1","area":"b","endpoint":"127.0.0.1:3"}],
        "endpoints":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
        "params":{"size":3,"zones":["a","b"],
          "teams":[{"name":"red","cpus":8,"cpus_max":20,"gpus":0,"gpus_max":0},
                   {"name":"blue","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
          "objectives":[],
          "workers":{"report_s":3,"lease_s":24,"gang_wait_s":35,"gang_peer_s":8,"cancel_s":49},
          "state":{"rps":100,"write_rps":40,"value_kb":8,"txn_ops":24},
          "cloud":{"rps":8,"list_lag_s":8},
          "resources":{"cores":0.1,"memory_mb":100,"max_sockets":700},"skew_ms":25,"new":1}}"#;

pub fn example() -> Settings {
    Settings::parse(EXAMPLE).unwrap()
}

/// For how long a machine may be held by an owner that has read nothing, so that its lease is over in time.
#[test]
fn what_is_spared_of_a_cancellation_by_cases() {
    for (cancel_s, lease_s, want) in [(49.0, 24.0, 20.0), (56.0, 36.0, 15.0), (20.0, 8.0, 7.0), (30.0, 29.0, 0.0)] {
        let workers = WorkerParams { report_s: 3.0, lease_s, cancel_s };
        assert_eq!(workers.spare(), Duration::from_secs_f64(want), "{cancel_s} and {lease_s}");
        assert!(workers.spare().is_zero() || workers.spare() + workers.lease() < workers.cancel());
    }
}

#[test]
fn errors_name_the_field_and_the_value() {
    assert_eq!(example().params.teams.len(), 2);
    for (from, to, want) in [
        ("127.0.0.1:4", "cloud.example:4", "endpoints.cloud: \"cloud.example:4\""),
        ("\"report_s\":3", "\"report_s\":-3", "params.workers.report_s: -3"),
        ("\"cancel_s\":49", "\"cancel_s\":31", "params.workers.cancel_s: 31 is below 32"),
        ("\"memory_mb\":100", "\"memory_mb\":-1", "params.resources.memory_mb: -1"),
        ("\"txn_ops\":24", "\"txn_ops\":1", "params.state.txn_ops: 1"),
        ("\"cpus_max\":20", "\"cpus_max\":-20", "params.teams.red.cpus_max: -20"),
        ("\"zones\":[\"a\",\"b\"]", "\"zones\":[]", "params.zones"),
        ("\"host_name\":\"node-0\",", "", "host_name"),
    ] {
        let text = EXAMPLE.replacen(from, to, 1);
        let problem = Settings::parse(&text).unwrap_err();
        assert!(problem.contains(want), "{problem}");
    }
}
