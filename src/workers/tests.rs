//! Tests of the response to a heartbeat.

use super::response_policy::ResponsePolicy;

/// Covers what a leader can prove: all commands, only those that stop tasks of ended jobs, or no response.
#[test]
fn heartbeat_response_follows_from_what_the_leader_can_prove() {
    let proven = ResponsePolicy {
        cluster_state_loaded: true,
        leader_known: true,
        unproven_since_pause: false,
        store_answers: true,
    };
    let paused = ResponsePolicy { unproven_since_pause: true, ..proven };
    let not_loaded = ResponsePolicy { cluster_state_loaded: false, ..proven };
    let leader_unknown = ResponsePolicy { leader_known: false, ..proven };
    // (name, policy, the watch cache covers the term, leases still expire in time, the machine is held;
    //  refused, all commands, lease renewed)
    for (name, policy, cache_covers_term, leases_expire_in_time, holds_machine, want) in [
        ("a proven leader", proven, true, false, false, (false, true, true)),
        ("after a process pause", paused, true, false, false, (true, false, true)),
        (
            "after a process pause, during a store outage",
            ResponsePolicy { store_answers: false, ..paused },
            true,
            false,
            false,
            (false, false, true),
        ),
        ("a leader that may have been replaced", leader_unknown, true, false, false, (false, false, false)),
        (
            "a leader that may have been replaced, for a machine that found no other",
            leader_unknown,
            true,
            false,
            true,
            (false, false, true),
        ),
        ("cluster state not loaded, every end known", not_loaded, true, false, false, (false, false, true)),
        ("neither cluster state nor watch cache loaded", not_loaded, false, true, false, (false, false, true)),
        ("neither loaded, and leases would expire too late", not_loaded, false, false, false, (false, false, false)),
        (
            "neither loaded, leases would expire too late, and the machine found no other leader",
            ResponsePolicy { leader_known: false, ..not_loaded },
            false,
            false,
            true,
            (false, false, false),
        ),
    ] {
        let got = (
            policy.refuses_heartbeat(),
            policy.sends_all_commands(),
            policy.renews_lease(cache_covers_term, || leases_expire_in_time, || holds_machine),
        );
        assert_eq!(got, want, "{name}");
    }
}
