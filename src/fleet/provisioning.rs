//! Provisioning of machines at the cloud, under a stored order.

use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::RETRY_PAUSE;
use super::cloud::{CloudError, ProvisioningRequest};
use super::cloud_operations::{CloudOperations, CloudOperator};
use super::scale_out::{MachineDemand, machines_by_kind, plan_scale_out};
use crate::cloud_orders::{CloudAction, MAX_MACHINES_PER_PROVISIONING, ProvisioningOrder};
use crate::machine_kinds::MachineKind;
use crate::sync::jitter;

/// Most requests for one kind at a time, each for up to `MAX_MACHINES_PER_PROVISIONING` machines.
const MOST_REQUESTS: u64 = 8;
/// An unanswered request is repeated under its own name this often before it is abandoned. Machines that it may still
/// bring are adopted when they report.
const REQUEST_ATTEMPTS: u32 = 6;

/// The kind of machine that a request asks for.
pub(super) fn requested_kind(request: &ProvisioningRequest) -> MachineKind {
    MachineKind { type_name: request.type_name.clone(), zone: request.zone.clone(), spot: request.spot }
}

impl CloudOperator {
    /// Decides which machines to provision, as the requests of each kind. The machines count as requested from here on.
    pub(super) fn take_provisioning_requests(&self) -> Vec<Vec<ProvisioningRequest>> {
        let now = Instant::now();
        let Some(catalog) = self.fleet.catalog.get() else { return Vec::new() };
        let held = self.fleet.leader.cluster();
        let Some(cluster) = held.as_ref() else { return Vec::new() };
        let mut operations = self.operations();
        operations.refusals.record_held_machines(&machines_by_kind(cluster));
        let demands = plan_scale_out(cluster, &catalog, &operations.refusals, &operations.requested, now);
        let requests = |demand| self.split_into_requests(demand, cluster.fencing_token, &mut operations);
        demands.into_iter().map(requests).collect()
    }

    fn split_into_requests(
        &self,
        demand: MachineDemand,
        fencing_token: u64,
        operations: &mut CloudOperations,
    ) -> Vec<ProvisioningRequest> {
        let MachineDemand { kind, count } = demand;
        let mut left = count.min(MOST_REQUESTS * MAX_MACHINES_PER_PROVISIONING);
        operations.add_requested(kind.clone(), left);
        let mut requests = Vec::new();
        while left > 0 {
            let count = left.min(MAX_MACHINES_PER_PROVISIONING);
            left -= count;
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

    /// Provisions machines of one kind, once the order for it is stored.
    pub(super) async fn provision(self, requests: Vec<ProvisioningRequest>) {
        match self.store_order(CloudAction::Provision(requests.clone()), || false).await {
            Ok(key) => self.complete_provisioning(ProvisioningOrder { key, requests }).await,
            Err(error) => {
                debug!(%error, count = requests.len(), "scale-out order dropped");
                self.remove_requested(requests);
            }
        }
    }

    /// Sends the requests of an order one after another. After one that was not filled, the others would only use up
    /// the cloud's rate limit.
    pub(super) async fn complete_provisioning(self, order: ProvisioningOrder) {
        let mut requests = order.requests.into_iter();
        for request in requests.by_ref() {
            if !self.send_request(request).await {
                break;
            }
        }
        self.remove_requested(requests);
        self.operations().completed.push(order.key);
    }

    fn remove_requested(&self, requests: impl IntoIterator<Item = ProvisioningRequest>) {
        let mut operations = self.operations();
        for request in requests {
            operations.remove_requested(&requested_kind(&request), request.count);
        }
    }

    /// Sends one request until it is answered, and records the machines. True if all were provisioned.
    async fn send_request(&self, request: ProvisioningRequest) -> bool {
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
            operations.refusals.record_refusal(kind, self.fleet.properties.refusal, now);
        }
        self.fleet.wakeups.fleet.notify_one();
        filled
    }

    async fn request_until_answered(&self, request: &ProvisioningRequest) -> Result<Vec<String>, CloudError> {
        let mut outcome = Err(CloudError::Unanswered);
        for _ in 0..REQUEST_ATTEMPTS {
            outcome = self.fleet.cloud.provision(request).await;
            match &outcome {
                Ok(_) | Err(CloudError::NoCapacity) => break,
                Err(error) => debug!(%error, request = request.request, "scale-out request failed"),
            }
            tokio::time::sleep(jitter(RETRY_PAUSE)).await;
        }
        outcome
    }

    fn expect_machines(&self, machines: &[String], kind: &MachineKind, now: Instant) {
        if let Some(cluster) = self.fleet.leader.cluster().as_mut() {
            for machine in machines {
                cluster.expect_machine(machine, kind, None, Duration::ZERO, now);
            }
        }
    }
}
