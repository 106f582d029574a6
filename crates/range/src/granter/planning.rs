use std::time::Duration;

use bay_time::Time;

use super::{Granter, adjacent};
use crate::planner::{Held, Planner};
use crate::sharing::Sharing;
use crate::slot::Slot;
use crate::staging::{Assignment, Staged};
use crate::{Candidate, KeyLoads, KeyRange, OwnerId};

impl Granter {
    /// Time between two plans.
    const PLAN: Duration = Duration::from_millis(400);
    /// Time for which a moved range stays where it is.
    const REST: Duration = Duration::from_millis(1_500);
    /// Time without a new server before keys are assigned for the first time.
    const FIRST_ASSIGNMENT_WAIT: Duration = Duration::from_millis(2_500);
    /// Ranges for each server above which adjacent ones of one server are joined.
    const MAX_RANGES_PER_SERVER: usize = 3;

    /// Finds what has to change.
    pub(super) fn stage(&mut self, now: Time, candidates: &[Candidate], loads: &KeyLoads) {
        let mut assignments = self.replace_owners(now, candidates, loads);
        if now >= self.plan_at {
            self.plan_at = now + Granter::PLAN;
            if assignments.is_empty() {
                assignments = self.join(candidates);
            }
            if assignments.is_empty() {
                assignments = self.rebalance(now, candidates, loads);
            }
        }
        if assignments.is_empty() {
            return;
        }
        self.change += 1;
        self.staged = Some(Staged { change: self.change, token: self.token(), assignments });
    }

    /// Gives the keys of servers that may not keep them to others, and keys without an owner.
    fn replace_owners(
        &mut self,
        now: Time,
        candidates: &[Candidate],
        loads: &KeyLoads,
    ) -> Vec<Assignment> {
        let able: Vec<&Candidate> = candidates.iter().filter(|each| each.eligible).collect();
        let warm: Vec<&Candidate> = able.iter().copied().filter(|each| !each.cold).collect();
        let takers = if warm.is_empty() { able } else { warm };
        if takers.is_empty() || !self.may_begin(now, takers.len(), loads) {
            return Vec::new();
        }
        let stays =
            |owner: OwnerId| candidates.iter().any(|each| each.owner == owner && each.eligible);
        let mut sharing = Sharing::new(&takers, candidates, loads.steady());
        for slot in &self.slots {
            sharing.count(slot.holding.owner, slot.holding.range);
        }
        let mut shares = Vec::new();
        for slot in &self.slots {
            if !stays(slot.holding.owner) {
                sharing.share(slot.holding.range, &mut shares);
            }
        }
        for gap in self.table().gaps() {
            sharing.share(gap, &mut shares);
        }
        let find = |owner| takers.iter().find(|taker| taker.owner == owner);
        let assign = |(range, owner)| find(owner).map(|taker| Assignment { range, to: **taker });
        shares.into_iter().filter_map(assign).collect()
    }

    /// Whether keys may be assigned: the first time only once all servers had time to be listed,
    /// so that the keys need not be moved to those that come a moment later.
    fn may_begin(&mut self, now: Time, servers: usize, loads: &KeyLoads) -> bool {
        if self.first_seen.0 != servers {
            self.first_seen = (servers, now);
        }
        let settled = now.since(self.first_seen.1) >= Granter::FIRST_ASSIGNMENT_WAIT;
        !self.slots.is_empty() || settled || loads.steady().total() > 0.0
    }

    fn rebalance(&self, now: Time, candidates: &[Candidate], loads: &KeyLoads) -> Vec<Assignment> {
        let held: Vec<Held> = self
            .slots
            .iter()
            .map(|slot| {
                let rested = now.since(slot.moved_at) >= Granter::REST;
                let movable = rested && slot.is_held();
                Held { range: slot.holding.range, owner: slot.holding.owner, movable }
            })
            .collect();
        let find = |owner| candidates.iter().find(|each| each.owner == owner).copied();
        let moves = Planner::plan(&loads.estimate(&held), &held, candidates).into_iter();
        moves
            .filter_map(|step| Some(Assignment { range: step.range, to: find(step.to)? }))
            .collect()
    }

    /// Joins adjacent ranges of one server where there are many, so that few are renewed.
    fn join(&self, candidates: &[Candidate]) -> Vec<Assignment> {
        if self.slots.len() <= candidates.len() * Granter::MAX_RANGES_PER_SERVER {
            return Vec::new();
        }
        let mut joined: Vec<Assignment> = Vec::new();
        for pair in self.slots.windows(2) {
            let (a, b) = (&pair[0].holding, &pair[1].holding);
            let held = pair.iter().all(Slot::is_held);
            if !held || !adjacent(a.range, b.range) || a.owner != b.owner {
                continue;
            }
            match joined.last_mut() {
                Some(last) if last.range.last == a.range.last => last.range.last = b.range.last,
                _ => {
                    let range = KeyRange::new(a.range.first, b.range.last);
                    let owner = candidates.iter().find(|each| each.owner == a.owner);
                    joined.extend(owner.map(|owner| Assignment { range, to: *owner }));
                }
            }
        }
        joined
    }
}
