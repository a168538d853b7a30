//! What a controller may still say, judged by what it can prove itself and by what the others say.
//!
//! A controller that the state service does not answer cannot tell whether that is so for all. If it is,
//! nobody else can come to own, and the machines are best held where they are. If it is not, another owns
//! after the leader's lease, and a 200 from here only keeps machines from it. The others' word tells the
//! two apart; whoever hears nobody says less and less, and holds only the machines that come back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What a judgement rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// Age of the last proof of freshness; none if there is none that counts.
    pub proof: Option<Duration>,
    /// The state service has answered nothing for this long.
    pub refused: Duration,
    /// Other controllers by the settings, and those heard of lately.
    pub peers: usize,
    pub heard: usize,
    /// How long one of those has said without a break that it can answer.
    pub answering: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Knows what is stored.
    Sound,
    /// Does not, and another does.
    Passed,
    /// All others were heard of and none knows either, or only just: nobody can have come to own.
    Outage,
    /// Does not, and cannot tell what the others know.
    Lone,
}

/// How long it may take until something counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    pub proof: Duration,
    pub refused: Duration,
    /// After an outage some are answered sooner than others, and every lease has its full time again: what
    /// another has been able to for less than this says nothing.
    pub answering: Duration,
}

impl Patience {
    /// Until the load balancer is told to send users elsewhere: longer after each time of late, since it waits
    /// twice as long after each before it comes back (up to 60 s).
    pub fn of_health(removals: u32) -> Self {
        let longer = |s: u64| Duration::from_secs((s << removals.min(4)).min(20));
        Self { proof: longer(5), refused: longer(2), answering: Duration::from_secs(2) }
    }

    /// Until workers are let go: another may own once the leader's lease is over, and a proof may be late by
    /// its own pause and one answer that never came.
    pub fn of_ownership(leader_lease: Duration) -> Self {
        let proof = leader_lease.max(Duration::from_secs(2)) + Duration::from_secs(3);
        Self { proof, refused: proof, answering: leader_lease }
    }
}

impl Seen {
    pub fn standing(&self, patience: Patience) -> Standing {
        let knows = self.proof.is_some_and(|age| age < patience.proof) && self.refused < patience.refused;
        match self {
            _ if knows => Standing::Sound,
            Seen { answering: Some(long), .. } if *long >= patience.answering => Standing::Passed,
            Seen { peers, heard, .. } if heard >= peers => Standing::Outage,
            _ => Standing::Lone,
        }
    }
}

impl Standing {
    /// Whether users are sent here, and workers held or sent on as the mirror has it. In an outage the load
    /// balancer must have someone, and ownership cannot change.
    pub fn speaks(self) -> bool {
        matches!(self, Self::Sound | Self::Outage)
    }
}

/// Removals longer ago than this do not lengthen the load balancer's pause any more.
const REMEMBERED: Duration = Duration::from_secs(120);

/// How often users were sent elsewhere of late. Pure.
#[derive(Debug, Default)]
pub struct Health {
    removed: Vec<Instant>,
    out: bool,
}

impl Health {
    /// Whether users are to be sent here now; to be asked about once a second.
    pub fn judge(&mut self, begun: bool, seen: Seen, now: Instant) -> bool {
        self.removed.retain(|at| now.saturating_duration_since(*at) < REMEMBERED);
        let patience = Patience::of_health(self.removed.len() as u32);
        // Whoever is out comes back by what it can do now, not by a longer patience.
        let patience = if self.out { Patience::of_health(0) } else { patience };
        let well = begun && seen.standing(patience).speaks();
        if begun && !well && !self.out {
            self.removed.push(now);
        }
        self.out = begun && !well;
        well
    }
}

/// Longest round of a worker through one other controller: it waits 4 s for an answer, and 1 s between two.
const ROUND: Duration = Duration::from_secs(5);
/// A worker is back from a round no sooner.
const BACK_AFTER: Duration = Duration::from_millis(800);
/// Machines remembered at the most; more are held.
const MOST: usize = 10_000;

#[derive(Debug, Clone, Copy)]
enum Errand {
    Away(Instant),
    Held(Instant),
}

/// Machines that report to an owner which may be one no more. Each is sent to look for another; one that
/// comes back has found none and is held, so that its lease does not end, and sent again later. Pure.
#[derive(Debug, Default)]
pub struct LetGo {
    errands: HashMap<String, Errand>,
    begun: bool,
}

impl LetGo {
    /// Whether this machine is to be held. `lease` is its own; `others` how many controllers it may ask.
    pub fn holds(&mut self, machine: &str, others: usize, lease: Duration, now: Instant) -> bool {
        // Its lease must outlast a round, or it would lose its work by looking.
        let round = ROUND * others as u32 + Duration::from_secs(1);
        if others == 0 || round > lease.mul_f64(0.75) {
            return true;
        }
        if self.errands.len() >= MOST && !self.errands.contains_key(machine) {
            return true;
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        let errand = match self.errands.get(machine) {
            Some(Errand::Away(at)) if since(*at) < BACK_AFTER => return false,
            Some(Errand::Away(at)) if since(*at) < lease => Errand::Held(now),
            Some(Errand::Held(at)) if since(*at) < lease / 3 => return true,
            _ => Errand::Away(now),
        };
        self.errands.insert(machine.to_owned(), errand);
        matches!(errand, Errand::Held(_))
    }

    pub fn remembered(&self) -> usize {
        self.errands.len()
    }

    /// True the first time since who owns was known.
    pub fn begins(&mut self) -> bool {
        !std::mem::replace(&mut self.begun, true)
    }

    /// Who owns is known again.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Duration = Duration::ZERO;

    fn s(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    #[test]
    fn what_each_may_say_by_cases() {
        use Standing::*;
        let (health, owner) = (Patience::of_health(0), Patience::of_ownership(s(3)));
        // (name, proof, refused for, heard of two others, one answering for, towards users, towards workers)
        for (name, proof, refused, heard, answering, users, workers) in [
            ("all well", Some(1), 0, 2, Some(99), Sound, Sound),
            ("all well, the others are ended", Some(1), 0, 0, None, Sound, Sound),
            ("refused for a moment", Some(1), 1, 2, Some(99), Sound, Sound),
            ("refused, the others are not", Some(3), 3, 2, Some(99), Passed, Sound),
            ("for longer than the leader's lease", Some(7), 7, 2, Some(99), Passed, Passed),
            ("served, but cannot prove anything", Some(5), 0, 2, Some(99), Passed, Sound),
            ("the same, for longer", Some(6), 0, 2, Some(99), Passed, Passed),
            ("back from a standstill", None, 0, 2, Some(99), Passed, Passed),
            ("the state service is out", Some(40), 40, 2, None, Outage, Outage),
            ("it is back, another was told sooner", Some(40), 40, 2, Some(1), Outage, Outage),
            ("for longer, and no lease can be over yet", Some(40), 40, 2, Some(2), Passed, Outage),
            ("for as long as a lease", Some(40), 40, 2, Some(3), Passed, Passed),
            ("it is out, and one controller is ended", Some(40), 40, 1, None, Lone, Lone),
            ("a zone is cut off with two of three in it", Some(40), 40, 1, None, Lone, Lone),
            ("cut off from all", Some(40), 40, 0, None, Lone, Lone),
            ("cut off from the state service, hears one", Some(40), 40, 1, Some(99), Passed, Passed),
        ] {
            let (proof, answering) = (proof.map(s), answering.map(s));
            let seen = Seen { proof, refused: s(refused), peers: 2, heard, answering };
            assert_eq!((seen.standing(health), seen.standing(owner)), (users, workers), "{name}");
        }
        let alone = Seen { proof: Some(s(40)), refused: s(40), peers: 0, heard: 0, answering: None };
        assert_eq!(alone.standing(owner), Outage, "the only controller there is");
    }

    /// A controller that flaps is kept out for up to a minute by the load balancer, at each of its removals
    /// longer: that is more than users have after the last trouble.
    #[test]
    fn health_does_not_flap() {
        let start = Instant::now();
        let mut health = Health::default();
        let (mut removals, mut last) = (0, true);
        // Refused for 8 s of every 10, for ten minutes.
        for second in 0..600 {
            let refused = s((second % 10).min(8));
            let seen = Seen { proof: Some(refused), refused, peers: 2, heard: 2, answering: Some(s(99)) };
            let well = health.judge(true, seen, start + s(second));
            assert!(last || !well || second % 10 < 2, "whoever is out stays out until it can answer: {second} s");
            removals += u32::from(last && !well);
            last = well;
        }
        assert!((5..=20).contains(&removals), "at most four in two minutes, and not twelve: {removals}");
        let sound = Seen { proof: Some(NOW), refused: NOW, peers: 2, heard: 2, answering: Some(s(99)) };
        assert!(health.judge(true, sound, start + s(601)), "and back at once");
        let lost = Seen { proof: Some(s(25)), refused: s(25), ..sound };
        assert!(!health.judge(true, lost, start + s(626)), "whatever was before, it is out after 20 s");
        assert!(!health.judge(false, sound, start + s(627)), "not before all is read");
    }

    /// A worker asks controllers in turn, as the protocol has it. Whoever can find an heir does so before
    /// that takes it for silent; whoever cannot never loses its lease by looking.
    #[test]
    fn machines_find_the_heir_or_are_held() {
        let lease = s(24);
        for (name, heir_from, cost_of_others, found_by) in [
            ("an heir at once", Some(0), 0, Some(3)),
            ("an heir that others know", Some(0), 4, Some(6)),
            ("an heir later", Some(60), 4, Some(95)),
            ("nobody, others refuse", None, 0, None),
            ("nobody, others do not answer", None, 4, None),
        ] {
            let start = Instant::now();
            let mut let_go = LetGo::default();
            let (mut at, mut node, mut answered) = (0u64, 0, 0);
            let mut found = None;
            while at < 200 && found.is_none() {
                match node {
                    0 if let_go.holds("m", 2, lease, start + s(at)) => {
                        answered = at;
                        at += 1;
                        continue;
                    }
                    0 => {}
                    1 => at += cost_of_others,
                    _ if heir_from.is_some_and(|from| at >= from) => found = Some(at),
                    _ => at += cost_of_others,
                }
                assert!(s(at - answered) < lease, "{name}: its lease ended at {at} s");
                (node, at) = ((node + 1) % 3, at + 1);
            }
            assert_eq!(found.is_some(), found_by.is_some(), "{name}");
            assert!(found <= found_by, "{name}: {found:?}");
            assert_eq!(let_go.remembered(), 1);
        }
        assert!(LetGo::default().holds("m", 4, lease, Instant::now()), "a round would outlast its lease");
    }
}
