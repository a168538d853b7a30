use super::*;

/// Every write with all that can be known of its job.
#[test]
fn what_becomes_of_an_unanswered_write_by_cases() {
    let (done, cancelled) = (Known::Ended(End::Done), Known::Ended(End::Cancelled));
    for (write, known, want) in [
        (Write::Acceptance, Known::Nothing, Next::Wait),
        (Write::Acceptance, Known::Open, Next::Log),
        (Write::Acceptance, Known::EndedSomehow, Next::Log),
        (Write::Acceptance, done, Next::Log),
        (Write::Acceptance, cancelled, Next::Log),
        (Write::Cancellation, Known::Nothing, Next::Wait),
        (Write::Cancellation, Known::Open, Next::Wait),
        (Write::Cancellation, Known::EndedSomehow, Next::Ask),
        (Write::Cancellation, done, Next::Forget),
        (Write::Cancellation, cancelled, Next::Log),
    ] {
        assert_eq!(next(write, known), want, "{write:?} of {known:?}");
    }
}
