use super::*;

/// Every write with all that can be known of its job.
#[test]
fn next_step_of_an_unanswered_write_by_cases() {
    let (done, cancelled) = (KnownJobState::Ended(End::Done), KnownJobState::Ended(End::Cancelled));
    for (write, known, want) in [
        (JobWrite::Acceptance, KnownJobState::Unknown, TrackingStep::Wait),
        (JobWrite::Acceptance, KnownJobState::Open, TrackingStep::Log),
        (JobWrite::Acceptance, KnownJobState::EndUnknown, TrackingStep::Log),
        (JobWrite::Acceptance, done, TrackingStep::Log),
        (JobWrite::Acceptance, cancelled, TrackingStep::Log),
        (JobWrite::Cancellation, KnownJobState::Unknown, TrackingStep::Wait),
        (JobWrite::Cancellation, KnownJobState::Open, TrackingStep::Wait),
        (JobWrite::Cancellation, KnownJobState::EndUnknown, TrackingStep::QueryStore),
        (JobWrite::Cancellation, done, TrackingStep::Discard),
        (JobWrite::Cancellation, cancelled, TrackingStep::Log),
    ] {
        assert_eq!(next_step(write, known), want, "{write:?} of {known:?}");
    }
}
