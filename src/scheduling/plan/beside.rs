//! Jobs that wait although a machine has room for them. Holds, room kept for gangs or arrivals, soft admission and
//! the rules of idle work each keep work out for a good reason, and any of them may go on for ever, alone or in
//! turns. One clock for each job bounds them together.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::queue::Turn;
use super::quotas::Quotas;
use super::search::Plan;
use super::unfit::Unfit;
use crate::jobs::JobId;
use crate::scheduling::cluster::JobState;
use crate::scheduling::room::{Room, Zones};

/// After this long beside room, over all reasons together, a job takes any room that fits, but for two: what others
/// were stopped for stays theirs until they have come or their hold ends, and what is kept for a gang is kept until
/// somebody has waited for `KEPT_FOR`.
pub const PATIENCE: Duration = Duration::from_secs(45);

/// Since when jobs have waited beside room without a break.
#[derive(Debug, Default)]
pub struct BesideRoom {
    since: HashMap<JobId, Instant>,
}

impl BesideRoom {
    /// The jobs that a plan has left waiting beside room; all others begin anew.
    pub fn note(&mut self, passed_over: HashSet<JobId>, now: Instant) {
        self.since.retain(|id, _| passed_over.contains(id));
        for id in passed_over {
            self.since.entry(id).or_insert(now);
        }
    }

    /// How long the one that has waited longest has.
    pub fn longest(&self, now: Instant) -> Duration {
        let oldest = self.since.values().min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(*since))
    }

    /// It has waited beside room for `PATIENCE`.
    pub fn overdue(&self, id: &JobId, now: Instant) -> bool {
        self.since.get(id).is_some_and(|since| now.saturating_duration_since(*since) >= PATIENCE)
    }
}

impl<'a> Plan<'a> {
    /// Whether a job of which so many tasks were placed in this plan has more that some room fits, by the machines, its
    /// own words and its team's limit alone.
    pub fn leaves_beside_room(&mut self, turn: &Turn<'a>, zones: &Zones<'a>, placed: usize, quotas: &Quotas) -> bool {
        let (job, spec) = (turn.job, turn.job.spec());
        let waiting = self.cluster.intents.waiting(turn.id, job);
        if placed >= waiting || (spec.is_gang() && placed > 0) {
            return false;
        }
        let need = if spec.is_gang() { waiting } else { 1 };
        // What is kept for arrivals is not kept from idle work that has yet to begin.
        let kept_from = spec.is_idle() && !job.bound.is_empty();
        quotas.allows(spec, need as f64) && self.fits_somewhere(job, zones, need, kept_from)
    }

    fn fits_somewhere(&mut self, job: &'a JobState, zones: &Zones<'a>, need: usize, kept_from: bool) -> bool {
        let spec = job.spec();
        let open = self.ground.open_to(spec, zones);
        if self.full.iter().any(|full| full.covers(job, need, &open)) {
            return false;
        }
        let mut by_zone: HashMap<&str, u64> = HashMap::new();
        let most_in_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u64::MAX };
        for at in 0..self.rooms.len() {
            self.looked += 1;
            let kind = self.rooms[at].kind;
            if open.get(kind) != Some(&true) || (kept_from && self.rooms[at].kept) {
                continue;
            }
            let units = self.with_set_aside(at).units(spec, need as u64);
            let in_zone = by_zone.entry(self.ground.zone(kind)).or_default();
            *in_zone = (*in_zone + units).min(most_in_zone);
            let found = if spec.same_zone { *in_zone } else { by_zone.values().sum() };
            if found >= need as u64 {
                return true;
            }
        }
        // A spread gang was refused rooms that others may use; for single tasks `open` says all of it.
        let refused_by_spread = spec.is_gang() && spec.spread;
        if !kept_from && !refused_by_spread {
            self.full.push(Unfit { spec, run: Duration::ZERO, tasks: need, open });
        }
        false
    }

    /// A room with what this plan has kept of it for gangs.
    fn with_set_aside(&self, at: usize) -> Room<'a> {
        let mut room = self.rooms[at];
        for piece in self.set_aside.iter().filter(|piece| piece.at == at) {
            (0..piece.tasks).for_each(|_| room.give_back(piece.spec));
        }
        room
    }
}
