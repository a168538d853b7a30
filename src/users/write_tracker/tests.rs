//! Tests of how unanswered writes are tracked.

use super::*;

/// Covers each kind of write with every known state of its job.
#[test]
fn next_step_follows_from_kind_of_write_and_known_job_state() {
    let (done, cancelled) = (KnownJobState::Ended(End::Done), KnownJobState::Ended(End::Cancelled));
    for (write, state, want) in [
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
        assert_eq!(next_step(write, state), want, "{write:?} of {state:?}");
    }
}
