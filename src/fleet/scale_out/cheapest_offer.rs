//! The cheapest machine kind for the waiting tasks of a job.

use crate::jobs::JobSpec;
use crate::scheduling::capacity::{CapacityContext, CapacityOffer, FreeCapacity};

/// Costs per task that differ by less than this count as equal.
const COST_TOLERANCE: f64 = 1e-12;

/// A machine kind that a job could run on, by its place among the offers.
#[derive(Clone, Copy)]
pub(super) struct PricedOffer<'a> {
    /// Index into [`CapacityContext::offers`].
    pub index: usize,
    pub offer: CapacityOffer<'a>,
    /// Price of one machine divided by the tasks it would run.
    pub cost_per_task: f64,
}

impl PricedOffer<'_> {
    /// Whether this one is preferred. Equal costs are decided by name and zone, so that the choice does not depend on
    /// the order of the offers.
    fn is_better_than(&self, other: &Self) -> bool {
        let by_name =
            (&self.offer.machine_type.name, self.offer.zone) < (&other.offer.machine_type.name, other.offer.zone);
        (self.cost_per_task < other.cost_per_task - COST_TOLERANCE)
            || (self.cost_per_task < other.cost_per_task + COST_TOLERANCE && by_name)
    }
}

/// The cheapest way, per task, to run `count` more tasks of a job on the kinds that `is_open` admits.
pub(super) fn cheapest_offer<'a>(
    ground: &CapacityContext<'a>,
    spec: &JobSpec,
    count: u64,
    is_open: impl Fn(usize, &CapacityOffer<'a>) -> bool,
) -> Option<PricedOffer<'a>> {
    let mut cheapest: Option<PricedOffer> = None;
    for (index, offer) in ground.offers.iter().enumerate() {
        let Some(offer) = offer.filter(|offer| is_open(index, offer)) else { continue };
        let tasks = FreeCapacity::empty(offer.machine_type, index).fitting_tasks(spec, count);
        if tasks == 0 {
            continue;
        }
        let priced = PricedOffer { index, offer, cost_per_task: offer.price() / tasks as f64 };
        if cheapest.is_none_or(|best| priced.is_better_than(&best)) {
            cheapest = Some(priced);
        }
    }
    cheapest
}
