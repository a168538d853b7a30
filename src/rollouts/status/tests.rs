//! Tests of the stored rollout status.

use super::*;
use crate::rollouts::spec::MAX_REPLICAS;

/// A status must fit the smallest value limit of supported stores (8 KiB), also with the longest list of replica
/// ranges.
#[test]
fn status_round_trips_and_fits_a_store_value() {
    let odd_indexes = ReplicaIndexes((0..MAX_REPLICAS).filter(|n| n % 2 == 1).collect());
    let failed_machine =
        |n| FailedMachine { machine: format!("host-{n:012}"), type_name: "g8-of-a-long-name".into(), faulty: false };
    let failed_on = (0..8).map(failed_machine).collect();
    let failure_counts = FailureCounts { failed_on, ..FailureCounts::default() };
    let status = RolloutStatus {
        stopping_old: odd_indexes.clone(),
        allowed_new: odd_indexes,
        failure_counts,
        reason: "x".repeat(400),
        ..RolloutStatus::default()
    };
    let text = serde_json::to_string(&status).unwrap();
    assert!(text.len() < 8 * 1024, "{}", text.len());
    assert_eq!(serde_json::from_str::<RolloutStatus>(&text).unwrap(), status);
    assert_eq!(
        serde_json::from_str::<ReplicaIndexes>("[[0,4000000000],[7,3]]").unwrap().0.len(),
        MAX_REPLICAS as usize
    );
    assert_eq!(ReplicaIndexes([0, 1, 2, 7].into()).to_string(), "0-2,7");
}
