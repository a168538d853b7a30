//! Human-readable descriptions of rollouts for operators.

use super::spec::RolloutSpec;
use super::status::RolloutStatus;

/// Describes a rollout's phase with its reason, its step, the replicas that may run, and the failures counted.
pub fn describe_rollout(name: &str, spec: &RolloutSpec, status: &RolloutStatus, now_ms: u64) -> Vec<String> {
    let phase = status.phase.as_str();
    let reason = if status.reason.is_empty() { String::new() } else { format!(": {}", status.reason) };
    let mut lines = vec![format!("{name}: {phase}{reason}")];
    lines.extend(describe_progress(spec, status, now_ms));
    if spec.surge == 0 {
        lines.push("  in place: one replica fewer than asked runs until each new one does".into());
    }
    let counts = &status.failure_counts;
    if counts.new > 0 {
        let (on_sound, max_machines) = (counts.failed_on.iter().filter(|f| !f.faulty).count(), spec.bad.failures);
        let (new, restarts, old) = (counts.new, spec.bad.restarts, counts.old);
        lines.push(format!(
            "  against it: {on_sound} of {max_machines} machines, {new} of {restarts} failures; the old one's {old}"
        ));
    }
    if status.phase.has_begun() && [&spec.old, &spec.new] != status.jobs(spec) {
        lines.push(format!("  the spec names {} and {} by now: remove it first", spec.old, spec.new));
    }
    lines
}

fn describe_progress(spec: &RolloutSpec, status: &RolloutStatus, now_ms: u64) -> Vec<String> {
    let targets = spec.step_targets();
    let [old, new] = status.jobs(spec);
    if !status.phase.has_begun() {
        let (replicas, surge) = (spec.replicas, spec.surge);
        return vec![format!("  {old} to {new}, {replicas} replicas, steps {targets:?}, surge {surge}")];
    }
    let (phase, for_s) = (status.phase.as_str(), now_ms.saturating_sub(status.since_ms) / 1000);
    let target = targets.get(status.step as usize).copied().unwrap_or(spec.replicas);
    let (step, steps, all) = (status.step + 1, targets.len(), spec.replicas);
    vec![
        format!("  step {step} of {steps}, to {target} of {all} replicas, {phase} for {for_s} s"),
        format!("  new {new}: may run {}", status.allowed_new),
        format!("  old {old}: meant to go {}", status.stopping_old),
    ]
}
