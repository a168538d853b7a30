use super::*;

/// Every write with all that can be known of its job.
#[test]
fn what_becomes_of_an_unanswered_write_by_cases() {
    let (done, withdrawn) = (Known::Ended(End::Done), Known::Ended(End::Withdrawn));
    for (write, known, want) in [
        (Write::Acceptance, Known::Nothing, Next::Wait),
        (Write::Acceptance, Known::Open, Next::Log),
        (Write::Acceptance, Known::EndedSomehow, Next::Log),
        (Write::Acceptance, done, Next::Log),
        (Write::Acceptance, withdrawn, Next::Log),
        (Write::Withdrawal, Known::Nothing, Next::Wait),
        (Write::Withdrawal, Known::Open, Next::Wait),
        (Write::Withdrawal, Known::EndedSomehow, Next::Ask),
        (Write::Withdrawal, done, Next::Forget),
        (Write::Withdrawal, withdrawn, Next::Log),
    ] {
        assert_eq!(next(write, known), want, "{write:?} of {known:?}");
    }
}
