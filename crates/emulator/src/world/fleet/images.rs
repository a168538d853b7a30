//! The image caches of machines.

use std::collections::HashSet;
use std::time::Duration;

use super::worker::{TaskState, Worker};
use super::{Fleet, Happening};

/// Capacity of an image cache in GB, if the machine's type states none.
const CACHE_GB: f64 = 100.0;

/// An image that a machine holds or fetches.
#[derive(Debug)]
pub(super) struct CachedImage {
    name: String,
    size_gb: f64,
    /// What is still to be fetched; zero or less if it is complete.
    missing_gb: f64,
}

impl CachedImage {
    fn complete(&self) -> bool {
        self.missing_gb <= 0.0
    }
}

impl Worker {
    /// Marks an image as used last, and begins to fetch it if it is not there.
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

    /// Fetches all incomplete images for this long; they share the bandwidth equally.
    fn fetch_images(&mut self, wanted: &HashSet<String>, passed: Duration) {
        // A fetch that no task waits for any more is cancelled.
        self.images.retain(|image| image.complete() || wanted.contains(&image.name));
        let fetches = self.images.iter().filter(|image| !image.complete()).count().max(1);
        let share_gb = self.machine.of.fetch_gb_per_s * passed.as_secs_f64() / fetches as f64;
        for image in &mut self.images {
            image.missing_gb -= share_gb;
        }
    }

    /// Removes the least recently used images that no task waits for while the cache is too full.
    fn evict_images(&mut self, wanted: &HashSet<String>) {
        let capacity_gb = self.machine.of.cache_gb.unwrap_or(CACHE_GB);
        while self.images.len() > 1 && self.images.iter().map(|image| image.size_gb).sum::<f64>() > capacity_gb {
            let unused = |image: &CachedImage| image.complete() && !wanted.contains(&image.name);
            let Some(index) = self.images.iter().position(unused) else { break };
            self.images.remove(index);
        }
    }

    fn complete_images(&self) -> HashSet<String> {
        let complete = self.images.iter().filter(|image| image.complete());
        complete.map(|image| image.name.clone()).collect()
    }
}

impl Fleet {
    /// Fetches images; tasks that have theirs start, or wait for their gang.
    pub(super) fn fetch(&mut self, name: &str, passed: Duration, now: Duration) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| worker.awake(now)) else { return };
        let wanted = worker.wanted_images();
        worker.fetch_images(&wanted, passed);
        worker.evict_images(&wanted);
        let images = worker.complete_images();
        let ready =
            |task: &&mut super::Task| task.state == TaskState::Fetching && images.contains(&task.job.spec.image);
        for task in worker.tasks.iter_mut().filter(ready) {
            task.progress = self.saved.get(&task.save_key()).copied().unwrap_or_default();
            task.state = if task.in_gang() { TaskState::WaitingForGang(now) } else { TaskState::Running };
            let (key, attempt) = (task.key.clone(), task.attempt);
            self.happened.push(Happening::Started { task: key, attempt, machine: name.to_owned() });
        }
    }
}
