//! Provisioning of machines at the cloud, each time under a stored order.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::RETRY_DELAY;
use super::cloud::{CloudError, ProvisioningRequest};
use super::cloud_operations::{CloudOperations, CloudOperator};
use super::order_storage::NotStored;
use super::scale_out::{MachineDemand, count_machines_by_kind, plan_scale_out};
use crate::cloud_orders::{CloudAction, MAX_MACHINES_PER_PROVISIONING, ProvisioningOrder};
use crate::machine_kinds::MachineKind;
use crate::sync::jitter;

/// Maximum number of requests in one order, each for up to [`MAX_MACHINES_PER_PROVISIONING`] machines.
const MAX_REQUESTS_PER_ORDER: u64 = 8;
/// Maximum number of times that a request is sent, under the same name, before it is abandoned. Machines that it may
/// still provision are adopted when they report.
const MAX_REQUEST_ATTEMPTS: u32 = 6;

/// Returns the kind of machine that a request asks for.
pub(super) fn requested_kind(request: &ProvisioningRequest) -> MachineKind {
    MachineKind { type_name: request.type_name.clone(), zone: request.zone.clone(), spot: request.spot }
}

impl CloudOperator {
    /// Decides which machines to provision, and returns the requests for each kind. The machines count as requested
    /// from here on.
    pub(super) fn take_provisioning_requests(&self) -> Vec<Vec<ProvisioningRequest>> {
        let now = Instant::now();
        let Some(catalog) = self.fleet.catalog.get() else { return Vec::new() };
        let mut guard = self.fleet.leader.cluster();
        let Some(cluster) = guard.as_mut() else { return Vec::new() };
        let mut operations = self.operations();
        let held = count_machines_by_kind(cluster);
        operations.refusals.record_held_machines(&held);
        cluster.unobtainable_kinds = operations.refusals.unobtainable_kinds(&held);
        let demands = plan_scale_out(cluster, &catalog, &operations.refusals, &operations.requested, now);
        let to_requests = |demand| self.split_into_requests(demand, cluster.fencing_token, &mut operations);
        demands.into_iter().map(to_requests).collect()
    }

    /// Splits the demand for one kind into requests that the cloud accepts, and counts their machines as requested.
    fn split_into_requests(
        &self,
        demand: MachineDemand,
        fencing_token: u64,
        operations: &mut CloudOperations,
    ) -> Vec<ProvisioningRequest> {
        let MachineDemand { kind, count } = demand;
        let mut remaining = count.min(MAX_REQUESTS_PER_ORDER * MAX_MACHINES_PER_PROVISIONING);
        operations.add_requested(kind.clone(), remaining);
        let mut requests = Vec::new();
        while remaining > 0 {
            let count = remaining.min(MAX_MACHINES_PER_PROVISIONING);
            remaining -= count;
            requests.push(ProvisioningRequest {
                request: self.unique_request_name(fencing_token, operations),
                type_name: kind.type_name.clone(),
                zone: kind.zone.clone(),
                spot: kind.spot,
                count,
            });
        }
        requests
    }

    /// Provisions machines of one kind once the order for it is stored, or the smaller orders into which it is split.
    pub(super) async fn provision(self, requests: Vec<ProvisioningRequest>) {
        let mut pending = VecDeque::from([requests]);
        while let Some(mut requests) = pending.pop_front() {
            match self.store_order(CloudAction::Provision(requests.clone()), || false).await {
                Ok(key) => self.clone().complete_provisioning(ProvisioningOrder { key, requests }).await,
                Err(NotStored::TooLarge) => {
                    let second_half = requests.split_off(requests.len().div_ceil(2));
                    pending.extend([requests, second_half]);
                }
                Err(error) => {
                    debug!(%error, count = requests.len(), "scale-out order dropped");
                    self.remove_requested(requests);
                }
            }
        }
    }

    /// Sends the requests of an order one after another, and stops after one that was not filled: the others would
    /// probably find no capacity either, and use up the cloud's rate limit.
    pub(super) async fn complete_provisioning(self, order: ProvisioningOrder) {
        let mut requests = order.requests.into_iter();
        for request in requests.by_ref() {
            if !self.provision_request(request).await {
                break;
            }
        }
        self.remove_requested(requests);
        self.operations().completed.push(order.key);
    }

    /// Counts the machines of these requests as requested no longer.
    fn remove_requested(&self, requests: impl IntoIterator<Item = ProvisioningRequest>) {
        let mut operations = self.operations();
        for request in requests {
            operations.remove_requested(&requested_kind(&request), request.count);
        }
    }

    /// Sends one request until it is answered or abandoned, and records the provisioned machines and a refusal. Returns
    /// whether all machines were provisioned.
    async fn provision_request(&self, request: ProvisioningRequest) -> bool {
        let kind = requested_kind(&request);
        let outcome = self.request_until_answered(&request).await;
        let now = Instant::now();
        let machines = match outcome {
            Ok(machines) => machines,
            Err(CloudError::NoCapacity) => Vec::new(),
            Err(error) => {
                warn!(
                    %error,
                    request = request.request,
                    machine_kind = %kind,
                    "scale-out request abandoned; treating it as no capacity and backing off this machine kind"
                );
                Vec::new()
            }
        };
        info!(machine_kind = %kind, requested = request.count, provisioned = machines.len(), "scale-out completed");
        self.expect_machines(&machines, &kind, now);
        let filled = machines.len() as u64 >= request.count;
        let mut operations = self.operations();
        operations.remove_requested(&kind, request.count);
        if filled {
            operations.refusals.forget_refusals(&kind);
        } else {
            operations.refusals.record_refusal(kind, self.fleet.properties.refusal_backoff, now);
        }
        self.fleet.wakeups.fleet.notify_one();
        filled
    }

    /// Sends one request, repeating it after errors other than missing capacity.
    async fn request_until_answered(&self, request: &ProvisioningRequest) -> Result<Vec<String>, CloudError> {
        let mut outcome = Err(CloudError::Unanswered);
        for _ in 0..MAX_REQUEST_ATTEMPTS {
            outcome = self.fleet.cloud.provision(request).await;
            match &outcome {
                Ok(_) | Err(CloudError::NoCapacity) => break,
                Err(error) => debug!(%error, request = request.request, "scale-out request failed"),
            }
            tokio::time::sleep(jitter(RETRY_DELAY)).await;
        }
        outcome
    }

    /// Records provisioned machines in the cluster state, as booting until they report.
    fn expect_machines(&self, machines: &[String], kind: &MachineKind, now: Instant) {
        if let Some(cluster) = self.fleet.leader.cluster().as_mut() {
            for machine in machines {
                cluster.expect_machine(machine, kind, None, Duration::ZERO, now);
            }
        }
    }
}
