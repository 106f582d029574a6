use std::collections::BTreeSet;
use std::time::Duration;

use bay_time::Time;

use super::{Granter, adjacent};
use crate::planner::{OwnedRange, Planner};
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
    /// Ranges for each server above which quiet ones are given to their neighbours' owners.
    const MANY_RANGES: usize = 6;
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
            if assignments.is_empty() && !self.consolidated {
                assignments = self.absorb(now, candidates, loads);
            }
            self.consolidated = !assignments.is_empty();
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
        let held: Vec<OwnedRange> = self
            .slots
            .iter()
            .map(|slot| {
                let rested = now.since(slot.moved_at) >= Granter::REST;
                let movable = rested && slot.is_held();
                OwnedRange { range: slot.holding.range, owner: slot.holding.owner, movable }
            })
            .collect();
        let find = |owner| candidates.iter().find(|each| each.owner == owner).copied();
        let moves = Planner::plan(&loads.estimate(&held), &held, candidates).into_iter();
        moves
            .filter_map(|step| Some(Assignment { range: step.range, to: find(step.to)? }))
            .collect()
    }

    /// Gives the least busy ranges to the owners of their neighbours where there are many ranges,
    /// so that they can be joined: each range is renewed, and listed at every router.
    fn absorb(&self, now: Time, candidates: &[Candidate], loads: &KeyLoads) -> Vec<Assignment> {
        let surplus = self.slots.len().saturating_sub(candidates.len() * Granter::MANY_RANGES);
        if surplus == 0 {
            return Vec::new();
        }
        let rested = |slot: &Slot| slot.is_held() && now.since(slot.moved_at) >= Granter::REST;
        let warm = |owner| candidates.iter().find(|c| c.owner == owner && c.eligible && !c.cold);
        let mut quiet: Vec<(usize, f64)> = (1..self.slots.len())
            .filter(|at| rested(&self.slots[*at]) && self.slots[at - 1].is_held())
            .filter(|at| {
                let (left, own) = (&self.slots[at - 1].holding, &self.slots[*at].holding);
                adjacent(left.range, own.range) && left.owner != own.owner
            })
            .map(|at| (at, loads.steady().rate(self.slots[at].holding.range)))
            .collect();
        quiet.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        let mut absorbed = BTreeSet::new();
        let mut assignments = Vec::new();
        for (at, _) in quiet {
            if assignments.len() >= surplus {
                break;
            }
            // The neighbour has to stay where it is.
            if absorbed.contains(&(at - 1)) || absorbed.contains(&(at + 1)) {
                continue;
            }
            if let Some(to) = warm(self.slots[at - 1].holding.owner) {
                absorbed.insert(at);
                assignments.push(Assignment { range: self.slots[at].holding.range, to: *to });
            }
        }
        assignments
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
