//! What a controller does next in the election, as a function of what it observes.

/// The next step of a controller in the election.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing is to be done.
    Wait,
    /// The process that holds the lease was this one's predecessor on its address, so it is gone: its lease is
    /// ended before it expires. The same of a lease holder whose key cannot be read.
    Expire,
    /// The election lease is free: try to take it.
    Campaign,
    /// The lease is this controller's and is to be renewed.
    Renew,
    /// The lease is this controller's, and the leader record is to name it, under a new fencing token.
    WriteLeaderRecord,
}

/// What a controller observes of the election. Processes are named by their incarnation.
#[derive(Debug, Clone, Copy)]
pub(super) struct ElectionObservations<'a> {
    /// The incarnation of this process.
    pub me: &'a str,
    /// Who holds the election lease, if anybody does.
    pub lease_holder: Option<&'a str>,
    /// The lease holder, if it is another, is known to be gone: it was an earlier process of this controller, or nobody
    /// whose key can be read.
    pub lease_holder_gone: bool,
    /// Whom the leader record names.
    pub leader: Option<&'a str>,
    /// The leader record is to be written again even if it names this process: to raise the fencing token, or since
    /// the answer to its last write was lost.
    pub new_fencing_token_wanted: bool,
    /// The lease was last renewed long enough ago.
    pub renewal_due: bool,
}

/// Pure, so that every combination can be tried.
pub(super) fn next_step(observed: ElectionObservations) -> Step {
    let ElectionObservations { me, lease_holder, lease_holder_gone, leader, .. } = observed;
    match lease_holder {
        None => Step::Campaign,
        Some(holder) if holder != me && lease_holder_gone => Step::Expire,
        Some(holder) if holder != me => Step::Wait,
        Some(_) if leader != Some(me) || observed.new_fencing_token_wanted => Step::WriteLeaderRecord,
        Some(_) if observed.renewal_due => Step::Renew,
        Some(_) => Step::Wait,
    }
}
