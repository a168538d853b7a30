//! Rentals: decides what to rent now, and carries it out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::RETRY;
use super::cloud::{CloudError, ProvisioningRequest};
use super::cloud_operations::SharedOperations;
use super::manager::Fleet;
use super::order_log::store;
use super::scale_out::{MachineDemand, machines_by_kind, plan_scale_out};
use crate::cloud_orders::{CloudAction, MOST_RENTED, unique_name};
use crate::machine_kinds::MachineKind;
use crate::sync::{jitter, lock};

/// Rentals of one kind asked for at once, each of up to `MOST_RENTED` machines.
const MOST_RENTALS: u64 = 8;
/// An unanswered rental is asked again under its own name this often before it is let go; what
/// it may still bring is adopted when it reports.
const RENT_TRIES: u32 = 6;

/// What to rent, the requests of each kind together.
pub(super) fn decide(fleet: &Fleet, operations: &SharedOperations) -> Vec<Vec<ProvisioningRequest>> {
    let now = Instant::now();
    let Some(catalog) = fleet.catalog.get() else { return Vec::new() };
    let held = fleet.leader.cluster();
    let Some(cluster) = held.as_ref() else { return Vec::new() };
    let mut operations = lock(operations);
    operations.refusals.record_held(&machines_by_kind(cluster));
    let wanted = plan_scale_out(cluster, &catalog, &operations.refusals, &operations.asked, now);
    let mut rentals = Vec::new();
    for MachineDemand { kind, count } in wanted {
        let mut left = count.min(MOST_RENTALS * MOST_RENTED);
        *operations.asked.entry(kind.clone()).or_default() += left;
        let mut of_kind = Vec::new();
        while left > 0 {
            let count = left.min(MOST_RENTED);
            left -= count;
            operations.next += 1;
            of_kind.push(ProvisioningRequest {
                request: unique_name(&fleet.membership.incarnation, cluster.fencing_token, operations.next),
                type_name: kind.type_name.clone(),
                zone: kind.zone.clone(),
                spot: kind.spot,
                count,
            });
        }
        rentals.push(of_kind);
    }
    rentals
}

/// The requests of one kind, stored before the first is made.
pub(super) async fn rent(fleet: Arc<Fleet>, operations: SharedOperations, rentals: Vec<ProvisioningRequest>) {
    match store(&fleet, &operations, CloudAction::Provision(rentals.clone()), || false).await {
        Ok(key) => carry_out(fleet, operations, rentals, key).await,
        Err(_) => {
            let mut operations = lock(&operations);
            for rental in &rentals {
                operations.no_longer_asked(&kind_of(rental), rental.count);
            }
        }
    }
}

/// One after another: once one was not filled, the rest would only use up the cloud's calls.
pub(super) async fn carry_out(
    fleet: Arc<Fleet>,
    operations: SharedOperations,
    rentals: Vec<ProvisioningRequest>,
    key: String,
) {
    let mut rentals = rentals.into_iter();
    for rental in rentals.by_ref() {
        if !carry_out_one(&fleet, &operations, rental).await {
            break;
        }
    }
    let mut operations = lock(&operations);
    for rental in rentals {
        operations.no_longer_asked(&kind_of(&rental), rental.count);
    }
    operations.finished.push(key);
}

/// The kind of machine that a rental asks for.
pub(super) fn kind_of(rental: &ProvisioningRequest) -> MachineKind {
    MachineKind { type_name: rental.type_name.clone(), zone: rental.zone.clone(), spot: rental.spot }
}

/// Whether it was filled.
async fn carry_out_one(fleet: &Fleet, operations: &SharedOperations, rental: ProvisioningRequest) -> bool {
    let kind = kind_of(&rental);
    let mut outcome = Err(CloudError::Unanswered);
    for _ in 0..RENT_TRIES {
        outcome = fleet.cloud.rent(&rental).await;
        match &outcome {
            Ok(_) | Err(CloudError::NoCapacity) => break,
            Err(error) => debug!(%error, request = rental.request, "renting"),
        }
        tokio::time::sleep(jitter(RETRY)).await;
    }
    let now = Instant::now();
    let rented = match outcome {
        Ok(names) => names,
        Err(CloudError::NoCapacity) => Vec::new(),
        Err(error) => {
            warn!(%error, request = rental.request, "a rental is let go");
            Vec::new()
        }
    };
    let short = (rented.len() as u64) < rental.count;
    info!(kind = %kind, asked = rental.count, got = rented.len(), "rented");
    {
        let mut held = fleet.leader.cluster();
        if let Some(cluster) = held.as_mut() {
            for name in &rented {
                cluster.expect(name, &kind, None, Duration::ZERO, now);
            }
        }
    }
    let mut operations = lock(operations);
    operations.no_longer_asked(&kind, rental.count);
    if short {
        operations.refusals.record_refusal(kind, fleet.properties.refusal, now);
    } else {
        operations.refusals.clear(&kind);
    }
    fleet.wakeups.fleet.notify_one();
    !short
}
