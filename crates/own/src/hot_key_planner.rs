use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{KeyHash, SliceId, SliceLayout};

use crate::loads::Loads;
use crate::planner::PlanLimits;
use crate::{HotRow, ServerKey, Shard, ShardRow};

/// A key gets a slot of its own at this multiple of the mean rate of a range or above.
const HOT_FACTOR: f64 = 8.0;
/// A key loses its slot after [`COOL_TIME`] below this multiple of the mean rate of a range.
const COOL_FACTOR: f64 = 2.0;
/// How long a key must be below [`COOL_FACTOR`] before it loses its slot.
const COOL_TIME: Duration = Duration::from_secs(60);

/// Splits hot keys from their ranges and merges them back once they have cooled.
#[derive(Debug, Default)]
pub(crate) struct HotKeyPlanner {
    cool_since: BTreeMap<KeyHash, Time>,
}

impl HotKeyPlanner {
    /// Merges cooled keys and splits hot keys of one shard.
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

    /// Merges cooled keys into their ranges. A slot that belongs to another server than the range
    /// first moves to the range's owner.
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
            let none_moving = hot.row.previous_owner.is_none() && base.previous_owner.is_none();
            if now < since + COOL_TIME || !none_moving {
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

/// Gives the hottest keys of a shard's ranges a free slot each, up to the limit of hot keys.
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
        let index = base.0.checked_sub(shard.first.0);
        let in_shard = index.is_some_and(|index| (index as usize) < shard.rows.len());
        if !in_shard || shard.hot.iter().any(|hot| hot.key == key) {
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

/// Gives a key a slot on the least loaded server and raises the token of its range.
///
/// The range's owner has released the key once it accepts the new token.
fn split(
    shard: &mut Shard,
    loads: &mut Loads<'_>,
    key: KeyHash,
    base: SliceId,
    slot: SliceId,
    from: ServerKey,
) {
    let Some(to) = loads.pick_warm_server(slot) else {
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
