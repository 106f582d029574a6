use bay_types::Token;

use bay_time::Time;

use crate::slot::Slot;
use crate::{Candidate, FormerOwner, Holding, KeyRange, RangeTable};

/// A range and its new owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Assignment {
    pub(crate) range: KeyRange,
    pub(crate) to: Candidate,
}

/// Assignments that take effect once they are saved in the store.
#[derive(Debug, Clone)]
pub(crate) struct StagedChange {
    /// Number of the table's change that contains them.
    pub(crate) change: u64,
    /// Fencing token of the new grants.
    pub(crate) token: Token,
    pub(crate) assignments: Vec<Assignment>,
}

impl StagedChange {
    fn new_holding(&self, assignment: &Assignment, former: Option<FormerOwner>) -> Holding {
        Holding {
            range: assignment.range,
            owner: assignment.to.owner,
            address: assignment.to.address,
            token: self.token,
            former,
            has_earlier_former: false,
        }
    }

    /// Puts the assignments into the table, with the current owners as former owners.
    pub(crate) fn apply_to_table(&self, table: &mut RangeTable) {
        for assignment in &self.assignments {
            let old = table.holdings.iter().find(|held| held.range.overlaps(assignment.range));
            let same_owner = old.is_some_and(|old| old.owner == assignment.to.owner);
            let former = old.and_then(|old| match same_owner {
                true => old.former,
                false => {
                    Some(FormerOwner { owner: old.owner, address: old.address, token: old.token })
                }
            });
            let has_earlier_former = old
                .is_some_and(|old| old.has_earlier_former || (!same_owner && old.former.is_some()));
            let holding = self.new_holding(assignment, former);
            table.put(Holding { has_earlier_former, ..holding });
        }
    }

    /// Replaces slots, or parts of them, by slots of the new owners.
    pub(crate) fn apply(&self, slots: &mut Vec<Slot>, now: Time) {
        for assignment in &self.assignments {
            let holding = self.new_holding(assignment, None);
            let old = slots.iter().filter(|slot| slot.holding.range.overlaps(assignment.range));
            let slot = match old.cloned().reduce(|joined, other| joined.with_holds_of(&other)) {
                Some(old) => old.reassign(holding, now),
                None => Slot::new(holding, now),
            };
            remove_range(slots, assignment.range);
            slots.push(slot);
        }
        slots.sort_by_key(|slot| slot.holding.range);
    }
}

/// Removes a range from the slots. The remainder of a split slot is unchanged.
fn remove_range(slots: &mut Vec<Slot>, range: KeyRange) {
    let mut kept = Vec::with_capacity(slots.len() + 2);
    for slot in slots.drain(..) {
        let old = slot.holding.range;
        if !old.overlaps(range) {
            kept.push(slot);
            continue;
        }
        if old.first < range.first {
            kept.push(slot.with_range(KeyRange::new(old.first, range.first - 1)));
        }
        if old.last > range.last {
            kept.push(slot.with_range(KeyRange::new(range.last + 1, old.last)));
        }
    }
    *slots = kept;
}
