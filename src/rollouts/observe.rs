//! Observes both jobs of a rollout in the leader's cluster state.

use std::time::{Duration, Instant};

use super::feasibility::{find_conflict, find_quota_shortage};
use super::observation::{JobPresence, ObservedJob, ObservedReplica, RolloutObservation};
use super::spec::{MAX_REPLICAS, RolloutSpec};
use super::status::{FailedMachine, RolloutStatus};
use crate::declarations::DeclarationView;
use crate::jobs::JobId;
use crate::protocol::workers::AttemptStatus;
use crate::scheduling::capacity::suspect_timeout;
use crate::scheduling::cluster::{JobState, MachineId, MachineState};

/// Observes both jobs of a rollout, and checks whether it can begin or continue.
pub fn observe_rollout(
    name: &str,
    spec: &RolloutSpec,
    status: &RolloutStatus,
    view: &DeclarationView,
) -> RolloutObservation {
    let has_begun = status.phase.has_begun();
    let [old, new] = status.jobs(spec);
    let quarantined = view.cluster.machines.values().filter(|m| m.quarantined).map(|m| m.id.to_string()).collect();
    RolloutObservation {
        old: observe_job(old, has_begun, view),
        new: observe_job(new, has_begun, view),
        conflict: find_conflict(name, spec, status, view),
        quota_shortage: if has_begun { None } else { find_quota_shortage(spec, view) },
        quarantined,
        now_ms: view.now_ms,
        fencing_token: view.cluster.first_fencing_token,
    }
}

fn observe_job(id: &JobId, has_begun: bool, view: &DeclarationView) -> ObservedJob {
    let cluster = view.cluster;
    if !cluster.loaded {
        return ObservedJob::default();
    }
    let Some(job) = cluster.job(id).filter(|job| job.ended.is_none()) else {
        // The cluster state holds all open jobs, so a job that was known and is missing has ended.
        let has_ended = has_begun || (view.job_end)(id).is_some() || cluster.has_job(id);
        let presence = if has_ended { JobPresence::Ended } else { JobPresence::Unknown };
        return ObservedJob { presence, ..ObservedJob::default() };
    };
    let (failures, recent_failures) = cluster.attribution.failures(id);
    let type_of = |id: &MachineId| cluster.machines.get(id).map(|machine| machine.type_name.clone());
    let failed_on = |id: &MachineId| FailedMachine {
        machine: id.to_string(),
        type_name: type_of(id).unwrap_or_default(),
        faulty: false,
    };
    ObservedJob {
        presence: JobPresence::Open,
        tasks: job.tasks.len().min(MAX_REPLICAS as usize) as u32,
        replicas: job.bound.iter().filter_map(|index| Some((*index, observe_replica(job, *index, view)?))).collect(),
        failures,
        recent_failures: recent_failures.map(failed_on).collect(),
        quarantined: cluster.attribution.is_job_quarantined(id),
    }
}

fn observe_replica(job: &JobState, index: u32, view: &DeclarationView) -> Option<ObservedReplica> {
    let cluster = view.cluster;
    let elapsed_since = |at: Instant| view.now.saturating_duration_since(at);
    let binding = job.binding(index)?;
    let running = binding.status == Some(AttemptStatus::Running);
    let mut replica = ObservedReplica {
        machine: binding.machine.to_string(),
        running,
        stopping: binding.halt_grace_s.is_some(),
        running_s: binding.running_since.filter(|_| running).map_or(Duration::ZERO, elapsed_since).as_secs_f64(),
        bound_s: elapsed_since(binding.bound_at).as_secs_f64(),
        ..ObservedReplica::default()
    };
    if let Some(machine) = cluster.machines.get(&binding.machine) {
        replica.type_name = machine.type_name.clone();
        replica.zone = machine.zone.clone();
        replica.machine_responsive = machine.reported() && elapsed_since(machine.last_seen) < suspect_timeout(cluster);
        // A scale-in candidate is not leaving: it keeps running the tasks that cannot move.
        let machine_stays = machine.state != MachineState::Terminating && machine.recall_at.is_none();
        replica.machine_leaving = !machine_stays;
        replica.confirmed_running = running
            && replica.machine_responsive
            && machine_stays
            && machine.fencing_token >= cluster.first_fencing_token;
    }
    Some(replica)
}
