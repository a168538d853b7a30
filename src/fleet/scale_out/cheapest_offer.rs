//! Choice of the cheapest machine kind for the waiting tasks of a job.

use crate::jobs::JobSpec;
use crate::scheduling::capacity::{CapacityContext, CapacityOffer, FreeCapacity};

/// Difference below which two costs per task count as equal.
const COST_TOLERANCE: f64 = 1e-12;

/// Offer on which a job could run, with its cost.
#[derive(Clone, Copy)]
pub(super) struct PricedOffer<'a> {
    /// Index into [`CapacityContext::offers`].
    pub index: usize,
    /// The offer itself.
    pub offer: CapacityOffer<'a>,
    /// Price of one machine divided by the number of tasks that it would run.
    pub cost_per_task: f64,
}

impl PricedOffer<'_> {
    /// Whether this offer is preferred to the other. Ties in cost are broken by type name and zone, so that the choice
    /// does not depend on the order of the offers.
    fn is_preferred_to(&self, other: &Self) -> bool {
        let by_name =
            (&self.offer.machine_type.name, self.offer.zone) < (&other.offer.machine_type.name, other.offer.zone);
        (self.cost_per_task < other.cost_per_task - COST_TOLERANCE)
            || (self.cost_per_task < other.cost_per_task + COST_TOLERANCE && by_name)
    }
}

/// Returns the offer with the lowest cost per task for `count` more tasks of a job, among the offers that `is_allowed`
/// admits.
pub(super) fn find_cheapest_offer<'a>(
    context: &CapacityContext<'a>,
    spec: &JobSpec,
    count: u64,
    is_allowed: impl Fn(usize, &CapacityOffer<'a>) -> bool,
) -> Option<PricedOffer<'a>> {
    let mut cheapest: Option<PricedOffer> = None;
    for (index, offer) in context.offers.iter().enumerate() {
        let Some(offer) = offer.filter(|offer| is_allowed(index, offer)) else { continue };
        let tasks = FreeCapacity::empty(offer.machine_type, index).fitting_tasks(spec, count);
        if tasks == 0 {
            continue;
        }
        let priced = PricedOffer { index, offer, cost_per_task: offer.price() / tasks as f64 };
        if cheapest.is_none_or(|best| priced.is_preferred_to(&best)) {
            cheapest = Some(priced);
        }
    }
    cheapest
}
