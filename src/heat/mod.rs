//! Midday heat: while a rule holds, the work that it names goes ahead of others of the same urgency.
//!
//! Operators declare rules and hand in readings. The leader decides on and off and stores it; everybody acts on
//! what is stored, so every controller and every successor acts alike (docs/heat.md). All of it is pure.

pub mod decide;
pub mod readings;
pub mod rule;
#[cfg(test)]
mod tests;
pub mod waits;

use chrono::{DateTime, FixedOffset};
use tracing::Level;

pub use decide::{Status, Why, decide};
pub use readings::Reading;
pub use rule::Rule;

use crate::declarations::records::DeclarationKind;
use crate::declarations::{DeclarationLogic, DeclarationView, KnownNames, SpecError};
use crate::scheduling::fairness::Subject;
use crate::scheduling::fairness::floor;
use crate::scheduling::intents::{Ahead, Intents};
use waits::Waits;

impl Rule {
    /// Whose work it is about.
    fn names(&self) -> floor::Names {
        let classes = self.classes.iter().map(|name| (Subject::Class, name.as_str()));
        floor::Names::of(classes.chain(self.teams.iter().map(|name| (Subject::Team, name.as_str()))))
    }

    /// A stored time as the rule's operators read it.
    fn clock(&self, at_ms: u64) -> String {
        let offset = self.offset_min.checked_mul(60).and_then(FixedOffset::east_opt);
        let at = i64::try_from(at_ms).ok().and_then(DateTime::from_timestamp_millis);
        match (at, offset) {
            (Some(at), Some(offset)) => at.with_timezone(&offset).format("%Y-%m-%d %H:%M:%S %:z").to_string(),
            _ => format!("{at_ms} ms"),
        }
    }
}

impl DeclarationLogic for Rule {
    const KIND: DeclarationKind = DeclarationKind::Heat;
    type Spec = Rule;
    type Status = Status;

    fn check_spec(spec: &Rule, names: &KnownNames) -> Result<(), SpecError> {
        let teams: Vec<&str> = names.teams.iter().map(|team| team.name.as_str()).collect();
        spec.check(&names.classes, &teams)
    }

    fn next_status(_: &str, spec: &Rule, status: &Status, view: &DeclarationView) -> Option<Status> {
        let readings: Vec<Reading> =
            spec.sensors.iter().filter_map(|name| Some(view.registry.spec::<Reading>(name)?.0)).collect();
        decide(spec, status, readings.iter(), view.epoch, view.now_ms).or_else(|| {
            let held = status.holds(view.now_ms) && view.cluster.loaded;
            let waits = held.then(|| Waits::count(view.cluster, &spec.names(), view.now, view.now_ms))?;
            let next = Waits::next(status.waits.as_ref(), waits)?;
            Some(Status { waits: Some(next), ..status.clone() })
        })
    }

    /// Several rules on at once: all that any of them names, and the largest part that one of them states,
    /// so that another rule takes no more from others than they have been told of.
    fn add_intents(_: &str, spec: &Rule, status: &Status, view: &DeclarationView, intents: &mut Intents) {
        if !status.holds(view.now_ms) {
            return;
        }
        let before = intents.ahead.take();
        let most_part = before.as_ref().map_or(0.0, |ahead| ahead.most_part).max(spec.most_part.min(rule::MOST_PART));
        let mut names = before.map(|ahead| ahead.names).unwrap_or_default();
        names.join(spec.names());
        intents.ahead = Some(Ahead { names, most_part });
    }

    fn describe(_: &str, spec: &Rule, status: &Status, now_ms: u64) -> Vec<String> {
        let mut lines = vec![match (status.holds(now_ms), status.on) {
            (true, _) => format!(
                "on: {}; since {}, until {} at the latest; before others up to {} of the cores",
                status.why,
                spec.clock(status.since_ms),
                spec.clock(status.until_ms),
                spec.most_part
            ),
            (false, true) => format!("off: ended at {}; not written yet", spec.clock(status.until_ms)),
            (false, false) if status.since_ms > 0 => {
                format!("off: {}; since {}", status.why, spec.clock(status.since_ms))
            }
            (false, false) => format!("off: {}", status.why),
        }];
        if let Some(waits) = &status.waits {
            let oldest =
                waits.oldest.as_ref().map_or(String::new(), |id| format!(", the oldest {id} for {} s", waits.oldest_s));
            lines.push(format!("waiting as of {}: {} jobs{oldest}", spec.clock(waits.as_of_ms), waits.jobs));
        }
        lines.extend(status.history.iter().rev().map(|turned| {
            let to = if turned.on { "on" } else { "off" };
            format!("{} {to}: {} (epoch {})", spec.clock(turned.at_ms), turned.why, turned.epoch)
        }));
        lines
    }

    fn status_events(name: &str, before: &Status, after: &Status) -> Vec<(Level, String)> {
        let mut news = Vec::new();
        if after.on != before.on {
            let to = if after.on { "on" } else { "off" };
            let level = if matches!(after.why, Why::RanOut | Why::Clock) { Level::WARN } else { Level::INFO };
            news.push((level, format!("heat rule {name} is {to}: {}", after.why)));
        } else if after.until_ms != before.until_ms {
            news.push((Level::INFO, format!("heat rule {name} now ends at {} ms", after.until_ms)));
        }
        let stage = |status: &Status| status.waits.as_ref().map_or(0, |waits| waits.stage);
        if let Some(waits) = after.waits.as_ref().filter(|waits| before.waits.as_ref() != Some(*waits)) {
            let level = if stage(after) > stage(before) { Level::WARN } else { Level::INFO };
            let oldest =
                waits.oldest.as_ref().map_or(String::new(), |id| format!(" oldest={id} for_s={}", waits.oldest_s));
            news.push((level, format!("heat rule {name}: waiting={}{oldest}", waits.jobs)));
        }
        news
    }
}

/// A reading has no status: rules look at what is handed in.
impl DeclarationLogic for Reading {
    const KIND: DeclarationKind = DeclarationKind::Reading;
    type Spec = Reading;
    type Status = ();

    fn check_spec(spec: &Reading, _: &KnownNames) -> Result<(), SpecError> {
        if !spec.sane() {
            return Err(SpecError::new("value", format!("{} is no reading", spec.value)));
        }
        Ok(())
    }

    fn next_status(_: &str, _: &Reading, _: &(), _: &DeclarationView) -> Option<()> {
        None
    }

    fn add_intents(_: &str, _: &Reading, _: &(), _: &DeclarationView, _: &mut Intents) {}

    fn describe(_: &str, spec: &Reading, _: &(), now_ms: u64) -> Vec<String> {
        let age = spec.age_ms(now_ms).map_or("at a time ahead of this clock: it does not count".to_owned(), |age| {
            format!("{} s ago", age / 1000)
        });
        vec![format!("{}, read {age}", spec.value)]
    }

    fn status_events(_: &str, _: &(), _: &()) -> Vec<(Level, String)> {
        Vec::new()
    }
}
