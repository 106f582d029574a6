use std::collections::BTreeMap;
use std::time::Duration;

use bay_range::{KeyRange, OwnerId};
use bay_time::Time;

use crate::OwnerMap;

/// Ranges whose keys their owners don't hold, as they say.
///
/// Until the owner map changes, every request for such a range would be refused by its owner, or by
/// another server that has taken over the address.
#[derive(Debug, Default)]
pub(crate) struct OwnerRejections {
    ranges: BTreeMap<KeyRange, Rejection>,
}

#[derive(Debug)]
struct Rejection {
    owner: OwnerId,
    /// Rejections in a row.
    count: u32,
    /// Until when no request for the range is sent to the owner.
    until: Time,
}

impl OwnerRejections {
    /// Time after the first rejection without requests; it doubles with each further one.
    const BASE_BACKOFF: Duration = Duration::from_millis(100);
    /// Upper bound of the doublings.
    const MAX_DOUBLINGS: u32 = 2;

    /// Records that an owner refused a request for a key of a range as not its own.
    pub(crate) fn record(&mut self, now: Time, range: KeyRange, owner: OwnerId) {
        let first = Rejection { owner, count: 0, until: Time::ZERO };
        let rejection = self.ranges.entry(range).or_insert(first);
        if rejection.owner != owner {
            *rejection = Rejection { owner, count: 0, until: Time::ZERO };
        }
        // Requests that were sent together are rejected together.
        if now < rejection.until {
            return;
        }
        let doublings = rejection.count.min(OwnerRejections::MAX_DOUBLINGS);
        rejection.until = now + OwnerRejections::BASE_BACKOFF * (1 << doublings);
        rejection.count += 1;
    }

    /// Records that an owner ran a request for a key of a range.
    pub(crate) fn remove(&mut self, range: KeyRange) {
        self.ranges.remove(&range);
    }

    /// Removes the rejections of ranges that have changed in an owner map.
    pub(crate) fn retain_current(&mut self, owners: &OwnerMap) {
        self.ranges.retain(|range, rejection| {
            owners.holding(range.first) == Some((*range, rejection.owner))
        });
    }

    /// Returns whether an owner gets no requests for a range now.
    pub(crate) fn contains(&self, now: Time, range: KeyRange, owner: OwnerId) -> bool {
        self.get(range, owner).is_some_and(|rejection| now < rejection.until)
    }

    /// Returns whether an owner has rejected requests for a range again after a pause, so that it is
    /// not about to get the keys.
    pub(crate) fn is_lasting(&self, range: KeyRange, owner: OwnerId) -> bool {
        self.get(range, owner).is_some_and(|rejection| rejection.count > 1)
    }

    fn get(&self, range: KeyRange, owner: OwnerId) -> Option<&Rejection> {
        self.ranges.get(&range).filter(|rejection| rejection.owner == owner)
    }

    /// Returns whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}
