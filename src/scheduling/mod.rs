//! Scheduling: the leader's cluster state, the decisions based on it, and the loop that makes them.

pub mod backfill;
pub mod capacity;
pub mod cluster;
pub mod commit;
pub mod due;
pub mod failure_attribution;
pub mod fairness;
pub mod forecast;
pub mod ids;
pub mod intents;
pub mod large;
pub mod leader_state;
pub mod load;
pub mod messages;
pub mod one_way_partition;
pub mod passed_over;
pub mod plan;
pub mod preempt;
pub mod promises;
pub mod reservations;
mod schedule;
pub mod scheduler;
pub mod scheduling_loop;
mod service_report;
#[cfg(test)]
mod tests;

pub use cluster::ClusterState;
