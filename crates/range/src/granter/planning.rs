use std::collections::BTreeSet;
use std::time::Duration;

use bay_time::Time;

use super::{Granter, is_adjacent};
use crate::distribution::Distribution;
use crate::key_limits::key_limits;
use crate::planner::{OwnedRange, Planner};
use crate::slot::Slot;
use crate::staged_change::{Assignment, StagedChange};
use crate::{Candidate, KeyLimit, KeyLoads, KeyRange, OwnerId, OwnerLimit, OwnerLimits};

impl Granter {
    /// Time between two plans that join, absorb or rebalance ranges.
    const PLAN_INTERVAL: Duration = Duration::from_millis(400);
    /// Time after a move during which a range stays, unless its owner has to be replaced.
    const MOVE_COOLDOWN: Duration = Duration::from_millis(1_500);
    /// Time after a move during which a key that its owner cannot serve stays, although a server with
    /// more capacity may have room: during each move nobody serves the key.
    const UPGRADE_COOLDOWN: Duration = Duration::from_secs(10);
    /// Time with an unchanged number of servers before the first assignment of keys.
    const FIRST_ASSIGNMENT_WAIT: Duration = Duration::from_millis(2_500);
    /// Ranges per server above which joining and absorbing them is as urgent as rebalancing.
    const MAX_RANGES_PER_SERVER: usize = 8;
    /// Ranges per server above which quiet ranges move to the owners of their neighbours.
    const ABSORB_RANGES_PER_SERVER: usize = 6;
    /// Ranges per server above which adjacent ranges of one owner are joined.
    const JOIN_RANGES_PER_SERVER: usize = 3;

    /// Stages the next change of owners, if one is needed.
    ///
    /// Replacing owners comes first. Rebalancing, joining and absorbing follow in that order, and only
    /// the first that finds something is staged. With too many ranges, each second plan joins or
    /// absorbs before it rebalances.
    pub(super) fn stage_change(&mut self, now: Time, candidates: &[Candidate], loads: &KeyLoads) {
        let mut assignments = self.replace_owners(now, candidates, loads);
        if now >= self.plan_at {
            self.plan_at = now + Granter::PLAN_INTERVAL;
            let has_many = self.slots.len() > candidates.len() * Granter::MAX_RANGES_PER_SERVER;
            let rebalances = !has_many || self.last_plan_consolidated;
            if rebalances && assignments.is_empty() {
                assignments = self.rebalance(now, candidates, loads);
            }
            self.last_plan_consolidated = assignments.is_empty();
            if assignments.is_empty() {
                assignments = self.join_adjacent_ranges(candidates);
            }
            if assignments.is_empty() {
                assignments = self.absorb_quiet_ranges(now, candidates, loads);
            }
        }
        if assignments.is_empty() {
            return;
        }
        self.change += 1;
        self.staged =
            Some(StagedChange { change: self.change, token: self.current_token(), assignments });
    }

    /// Assigns keys without an owner, and keys whose owner is gone or not eligible any more.
    fn replace_owners(
        &mut self,
        now: Time,
        candidates: &[Candidate],
        loads: &KeyLoads,
    ) -> Vec<Assignment> {
        let eligible: Vec<&Candidate> = candidates.iter().filter(|each| each.eligible).collect();
        let warm: Vec<&Candidate> = eligible.iter().copied().filter(|each| !each.cold).collect();
        let recipients = if warm.is_empty() { eligible } else { warm };
        if recipients.is_empty() || !self.may_assign(now, recipients.len(), loads) {
            return Vec::new();
        }
        let keeps_ranges =
            |owner: OwnerId| candidates.iter().any(|each| each.owner == owner && each.eligible);
        let mut distribution = Distribution::new(&recipients, candidates, loads.steady());
        for slot in &self.slots {
            distribution.add_owned_range(slot.holding.owner, slot.holding.range);
        }
        let mut parts = Vec::new();
        for slot in &self.slots {
            if !keeps_ranges(slot.holding.owner) {
                distribution.distribute(slot.holding.range, &mut parts);
            }
        }
        for gap in self.current_table().gaps() {
            distribution.distribute(gap, &mut parts);
        }
        let find = |owner| recipients.iter().find(|recipient| recipient.owner == owner);
        let assign =
            |(range, owner)| find(owner).map(|recipient| Assignment { range, to: **recipient });
        parts.into_iter().filter_map(assign).collect()
    }

    /// Returns whether keys may be assigned now.
    ///
    /// The first assignment waits until the number of servers is stable, unless requests arrive.
    /// Otherwise keys would move again to servers that are registered a moment later.
    fn may_assign(&mut self, now: Time, servers: usize, loads: &KeyLoads) -> bool {
        if self.server_count_since.0 != servers {
            self.server_count_since = (servers, now);
        }
        let is_stable = now.since(self.server_count_since.1) >= Granter::FIRST_ASSIGNMENT_WAIT;
        !self.slots.is_empty() || is_stable || loads.steady().total() > 0.0
    }

    /// Returns the limits of the keys that get far more requests than their owners can run.
    pub fn key_limits(
        &self,
        now: Time,
        candidates: &[Candidate],
        loads: &KeyLoads,
    ) -> Vec<KeyLimit> {
        key_limits(&self.owned_ranges(now), candidates, loads)
    }

    /// Returns the limits of the owners that get more requests than they can run from this many
    /// routers.
    pub fn owner_limits(
        &self,
        now: Time,
        limits: &mut OwnerLimits,
        candidates: &[Candidate],
        loads: &KeyLoads,
        routers: u32,
    ) -> Vec<OwnerLimit> {
        limits.update(now, &self.owned_ranges(now), candidates, loads, routers)
    }

    /// Returns the ranges in key order, as the planner sees them.
    fn owned_ranges(&self, now: Time) -> Vec<OwnedRange> {
        let owned = |slot: &Slot| {
            let since_move = now.since(slot.moved_at);
            OwnedRange {
                range: slot.holding.range,
                owner: slot.holding.owner,
                movable: since_move >= Granter::MOVE_COOLDOWN && slot.is_held(),
                upgradable: since_move >= Granter::UPGRADE_COOLDOWN && slot.is_held(),
            }
        };
        self.slots.iter().map(owned).collect()
    }

    /// Moves keys from overloaded servers to those with room.
    fn rebalance(&self, now: Time, candidates: &[Candidate], loads: &KeyLoads) -> Vec<Assignment> {
        let owned = self.owned_ranges(now);
        let find = |owner| candidates.iter().find(|each| each.owner == owner).copied();
        let moves = Planner::plan(&loads.estimate(&owned), &owned, candidates).into_iter();
        moves
            .filter_map(|step| Some(Assignment { range: step.range, to: find(step.to)? }))
            .collect()
    }

    /// Moves the least busy ranges to the owners of their left neighbours if there are many ranges.
    ///
    /// The two can then be joined. Each range costs renewals, and an entry at every router.
    fn absorb_quiet_ranges(
        &self,
        now: Time,
        candidates: &[Candidate],
        loads: &KeyLoads,
    ) -> Vec<Assignment> {
        let surplus =
            self.slots.len().saturating_sub(candidates.len() * Granter::ABSORB_RANGES_PER_SERVER);
        if surplus == 0 {
            return Vec::new();
        }
        let has_cooled_down =
            |slot: &Slot| slot.is_held() && now.since(slot.moved_at) >= Granter::MOVE_COOLDOWN;
        let warm = |owner| candidates.iter().find(|c| c.owner == owner && c.eligible && !c.cold);
        let mut quiet: Vec<(usize, f64)> = (1..self.slots.len())
            .filter(|at| has_cooled_down(&self.slots[*at]) && self.slots[at - 1].is_held())
            .filter(|at| {
                let (left, own) = (&self.slots[at - 1].holding, &self.slots[*at].holding);
                is_adjacent(left.range, own.range) && left.owner != own.owner
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
            // A range and its neighbour must not both move.
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

    /// Joins adjacent ranges of one owner if there are many ranges, to save renewals.
    fn join_adjacent_ranges(&self, candidates: &[Candidate]) -> Vec<Assignment> {
        if self.slots.len() <= candidates.len() * Granter::JOIN_RANGES_PER_SERVER {
            return Vec::new();
        }
        let mut joined: Vec<Assignment> = Vec::new();
        for pair in self.slots.windows(2) {
            let (a, b) = (&pair[0].holding, &pair[1].holding);
            let held = pair.iter().all(Slot::is_held);
            if !held || !is_adjacent(a.range, b.range) || a.owner != b.owner {
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
