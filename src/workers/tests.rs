//! Tests of what a heartbeat may be answered with.

use super::response_policy::ResponsePolicy;

/// By what the leader knows of itself: all orders, stops only, or nothing at all.
#[test]
fn heartbeat_response_by_cases() {
    let sound = ResponsePolicy {
        cluster_state_loaded: true,
        leader_known: true,
        unproven_since_pause: false,
        store_answers: true,
    };
    let paused = ResponsePolicy { unproven_since_pause: true, ..sound };
    let unread = ResponsePolicy { cluster_state_loaded: false, ..sound };
    let lone = ResponsePolicy { leader_known: false, ..sound };
    // (name, policy, its watch cache is past its leader record, leases still end in time, it holds this machine;
    //  silent, all orders, answered)
    for (name, policy, through, spare, kept, want) in [
        ("the leader", sound, true, false, false, (false, true, true)),
        ("back from a pause", paused, true, false, false, (true, false, true)),
        (
            "back from a pause into an outage",
            ResponsePolicy { store_answers: false, ..paused },
            true,
            false,
            false,
            (false, false, true),
        ),
        ("may be leader no more", lone, true, false, false, (false, false, false)),
        ("may be leader no more, the machine found nobody", lone, true, false, true, (false, false, true)),
        ("has not read its cluster state, knows every end", unread, true, false, false, (false, false, true)),
        ("has read nothing", unread, false, true, false, (false, false, true)),
        ("has read nothing, for too long", unread, false, false, false, (false, false, false)),
        (
            "the same, whoever it would hold",
            ResponsePolicy { leader_known: false, ..unread },
            false,
            false,
            true,
            (false, false, false),
        ),
    ] {
        let got = (policy.stays_silent(), policy.sends_all_commands(), policy.renews_lease(through, || spare, || kept));
        assert_eq!(got, want, "{name}");
    }
}
