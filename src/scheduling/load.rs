//! Takeover: from what is stored to a book.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use serde::Deserialize;
use tracing::{error, info};

use crate::jobs::record::{JobRecord, Stored, decode_chunk, job_key, parse_chunk_key};
use crate::jobs::{End, JobId};
use crate::node::{Node, lock};
use crate::store::client::Item;
use crate::store::mirror::Known;

/// False if something could not be read and all has to be read again.
pub async fn fill(node: &Arc<Node>, items: Vec<Item>) -> bool {
    let mut chunks: HashMap<JobId, Vec<(u64, u64, Vec<Stored>)>> = HashMap::new();
    for item in items {
        let read = parse_chunk_key(&item.path).zip(decode_chunk(&item.value));
        let Some(((id, chunk), tasks)) = read else {
            error!(path = item.path, "unreadable tasks in the store");
            continue;
        };
        chunks.entry(id.into()).or_default().push((chunk, item.stamp, tasks));
    }
    let mut records: Vec<(Arc<JobRecord>, Option<End>)> = Vec::new();
    let mut over = Vec::new();
    {
        let mirror = lock(&node.mirror);
        records.extend(mirror.open_jobs().map(|(_, record)| (record.clone(), None)));
        for id in chunks.keys() {
            if let Some(Known::Ended(end)) = mirror.job(id) {
                match mirror.ended_record(id) {
                    Some(record) => records.push((record, Some(*end))),
                    None => over.push((id.clone(), *end)),
                }
            }
        }
    }
    // Tasks of jobs that are over may still be on machines: they count until proven gone.
    for (id, end) in over {
        match node.store.get(&job_key(&id)).await {
            Ok(Some(item)) => match JobRecord::deserialize(&item.value) {
                Ok(record) => records.push((Arc::new(record), Some(end))),
                Err(error) => error!(%error, path = item.path, "unreadable job in the store"),
            },
            Ok(None) => {}
            Err(_) => return false,
        }
    }
    let now = Instant::now();
    {
        let mirror = lock(&node.mirror);
        let mut held = lock(&node.book);
        let Some(book) = held.as_mut() else { return true };
        for (record, end) in records {
            let id = record.spec.id.clone();
            // It may have ended while the others were being read.
            let end = end.or(match mirror.job(&id) {
                Some(Known::Ended(end)) => Some(*end),
                _ => None,
            });
            book.load_job(record, chunks.remove(&id).unwrap_or_default(), now);
            if end.is_some() {
                book.end_job(&id, now);
            }
        }
        for (id, record) in mirror.open_jobs() {
            if !book.has_job(id) {
                book.add_job(record.clone(), now);
            }
        }
        book.loaded = true;
        book.reconcile_all(now);
        info!(jobs = book.job_count(), machines = book.machines.len(), "took over");
    }
    node.wake.plan.notify_one();
    node.wake.dispatch.notify_one();
    node.wake.fleet.notify_one();
    true
}
