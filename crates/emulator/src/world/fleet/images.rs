//! The image caches of machines.

use std::collections::HashSet;
use std::time::Duration;

use super::worker::{TaskState, Worker};
use super::{AttemptEvent, Fleet};

/// Capacity of an image cache in GB if the machine's type states none.
const DEFAULT_CACHE_GB: f64 = 100.0;

/// An image that a machine has or fetches.
#[derive(Debug)]
pub(super) struct CachedImage {
    name: String,
    size_gb: f64,
    /// Size of the part that is still to be fetched; zero or less if the image is complete.
    missing_gb: f64,
}

impl CachedImage {
    fn is_complete(&self) -> bool {
        self.missing_gb <= 0.0
    }
}

impl Worker {
    /// Marks an image as the most recently used, and begins to fetch it if it is not cached.
    pub(super) fn use_image(&mut self, name: &str, size_gb: f64) {
        match self.images.iter().position(|image| image.name == name) {
            Some(index) => {
                if let Some(image) = self.images.remove(index) {
                    self.images.push_back(image);
                }
            }
            None => {
                let image = CachedImage { name: name.to_owned(), size_gb, missing_gb: size_gb };
                self.images.push_back(image);
            }
        }
    }

    /// Names of the images that tasks wait for.
    fn wanted_images(&self) -> HashSet<String> {
        let fetching = self.tasks.iter().filter(|task| task.state == TaskState::Fetching);
        fetching.map(|task| task.job.spec.image.clone()).collect()
    }

    /// Fetches all incomplete images for a time; they share the bandwidth equally.
    fn fetch_images(&mut self, wanted: &HashSet<String>, elapsed: Duration) {
        // A fetch for which no task waits any more is cancelled.
        self.images.retain(|image| image.is_complete() || wanted.contains(&image.name));
        let fetches = self.images.iter().filter(|image| !image.is_complete()).count().max(1);
        let share_gb = self.machine.machine_type.fetch_gb_per_s * elapsed.as_secs_f64() / fetches as f64;
        for image in &mut self.images {
            image.missing_gb -= share_gb;
        }
    }

    /// Removes the least recently used complete images for which no task waits while the cache exceeds its capacity.
    fn evict_images(&mut self, wanted: &HashSet<String>) {
        let capacity_gb = self.machine.machine_type.cache_gb.unwrap_or(DEFAULT_CACHE_GB);
        while self.images.len() > 1 && self.images.iter().map(|image| image.size_gb).sum::<f64>() > capacity_gb {
            let unused = |image: &CachedImage| image.is_complete() && !wanted.contains(&image.name);
            let Some(index) = self.images.iter().position(unused) else { break };
            self.images.remove(index);
        }
    }

    /// Names of the images that are completely fetched.
    fn complete_images(&self) -> HashSet<String> {
        let complete = self.images.iter().filter(|image| image.is_complete());
        complete.map(|image| image.name.clone()).collect()
    }
}

impl Fleet {
    /// Advances the fetches of one worker. Tasks whose image is complete start, or wait for their gang.
    pub(super) fn advance_fetches(&mut self, name: &str, elapsed: Duration, now: Duration) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| worker.awake(now)) else { return };
        let wanted = worker.wanted_images();
        worker.fetch_images(&wanted, elapsed);
        worker.evict_images(&wanted);
        let images = worker.complete_images();
        let ready =
            |task: &&mut super::Task| task.state == TaskState::Fetching && images.contains(&task.job.spec.image);
        for task in worker.tasks.iter_mut().filter(ready) {
            task.progress = self.checkpoints.get(&task.checkpoint_key()).copied().unwrap_or_default();
            task.state = if task.in_gang() { TaskState::WaitingForGang(now) } else { TaskState::Running };
            let (key, attempt) = (task.key.clone(), task.attempt);
            self.events.push(AttemptEvent::Started { task: key, attempt, machine: name.to_owned() });
        }
    }
}
