use super::super::step::{ElectionObservations, next_step};
use super::*;

/// The most that `sync::jitter` makes of a pause.
const MOST_JITTER: f64 = 1.5;
/// An answer of the store that is slow and comes.
const SLOW_ANSWER: Duration = Duration::from_millis(30);

/// The longest time between two renewals of a lease holder that is to write the leader record and never gets an answer,
/// each step and pause taking as long as it may.
fn longest_without_renewal(pace: LeaseTiming) -> Duration {
    let (mut now, mut renewed, mut longest) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let mut wrote_leader_record_last = false;
    while now < pace.life * 20 {
        now += pace.look_every();
        let due = now - renewed >= pace.renew_every();
        let step = renewal_first(
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
            Step::WriteLeaderRecord => now += pace.write_timeout() + pace.retry().mul_f64(MOST_JITTER),
            Step::Renew => {
                now += SLOW_ANSWER;
                longest = longest.max(now - renewed);
                renewed = now;
            }
            other => panic!("{other:?} of a lease holder that is to assign"),
        }
    }
    longest.max(now - renewed)
}

/// A run of leader records without an answer cost the lease holder its lease, and the work a change of leader.
#[test]
fn assignments_without_an_answer_cost_no_lease() {
    for life_ms in [500, 1000, 3000, 10_000, 600_000] {
        let pace = LeaseTiming { life: Duration::from_millis(life_ms) };
        let longest = longest_without_renewal(pace);
        assert!(longest < pace.life, "a lease of {life_ms} ms is renewed after {longest:?}");
    }
}

#[test]
fn whose_turn_it_is_by_cases() {
    for (name, step, wrote_leader_record_last, due, want) in [
        ("a first assignment goes at once", Step::WriteLeaderRecord, false, true, Step::WriteLeaderRecord),
        ("a second one waits for a renewal", Step::WriteLeaderRecord, true, true, Step::Renew),
        ("a second one, and none is due", Step::WriteLeaderRecord, true, false, Step::WriteLeaderRecord),
        ("nobody holds the lease", Step::Campaign, true, true, Step::Campaign),
        ("another holds the lease", Step::Wait, true, true, Step::Wait),
        ("its predecessor holds the lease", Step::Expire, true, true, Step::Expire),
    ] {
        assert_eq!(renewal_first(step, wrote_leader_record_last, due), want, "{name}");
    }
}
