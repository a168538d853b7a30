//! The loop that reads how many jobs ended at once, while more is asked than can be compared one by one (`sweep`).

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::moves::{Place, place_of};
use super::reader::History;
use super::sweep::PAGE;
use crate::store::StateClient;
use crate::store::budget::RequestPriority;
use crate::sync::jitter;

/// Where ends are kept.
const ENDED: &str = "h/";
/// Pages take half of the share of the requests at the most.
pub const COST: f64 = 2.0;

/// Reads whenever it is wanted, one page at a time, ahead of comparisons: it answers more.
pub async fn run(history: Arc<History>, store: Arc<StateClient>) {
    loop {
        let since = match history.sweep(|sweep| sweep.next(Instant::now()).map(|s| s.map(str::to_owned))) {
            Some(since) => since,
            None => {
                history.sweep_wanted().await;
                continue;
            }
        };
        let page = store.names(ENDED, since.as_deref(), PAGE, RequestPriority::Placement);
        let (page, ()) = tokio::join!(page, tokio::time::sleep(store.time_for(COST)));
        match page {
            Ok((names, more)) => {
                let ends = names.iter().filter_map(|name| match place_of(&name.path)? {
                    (id, Place::Ended(end)) => Some((id, end, name.version)),
                    _ => None,
                });
                history.note_ends(ends);
                let last = names.last().map(|name| name.path.clone());
                let over = history.sweep(|sweep| sweep.took(last, more, Instant::now()));
                if over {
                    let [at_hand, ..] = history.held();
                    info!(count = at_hand, "job end history loaded");
                }
            }
            Err(error) => {
                debug!(%error, "job end history read failed");
                tokio::time::sleep(jitter(Duration::from_millis(300))).await;
            }
        }
    }
}
