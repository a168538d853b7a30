//! A cache of fixed size of job ends. Ends are final, so an entry is never out of date.
//!
//! Eviction is round-robin and does not depend on an entry's last use. Users may poll all their jobs in turn, again and
//! again: a least-recently-used cache with fewer entries than jobs would always have evicted the jobs polled next,
//! while this cache still has about a fifth of the ends if there are twice as many jobs as slots.

use crate::jobs::End;

/// Number of slots, 8 bytes each: 2 MiB, which become resident memory as entries are added.
const SLOT_COUNT: usize = 1 << 18;
/// Number of slots in a bucket, any of which an entry may take (associativity).
const BUCKET_SLOTS: usize = 8;
/// Largest number of digits of an id that fits into a slot beside its length and the job's end. Queries about jobs with
/// longer ids always go to the store.
const MAX_ID_DIGITS: usize = 17;

/// Bit of a slot that is set if users may be told of the end.
const VISIBLE_BIT: u64 = 1 << 63;
/// Bit of a slot that is set if the job was cancelled.
const CANCELLED_BIT: u64 = 1;
/// Bits of a slot that hold the job's packed id.
const ID_MASK: u64 = !(VISIBLE_BIT | CANCELLED_BIT);

/// Packs an id into the bits of [`ID_MASK`]; none if the id does not fit. The result is never 0, which marks a free
/// slot, and different for different ids, since a wrong end would be reported for ever. Seventeen digits take 57 bits,
/// so that the highest bit is free.
fn pack_id(id: &str) -> Option<u64> {
    let digits = id.strip_prefix("run-").filter(|digits| digits.bytes().all(|b| b.is_ascii_digit()))?;
    if digits.is_empty() || digits.len() > MAX_ID_DIGITS {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    Some(number << 6 | (digits.len() as u64) << 1)
}

/// A set-associative table of fixed size that maps job ids to ends. An entry may be evicted, so a missing one does not
/// show that the job has not ended. Ids that do not fit into a slot are never cached.
#[derive(Debug)]
pub struct EndCache {
    /// Packed id, end and visibility of each entry; 0 in a free slot.
    slots: Vec<u64>,
    /// Number of slots taken.
    len: usize,
    /// Counter that selects the slot to evict in a full bucket, modulo the slots of a bucket.
    next_victim: usize,
}

impl Default for EndCache {
    fn default() -> Self {
        Self { slots: vec![0; SLOT_COUNT], len: 0, next_victim: 0 }
    }
}

impl EndCache {
    /// Indices of the slots that a packed id may be in.
    fn bucket(packed: u64) -> std::ops::Range<usize> {
        let buckets = (SLOT_COUNT / BUCKET_SLOTS) as u64;
        let hash = packed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let first = (hash >> (64 - buckets.trailing_zeros())) as usize * BUCKET_SLOTS;
        first..first + BUCKET_SLOTS
    }

    /// Index of the slot that holds the id.
    fn find_slot(&self, id: &str) -> Option<usize> {
        let packed = pack_id(id)?;
        Self::bucket(packed).find(|index| self.slots[*index] & ID_MASK == packed)
    }

    /// How the job ended; none if its end is not cached.
    pub fn get(&self, id: &str) -> Option<End> {
        let slot = self.slots[self.find_slot(id)?];
        Some(if slot & CANCELLED_BIT != 0 { End::Cancelled } else { End::Done })
    }

    /// Whether the job's end is cached and users may be told of it.
    pub fn is_visible(&self, id: &str) -> bool {
        self.find_slot(id).is_some_and(|index| self.slots[index] & VISIBLE_BIT != 0)
    }

    /// Records that users may be told of the job's end, if it is cached.
    pub fn mark_visible(&mut self, id: &str) {
        if let Some(index) = self.find_slot(id) {
            self.slots[index] |= VISIBLE_BIT;
        }
    }

    /// Adds an end that is in the store. If the same end is already cached as visible, it stays visible.
    pub fn insert(&mut self, id: &str, end: End) {
        let Some(packed) = pack_id(id) else { return };
        let bucket = &mut self.slots[Self::bucket(packed)];
        let existing = bucket.iter().position(|slot| slot & ID_MASK == packed);
        let usable = existing.or_else(|| bucket.iter().position(|slot| *slot == 0));
        let index = usable.unwrap_or_else(|| {
            self.next_victim = self.next_victim.wrapping_add(1);
            self.next_victim % BUCKET_SLOTS
        });
        self.len += usize::from(bucket[index] == 0);
        let cancelled = if end == End::Cancelled { CANCELLED_BIT } else { 0 };
        let visible = if bucket[index] & !VISIBLE_BIT == packed | cancelled { bucket[index] & VISIBLE_BIT } else { 0 };
        bucket[index] = packed | cancelled | visible;
    }

    /// Number of ends in the cache.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the cache has no end.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of slots. Evictions begin well before all slots are taken, since a bucket can be full before the others.
    pub const fn capacity() -> usize {
        SLOT_COUNT
    }
}

#[cfg(test)]
mod tests;
