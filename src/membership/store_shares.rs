//! Shares of this controller in the request limits of the state service.

use std::time::{Duration, Instant};

use super::state::Membership;
use crate::store::budget::TokenBucket;
use crate::store::client::RequestRates;
use crate::store::share::{FixedShares, LimitDemand, share_by_demand};
use crate::sync::lock;

/// Shares of the limit on changes. The leader writes most; the others keep enough for users' requests and a campaign.
pub(crate) const WRITE_SHARES: FixedShares = FixedShares { leader: 0.7, others: 0.25 };
/// Shares of the limit on requests. Users send requests to every controller alike; a leader needs only a few more than
/// the others because it batches its writes.
pub(crate) const REQUEST_SHARES: FixedShares = FixedShares { leader: 0.5, others: 0.45 };
/// Interval at which the shares are recomputed from the demand that the other controllers report.
pub(crate) const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the initial budget of a controller, which doesn't lead and has no report of the others' demand.
pub(crate) fn initial_budget(shares: FixedShares, limit: f64, others: usize, now: Instant) -> TokenBucket {
    let share = shares.fixed_share(limit, others, false);
    TokenBucket::new(share, share, now)
}

impl Membership {
    /// Returns this controller's recent demand on the state service, in requests and in changes.
    pub fn store_demand(&self) -> [LimitDemand; 2] {
        let leader = self.leader.cluster().is_some();
        let demand = self.store.client.demand();
        [demand.requests, demand.writes].map(|per_second| LimitDemand { leader, per_second })
    }

    /// Recomputes this controller's shares of the state service's limits.
    pub(crate) fn update_store_shares(&self) {
        let (limits, others) = (self.store.client.total_rates(), self.settings.peers.len());
        let own_demand = self.store_demand();
        let peer_demands = lock(&self.peer_states).store_demands(Instant::now());
        let share = |kind: usize, shares: FixedShares, limit: f64| {
            if peer_demands.len() < others {
                return shares.fixed_share(limit, others, own_demand[kind].leader);
            }
            let all: Vec<LimitDemand> =
                std::iter::once(own_demand[kind]).chain(peer_demands.iter().map(|demand| demand[kind])).collect();
            share_by_demand(limit, shares, &all)
        };
        self.store.client.set_shares(RequestRates {
            requests: share(0, REQUEST_SHARES, limits.requests),
            writes: share(1, WRITE_SHARES, limits.writes),
        });
    }
}
