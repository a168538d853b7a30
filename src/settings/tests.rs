//! Tests of the validation of settings, and example settings for the tests of other modules.

use super::*;

/// Settings of `node-0` with one peer, two zones, and the teams `red` and `blue`, as the platform writes them.
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

/// Returns [`EXAMPLE`], parsed and validated.
pub fn example() -> Settings {
    Settings::parse(EXAMPLE).unwrap()
}

/// The cancellation slack is how long a leader that has read nothing may still answer a machine's heartbeats, so that
/// the machine's lease ends before the cancellation deadline.
#[test]
fn lease_granted_within_cancellation_slack_ends_before_the_deadline() {
    for (cancel_s, lease_s, want) in [(49.0, 24.0, 20.0), (56.0, 36.0, 15.0), (20.0, 8.0, 7.0), (30.0, 29.0, 0.0)] {
        let workers = WorkerParams { report_s: 3.0, lease_s, cancel_s };
        assert_eq!(workers.cancellation_slack(), Duration::from_secs_f64(want), "{cancel_s} and {lease_s}");
        assert!(
            workers.cancellation_slack().is_zero()
                || workers.cancellation_slack() + workers.lease() < workers.cancellation_deadline()
        );
    }
}

#[test]
fn invalid_setting_is_reported_with_its_field_and_value() {
    assert_eq!(example().params.teams.len(), 2);
    for (from, to, want) in [
        ("127.0.0.1:4", "cloud.example:4", "endpoints.cloud: \"cloud.example:4\""),
        ("\"report_s\":3", "\"report_s\":-3", "params.workers.report_s: -3"),
        ("\"cancel_s\":49", "\"cancel_s\":31", "params.workers.cancel_s: 31 is below 32"),
        ("\"memory_mb\":100", "\"memory_mb\":-1", "params.resources.memory_mb: -1"),
        ("\"txn_ops\":24", "\"txn_ops\":1", "params.state.txn_ops: 1"),
        ("\"txn_ops\":24", "\"txn_ops\":24,\"next\":{\"txn_ops\":1}", "params.state.next.txn_ops: 1 is below 2"),
        ("\"txn_ops\":24", "\"txn_ops\":24,\"next\":{\"value_kb\":0}", "params.state.next.value_kb: 0"),
        ("\"txn_ops\":24", "\"txn_ops\":24,\"next\":{\"rps\":-2}", "params.state.next.rps: -2"),
        (
            "\"txn_ops\":24",
            "\"txn_ops\":24,\"next\":{\"write_rps\":\"9\"}",
            "params.state.next.write_rps: invalid type",
        ),
        ("\"cpus_max\":20", "\"cpus_max\":-20", "params.teams.red.cpus_max: -20"),
        ("\"zones\":[\"a\",\"b\"]", "\"zones\":[]", "params.zones"),
        ("\"host_name\":\"node-0\",", "", "host_name"),
    ] {
        let text = EXAMPLE.replacen(from, to, 1);
        let problem = Settings::parse(&text).unwrap_err().to_string();
        assert!(problem.contains(want), "{problem}");
    }
}

/// Each case replaces one text of the example, which is valid; the error must name the field.
#[test]
fn settings_that_break_guaranteed_times_or_ranges_are_rejected() {
    for (from, to, want) in [
        ("\"lease_s\":24", "\"lease_s\":3.75", "params.workers.lease_s: 3.75 is not above 3.75"),
        ("\"lease_s\":24", "\"lease_s\":41.5", "params.workers.cancel_s: 49 is below 49.5"),
        ("\"report_s\":3", "\"report_s\":21", "params.workers.lease_s: 24 is not above 26.25"),
        ("\"report_s\":3", "\"report_s\":0", "params.workers.report_s: 0 is not above 0"),
        ("\"report_s\":3", "\"report_s\":1e-12", "params.workers.report_s: 0.000000000001 is not above 0"),
        ("\"lease_s\":24", "\"lease_s\":-24", "params.workers.lease_s: -24 is not above 0"),
        ("\"cancel_s\":49", "\"cancel_s\":0", "params.workers.cancel_s: 0 is not above 0"),
        ("\"cancel_s\":49", "\"cancel_s\":1e7", "params.workers.cancel_s: 10000000"),
        ("\"cancel_s\":49", "\"cancel_s\":NaN", "params.workers.cancel_s: "),
        ("\"cancel_s\":49", "\"cancel_s\":1e999", "params.workers.cancel_s: "),
        ("\"cancel_s\":49", "\"cancel_s\":\"49\"", "params.workers.cancel_s: invalid type: string \"49\""),
        (
            "\"peers\":[{\"host_name\":\"node-1\",\"area\":\"b\",\"endpoint\":\"127.0.0.1:3\"}]",
            "\"peers\":[]",
            "peers: [] names no other controller, and params.size is 3",
        ),
        ("\"size\":3", "\"size\":0", "params.size: 0"),
        ("\"rps\":100", "\"rps\":0", "params.state.rps: 0"),
        ("\"write_rps\":40", "\"write_rps\":0", "params.state.write_rps: 0"),
        ("\"value_kb\":8", "\"value_kb\":0", "params.state.value_kb: 0"),
        ("\"rps\":8", "\"rps\":0", "params.cloud.rps: 0"),
        ("\"max_sockets\":700", "\"max_sockets\":0", "params.resources.max_sockets: 0"),
        ("\"max_sockets\":700", "\"max_sockets\":-1", "params.resources.max_sockets: invalid value: integer `-1`"),
        (
            "\"objectives\":[]",
            "\"objectives\":[{\"kind\":\"wait\",\"within_s\":-1}]",
            "params.objectives.0.within_s: -1",
        ),
        ("\"objectives\":[]", "\"objectives\":[{\"kind\":\"wait\",\"share\":1.5}]", "params.objectives.0.share: 1.5"),
    ] {
        let text = EXAMPLE.replacen(from, to, 1);
        assert_ne!(text, EXAMPLE, "{from}");
        let problem = Settings::parse(&text).unwrap_err().to_string();
        assert!(problem.contains(want), "{to}: {problem}");
    }
    let without_size = EXAMPLE.replacen("\"size\":3,", "", 1);
    assert_eq!(Settings::parse(&without_size).unwrap().params.size, None, "settings without a size");
}

/// If the election lease of a dead leader outlasts the leases of the workers, all running tasks are lost.
#[test]
fn election_lease_longer_than_worker_lease_allows_is_rejected() {
    for (text, refused) in [
        ("", false),
        ("leader.lease.seconds=20.25", false),
        ("leader.lease.seconds=20.5", true),
        ("leader.lease.seconds=600", true),
    ] {
        let outcome = example().check_properties(&Properties::parse(text.as_bytes()).unwrap());
        assert_eq!(outcome.is_err(), refused, "{text}: {outcome:?}");
        let named = outcome.err().is_none_or(|problem| problem.to_string().contains(&text.replace('=', ": ")));
        assert!(named, "{text}");
    }
}

/// Guards against a cancelled task that outlives `cancel_s` on a machine that hangs and that nobody terminates, because
/// no controller has loaded the cluster state. The last answer that extends the machine's lease without naming the
/// cancellation is given at most `cancellation_slack` after the cancellation was confirmed
/// (`Membership::leases_end_in_time`), to a heartbeat sent earlier. By the worker's clock its lease therefore ends at
/// most `cancellation_slack` plus `lease_s` after the cancellation; the worker then kills and forgets its tasks
/// (protocol). By an accurate clock this is within `cancel_s`; the margin covers a slow clock and an answer in transit.
#[test]
fn cancelled_task_on_hung_machine_ends_in_time_under_all_valid_settings() {
    let (mut accepted, mut refused) = (0, 0);
    for report_s in [0.1, 1.0, 3.0, 5.0, 10.0] {
        for lease_s in [0.5, 2.0, 8.0, 12.0, 24.0, 36.0, 60.0, 600.0] {
            for cancel_s in [5.0, 10.0, 20.0, 32.0, 49.0, 56.0, 75.0, 100.0, 700.0] {
                let workers = WorkerParams { report_s, lease_s, cancel_s };
                let mut settings = example();
                settings.params.workers = workers.clone();
                if settings.check().is_err() {
                    refused += 1;
                    continue;
                }
                accepted += 1;
                let margin = Duration::from_secs_f64(MIN_LEASE_MARGIN_S);
                let gone_after = workers.cancellation_slack() + workers.lease() + margin;
                assert!(gone_after <= workers.cancellation_deadline(), "{workers:?}: gone only after {gone_after:?}");
                let pause = workers.heartbeat_interval();
                assert!(
                    workers.cancellation_slack() >= pause,
                    "{workers:?}: a leader that reads nothing loses all machines between two heartbeats"
                );
            }
        }
    }
    assert!(accepted > 50 && refused > 50, "{accepted} accepted, {refused} refused");
}
