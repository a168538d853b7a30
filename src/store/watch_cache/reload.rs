//! Reading the watch cache anew, page by page.

use std::collections::HashSet;

use super::control_keys::ControlKeys;
use super::{CacheChanges, WatchCache};
use crate::declarations::{DeclarationRegistry, records};
use crate::jobs::JobId;
use crate::jobs::record::OPEN_JOB_PREFIX;
use crate::store::client::KeyValuePage;

/// What the pages read so far contain.
#[derive(Default)]
pub struct CacheReload {
    /// Revision of the first page; none before it.
    first_revision: Option<u64>,
    /// Revision of the newest page: a job that is on no page had ended by then.
    newest_revision: u64,
    seen: HashSet<JobId>,
    control: ControlKeys,
    registry: DeclarationRegistry,
}

impl CacheReload {
    /// Whether the store is marked as upgraded from an earlier build, as far as the pages show.
    pub fn store_is_upgraded(&self) -> bool {
        self.control.upgraded.is_some()
    }
}

impl WatchCache {
    /// Begins to read the cache anew. Until [`finish_reload`](Self::finish_reload) watch responses are ignored, because
    /// a page may be older than such a response. Nothing is lost: after the reload the watch begins at the revision of
    /// its first page.
    #[must_use]
    pub fn begin_reload(&mut self) -> CacheReload {
        self.ready = false;
        CacheReload::default()
    }

    /// Applies one page. Changes since the first page may or may not be included.
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
            self.jobs.add(id, &item.path, &item.value, &mut changes);
            if let Some((id, _)) = self.jobs.open.get_key_value(id) {
                reload.seen.insert(id.clone());
            }
        }
        changes
    }

    /// Ends a reload after its last page: jobs that were on none of the pages have ended.
    pub fn finish_reload(&mut self, reload: CacheReload) -> CacheChanges {
        let gone: Vec<JobId> = self.jobs.open.keys().filter(|id| !reload.seen.contains(*id)).cloned().collect();
        let declared = self.registry.replace_with(reload.registry, self.revision == 0);
        let mut changes = CacheChanges { leadership: true, declared, ..CacheChanges::default() };
        for id in gone {
            self.jobs.end(&id, self.revision, reload.newest_revision, &mut changes);
        }
        self.control = reload.control;
        self.revision = reload.first_revision.unwrap_or_default();
        self.ready = true;
        changes
    }
}
