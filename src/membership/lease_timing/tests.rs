//! Tests that the lease is renewed in time while the leader record is written.

use super::super::step::{ElectionObservations, next_step};
use super::*;

/// Largest factor by which `sync::jitter` lengthens a pause.
const MAX_JITTER_FACTOR: f64 = 1.5;
/// Time of a slow answer of the store.
const SLOW_ANSWER: Duration = Duration::from_millis(30);

/// Longest time between two renewals of a lease holder whose writes of the leader record are never answered, with each
/// step and pause taking as long as allowed.
fn longest_renewal_gap(timing: LeaseTiming) -> Duration {
    let (mut now, mut renewed, mut longest) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let mut wrote_leader_record_last = false;
    while now < timing.life * 20 {
        now += timing.check_interval();
        let due = now - renewed >= timing.renewal_interval();
        let step = prefer_due_renewal(
            next_step(ElectionObservations {
                me: "a",
                lease_holder: Some("a"),
                lease_holder_gone: false,
                leader: Some("b"),
                new_fencing_token_wanted: true,
                renewal_due: due,
            }),
            wrote_leader_record_last,
            due,
        );
        wrote_leader_record_last = step == Step::WriteLeaderRecord;
        match step {
            Step::WriteLeaderRecord => now += timing.write_timeout() + timing.retry_pause().mul_f64(MAX_JITTER_FACTOR),
            Step::Renew => {
                now += SLOW_ANSWER;
                longest = longest.max(now - renewed);
                renewed = now;
            }
            other => panic!("unexpected step {other:?} of a lease holder that has to write the leader record"),
        }
    }
    longest.max(now - renewed)
}

/// Retries of the leader record without a pause used to let the lease expire, which forced a change of the leader.
#[test]
fn unanswered_leader_record_writes_never_let_the_lease_expire() {
    for life_ms in [500, 1000, 3000, 10_000, 600_000] {
        let timing = LeaseTiming { life: Duration::from_millis(life_ms) };
        let longest = longest_renewal_gap(timing);
        assert!(longest < timing.life, "a lease of {life_ms} ms is renewed after {longest:?}");
    }
}

#[test]
fn due_renewal_precedes_only_a_repeated_leader_record_write() {
    for (name, step, wrote_leader_record_last, renewal_due, want) in [
        ("a first write goes at once", Step::WriteLeaderRecord, false, true, Step::WriteLeaderRecord),
        ("a second write waits for a due renewal", Step::WriteLeaderRecord, true, true, Step::Renew),
        ("a second write without a due renewal", Step::WriteLeaderRecord, true, false, Step::WriteLeaderRecord),
        ("nobody holds the lease", Step::Campaign, true, true, Step::Campaign),
        ("another holds the lease", Step::Wait, true, true, Step::Wait),
        ("its predecessor holds the lease", Step::Expire, true, true, Step::Expire),
    ] {
        assert_eq!(prefer_due_renewal(step, wrote_leader_record_last, renewal_due), want, "{name}");
    }
}
