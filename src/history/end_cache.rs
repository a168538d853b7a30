//! A cache of fixed size of how jobs ended. Ends are final, so an entry is never out of date.
//!
//! Which entry is evicted does not depend on its last use. Users may ask about all their jobs in turn, without end: a
//! least-recently-used cache smaller than such a round would always have evicted the jobs asked about next, while this
//! one still finds about a fifth of a round of twice its size.

use crate::jobs::End;

/// Number of entries, 8 bytes each: 2 MiB, touched as they fill.
const SLOTS: usize = 1 << 18;
/// Number of slots that an entry may be in (associativity).
const WAYS: usize = 8;
/// Longer ids do not fit into a slot beside their length and their end. Queries about such jobs always go to the store.
const MAX_DIGITS: usize = 17;

/// Bit of a slot: the end may be told to users.
const VISIBLE: u64 = 1 << 63;
/// Bit of a slot: the job was cancelled.
const CANCELLED: u64 = 1;
/// The remaining bits of a slot: the job's id.
const ID: u64 = !(VISIBLE | CANCELLED);

/// The id as it stands in a slot: never 0, and different for different ids, since a wrong end would be reported for
/// ever. Seventeen digits take 57 bits, so that the highest bit is free.
fn pack_id(id: &str) -> Option<u64> {
    let digits = id.strip_prefix("run-").filter(|digits| digits.bytes().all(|b| b.is_ascii_digit()))?;
    if digits.is_empty() || digits.len() > MAX_DIGITS {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    Some(number << 6 | (digits.len() as u64) << 1)
}

/// A set-associative table of fixed size that maps job ids to how the jobs ended. Entries may be evicted, so absence
/// means nothing; ids that do not fit into a slot are never held.
#[derive(Debug)]
pub struct EndCache {
    slots: Vec<u64>,
    len: usize,
    /// Selects the slot to evict where all slots of a bucket are taken.
    next_victim: usize,
}

impl Default for EndCache {
    fn default() -> Self {
        Self { slots: vec![0; SLOTS], len: 0, next_victim: 0 }
    }
}

impl EndCache {
    /// The slots that the id may be in.
    fn bucket(packed: u64) -> std::ops::Range<usize> {
        let buckets = (SLOTS / WAYS) as u64;
        let hash = packed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let first = (hash >> (64 - buckets.trailing_zeros())) as usize * WAYS;
        first..first + WAYS
    }

    fn find_slot(&self, id: &str) -> Option<usize> {
        let packed = pack_id(id)?;
        Self::bucket(packed).find(|at| self.slots[*at] & ID == packed)
    }

    /// How the job ended; none if that is not held.
    pub fn get(&self, id: &str) -> Option<End> {
        let slot = self.slots[self.find_slot(id)?];
        Some(if slot & CANCELLED != 0 { End::Cancelled } else { End::Done })
    }

    /// Whether an end is held and may be told to users.
    pub fn is_visible(&self, id: &str) -> bool {
        self.find_slot(id).is_some_and(|at| self.slots[at] & VISIBLE != 0)
    }

    /// Marks an end, if it is held, as one that may be told to users from now on.
    pub fn mark_visible(&mut self, id: &str) {
        if let Some(at) = self.find_slot(id) {
            self.slots[at] |= VISIBLE;
        }
    }

    /// Adds an end that stands in the store. An end that was visible stays so.
    pub fn insert(&mut self, id: &str, end: End) {
        let Some(packed) = pack_id(id) else { return };
        let bucket = &mut self.slots[Self::bucket(packed)];
        let same = bucket.iter().position(|slot| slot & ID == packed);
        let free = same.or_else(|| bucket.iter().position(|slot| *slot == 0));
        let at = free.unwrap_or_else(|| {
            self.next_victim = self.next_victim.wrapping_add(1);
            self.next_victim % WAYS
        });
        self.len += usize::from(bucket[at] == 0);
        let cancelled = if end == End::Cancelled { CANCELLED } else { 0 };
        let visible = if bucket[at] & !VISIBLE == packed | cancelled { bucket[at] & VISIBLE } else { 0 };
        bucket[at] = packed | cancelled | visible;
    }

    /// Number of ends held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no end is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of slots. Entries are evicted well before all of them are taken.
    pub const fn capacity() -> usize {
        SLOTS
    }
}

#[cfg(test)]
mod tests;
