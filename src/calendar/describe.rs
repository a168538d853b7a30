//! Descriptions of planning windows, in lines for operators.

use super::spec::{WindowSpec, format_day};
use super::status::{ClaimEnd, ClosedInstance, InstanceOutcome, TurnClaim, WindowInstance, WindowStatus};

/// Formats a duration in seconds, minutes or hours.
fn format_duration(ms: u64) -> String {
    let s = ms / 1000;
    match s {
        0..120 => format!("{s} s"),
        120..7200 => format!("{} min", s / 60),
        _ => format!("{} h", s / 3600),
    }
}

/// Describes a closed instance in one line.
pub fn describe_closed(closed: &ClosedInstance) -> String {
    let outcome = match closed.outcome {
        InstanceOutcome::Met => "met".to_owned(),
        InstanceOutcome::Missed(reason) => format!("missed: {}", reason.as_str()),
    };
    let counts = format!("{} of {} claimed, {} done in time", closed.claimed, closed.jobs, closed.done);
    let late = closed.delay_ms().map(|ms| format!(", told {} after its closing", format_duration(ms)));
    format!("{} {outcome} ({counts}{})", format_day(closed.day), late.unwrap_or_default())
}

/// Describes the schedule, the next instance, the last closed instance and the missed instances to confirm.
pub fn describe(spec: &WindowSpec, status: &WindowStatus, now_ms: u64) -> Vec<String> {
    let cores = if spec.cores > 0.0 { format!(", cores {}", spec.cores) } else { String::new() };
    let mut lines = vec![format!("{}, team {}, jobs {}{cores}", spec.describe_schedule(), spec.team, spec.jobs)];
    match status.instance(spec, now_ms) {
        None => lines.push("  nothing more to come".into()),
        Some(instance) => lines.extend(describe_instance(&instance, now_ms)),
    }
    let is_not_missed = |closed: &&ClosedInstance| status.missed.iter().all(|missed| missed.day != closed.day);
    lines.extend(status.last.iter().filter(is_not_missed).map(|closed| format!("  {}", describe_closed(closed))));
    let missed = status.missed.iter().rev();
    lines.extend(missed.map(|closed| format!("  {}, not confirmed", describe_closed(closed))));
    if let Some(dropped) = status.dropped {
        let (count, last) = (dropped.count, format_day(dropped.last));
        lines.push(format!("  {count} older missed ones up to {last} are not kept, not confirmed"));
    }
    lines
}

/// Describes the instance that closes next.
fn describe_instance(instance: &WindowInstance, now_ms: u64) -> Vec<String> {
    let next = if now_ms < instance.opens_ms {
        format!("opens in {}", format_duration(instance.opens_ms - now_ms))
    } else if now_ms < instance.closes_ms {
        format!("closes in {}", format_duration(instance.closes_ms - now_ms))
    } else {
        "closed, end not decided yet".to_owned()
    };
    let mut lines = vec![format!("  {} {}, {next}", format_day(instance.day), instance.state_name(now_ms))];
    lines.extend(instance.claims.iter().map(|claim| {
        let state = claim_state(claim, instance);
        format!("    turn {} {} {state}", claim.turn, claim.job)
    }));
    if instance.unclaimed {
        lines.push("    unclaimed at its latest possible start".into());
    }
    if instance.late {
        lines.push("    late: a claimed job had not begun at its latest possible start".into());
    }
    lines
}

/// Describes the state of a claim.
fn claim_state(claim: &TurnClaim, instance: &WindowInstance) -> &'static str {
    match claim.end {
        Some(ClaimEnd::Done(ended_ms)) if ended_ms > instance.closes_ms => "done late",
        Some(ClaimEnd::Done(_)) => "done",
        Some(ClaimEnd::Cancelled) => "withdrawn",
        None if claim.turn <= instance.turn => "its turn has come",
        None => "waits for its turn",
    }
}
