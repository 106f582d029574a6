use bay_types::Token;

use bay_time::Time;

use crate::slot::Slot;
use crate::{Candidate, FormerOwner, Holding, KeyRange, RangeTable};

/// A range and the server that is to own it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Assignment {
    pub(crate) range: KeyRange,
    pub(crate) to: Candidate,
}

/// Assignments that are written to the store before they take effect.
#[derive(Debug, Clone)]
pub(crate) struct Staged {
    /// The change of the table that brings them.
    pub(crate) change: u64,
    pub(crate) token: Token,
    pub(crate) assignments: Vec<Assignment>,
}

impl Staged {
    fn holding(&self, assignment: &Assignment, former: Option<FormerOwner>) -> Holding {
        Holding {
            range: assignment.range,
            owner: assignment.to.owner,
            address: assignment.to.address,
            token: self.token,
            former,
        }
    }

    /// The table as it is once the assignments take effect.
    pub(crate) fn apply_to_table(&self, table: &mut RangeTable) {
        for assignment in &self.assignments {
            let old = table.holdings.iter().find(|held| held.range.overlaps(assignment.range));
            let former = old.and_then(|old| match old.owner == assignment.to.owner {
                true => old.former,
                false => {
                    Some(FormerOwner { owner: old.owner, address: old.address, token: old.token })
                }
            });
            table.put(self.holding(assignment, former));
        }
    }

    /// Lets the assignments take effect.
    pub(crate) fn apply(&self, slots: &mut Vec<Slot>, now: Time) {
        for assignment in &self.assignments {
            let holding = self.holding(assignment, None);
            let old = slots.iter().find(|slot| slot.holding.range.overlaps(assignment.range));
            let slot = match old {
                Some(old) => old.given_to(holding, now),
                None => Slot::fresh(holding, now),
            };
            cut(slots, assignment.range);
            slots.push(slot);
        }
        slots.sort_by_key(|slot| slot.holding.range);
    }
}

/// Removes a range from the slots; the rest of cut slots stays as it is.
fn cut(slots: &mut Vec<Slot>, range: KeyRange) {
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
