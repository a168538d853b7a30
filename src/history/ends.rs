//! A fixed-size cache of how jobs ended. Ends are final, so an entry is never out of date.
//!
//! Entries are displaced without regard to their last use. Users may ask about all their jobs in turn, for ever; a
//! least-recently-used list shorter than such a round would hold none of the next ones asked for, while here about a
//! fifth of a round of twice the cache's size is still found.

use crate::jobs::End;

/// 2 MiB, touched as it fills.
const SLOTS: usize = 1 << 18;
/// Slots that an end may be in.
const WAYS: usize = 8;
/// Longer ids do not fit beside their length and their end; each question about such a job is asked.
const MOST_DIGITS: usize = 17;

/// Set where the end may be told to users.
const SHOWN: u64 = 1 << 63;
/// Set where it was cancelled.
const CANCELLED: u64 = 1;
/// What is left of a slot is the id.
const ID: u64 = !(SHOWN | CANCELLED);

/// An id without its end. Never 0, and other ids have others: a wrong end would be told for ever. Seventeen
/// digits take 57 bits, so that the uppermost is free.
fn pack(id: &str) -> Option<u64> {
    let digits = id.strip_prefix("run-").filter(|d| d.bytes().all(|b| b.is_ascii_digit()))?;
    if digits.is_empty() || digits.len() > MOST_DIGITS {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    Some(number << 6 | (digits.len() as u64) << 1)
}

/// A table of fixed size that maps job ids to how the jobs ended. An entry may be displaced by others, so absence says
/// nothing; ids that cannot be packed into a slot are never held.
#[derive(Debug)]
pub struct Ends {
    slots: Vec<u64>,
    held: usize,
    /// Which slot gives way next where all are taken.
    turn: usize,
}

impl Default for Ends {
    fn default() -> Self {
        Self { slots: vec![0; SLOTS], held: 0, turn: 0 }
    }
}

impl Ends {
    fn bucket(packed: u64) -> std::ops::Range<usize> {
        let buckets = (SLOTS / WAYS) as u64;
        let at = (packed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (64 - buckets.trailing_zeros())) as usize * WAYS;
        at..at + WAYS
    }

    /// How the job ended; none if that is not held.
    pub fn get(&self, id: &str) -> Option<End> {
        let slot = self.slots[self.find(id)?];
        Some(if slot & CANCELLED != 0 { End::Cancelled } else { End::Done })
    }

    fn find(&self, id: &str) -> Option<usize> {
        let packed = pack(id)?;
        Self::bucket(packed).find(|at| self.slots[*at] & ID == packed)
    }

    /// Whether an end that is held may be told to users.
    pub fn shown(&self, id: &str) -> bool {
        self.find(id).is_some_and(|at| self.slots[at] & SHOWN != 0)
    }

    /// An end that is held may be told to users from now on.
    pub fn show(&mut self, id: &str) {
        if let Some(at) = self.find(id) {
            self.slots[at] |= SHOWN;
        }
    }

    /// An end that stands in the store.
    pub fn put(&mut self, id: &str, end: End) {
        let Some(packed) = pack(id) else { return };
        let bucket = &mut self.slots[Self::bucket(packed)];
        let free = bucket.iter().position(|slot| slot & ID == packed).or_else(|| bucket.iter().position(|s| *s == 0));
        let at = free.unwrap_or_else(|| {
            self.turn = self.turn.wrapping_add(1);
            self.turn % WAYS
        });
        self.held += usize::from(bucket[at] == 0);
        let cancelled = if end == End::Cancelled { CANCELLED } else { 0 };
        // What may be told may be told for ever.
        let shown = if bucket[at] & !SHOWN == packed | cancelled { bucket[at] & SHOWN } else { 0 };
        bucket[at] = packed | cancelled | shown;
    }

    /// Number of ends held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// What can be held at the most; other ends give way well before.
    pub const fn most() -> usize {
        SLOTS
    }
}

#[cfg(test)]
mod tests;
