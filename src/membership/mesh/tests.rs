//! Tests of peer reports, of received lines and of the limit on connections.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::line::{LineError, MAX_LINE_BYTES};
use super::peers::{PeerReport, PeerStates};
use super::receive::{accept, apply_line, names_impossible_leader};
use crate::controller::Controller;
use crate::membership::Membership;
use crate::records::leadership::{LeaderRecord, Watermark};
use crate::sync::lock;

/// The time for which a peer has been answered distinguishes an outage that has just ended from a fault of this
/// controller alone. By the peers' latest reports without that time, every leader released its workers at the end of
/// every outage.
#[test]
fn recent_peers_report_how_long_the_store_has_served_one_of_them() {
    let (t, s) = (Instant::now(), Duration::from_secs);
    let mut peer_states = PeerStates::default();
    for (at, node, serves, want) in [
        (0, "b", true, (1, Some(0))),
        (1, "b", true, (1, Some(1))),
        (2, "c", false, (2, Some(2))),
        (3, "b", false, (2, None)),
        (4, "b", true, (2, Some(0))),
        (5, "b", true, (2, Some(1))),
        // After a while without lines, earlier reports no longer count.
        (20, "b", true, (1, Some(0))),
    ] {
        let report =
            PeerReport { node: node.into(), store_serves: serves, store_demand: Default::default(), acknowledged: 0 };
        peer_states.record(report, t + s(at));
        assert_eq!(peer_states.recent_peers(t + s(at)), (want.0, want.1.map(s)), "{node} at {at} s");
    }
    assert!(
        peer_states.is_recent("b", t + s(23))
            && !peer_states.is_recent("b", t + s(24))
            && !peer_states.is_recent("c", t + s(20))
    );
}

fn leader_record(node: &str, version: u64) -> (LeaderRecord, u64) {
    (
        LeaderRecord { node: node.into(), incarnation: "1".into(), teams: Vec::new(), stored_confirmations: None },
        version,
    )
}

#[test]
fn watermark_is_impossible_by_its_fencing_token_or_sender() {
    for (name, from, fencing_token, known, through, want) in [
        ("the leader's", "b", 7, Some(("b", 7)), Some(9), false),
        ("an earlier leader's, delayed", "b", 5, Some(("c", 7)), Some(9), false),
        ("a leader record that the watch has not reported yet", "b", 12, Some(("c", 7)), Some(9), false),
        ("a leader record that the watch would have reported", "b", 8, Some(("b", 7)), Some(9), true),
        ("the last leader record that the watch would have reported", "b", 9, Some(("b", 7)), Some(9), true),
        ("another controller's", "b", 7, Some(("c", 7)), Some(9), true),
        ("the store is not loaded", "b", 8, Some(("b", 7)), None, false),
        ("no leader known", "b", 8, None, Some(9), false),
    ] {
        let known = known.map(|(node, version)| leader_record(node, version));
        let received = Some(Watermark { fencing_token, revision: 50 });
        assert_eq!(names_impossible_leader(from, received, known.as_ref(), through), want, "{name}");
    }
    assert!(!names_impossible_leader("b", None, Some(&leader_record("c", 7)), Some(9)), "a line without a watermark");
}

/// Creates a controller by whose watch cache its peer `node-1` leads.
fn controller_with_leading_peer() -> Arc<Membership> {
    let controller = Controller::new(crate::settings::tests::example(), crate::settings::Properties::default());
    let node = controller.membership.clone();
    let mut watch_cache = node.store.watch_cache();
    let loading = watch_cache.begin_reload();
    watch_cache.finish_reload(loading);
    watch_cache.note_leader_record(leader_record("node-1", 7).0, 7);
    drop(watch_cache);
    node
}

/// A rejected line has no effect at all, and an accepted one is applied completely.
#[test]
fn line_is_applied_as_a_whole_or_not_at_all() {
    let node = controller_with_leading_peer();
    let now = Instant::now();
    let counts = r#""counts":[["run-000001",{"running":1,"done":0}]]"#;
    for text in [
        "nonsense\n".to_owned(),
        format!(r#"{{"node":"node-9","store_serves":true,{counts}}}{}"#, "\n"),
        format!(r#"{{"node":"node-1","store_serves":true,{counts}"#),
    ] {
        apply_line(&node, text.as_bytes(), now).unwrap_err();
        let peer_states = lock(&node.peer_states);
        assert!(!peer_states.is_recent("node-1", now) && peer_states.counts.is_empty(), "{text}");
    }
    let line =
        format!(r#"{{"node":"node-1","store_serves":true,{counts},"watermark":{{"token":7,"revision":50}}}}{}"#, "\n");
    apply_line(&node, line.as_bytes(), now).unwrap();
    assert!(lock(&node.peer_states).is_recent("node-1", now));
    assert_eq!((lock(&node.peer_states).counts.len(), node.history.watermark()), (1, 50));
}

/// A line is dropped as a whole if the watch would have reported the leader record of its fencing token.
#[test]
fn line_with_an_impossible_fencing_token_is_dropped() {
    let node = controller_with_leading_peer();
    let newer = crate::store::client::WatchResponse { revision: 90, log: Vec::new() };
    node.store.watch_cache().apply_watch(&newer);
    let line = r#"{"node":"node-1","store_serves":true,"watermark":{"token":80,"revision":85}}"#;
    let outcome = apply_line(&node, format!("{line}\n").as_bytes(), Instant::now());
    assert!(matches!(outcome, Err(LineError::UnknownLeaderRecord(node)) if node == "node-1"));
    assert_eq!(node.history.watermark(), 0);
}

/// Connections without a decodable line are closed, and connections beyond the limit are closed at once.
#[test]
fn connections_are_limited_and_closed_after_an_undecodable_line() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let node = controller_with_leading_peer();
        let connections = Arc::new(Semaphore::new(1));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let connect = async || {
            let client = TcpStream::connect(addr).await.unwrap();
            accept(&node, &connections, listener.accept().await.unwrap().0);
            client
        };
        let mut end = [0];
        let mut first = connect().await;
        let mut second = connect().await;
        assert_eq!(second.read(&mut end).await.unwrap(), 0, "a connection beyond the limit is closed");
        assert!(
            !lock(&node.peer_states).refused_connections.due(Instant::now()),
            "the refusal was logged, and the connection was not closed for its silence"
        );
        // A text without a line break that is too long; the reader closes the connection in the middle of it.
        let long = vec![b'x'; MAX_LINE_BYTES as usize];
        first.write_all(&long).await.unwrap();
        assert!(matches!(first.read(&mut end).await, Ok(0) | Err(_)));
        let regained = connections.acquire().await.unwrap();
        drop(regained);
        assert!(!lock(&node.peer_states).rejected_lines.due(Instant::now()), "the rejection was logged");
        assert!(!lock(&node.peer_states).is_recent("node-1", Instant::now()));
    });
}
