//! Next step of a controller in the election, as a pure function of its observations.

/// The next step of a controller in the election.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Do nothing.
    Wait,
    /// Revoke the lease of another holder before it expires: the holder was an earlier process of this controller,
    /// which has ended, or its key cannot be decoded.
    Expire,
    /// Try to take the election lease, which nobody holds.
    Campaign,
    /// Renew the lease, which this process holds.
    Renew,
    /// Write the leader record for this process, which holds the lease, and so obtain a new fencing token.
    WriteLeaderRecord,
}

/// Observations of the election by one controller. Processes are identified by their incarnations.
#[derive(Debug, Clone, Copy)]
pub(super) struct ElectionObservations<'a> {
    /// Incarnation of this process.
    pub me: &'a str,
    /// Incarnation of the holder of the election lease, if there is one.
    pub lease_holder: Option<&'a str>,
    /// Whether a lease holder other than this process is known to be gone: it was an earlier process of this
    /// controller, or its key can't be decoded.
    pub lease_holder_gone: bool,
    /// Incarnation in the leader record.
    pub leader: Option<&'a str>,
    /// Whether the leader record is to be written even if it already names this process: to raise the fencing token, or
    /// because the answer to the last write was lost.
    pub new_fencing_token_wanted: bool,
    /// Whether the renewal interval of the lease has passed.
    pub renewal_due: bool,
}

/// Determines the next step. A pure function, so that tests can cover every combination of observations.
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
