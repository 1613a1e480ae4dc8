//! Revisions of the store that stay ordered if it comes back from an older copy.
//!
//! A store that is restored from a copy begins a new era. It gives out revisions again
//! that it had given out before, for other changes. Platforms therefore number them by
//! era: the era is in the upper bits, so that each revision of an era is higher than all
//! of earlier eras and none occurs twice.

/// How many bits of a revision hold what the store gave out.
const REVISION_BITS: u32 = 40;

/// Returns a revision of the store, numbered by era; zero, which stands for a missing item,
/// stays zero. `None` if the era or the revision is too large.
pub fn revision_in_era(era: u64, revision: u64) -> Option<u64> {
    if revision == 0 {
        return Some(0);
    }
    let is_in_range = revision >> REVISION_BITS == 0 && era >> (u64::BITS - REVISION_BITS) == 0;
    is_in_range.then_some((era << REVISION_BITS) | revision)
}

/// Returns the era in which the store gave out a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> REVISION_BITS
}

/// Returns a revision as the store gave it out.
pub fn revision_of_store(revision: u64) -> u64 {
    revision & ((1 << REVISION_BITS) - 1)
}

/// The first epoch of a group's records that are written in an era. Epochs of an era are
/// higher than all of earlier ones, also those of records that the store has lost.
fn first_epoch(era: u64) -> u64 {
    (era << 32) + 1
}

/// Returns the epoch of the record that follows one of the given epoch, zero for the group's
/// first record.
pub fn next_epoch(epoch: u64, era: u64) -> u64 {
    (epoch + 1).max(first_epoch(era))
}

/// Returns the era in which a record of a group was written.
pub fn era_of_epoch(epoch: u64) -> u64 {
    epoch >> 32
}
