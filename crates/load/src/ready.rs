use bay_time::Time;
use rand::RngExt;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::TargetId;
use crate::target::Target;

/// The targets with a free slot, those of the gate's own zone apart.
#[derive(Debug, Default)]
pub(crate) struct Ready {
    near: Vec<TargetId>,
    far: Vec<TargetId>,
}

impl Ready {
    /// Targets compared for one choice (the power of two choices, Mitzenmacher 2001).
    const CHOICES: usize = 2;

    pub(crate) fn is_empty(&self) -> bool {
        self.near.is_empty() && self.far.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Enters or removes a target as its state asks.
    pub(crate) fn refresh(
        &mut self,
        targets: &mut SlotMap<TargetId, Target>,
        id: TargetId,
        now: Time,
    ) {
        let Some(target) = targets.get_mut(id) else {
            return;
        };
        let list = if target.near { &mut self.near } else { &mut self.far };
        match (target.free(now) > 0, target.ready_at) {
            (true, None) => {
                target.ready_at = Some(list.len());
                list.push(id);
            }
            (false, Some(place)) => {
                target.ready_at = None;
                list.swap_remove(place);
                if let Some(moved) = list.get(place) {
                    targets[*moved].ready_at = Some(place);
                }
            }
            _ => {}
        }
    }

    /// Chooses a target, of the own zone if one has a free slot.
    pub(crate) fn choose(
        &self,
        targets: &SlotMap<TargetId, Target>,
        now: Time,
        exclude: &[TargetId],
        rng: &mut SmallRng,
    ) -> Option<TargetId> {
        let fits = |id: &TargetId| !exclude.contains(id) && targets[*id].free(now) > 0;
        for list in [&self.near, &self.far] {
            if list.is_empty() {
                continue;
            }
            let drawn = (0..Ready::CHOICES).map(|_| list[rng.random_range(0..list.len())]);
            let best = drawn.filter(fits).min_by_key(|id| cost(&targets[*id]));
            let found = best.or_else(|| list.iter().copied().find(fits));
            if found.is_some() {
                return found;
            }
        }
        None
    }
}

/// The gate's own slots go first, so that borrowed ones that it need not have go back soon.
fn cost(target: &Target) -> (bool, usize) {
    (target.lender.is_none(), target.busy.len())
}
