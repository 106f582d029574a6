use bay_time::Time;
use rand::RngExt;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::TargetId;
use crate::target::Target;

/// The targets with a free slot, separated into the gate's own zone and all others.
#[derive(Debug, Default)]
pub(crate) struct ReadyList {
    same_zone: Vec<TargetId>,
    other_zone: Vec<TargetId>,
}

impl ReadyList {
    /// Random targets compared per choice (the power of two choices, Mitzenmacher 2001).
    const CHOICES: usize = 2;

    pub(crate) fn is_empty(&self) -> bool {
        self.same_zone.is_empty() && self.other_zone.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.same_zone.len() + self.other_zone.len()
    }

    /// Adds or removes a target according to whether it has a free slot.
    pub(crate) fn refresh(
        &mut self,
        targets: &mut SlotMap<TargetId, Target>,
        id: TargetId,
        now: Time,
    ) {
        let Some(target) = targets.get_mut(id) else {
            return;
        };
        let list = if target.same_zone { &mut self.same_zone } else { &mut self.other_zone };
        match (target.free_slots(now) > 0, target.ready_index) {
            (true, None) => {
                target.ready_index = Some(list.len());
                list.push(id);
            }
            (false, Some(index)) => {
                target.ready_index = None;
                list.swap_remove(index);
                if let Some(moved) = list.get(index) {
                    targets[*moved].ready_index = Some(index);
                }
            }
            _ => {}
        }
    }

    /// Chooses a target with a free slot, from the gate's own zone if possible.
    pub(crate) fn choose(
        &self,
        targets: &SlotMap<TargetId, Target>,
        now: Time,
        exclude: &[TargetId],
        rng: &mut SmallRng,
    ) -> Option<TargetId> {
        let fits = |id: &TargetId| !exclude.contains(id) && targets[*id].free_slots(now) > 0;
        for list in [&self.same_zone, &self.other_zone] {
            if list.is_empty() {
                continue;
            }
            let drawn = (0..ReadyList::CHOICES).map(|_| list[rng.random_range(0..list.len())]);
            let best = drawn.filter(fits).min_by_key(|id| cost(&targets[*id]));
            let found = best.or_else(|| list.iter().copied().find(fits));
            if found.is_some() {
                return found;
            }
        }
        None
    }
}

/// Returns the sort key of a target. Own slots come before borrowed ones, so that unneeded loans
/// become idle and are returned soon.
fn cost(target: &Target) -> (bool, usize) {
    (target.ledger.is_none(), target.in_flight.len())
}
