//! Reloads the watch cache, page by page.

use std::collections::HashSet;

use super::control_keys::ControlKeys;
use super::{CacheChanges, WatchCache};
use crate::declarations::{DeclarationRegistry, records};
use crate::jobs::JobId;
use crate::jobs::record::OPEN_JOB_PREFIX;
use crate::store::client::KeyValuePage;

/// A reload in progress: the content of the pages read so far.
#[derive(Default)]
pub struct CacheReload {
    /// Revision of the first page; none before that page is read.
    first_revision: Option<u64>,
    /// Highest revision of the pages: a job that is on no page had ended by then.
    newest_revision: u64,
    listed_jobs: HashSet<JobId>,
    control: ControlKeys,
    registry: DeclarationRegistry,
}

impl CacheReload {
    /// Returns whether the pages read so far contain the marker of a store that was upgraded from an earlier build.
    pub fn store_is_upgraded(&self) -> bool {
        self.control.upgraded.is_some()
    }
}

impl WatchCache {
    /// Begins a reload of the cache. Until [`finish_reload`](Self::finish_reload) watch responses are ignored, because
    /// a page may be older than such a response. No change is lost: after the reload the watch begins at the revision
    /// of the first page.
    #[must_use]
    pub fn begin_reload(&mut self) -> CacheReload {
        self.ready = false;
        CacheReload::default()
    }

    /// Applies one page. Changes made since the first page was read may or may not be included.
    pub fn apply_page(&mut self, reload: &mut CacheReload, page: &KeyValuePage) -> CacheChanges {
        let mut changes = CacheChanges::default();
        reload.first_revision.get_or_insert(page.revision);
        reload.newest_revision = reload.newest_revision.max(page.revision);
        for item in &page.items {
            if reload.control.set(&item.path, &item.value, item.version) {
                continue;
            }
            if records::is_declaration_key(&item.path) {
                reload.registry.put_key(&item.path, &item.value, item.version);
                continue;
            }
            let Some(id) = item.path.strip_prefix(OPEN_JOB_PREFIX) else { continue };
            self.jobs.add_open(id, &item.path, &item.value, &mut changes);
            if let Some((id, _)) = self.jobs.open.get_key_value(id) {
                reload.listed_jobs.insert(id.clone());
            }
        }
        changes
    }

    /// Finishes a reload after its last page: jobs that are on none of the pages have ended.
    pub fn finish_reload(&mut self, reload: CacheReload) -> CacheChanges {
        let missing: Vec<JobId> =
            self.jobs.open.keys().filter(|id| !reload.listed_jobs.contains(*id)).cloned().collect();
        let declared = self.registry.replace_with(reload.registry, self.revision == 0);
        let mut changes = CacheChanges { leadership: true, declared, ..CacheChanges::default() };
        for id in missing {
            self.jobs.move_to_ended(&id, self.revision, reload.newest_revision, &mut changes);
        }
        self.control = reload.control;
        self.revision = reload.first_revision.unwrap_or_default();
        self.ready = true;
        changes
    }
}
