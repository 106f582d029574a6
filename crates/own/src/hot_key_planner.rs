use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{KeyHash, SliceId, SliceLayout};

use crate::loads::Loads;
use crate::planner::PlanLimits;
use crate::{HotRow, ServerKey, Shard, ShardRow};

/// A key this many times as busy as the mean range gets a slot of its own.
const HOT_FACTOR: f64 = 8.0;
/// A key with a slot that falls below this for [`COOL_TIME`] gives it up.
const COOL_FACTOR: f64 = 2.0;
/// How long a key with a slot has to be cool before it gives the slot up.
const COOL_TIME: Duration = Duration::from_secs(60);

/// Gives hot keys slices of their own and takes them back.
#[derive(Debug, Default)]
pub(crate) struct HotKeyPlanner {
    cool_since: BTreeMap<KeyHash, Time>,
}

impl HotKeyPlanner {
    /// Plans one shard.
    pub(crate) fn plan_shard(
        &mut self,
        now: Time,
        shard: &mut Shard,
        loads: &mut Loads<'_>,
        limits: &mut PlanLimits,
    ) {
        self.merge_cool_keys(now, shard, loads, limits);
        split_hot_keys(shard, loads, limits);
    }

    /// Returns keys that have cooled to their ranges, first by moving the slot to the range's
    /// owner.
    fn merge_cool_keys(
        &mut self,
        now: Time,
        shard: &mut Shard,
        loads: &Loads<'_>,
        limits: &mut PlanLimits,
    ) {
        let ranges = loads.ranges();
        for hot in shard.hot.clone() {
            if loads.rates().heat(hot.key, ranges) >= COOL_FACTOR {
                self.cool_since.remove(&hot.key);
                continue;
            }
            let since = *self.cool_since.entry(hot.key).or_insert(now);
            let base = shard.row(hot.base).unwrap_or_default();
            let settled = hot.row.previous_owner.is_none() && base.previous_owner.is_none();
            if now < since + COOL_TIME || !settled {
                continue;
            }
            if hot.row.owner != base.owner {
                let token = shard.next_token();
                if let Some(row) = shard.row_mut(hot.slice) {
                    *row = ShardRow { token, owner: base.owner, previous_owner: row.owner };
                }
                continue;
            }
            shard.hot.retain(|other| other.slice != hot.slice);
            raise_token(shard, hot.base);
            self.cool_since.remove(&hot.key);
            limits.slots_used -= 1;
        }
    }
}

/// Gives the hottest keys of a shard's ranges a slot each.
fn split_hot_keys(shard: &mut Shard, loads: &mut Loads<'_>, limits: &mut PlanLimits) {
    let ranges = loads.ranges();
    let Some(layout) = SliceLayout::new(ranges) else {
        return;
    };
    for key in loads.rates().hottest_keys() {
        if limits.slots_used >= limits.hot_keys || loads.rates().heat(key, ranges) < HOT_FACTOR {
            return;
        }
        let base = layout.range_of(key);
        let here = base.0.checked_sub(shard.first.0);
        let here = here.is_some_and(|index| (index as usize) < shard.rows.len());
        if !here || shard.hot.iter().any(|hot| hot.key == key) {
            continue;
        }
        let row = shard.row(base).unwrap_or_default();
        let owner = row.owner.and_then(|owner| shard.servers.get(usize::from(owner)));
        let (Some(owner), None, Some(slot)) = (owner, row.previous_owner, free_slot(shard, layout))
        else {
            continue;
        };
        let from = owner.key;
        split(shard, loads, key, base, slot, from);
        limits.slots_used += 1;
    }
}

/// Gives a key a slot, owned by the least loaded server, in the same write that raises the token
/// of its range; the range's owner has let go of the key once it has taken the new token.
fn split(
    shard: &mut Shard,
    loads: &mut Loads<'_>,
    key: KeyHash,
    base: SliceId,
    slot: SliceId,
    from: ServerKey,
) {
    let Some(to) = loads.pick_warm(slot) else {
        return;
    };
    let previous_owner = shard.server(from);
    raise_token(shard, base);
    let owner = shard.intern(to.key, to.zone);
    let token = shard.next_token();
    let row = ShardRow { token, owner: Some(owner), previous_owner };
    shard.hot.push(HotRow { slice: slot, key, base, since: token, row });
}

fn raise_token(shard: &mut Shard, slice: SliceId) {
    let token = shard.next_token();
    if let Some(row) = shard.row_mut(slice) {
        row.token = token;
    }
}

fn free_slot(shard: &Shard, layout: SliceLayout) -> Option<SliceId> {
    let index = shard.first.0 / crate::SHARD_RANGES;
    let first = index * SliceLayout::MAX_HOT_KEYS;
    let slots = (first..first + SliceLayout::MAX_HOT_KEYS).map(|slot| layout.hot_slot(slot));
    slots.into_iter().find(|slot| shard.hot.iter().all(|hot| hot.slice != *slot))
}
