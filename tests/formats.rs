//! Stored and sent formats match the fixtures: each sample is decoded and encoded again, and the list of all keys, fields,
//! settings and properties is compared. Lines between controllers are tested next to their private type, in
//! `src/membership/mesh/line/tests.rs`.

// A fixture that cannot be read fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod fixtures;

use std::collections::{BTreeMap, BTreeSet};

use hollylanding::cloud_orders::{CLOUD_ORDER_PREFIX, CloudOrder};
use hollylanding::declarations::records::{OPERATORS_KEY, SPEC_PREFIX, STATUS_PREFIX, spec_key, status_key};
use hollylanding::declarations::table::KINDS;
use hollylanding::declarations::{DeclarationKind, DeclarationLogic};
use hollylanding::jobs::{End, record};
use hollylanding::protocol::{self, cloud, jobs, state, users, workers};
use hollylanding::records::leadership as membership;
use hollylanding::settings::{Properties, Settings};
use hollylanding::store::Change;
use hollylanding::{calendar, heat, rollouts};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Decodes a sample with the present code and encodes it again.
type RoundTrip = fn(&Value) -> Result<Value, String>;

/// The files of samples. Each entry names its format (`form`).
const SAMPLES: [&str; 6] = ["stored.json", "declared.json", "users.json", "workers.json", "cloud.json", "state.json"];

/// Returns the round trip through the type that has this format.
fn round_trip(form: &str) -> RoundTrip {
    match form {
        "job" => stored::<record::JobRecord>,
        "ended job" => stored::<record::EndedRecord>,
        "tasks" => tasks,
        "earlier end" => stored::<record::OldEndRecord>,
        "upgraded" => stored::<record::UpgradeRecord>,
        "leader" => stored::<membership::LeaseHolder>,
        "assignment" => stored::<membership::LeaderRecord>,
        "watermark" => stored::<membership::ConfirmedCancellations>,
        "takeover request" => stored::<membership::TakeoverRequest>,
        "cloud order" => cloud_order,
        "window spec" => stored::<<calendar::Window as DeclarationLogic>::Spec>,
        "window status" => stored::<<calendar::Window as DeclarationLogic>::Status>,
        "heat spec" => stored::<<heat::HeatRule as DeclarationLogic>::Spec>,
        "heat status" => stored::<<heat::HeatRule as DeclarationLogic>::Status>,
        "reading spec" => stored::<<heat::Reading as DeclarationLogic>::Spec>,
        "rollout spec" => stored::<<rollouts::Rollout as DeclarationLogic>::Spec>,
        "rollout status" => stored::<<rollouts::Rollout as DeclarationLogic>::Status>,
        "job description" => message::<jobs::JobSpec>,
        "job answer" => message::<users::JobAnswer>,
        "heartbeat" => message::<workers::Heartbeat>,
        "commands" => message::<workers::WorkerCommands>,
        "catalog" => message::<cloud::Catalog>,
        "rental" => message::<cloud::ProvisioningRequest>,
        "machine names" => message::<cloud::MachineNames>,
        "machine page" => message::<cloud::MachinePage>,
        "transaction" => message::<state::CompareAndSwap>,
        "item" => message::<state::KeyValue>,
        "page" => message::<state::KeyValuePage>,
        "changes" => message::<state::WatchResponse>,
        "revision" => message::<state::StoreRevision>,
        "failed conditions" => message::<state::FailedConditions>,
        "lease" => message::<state::GrantedLease>,
        other => panic!("no type has the form {other:?}"),
    }
}

/// Decodes and encodes a value of the store.
fn stored<T: Serialize + DeserializeOwned>(value: &Value) -> Result<Value, String> {
    let decoded = T::deserialize(value).map_err(|error| error.to_string())?;
    serde_json::to_value(decoded).map_err(|error| error.to_string())
}

/// Decodes and encodes a MessagePack body. The result is compared by named fields, since their order has no meaning.
fn message<T: Serialize + DeserializeOwned>(value: &Value) -> Result<Value, String> {
    let decoded: T = protocol::decode(&protocol::encode(value)).map_err(|error| error.to_string())?;
    protocol::decode(&protocol::encode(&decoded)).map_err(|error| error.to_string())
}

fn tasks(value: &Value) -> Result<Value, String> {
    record::decode_shard(value).map(|tasks| record::encode_shard(&tasks, false)).ok_or_else(|| "unreadable".to_owned())
}

fn cloud_order(value: &Value) -> Result<Value, String> {
    let item = state::KeyValue { path: format!("{CLOUD_ORDER_PREFIX}x"), value: value.clone(), version: 1 };
    match CloudOrder::from_key_value(&item).map(|order| order.change()) {
        Some(Change::Write { write, value, .. }) if write == item.path => Ok(value),
        other => Err(format!("{other:?}")),
    }
}

/// Returns whether the encoded value has every field of a sample with its value; it may have further fields with defaults.
fn contains_sample(encoded: &Value, sample: &Value) -> bool {
    match (encoded, sample) {
        (Value::Object(encoded), Value::Object(sample)) => {
            sample.iter().all(|(field, value)| encoded.get(field).is_some_and(|found| contains_sample(found, value)))
        }
        (Value::Array(encoded), Value::Array(sample)) => {
            encoded.len() == sample.len()
                && encoded.iter().zip(sample).all(|(found, value)| contains_sample(found, value))
        }
        _ => encoded == sample,
    }
}

/// Returns all samples: the file and name, the format, whether the present code also writes it, and the value.
fn samples() -> Vec<(String, String, bool, Value)> {
    let entries = SAMPLES.into_iter().flat_map(|file| fixtures::entries(file).into_iter().map(move |e| (file, e)));
    let text = |entry: &Value, field: &str| entry[field].as_str().unwrap().to_owned();
    entries
        .map(|(file, entry)| {
            let both = match entry["use"].as_str() {
                Some("both") => true,
                Some("read") => false,
                other => panic!("{file}: use {other:?}"),
            };
            let name = format!("{file}: {}", text(&entry, "name"));
            (name, text(&entry, "form"), both, entry["value"].clone())
        })
        .collect()
}

#[test]
fn samples_are_decoded_and_encoded_to_the_same_bytes() {
    for (name, form, both, value) in samples() {
        let encoded = round_trip(&form)(&value).unwrap_or_else(|error| panic!("{name}: {error}"));
        if both {
            assert_eq!(encoded.to_string(), value.to_string(), "{name}");
        } else {
            assert!(contains_sample(&encoded, &value), "{name}: {value} became {encoded}");
        }
    }
}

/// The table of declaration kinds accepts every spec of the samples.
#[test]
fn declared_samples_are_read_by_the_table_of_kinds() {
    for entry in fixtures::entries("declared.json") {
        let form = entry["form"].as_str().unwrap();
        let Some(word) = form.strip_suffix(" spec") else { continue };
        let kind = KINDS.iter().find(|kind| kind.kind == DeclarationKind::from_name(word).unwrap()).unwrap();
        let written = (kind.spec_to_store)(&entry["value"], Some(&entry["value"]), 0).unwrap();
        let mut wanted = round_trip(form)(&entry["value"]).unwrap();
        for by_the_writer in ["declared_ms", "confirmed", "wanted", "word"] {
            if let Some(value) = written.get(by_the_writer) {
                wanted[by_the_writer] = value.clone();
            }
        }
        assert_eq!(written, wanted, "{}", entry["name"]);
    }
}

/// Collects the names of all leaves without positions in lists; a list of lists and texts adds only its name.
fn field_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            fields.iter().for_each(|(field, value)| field_paths(value, &below(field), paths));
        }
        Value::Array(items) if !items.is_empty() => {
            items.iter().for_each(|item| field_paths(item, &format!("{path}[]"), paths));
        }
        _ => drop(paths.insert(path.to_owned())),
    }
}

/// Returns the fields of each format as the present code writes them.
fn fields() -> BTreeMap<String, BTreeSet<String>> {
    let mut fields: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (name, form, both, value) in samples() {
        let encoded = round_trip(&form)(&value).unwrap_or_else(|error| panic!("{name}: {error}"));
        if both {
            field_paths(&encoded, "", fields.entry(form).or_default());
        }
    }
    // The present code writes these lines: their own test compares the bytes.
    for entry in fixtures::entries("peers.json").iter().filter(|entry| entry["use"] == "both") {
        let line: Value = serde_json::from_str(entry["line"].as_str().unwrap()).unwrap();
        field_paths(&line, "", fields.entry("line between controllers".to_owned()).or_default());
    }
    fields
}

/// Returns every key and prefix of the store.
fn keys() -> Value {
    let id = "run-000412";
    let declarations = DeclarationKind::ALL.map(|kind| json!([spec_key(kind, "name"), status_key(kind, "name")]));
    json!({
        "mirrored": [record::CACHED_PREFIX, record::CACHED_START_AFTER],
        "open job": [record::OPEN_JOB_PREFIX, record::open_key(id)],
        "done job": [record::DONE_JOB_PREFIX, record::ended_key(id, End::Done)],
        "withdrawn job": [record::CANCELLED_JOB_PREFIX, record::ended_key(id, End::Cancelled)],
        "both ends": record::ended_keys(id),
        "earlier job": [record::OLD_JOB_PREFIX, record::old_job_key(id)],
        "earlier end": [record::OLD_END_PREFIX, record::old_end_key(id)],
        "upgraded": record::UPGRADED_KEY,
        "leader": record::LEASE_HOLDER_KEY,
        "assignment": record::LEADER_RECORD_KEY,
        "takeover request": record::TAKEOVER_REQUEST_KEY,
        "watermark": record::WATERMARK_KEY,
        "tasks": [record::TASK_SHARD_PREFIX, record::shard_key(id, 7 * record::TASKS_PER_SHARD)],
        "tasks of one chunk": record::TASKS_PER_SHARD,
        "cloud orders": CLOUD_ORDER_PREFIX,
        "declared": [SPEC_PREFIX, STATUS_PREFIX, OPERATORS_KEY],
        "declared by kind": declarations,
    })
}

/// Collects a JSON pointer to each leaf of a value.
fn leaves(value: &Value, pointer: &str, all: &mut Vec<String>) {
    let mut below = |name: &str, value: &Value| leaves(value, &format!("{pointer}/{name}"), all);
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| below(name, value)),
        Value::Array(items) => items.iter().enumerate().for_each(|(n, value)| below(&n.to_string(), value)),
        _ => all.push(pointer.to_owned()),
    }
}

/// Returns the settings that are read and those that are ignored. A setting is read if a value that no setting may have is
/// rejected in its place.
fn settings_read() -> (Vec<String>, Vec<String>) {
    let value = fixtures::read("settings.json")["value"].clone();
    Settings::parse(&value.to_string()).unwrap();
    let mut all = Vec::new();
    leaves(&value, "", &mut all);
    let refused = |pointer: &String| {
        let mut changed = value.clone();
        *changed.pointer_mut(pointer).unwrap() = json!({"no": ["setting"]});
        Settings::parse(&changed.to_string()).is_err()
    };
    let (read, ignored): (Vec<String>, Vec<String>) = all.into_iter().partition(refused);
    let dotted = |pointers: Vec<String>| pointers.iter().map(|p| p[1..].replace('/', ".")).collect();
    (dotted(read), dotted(ignored))
}

#[test]
fn settings_are_read_under_their_names() {
    let (_, ignored) = settings_read();
    let mut wanted: Vec<String> = serde_json::from_value(fixtures::read("settings.json")["ignored"].clone()).unwrap();
    wanted.sort();
    let mut ignored = ignored;
    ignored.sort();
    assert_eq!(ignored, wanted);
}

/// Each property is set under the name under which it is shown.
#[test]
fn properties_are_set_under_their_names() {
    let lines = |text: &str| Properties::parse(text.as_bytes()).unwrap().lines();
    for (name, default) in Properties::default().lines() {
        // For every property half of the default or the default itself is within the allowed range.
        let half = default.parse::<f64>().unwrap() / 2.0;
        let text = format!("{name}={half}");
        let changed = Properties::parse(text.as_bytes()).is_ok();
        let value = if changed { half.to_string() } else { default.clone() };
        let wanted: Vec<(&str, String)> = lines("")
            .into_iter()
            .map(|(other, present)| (other, if other == name { value.clone() } else { present }))
            .collect();
        assert_eq!(lines(&format!("{name}={value}")), wanted, "{name}");
    }
}

#[test]
fn names_of_keys_fields_settings_and_properties_are_unchanged() {
    let properties: BTreeMap<&str, String> = Properties::default().lines().into_iter().collect();
    let now = json!({
        "keys": keys(), "fields": fields(), "settings": settings_read().0, "properties": properties,
    });
    fixtures::assert_recorded("names.json", &now);
}

/// The present code knows the key of every stored sample.
#[test]
fn samples_are_stored_under_known_keys() {
    let mut known = BTreeSet::new();
    let mut todo = vec![keys()];
    while let Some(value) = todo.pop() {
        match value {
            Value::Object(fields) => todo.extend(fields.into_iter().map(|(_, value)| value)),
            Value::Array(items) => todo.extend(items),
            Value::String(key) => drop(known.insert(key)),
            _ => {}
        }
    }
    known.remove(record::CACHED_PREFIX);
    for entry in fixtures::entries("stored.json").iter().chain(&fixtures::entries("declared.json")) {
        let key = entry["key"].as_str().unwrap();
        assert!(known.contains(key) || known.iter().any(|k| k.ends_with('/') && key.starts_with(k)), "{key}");
    }
}
