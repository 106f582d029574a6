use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bay_time::Time;
use bay_types::{ServerName, SliceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::hot_key_planner::HotKeyPlanner;
use crate::keeper_shard::assign;
use crate::loads::Loads;
use crate::{ServerKey, Shard};

/// Time between two plans.
pub(crate) const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// How long slices without an owner wait, from the first plan, for all servers to be up.
const START_GRACE: Duration = Duration::from_secs(2);
/// Time after a move before balancing may move the same slice again.
const MOVE_COOLDOWN: Duration = Duration::from_secs(60);
/// A server whose load exceeds the mean by this factor gives slices away.
const OVERLOAD_FACTOR: f64 = 1.05;
/// Divisor of the number of ranges. Balancing starts no move while that many slices,
/// or one if the quotient is 0, are moving.
const BALANCE_MOVE_DIVISOR: usize = 32;
/// Divisor of the number of ranges. Draining starts no move while that many slices,
/// or one if the quotient is 0, are moving.
const DRAIN_MOVE_DIVISOR: usize = 4;
/// Divisor of a server's share of the load. Balancing gives a server no more slices in a plan once
/// it has received that much load.
const RECEIVED_LOAD_DIVISOR: f64 = 32.0;

/// Assigns the slices of one service to servers.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    started_at: Option<Time>,
    moved_at: BTreeMap<SliceId, Time>,
    hot: HotKeyPlanner,
    next_plan: Time,
}

/// Limits and budgets of one plan, shared by all shards.
#[derive(Debug)]
pub(crate) struct PlanLimits {
    /// Whether every eligible server is up and every zone has a term.
    pub(crate) all_up: bool,
    /// The maximum number of hot keys with a slot.
    pub(crate) hot_keys: usize,
    /// Slices whose previous owner is not known to have released them, over all shards.
    pub(crate) moving: usize,
    /// Hot keys with a slot, over all shards.
    pub(crate) slots_used: usize,
    /// The load that balancing has moved to each server in this plan.
    pub(crate) received: BTreeMap<ServerKey, f64>,
}

impl Planner {
    /// Returns when the next plan is due.
    pub(crate) fn next_plan(&self) -> Time {
        self.next_plan
    }

    /// Schedules the next plan and drops the move cooldowns that have ended.
    pub(crate) fn record_plan(&mut self, now: Time) {
        self.next_plan = now + PLAN_PERIOD;
        self.moved_at.retain(|_, at| now < *at + MOVE_COOLDOWN);
    }

    /// Makes the next plan due at once.
    pub(crate) fn schedule_now(&mut self, now: Time) {
        self.next_plan = self.next_plan.min(now);
    }

    /// Plans one shard: assigns free slices, drains servers, splits hot keys, balances the load.
    pub(crate) fn plan_shard(
        &mut self,
        now: Time,
        shard: &mut Shard,
        loads: &mut Loads<'_>,
        limits: &mut PlanLimits,
    ) {
        if loads.servers().is_empty() {
            return;
        }
        self.assign_free_slices(now, shard, loads, limits);
        drain_servers(shard, loads, limits);
        self.hot.plan_shard(now, shard, loads, limits);
        self.balance_load(now, shard, loads, limits);
    }

    /// Assigns the slices without an owner to the least loaded servers.
    fn assign_free_slices(
        &mut self,
        now: Time,
        shard: &mut Shard,
        loads: &mut Loads<'_>,
        limits: &PlanLimits,
    ) {
        let since = *self.started_at.get_or_insert(now);
        if !limits.all_up && now < since + START_GRACE {
            return;
        }
        let free: Vec<SliceId> =
            shard.slices().filter(|(_, row)| row.owner.is_none()).map(|(slice, _)| slice).collect();
        for slice in free {
            if let Some(server) = loads.pick_server(slice) {
                assign(shard, slice, server.key, server.zone);
            }
        }
    }

    /// Moves slices from the most loaded to the least loaded servers.
    fn balance_load(
        &mut self,
        now: Time,
        shard: &mut Shard,
        loads: &mut Loads<'_>,
        limits: &mut PlanLimits,
    ) {
        let max_moving = (loads.ranges() as usize / BALANCE_MOVE_DIVISOR).max(1);
        let mut movable = movable_slices(shard, |slice| !self.moved_at.contains_key(&slice));
        let mean = loads.mean_relative_load();
        let mut full = BTreeSet::new();
        while limits.moving < max_moving {
            let (Some(from), Some(to)) = (loads.most_loaded(), loads.least_loaded(&full)) else {
                return;
            };
            if from.relative_load() <= mean * OVERLOAD_FACTOR {
                return;
            }
            let max_received = (mean * to.weight() / RECEIVED_LOAD_DIVISOR).max(1.0);
            let received = limits.received.entry(to.key).or_default();
            if *received >= max_received {
                full.insert(to.key);
                continue;
            }
            let slices = movable.entry(from.key).or_default();
            let fits = slices.iter().position(|slice| loads.improves_balance(&from, &to, *slice));
            let Some(found) = fits else { return };
            let slice = slices.swap_remove(found);
            *received += loads.load_of(slice);
            move_slice(shard, slice, to.key, to.zone);
            loads.move_load(from.key, to.key, slice);
            self.moved_at.insert(slice, now);
            limits.moving += 1;
        }
    }
}

/// Moves slices away from servers that are no longer eligible.
fn drain_servers(shard: &mut Shard, loads: &mut Loads<'_>, limits: &mut PlanLimits) {
    let allowed: BTreeSet<ServerKey> = loads.servers().iter().map(|server| server.key).collect();
    let max_moving = (loads.ranges() as usize / DRAIN_MOVE_DIVISOR).max(1);
    let stays = |owner: u16| {
        let server = shard.servers.get(usize::from(owner));
        // The keeper assigns the slices of a server that is down, once its leases have expired.
        server.is_none_or(|server| allowed.contains(&server.key) || !server.up)
    };
    let draining: Vec<(SliceId, bool)> = shard
        .slices()
        .filter(|(_, row)| row.owner.is_some_and(|owner| !stays(owner)))
        .map(|(slice, row)| (slice, row.previous_owner.is_some()))
        .collect();
    for (slice, is_moving) in draining {
        if limits.moving >= max_moving && !is_moving {
            return;
        }
        let Some(server) = loads.pick_warm_server(slice) else {
            return;
        };
        if is_moving {
            // The current owner has not been granted the slice yet and has nothing to release.
            assign(shard, slice, server.key, server.zone);
        } else {
            move_slice(shard, slice, server.key, server.zone);
            limits.moving += 1;
        }
    }
}

/// Assigns a slice to a new owner and records the current one as its previous owner.
pub(crate) fn move_slice(
    shard: &mut Shard,
    slice: SliceId,
    key: ServerKey,
    zone: bay_types::ZoneName,
) {
    let current_owner = shard.row(slice).and_then(|row| row.owner);
    assign(shard, slice, key, zone);
    if let Some(row) = shard.row_mut(slice) {
        row.previous_owner = current_owner;
    }
}

/// Returns the slices that are not moving and that `may_move` accepts, grouped by owner.
fn movable_slices<F>(shard: &Shard, may_move: F) -> BTreeMap<ServerKey, Vec<SliceId>>
where
    F: Fn(SliceId) -> bool,
{
    let mut movable: BTreeMap<ServerKey, Vec<SliceId>> = BTreeMap::new();
    for (slice, row) in shard.slices() {
        let owner = row.owner.and_then(|owner| shard.servers.get(usize::from(owner)));
        if let (Some(owner), None, true) = (owner, row.previous_owner, may_move(slice)) {
            movable.entry(owner.key).or_default().push(slice);
        }
    }
    movable
}

/// Returns the owner of a slice by weighted rendezvous hashing, or `None` without servers.
///
/// See Thaler and Ravishankar, 1998; the weights follow Schindelhauer and Schomaker, 2005.
pub fn rendezvous_owner<I>(slice: SliceId, servers: I) -> Option<ServerName>
where
    I: IntoIterator<Item = (ServerName, u32)>,
{
    let scored = servers.into_iter().map(|(name, weight)| (score(slice, name, weight), name));
    let best = scored.max_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    best.map(|(_, name)| name)
}

fn score(slice: SliceId, name: ServerName, weight: u32) -> f64 {
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), u64::from(slice.0));
    // Maps the hash to the open interval (0, 1), where the logarithm is finite and not zero.
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    f64::from(weight) / -unit.ln()
}
