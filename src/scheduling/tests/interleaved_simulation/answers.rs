//! What a controller answers users from: its watch cache and the ends that it knows, by the production code.

use hollylanding_emulator::world::store::Store;

use crate::history::query_queue::QueryQueue;
use crate::history::visibility::{CancelledJobAnswer, EndVisibility};
use crate::jobs::record::{CACHED_PREFIX, CACHED_START_AFTER, ended_key};
use crate::jobs::{End, JobId};
use crate::store::watch_cache::WatchCache;

/// Keys read at once when a controller starts.
const PAGE_SIZE: usize = 1000;

/// The watch cache and the known ends of one controller.
pub(super) struct AnswerState {
    pub(super) watch_cache: WatchCache,
    queries: QueryQueue<()>,
}

impl AnswerState {
    /// The state of a controller that has not read the store.
    pub(super) fn new() -> Self {
        Self { watch_cache: WatchCache::default(), queries: QueryQueue::new(8) }
    }

    /// Brings the watch cache up to date: by a watch, or by a listing after the start of the process.
    pub(super) fn catch_up(&mut self, store: &Store) {
        match self.watch_cache.watch_revision().and_then(|revision| store.watch(CACHED_PREFIX, revision).ok()) {
            Some(response) => drop(self.watch_cache.apply_watch(&response)),
            None => self.reload(store),
        }
        if let Some(confirmed) = self.watch_cache.confirmed_cancellations() {
            self.queries.set_confirmed(confirmed);
        }
    }

    fn reload(&mut self, store: &Store) {
        let mut reload = self.watch_cache.begin_reload();
        let mut since = CACHED_START_AFTER.to_owned();
        loop {
            let page = store.page(CACHED_PREFIX, &since, PAGE_SIZE);
            self.watch_cache.apply_page(&mut reload, &page);
            match page.items.last().filter(|_| page.more) {
                Some(last) => since.clone_from(&last.path),
                None => break,
            }
        }
        self.watch_cache.finish_reload(reload);
    }

    /// Adopts a watermark that another controller has sent.
    pub(super) fn advance_watermark(&mut self, watermark: u64) {
        self.queries.advance_watermark(watermark);
    }

    /// Answers a question about a job whose cancellation is stored, as `users::lookup` does. `store` is none while the
    /// store does not serve this controller. None stands for 503.
    pub(super) fn answer(&mut self, id: &JobId, store: Option<&Store>) -> Option<CancelledJobAnswer> {
        if let Some(version) = self.watch_cache.revision_with_end(id) {
            self.queries.note_cancellation(id, version);
        }
        if self.queries.end_visibility(id, End::Cancelled) == EndVisibility::Visible {
            return Some(CancelledJobAnswer::Cancelled);
        }
        let store = store?;
        self.catch_up(store);
        if let Some(answer) = self.queries.answer_for_cancelled(id, &self.watch_cache) {
            return Some(answer);
        }
        self.queries.note_exact_cancellation(id, store.version(&ended_key(id, End::Cancelled)));
        self.queries.answer_for_cancelled(id, &self.watch_cache)
    }
}
