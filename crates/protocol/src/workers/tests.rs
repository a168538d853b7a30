use super::*;
use serde_json::json;

#[test]
fn inconsistent_or_malformed_heartbeat_is_rejected() {
    let good = json!({"berth":"host-1","endpoint":"127.0.0.1:9","fleet":"g","yard":"a","borrowed":true,
        "shift":1,"tally":8,"baton":0,"recallS":null,"legs":[
          {"leg":"run-1/3","try":2,"status":"ended","cause":"done"}]});
    let read = |v: &serde_json::Value| crate::decode::<Heartbeat>(&crate::encode(v)).ok().filter(Heartbeat::check);
    assert_eq!(read(&good).unwrap().attempts[0].task.index, 3);
    for (pointer, bad) in [
        ("/legs/0/leg", json!("run-1")),
        ("/legs/0/status", json!("lost")),
        ("/legs/0/cause", json!(null)),
        ("/endpoint", json!("nowhere")),
        ("/shift", json!(0)),
        ("/tally", json!(-1)),
    ] {
        let mut value = good.clone();
        *value.pointer_mut(pointer).unwrap() = bad;
        assert!(read(&value).is_none(), "{pointer}");
    }
}

#[test]
fn halt_command_is_encoded_with_its_wire_names() {
    let task = TaskKey { job: "run-7".into(), index: 1 };
    let command = WorkerCommand::Halt { task, attempt: 3, grace_s: 10 };
    assert_eq!(serde_json::to_value(&command).unwrap(), json!({"verb":"halt","leg":"run-7/1","try":3,"windDownS":10}));
}
