//! Whether a machine hears: its reports arrive, and so it looks alive, but answers and commands may not
//! reach it. Judged by answers that had to show an effect in its next report and did not: a higher token
//! to learn, a launch to report, a lease to renew (docs/operations.md, "Machines that do not hear").
//!
//! Kept by the owner in memory; a successor judges anew. It does no I/O and reads no clock, and no rule
//! rests on it: a task on a machine that does not hear stays bound until it is proven gone.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::book::Via;
use crate::standstill::Gap;
use crate::wire::workers::{Order, Report, TaskKey};

/// So many answers in a row without effect are no chance: a lost one is made good by the next.
const ENOUGH: u32 = 3;
/// A machine that hears nothing is returned once so many leases have ended, or past the time of as many.
const LOST_LEASES: u32 = 2;
/// Past the end of a lease; covers a machine's clock's drift and the way of a report.
const MARGIN: Duration = Duration::from_secs(2);
/// Answers closer together than this count once when a lease has ended: reports that were held up come in
/// a burst, and a worker that got no answer asks again 5 s later.
const APART: Duration = Duration::from_secs(4);
/// Answers remembered of the last lease.
const MOST_ANSWERS: usize = 16;

/// What speaks against a machine, and what for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Signs {
    /// Answers in a row that had no effect where one had to show.
    pub unheard: u32,
    /// Leases that ended although reports were answered, since one has lasted.
    pub lost: u32,
    /// Since the first of the row.
    pub for_: Duration,
    /// Many machines hear nothing, which points at the way out and at none of them.
    pub many: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Hears,
    Unclear,
    /// No new work.
    Deaf,
    /// To be returned.
    GivenUp,
}

/// The whole judgement.
pub fn judge(signs: Signs, lease: Duration) -> Verdict {
    let long = signs.lost >= LOST_LEASES || signs.for_ > lease * LOST_LEASES + MARGIN;
    match signs.unheard {
        0 => Verdict::Hears,
        n if n < ENOUGH => Verdict::Unclear,
        _ if long && !signs.many => Verdict::GivenUp,
        _ => Verdict::Deaf,
    }
}

/// What the report after an answer has to show if the answer was heard.
#[derive(Debug)]
struct Trial {
    token: Option<u64>,
    launch: Option<(TaskKey, u64)>,
}

impl Trial {
    fn shown(&self, report: &Report) -> bool {
        let token = self.token.is_some_and(|token| report.token >= token);
        let launch = |(task, attempt): &(TaskKey, u64)| {
            report.legs.iter().any(|leg| leg.task == *task && leg.attempt == *attempt)
        };
        token || self.launch.as_ref().is_some_and(launch)
    }
}

/// The evidence on one machine.
#[derive(Debug)]
pub struct Hearing {
    unheard: u32,
    lost: u32,
    /// When the first of the row was found to have had no effect.
    since: Option<Instant>,
    session: u64,
    /// When the session was first heard of here.
    session_since: Instant,
    /// Answers given in this session, within about a lease.
    answers: VecDeque<Instant>,
    trial: Option<Trial>,
    /// The newest report waits for its answer: answers to old ones reach nobody.
    unanswered: bool,
}

impl Hearing {
    pub fn new(now: Instant) -> Self {
        Self {
            unheard: 0,
            lost: 0,
            since: None,
            session: 0,
            session_since: now,
            answers: VecDeque::new(),
            trial: None,
            unanswered: false,
        }
    }

    /// A message newer than all before it.
    pub fn heard_of(&mut self, report: &Report, via: Via, lease: Duration, now: Instant) {
        let grown = report.session > self.session;
        if grown {
            (self.session, self.session_since) = (report.session, now);
        }
        if via == Via::Command {
            // It was answered in time, so a command has reached it.
            self.hears();
            return;
        }
        self.unanswered = true;
        let trial = self.trial.take();
        if grown {
            // An answer that was heard would have kept its lease for longer than this.
            let kept = |at: &&Instant| now.saturating_duration_since(**at) + MARGIN < lease;
            let unheard = self.answers.iter().filter(kept).count() as u32;
            self.answers.clear();
            if unheard > 0 {
                self.lost += 1;
                self.not_heard(unheard, now);
            }
        } else if let Some(trial) = trial {
            if trial.shown(report) {
                self.hears();
            } else {
                self.not_heard(1, now);
            }
        }
        // A session outlives a lease only by answers.
        let began = self.since.map_or(self.session_since, |at| at.max(self.session_since));
        if now.saturating_duration_since(began) > lease + MARGIN {
            self.hears();
            self.lost = 0;
        }
    }

    /// Its newest report is answered with this token and these orders.
    pub fn answered(&mut self, token: u64, knows: u64, orders: &[Order], now: Instant) {
        if !std::mem::take(&mut self.unanswered) {
            return;
        }
        if self.answers.back().is_none_or(|at| now.saturating_duration_since(*at) >= APART) {
            self.answers.push_back(now);
            if self.answers.len() > MOST_ANSWERS {
                self.answers.pop_front();
            }
        }
        let launch = orders.iter().find_map(|o| match o {
            Order::Launch { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        let token = Some(token).filter(|token| *token > knows);
        if token.is_some() || launch.is_some() {
            self.trial = Some(Trial { token, launch });
        }
    }

    /// This controller stood still: what it reads and answers next was mostly given up meanwhile.
    pub fn was_absent(&mut self, gap: Gap) {
        self.since = self.since.map(|at| gap.forgive(at));
        self.session_since = gap.forgive(self.session_since);
        self.trial = None;
        self.answers.clear();
    }

    /// Leases that it has lost stay counted until one lasts: commands may reach it where answers don't.
    fn hears(&mut self) {
        (self.unheard, self.since, self.trial) = (0, None, None);
    }

    fn not_heard(&mut self, answers: u32, now: Instant) {
        self.unheard = self.unheard.saturating_add(answers);
        self.since.get_or_insert(now);
    }

    pub fn signs(&self, many: bool, now: Instant) -> Signs {
        let for_ = self.since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        Signs { unheard: self.unheard, lost: self.lost, for_, many }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::workers::{Leg, LegStatus};

    const LEASE: Duration = Duration::from_secs(24);

    #[test]
    fn who_hears_by_cases() {
        let s = Duration::from_secs;
        for (name, unheard, lost, for_, many, want) in [
            ("nothing speaks against it", 0, 0, s(0), false, Verdict::Hears),
            ("a lease lost long ago, and well since", 0, 1, s(0), false, Verdict::Hears),
            ("a lost answer", 1, 0, s(3), false, Verdict::Unclear),
            ("two, and a lease, as after a short cut", 2, 1, s(30), false, Verdict::Unclear),
            ("three in a row", 3, 0, s(10), false, Verdict::Deaf),
            ("a lease that ended while it was answered", 4, 1, s(0), false, Verdict::Deaf),
            ("a second one", 8, 2, s(24), false, Verdict::GivenUp),
            ("too long, though its lease was not seen to end", 5, 0, s(51), false, Verdict::GivenUp),
            ("many, however long", 40, 9, s(600), true, Verdict::Deaf),
        ] {
            assert_eq!(judge(Signs { unheard, lost, for_, many }, LEASE), want, "{name}");
        }
    }

    /// Plays messages to and answers of one owner with token 7, as (seconds, what): `r` a report, `R` one of the
    /// next session, `c` the reply to a command, `o` a copy that changes nothing; `+l` and `+t` answer it with a
    /// launch and to a worker that does not know the token, `+` without either; `l` and `t` show them.
    fn play(steps: &[(f64, &str)]) -> (u32, u32) {
        let start = Instant::now();
        let mut hearing = Hearing::new(start);
        let task = TaskKey { job: "run-1".into(), index: 0 };
        let (mut session, mut seq) = (1, 0);
        for (at, what) in steps {
            let now = start + Duration::from_secs_f64(*at);
            let (message, answer) = what.split_once('+').map_or((*what, None), |(m, a)| (m, Some(a)));
            session += u64::from(message.starts_with('R'));
            seq += 1;
            let leg = Leg { task: task.clone(), attempt: 1, status: LegStatus::Fetching, cause: None, saved: None };
            let report = Report {
                machine: "m".into(),
                addr: "127.0.0.1:9".into(),
                type_name: "t".into(),
                zone: "a".into(),
                spot: false,
                session,
                seq,
                token: if message.contains('t') { 7 } else { 3 },
                notice_s: None,
                legs: if message.contains('l') { vec![leg] } else { Vec::new() },
            };
            let via = if message.starts_with('c') { Via::Command } else { Via::Report };
            if !message.starts_with('o') {
                hearing.heard_of(&report, via, LEASE, now);
            }
            if let Some(answer) = answer {
                let launch = [Order::Launch { task: task.clone(), attempt: 1 }];
                let orders: &[Order] = if answer.contains('l') { &launch } else { &[] };
                hearing.answered(7, if answer.contains('t') { 3 } else { 7 }, orders, now);
            }
        }
        let signs = hearing.signs(false, start);
        (signs.unheard, signs.lost)
    }

    #[test]
    fn what_speaks_against_a_machine_by_cases() {
        type Case<'a> = (&'a str, &'a [(f64, &'a str)], (u32, u32));
        let cases: [Case; 13] = [
            ("well", &[(0.0, "r+l"), (3.0, "rl+"), (6.0, "rl+")], (0, 0)),
            ("nothing to show, nothing to tell", &[(0.0, "r+"), (5.0, "r+"), (10.0, "r+")], (0, 0)),
            ("launches without effect", &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+l")], (3, 0)),
            ("a token it never learns", &[(0.0, "r+t"), (5.0, "r+t"), (10.0, "r+t"), (15.0, "r+t")], (3, 0)),
            ("it learns it after all", &[(0.0, "r+t"), (5.0, "r+t"), (10.0, "r+t"), (15.0, "rt+")], (0, 0)),
            ("one of two is enough", &[(0.0, "r+lt"), (5.0, "r+lt"), (10.0, "rt+l")], (0, 0)),
            (
                "a lease ends though it is answered",
                &[(0.0, "r+"), (5.0, "r+"), (10.0, "r+"), (15.0, "r+"), (20.0, "r+"), (25.0, "R+")],
                (4, 1),
            ),
            ("a lease ends while it hangs", &[(0.0, "r+"), (3.0, "r+"), (28.0, "R+")], (0, 0)),
            (
                "reports held back by a cut come in a burst, then the next session",
                &[(0.0, "r+"), (35.0, "r+"), (35.0, "r+"), (35.1, "r+"), (35.9, "R+")],
                (1, 1),
            ),
            (
                "a command reaches it",
                &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+l"), (16.0, "c"), (17.0, "r+")],
                (0, 0),
            ),
            (
                "its session lasts for more than a lease",
                &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+"), (28.0, "r+"), (32.0, "r+")],
                (0, 0),
            ),
            (
                "commands reach it, answers never",
                &[
                    (0.0, "r+"),
                    (9.0, "r+"),
                    (20.0, "r+"),
                    (25.0, "R+"),
                    (26.0, "c"),
                    (30.0, "r+"),
                    (35.0, "r+"),
                    (40.0, "r+"),
                    (49.0, "R+"),
                ],
                (3, 2),
            ),
            ("answers to old copies prove nothing", &[(0.0, "r+"), (1.0, "o+l"), (2.0, "o+l"), (9.0, "r+")], (0, 0)),
        ];
        for (name, steps, want) in cases {
            assert_eq!(play(steps), want, "{name}");
        }
    }
}
