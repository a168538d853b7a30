//! Operators' commands against the state service: a refused command writes nothing, and a command whose answer is lost
//! is written once.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::process::Command;
use std::time::Duration;

use hollylanding::declarations::operator::{NoAnswer, Operator, OperatorError, Refusal};
use hollylanding::declarations::table::KindOperations;
use hollylanding::declarations::{
    DeclarationKind, DeclarationLogic, DeclarationView, KnownNames, NoEvent, SpecError, VerbOutcome,
};
use hollylanding::scheduling::intents::Intents;
use hollylanding::settings::Settings;
use hollylanding_emulator::world::store::Limits;
use serde::{Deserialize, Serialize};
use stand_in::{World, open_world, settings};
use tokio::runtime::Runtime;

#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
/// The spec of the test's declaration kind.
struct Plan {
    team: String,
    #[serde(default)]
    paused: bool,
}

/// A minimal logic for declarations of windows.
struct Windows;

impl DeclarationLogic for Windows {
    const KIND: DeclarationKind = DeclarationKind::Window;
    type Spec = Plan;
    type Status = bool;
    type Event = NoEvent;

    fn check_spec(spec: &Plan, names: &KnownNames) -> Result<(), SpecError> {
        let known = names.teams.iter().any(|team| team.name == spec.team);
        if known { Ok(()) } else { Err(SpecError::new("team", format!("{:?} is unknown", spec.team))) }
    }
    fn next_status(_: &str, _: &Plan, _: &bool, _: &DeclarationView) -> Option<bool> {
        None
    }
    fn add_intents(_: &str, _: &Plan, _: &bool, _: &DeclarationView, _: &mut Intents) {}
    fn describe(_: &str, spec: &Plan, _: &bool, _: u64) -> Vec<String> {
        vec![format!("team {}{}", spec.team, if spec.paused { ", paused" } else { "" })]
    }
    fn status_events(_: &bool, _: &bool) -> Vec<NoEvent> {
        Vec::new()
    }
    fn apply_verb(verb: &str, spec: &Plan, _: &bool, _: u64) -> Result<VerbOutcome<Plan>, SpecError> {
        match verb {
            "pause" if !spec.paused => Ok(VerbOutcome { spec: Plan { paused: true, ..spec.clone() }, cancel: None }),
            _ => Err(SpecError::new("verb", format!("{verb:?} is not to be done"))),
        }
    }
}

static KINDS: [KindOperations; 1] = [KindOperations::of::<Windows>()];

fn operator(door: &str, patience: Duration) -> Operator {
    let settings = Settings::parse(&settings("node-a", &[], door).to_string()).unwrap();
    Operator::new(settings, &KINDS, patience)
}

fn texts(refusals: &[Refusal]) -> Vec<String> {
    refusals.iter().map(ToString::to_string).collect()
}

/// Returns the reasons for which a command was refused.
fn refusals<T: std::fmt::Debug>(outcome: Result<T, OperatorError>) -> Vec<String> {
    match outcome {
        Err(OperatorError::Refused(refusals)) => texts(&refusals),
        other => panic!("{other:?}"),
    }
}

/// Returns how many changes the store has carried out.
fn count_changes(world: &World) -> u64 {
    world.state.lock().unwrap().changes
}

#[test]
fn invalid_specs_are_refused_by_field_and_value() {
    let operator = operator("127.0.0.1:1", Duration::ZERO);
    let many: Vec<_> = (0..1001).map(|n| serde_json::json!({"name": format!("w{n}"), "team": "blue"})).collect();
    let large = format!(r#"{{"name":"w","team":"{}"}}"#, "x".repeat(9000));
    for (text, want) in [
        (r#"{"name":"w","team":"blue"}"#, None),
        (r#"[{"name":"w","team":"blue"},{"name":"v","team":"blue","paused":true}]"#, None),
        (r#"{"name":"w","team":"green"}"#, Some(r#"w: team: "green" is unknown"#)),
        (r#"[{"name":"w","team":"blue"},{"name":"v"}]"#, Some("v: spec: missing field `team`")),
        (r#"{"name":"w","team":7}"#, Some("w: team: invalid type: integer `7`, expected a string")),
        (
            r#"{"name":"w","team":"blue","paused":"no"}"#,
            Some("w: paused: invalid type: string \"no\", expected a boolean"),
        ),
        (r#"{"name":"w","team":"blue","hue":1}"#, Some("w: hue: unknown field `hue`, expected `team` or `paused`")),
        (r#"{"team":"blue"}"#, Some("[0]: name: missing")),
        (r#"{"name":"W","team":"blue"}"#, Some("W: name: \"W\" is not 1 to 64 of a-z, 0-9, dot and dash")),
        (r#"[{"name":"w","team":"blue"},{"name":"w","team":"blue"}]"#, Some("w: name: given twice")),
        (&serde_json::to_string(&many).unwrap(), Some("window: 1001 are more than the 1000 that can be declared")),
        (&large, Some("w: spec: 9011 bytes are more than the 8192 that can be stored")),
        ("{", Some("EOF while parsing an object at line 1 column 1")),
    ] {
        let read = operator.parse_specs(DeclarationKind::Window, text);
        let problems = match read {
            Ok(_) => None,
            Err(OperatorError::Refused(refusals)) => Some(texts(&refusals)),
            Err(other) => panic!("{other:?}"),
        };
        assert_eq!(problems, want.map(|w| vec![w.to_owned()]), "{}", &text[..text.len().min(80)]);
    }
    let other = operator.parse_specs(DeclarationKind::Rollout, "{}");
    assert_eq!(refusals(other), ["kind: this build carries out no rollout"]);
}

#[test]
fn commands_write_once_and_refused_commands_write_nothing() {
    let runtime = Runtime::new().unwrap();
    runtime.block_on(async {
        let (world, door) = open_world().await;
        let operator = operator(&door, Duration::from_secs(20));
        let state = |key: &str| world.state.lock().unwrap().store.value(key).cloned();
        let two = r#"[{"name":"v","team":"blue"},{"name":"w","team":"blue"}]"#;
        let specs = operator.parse_specs(DeclarationKind::Window, two).unwrap();
        // The write is carried out and its answer lost: the command finds it stored and does not write it again.
        world.state.lock().unwrap().faults.unanswered_writes = 1;
        assert_eq!(operator.declare(DeclarationKind::Window, &specs).await.unwrap(), ["v", "w"]);
        let once = count_changes(&world);
        assert_eq!(operator.declare(DeclarationKind::Window, &specs).await.unwrap(), [""; 0], "already declared");
        assert_eq!(count_changes(&world), once);
        operator.apply_verb(DeclarationKind::Window, "pause", "w", "").await.unwrap();
        let shown = operator.show(None, None).await.unwrap();
        let lines: Vec<&str> = shown.iter().flat_map(|s| s.lines.iter().map(String::as_str)).collect();
        assert_eq!(lines, ["team blue", "team blue, paused"]);
        // Refused commands write nothing.
        let before = count_changes(&world);
        let again = operator.apply_verb(DeclarationKind::Window, "pause", "w", "").await;
        assert_eq!(refusals(again), ["verb: \"pause\" is not to be done"]);
        let none = operator.remove(DeclarationKind::Window, "u").await;
        assert_eq!(refusals(none), ["name: no window \"u\" is declared"]);
        let many: String = (0..999).map(|n| format!(r#"{{"name":"x{n}","team":"blue"}},"#)).collect();
        let many = operator.parse_specs(DeclarationKind::Window, &format!("[{}]", many.trim_end_matches(','))).unwrap();
        assert!(
            matches!(operator.declare(DeclarationKind::Window, &many).await, Err(OperatorError::Refused(_))),
            "with the two declared ones there would be 1001"
        );
        assert_eq!(count_changes(&world), before);
        // A removed name can be declared again once its status has been deleted.
        world.state.lock().unwrap().put("c/t/window/w".into(), &serde_json::json!(true));
        operator.remove(DeclarationKind::Window, "w").await.unwrap();
        assert!(state("c/s/window/w").is_none());
        let removed = operator.show(Some(DeclarationKind::Window), None).await.unwrap().pop().unwrap();
        assert!(removed.spec.is_none() && removed.lines[0].starts_with("removed"));
        let impatient_operator = Operator::new(
            Settings::parse(&settings("node-a", &[], &door).to_string()).unwrap(),
            &KINDS,
            Duration::from_millis(1),
        );
        let failed = impatient_operator.declare(DeclarationKind::Window, &specs).await;
        let Err(OperatorError::NoAnswer(why @ NoAnswer::StillBeingRemoved(_))) = failed else { panic!("{failed:?}") };
        assert_eq!(why.to_string(), "still being removed: c/t/window/w");
        let vanished = world.state.lock().unwrap().store.lose_newest_keys("c/t/window/w", 1);
        assert_eq!(vanished.len(), 1);
        assert_eq!(operator.declare(DeclarationKind::Window, &specs).await.unwrap(), ["w"]);
    });
}

/// Guards against a command that fails, or repeats one transaction until its timeout, since the state service has lowered
/// its limits: the declarations follow in smaller transactions.
#[test]
fn declarations_are_written_in_transactions_as_small_as_the_limits_ask_for() {
    let runtime = Runtime::new().unwrap();
    runtime.block_on(async {
        let (world, door) = open_world().await;
        let operator = operator(&door, Duration::from_secs(20));
        let specs: Vec<_> = (0..40).map(|n| serde_json::json!({"name": format!("w{n}"), "team": "blue"})).collect();
        let specs = operator.parse_specs(DeclarationKind::Window, &serde_json::to_string(&specs).unwrap()).unwrap();
        world.state.lock().unwrap().store.set_limits(Limits { txn_ops: 5, ..Limits::default() });
        assert_eq!(operator.declare(DeclarationKind::Window, &specs).await.unwrap().len(), 40);
        let state = world.state.lock().unwrap();
        assert_eq!(state.count("c/s/window/"), 40);
        assert!(state.invalid[0].changed_keys.len() > 5 && state.invalid.len() <= 10, "{:?}", state.invalid);
    });
}

/// The exit statuses that scripts see: 0, 1 and 2.
#[test]
fn command_exit_statuses() {
    let runtime = Runtime::new().unwrap();
    let (_world, door) = runtime.block_on(open_world());
    let file = std::env::temp_dir().join(format!("hollylanding-declared-{}.json", std::process::id()));
    std::fs::write(&file, settings("node-a", &[], &door).to_string()).unwrap();
    let run = |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hollylanding"));
        let output = command.args(words).arg("--config").arg(&file).output().unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        (output.status.code(), text(output.stdout), text(output.stderr))
    };
    assert_eq!(run(&["show", "--json"]), (Some(0), "[]\n".into(), String::new()));
    let (code, _, why) = run(&["remove", "window", "w"]);
    assert_eq!((code, why.as_str()), (Some(2), "hollylanding: name: no window \"w\" is declared\n"));
    assert_eq!(run(&["show", "windows"]).0, Some(2));
    assert_eq!(run(&["declare", "window", "/nowhere/to/be/found"]).0, Some(2));
    std::fs::remove_file(file).unwrap();
}
