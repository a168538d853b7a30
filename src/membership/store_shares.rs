//! This controller's shares of the state service's limits.

use std::time::{Duration, Instant};

use super::state::Membership;
use crate::store::budget::Budget;
use crate::store::client::RequestRates;
use crate::store::share::{FixedShares, LimitDemand, share_by_demand};
use crate::sync::lock;

/// A leader writes most; the others keep enough for users and for a campaign.
pub(crate) const WRITE_SHARES: FixedShares = FixedShares { leader: 0.7, others: 0.25 };
/// Users ask every controller alike; a leader needs few requests more than the others, since its
/// writes go many at a time.
pub(crate) const REQUEST_SHARES: FixedShares = FixedShares { leader: 0.5, others: 0.45 };
/// Shares are worked out again this often, as the others tell what they want.
pub(crate) const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// What a controller begins with, as one that does not lead and hears nobody.
pub(crate) fn initial_budget(parts: FixedShares, limit: f64, others: usize, now: Instant) -> Budget {
    let share = parts.fixed(limit, others, false);
    Budget::new(share, share, now)
}

impl Membership {
    /// What this controller lately wanted of the state service, in requests and in changes.
    pub fn wants(&self) -> [LimitDemand; 2] {
        let leader = self.leader.cluster().is_some();
        let demand = self.store.client.demand();
        [demand.requests, demand.writes].map(|per_second| LimitDemand { leader, per_second })
    }

    /// Works out this controller's shares of the state service's limits.
    pub(crate) fn update_store_shares(&self) {
        let (limits, others) = (&self.settings.params.state, self.settings.peers.len());
        let mine = self.wants();
        let heard = lock(&self.peer_states).wants(Instant::now());
        let share = |at: usize, parts: FixedShares, limit: f64| {
            if heard.len() < others {
                return parts.fixed(limit, others, mine[at].leader);
            }
            let all: Vec<LimitDemand> = std::iter::once(mine[at]).chain(heard.iter().map(|w| w[at])).collect();
            share_by_demand(limit, parts, &all)
        };
        self.store.client.set_shares(RequestRates {
            requests: share(0, REQUEST_SHARES, limits.rps),
            writes: share(1, WRITE_SHARES, limits.write_rps),
        });
    }
}
