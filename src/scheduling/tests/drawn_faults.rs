//! Jobs and faults drawn from a seed, for the simulations of waiting jobs.

use rand::Rng;
use rand::rngs::StdRng;

use super::simulation::Simulation;
use super::*;

/// The machines of a simulation.
pub(super) const MACHINES: [&str; 10] = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];
/// Machines without faults, so that there is always capacity to wait for.
pub(super) const FAULT_FREE_MACHINES: [&str; 3] = ["m0", "m1", "m8"];

/// Draws the properties of a job, with one of these urgencies.
pub(super) fn draw_job(rng: &mut StdRng, urgencies: &[Urgency], job: &mut JobSpec) {
    job.shape = [Shape::Array, Shape::Array, Shape::Gang, Shape::Service][rng.random_range(0..4usize)];
    job.urgency = urgencies[rng.random_range(0..urgencies.len())];
    job.class = ["c", "d", "e"][rng.random_range(0..3usize)].into();
    job.team = if rng.random_bool(0.3) { "red".into() } else { "blue".into() };
    let is_service = job.shape == Shape::Service;
    job.tasks = if is_service { 1 } else { rng.random_range(1..6) };
    job.cpus = [0.25, 1.0, 2.0, 4.0][rng.random_range(0..4usize)];
    job.gpus = if rng.random_bool(0.1) { 1.0 } else { 0.0 };
    job.same_zone = rng.random_bool(0.2);
    job.spread = !job.same_zone && rng.random_bool(0.2);
    job.zone = rng.random_bool(0.1).then(|| "a".into()).filter(|_| !job.spread);
    job.estimate_s = if is_service { 0.0 } else { [5.0, 30.0, 300.0][rng.random_range(0..3usize)] };
    job.due_s = rng.random_bool(0.4).then_some(job.estimate_s * 2.0 + 20.0);
    (job.checkpoint_s, job.save_s) = if rng.random_bool(0.5) { (30.0, 2.0) } else { (0.0, 0.0) };
}

impl Simulation {
    /// Injects a drawn fault, or ends the faults of all machines.
    pub(super) fn inject_drawn_fault(&mut self, rng: &mut StdRng) {
        let m = MACHINES[rng.random_range(0..10usize)];
        match rng.random_range(0..7) {
            0 => self.outbound_lost.push(m),
            1 => self.paused.push(m),
            2 => self.inbound_lost.push(m),
            3 => {
                self.outbound_lost.push(m);
                self.commands_refused.push(m);
            }
            4 => self.end_machine_faults(),
            5 => self.fail_over(),
            _ => self.store_available = !self.store_available,
        }
        for list in [&mut self.outbound_lost, &mut self.paused, &mut self.inbound_lost, &mut self.commands_refused] {
            list.retain(|m| !FAULT_FREE_MACHINES.contains(m));
        }
    }

    /// Ends the faults of all machines.
    pub(super) fn end_machine_faults(&mut self) {
        (self.outbound_lost, self.paused, self.inbound_lost, self.commands_refused) = Default::default();
    }
}
