use super::*;
use crate::rollouts::spec::MOST_REPLICAS;

/// A status has to fit the smallest value that stores take (8 KiB), however its replicas lie.
#[test]
fn a_status_reads_back_and_fits() {
    let odd = Indexes((0..MOST_REPLICAS).filter(|n| n % 2 == 1).collect());
    let on = |n| FailedOn { machine: format!("host-{n:012}"), type_name: "g8-of-a-long-name".into(), faulty: false };
    let failed_on = (0..8).map(on).collect();
    let against = FailureCounts { failed_on, ..FailureCounts::default() };
    let status = Status { go_old: odd.clone(), may_new: odd, against, why: "x".repeat(400), ..Status::default() };
    let text = serde_json::to_string(&status).unwrap();
    assert!(text.len() < 8 * 1024, "{}", text.len());
    assert_eq!(serde_json::from_str::<Status>(&text).unwrap(), status);
    assert_eq!(serde_json::from_str::<Indexes>("[[0,4000000000],[7,3]]").unwrap().0.len(), MOST_REPLICAS as usize);
    assert_eq!(Indexes([0, 1, 2, 7].into()).to_string(), "0-2,7");
}
