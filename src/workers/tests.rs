//! Tests of what a heartbeat may be answered with.

use super::answer::Rights;

/// By what the leader knows of itself: all orders, stops only, or nothing at all.
#[test]
fn what_a_report_is_answered_with_by_cases() {
    let sound = Rights { loaded: true, knows: true, unproven: false, serves: true };
    let paused = Rights { unproven: true, ..sound };
    let unread = Rights { loaded: false, ..sound };
    let lone = Rights { knows: false, ..sound };
    // (name, rights, its watch cache is past its leader record, leases still end in time, it holds this machine;
    //  silent, all orders, answered)
    for (name, rights, through, spare, kept, want) in [
        ("the leader", sound, true, false, false, (false, true, true)),
        ("back from a pause", paused, true, false, false, (true, false, true)),
        (
            "back from a pause into an outage",
            Rights { serves: false, ..paused },
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
            Rights { knows: false, ..unread },
            false,
            false,
            true,
            (false, false, false),
        ),
    ] {
        let got = (rights.silent(), rights.whole(), rights.holds(through, || spare, || kept));
        assert_eq!(got, want, "{name}");
    }
}
