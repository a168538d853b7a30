use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::line::{LINE_LIMIT, LineError};
use super::peers::{PeerReport, PeerStates};
use super::receive::{accept, apply_line, names_impossible_leader};
use crate::controller::Controller;
use crate::membership::Membership;
use crate::records::leadership::{LeaderRecord, Watermark};
use crate::sync::lock;

/// How long another has been answered tells an outage that has just ended from one of this controller's
/// own: by its word of the moment every leader let its workers go at the end of every outage.
#[test]
fn since_when_the_others_can_answer() {
    let (t, s) = (Instant::now(), Duration::from_secs);
    let mut heard = PeerStates::default();
    for (at, node, serves, want) in [
        (0, "b", true, (1, Some(0))),
        (1, "b", true, (1, Some(1))),
        (2, "c", false, (2, Some(2))),
        (3, "b", false, (2, None)),
        (4, "b", true, (2, Some(0))),
        (5, "b", true, (2, Some(1))),
        // Not heard for a while: whatever it said before is void.
        (20, "b", true, (1, Some(0))),
    ] {
        let report = PeerReport { node: node.into(), store_serves: serves, wants: Default::default(), acknowledged: 0 };
        heard.record(report, t + s(at));
        assert_eq!(heard.others(t + s(at)), (want.0, want.1.map(s)), "{node} at {at}");
    }
    assert!(heard.hears("b", t + s(23)) && !heard.hears("b", t + s(24)) && !heard.hears("c", t + s(20)));
}

fn assigned(node: &str, version: u64) -> (LeaderRecord, u64) {
    (LeaderRecord { node: node.into(), incarnation: "1".into(), teams: Vec::new() }, version)
}

#[test]
fn tokens_that_never_were_by_cases() {
    for (name, from, fencing_token, known, through, want) in [
        ("the leader's", "b", 7, Some(("b", 7)), Some(9), false),
        ("an earlier leader's, on its way", "b", 5, Some(("c", 7)), Some(9), false),
        ("one that was not heard of yet", "b", 12, Some(("c", 7)), Some(9), false),
        ("one that the store would have told of", "b", 8, Some(("b", 7)), Some(9), true),
        ("the last that it would have told of", "b", 9, Some(("b", 7)), Some(9), true),
        ("another's", "b", 7, Some(("c", 7)), Some(9), true),
        ("the store is not read", "b", 8, Some(("b", 7)), None, false),
        ("nobody leads, as far as is known", "b", 8, None, Some(9), false),
    ] {
        let known = known.map(|(node, version)| assigned(node, version));
        let told = Some(Watermark { fencing_token, revision: 50 });
        assert_eq!(names_impossible_leader(from, told, known.as_ref(), through), want, "{name}");
    }
    assert!(!names_impossible_leader("b", None, Some(&assigned("c", 7)), Some(9)), "no watermark at all");
}

/// A controller for whose peer `node-1` leads by the store.
fn node_that_knows_an_leader() -> Arc<Membership> {
    let controller = Controller::new(crate::settings::tests::example(), crate::settings::Properties::default());
    let node = controller.membership.clone();
    let mut watch_cache = node.store.watch_cache();
    let loading = watch_cache.begin_reload();
    watch_cache.finish_reload(loading);
    watch_cache.note_leader_record(assigned("node-1", 7).0, 7);
    drop(watch_cache);
    node
}

/// What cannot be trusted leaves no trace, and what can counts.
#[test]
fn a_line_is_taken_whole_or_not_at_all() {
    let node = node_that_knows_an_leader();
    let now = Instant::now();
    let counts = r#""counts":[["run-000001",{"running":1,"done":0}]]"#;
    for text in [
        "nonsense\n".to_owned(),
        format!(r#"{{"node":"node-9","store_serves":true,{counts}}}{}"#, "\n"),
        format!(r#"{{"node":"node-1","store_serves":true,{counts}"#),
    ] {
        apply_line(&node, text.as_bytes(), now).unwrap_err();
        let heard = lock(&node.peer_states);
        assert!(!heard.hears("node-1", now) && heard.counts.is_empty(), "{text}");
    }
    let line =
        format!(r#"{{"node":"node-1","store_serves":true,{counts},"watermark":{{"token":7,"revision":50}}}}{}"#, "\n");
    apply_line(&node, line.as_bytes(), now).unwrap();
    assert!(lock(&node.peer_states).hears("node-1", now));
    assert_eq!((lock(&node.peer_states).counts.len(), node.history.watermark()), (1, 50));
}

/// By a fencing token that the store would have told of, nothing of the line counts.
#[test]
fn a_line_under_a_token_that_never_was_is_dropped() {
    let node = node_that_knows_an_leader();
    let read_on = crate::store::client::WatchResponse { revision: 90, log: Vec::new() };
    node.store.watch_cache().apply_watch(&read_on);
    let line = r#"{"node":"node-1","store_serves":true,"watermark":{"token":80,"revision":85}}"#;
    let outcome = apply_line(&node, format!("{line}\n").as_bytes(), Instant::now());
    assert!(matches!(outcome, Err(LineError::UnknownLeaderRecord(node)) if node == "node-1"));
    assert_eq!(node.history.watermark(), 0);
}

/// Connections that say nothing that can be read are closed, however many come; those past the bound at once.
#[test]
fn strangers_are_closed_and_bounded() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let node = node_that_knows_an_leader();
        let free = Arc::new(Semaphore::new(1));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let connect = async || {
            let client = TcpStream::connect(addr).await.unwrap();
            accept(&node, &free, listener.accept().await.unwrap().0);
            client
        };
        let mut end = [0];
        let mut first = connect().await;
        let mut second = connect().await;
        assert_eq!(second.read(&mut end).await.unwrap(), 0, "one too many");
        assert!(
            !lock(&node.peer_states).refused_connections.due(Instant::now()),
            "closed at once and told, and not for its silence"
        );
        // Too long, without the end of a line; the reader hangs up in the middle of it.
        let long = vec![b'x'; LINE_LIMIT as usize];
        first.write_all(&long).await.unwrap();
        assert!(matches!(first.read(&mut end).await, Ok(0) | Err(_)));
        let regained = free.acquire().await.unwrap();
        drop(regained);
        assert!(!lock(&node.peer_states).rejected_lines.due(Instant::now()), "told");
        assert!(!lock(&node.peer_states).hears("node-1", Instant::now()));
    });
}
