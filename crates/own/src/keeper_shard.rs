use bay_time::Time;
use bay_types::SliceId;

use crate::keeper::Keeper;
use crate::loads::Loads;
use crate::{ServerKey, Shard};

impl Keeper {
    /// Updates a shard with the keeper's term, the servers that are up, the released slices and new
    /// owners for the slices of expired servers.
    pub(crate) fn update_shard(&self, now: Time, shard: &mut Shard, loads: &mut Loads) {
        let keeper_term = shard.keepers.get(&self.zone).copied().unwrap_or_default();
        if keeper_term > self.record.since || !self.has_authority(now) {
            return;
        }
        shard.keepers.insert(self.zone, self.record.since);
        // An earlier keeper may still change the shard until the store has it with this term.
        if keeper_term != self.record.since {
            return;
        }
        self.update_up_flags(now, shard);
        self.clear_released_owners(now, shard);
        self.replace_expired_owners(now, shard, loads);
    }

    fn update_up_flags(&self, now: Time, shard: &mut Shard) {
        for (key, state) in &self.servers {
            if state.is_reachable(self.record.since) {
                let index = shard.intern(*key, self.zone);
                shard.servers[usize::from(index)].up = true;
            } else if self.is_expired(now, *key)
                && let Some(index) = shard.server(*key)
            {
                shard.servers[usize::from(index)].up = false;
            }
        }
    }

    fn clear_released_owners(&self, now: Time, shard: &mut Shard) {
        let released: Vec<bool> = shard
            .servers
            .iter()
            .map(|server| server.zone == self.zone && self.has_released(now, server.key))
            .collect();
        for (_, row) in shard.slices_mut() {
            if row.previous_owner.is_some_and(|old| released.get(usize::from(old)) == Some(&true)) {
                row.previous_owner = None;
            }
        }
    }

    fn replace_expired_owners(&self, now: Time, shard: &mut Shard, loads: &mut Loads) {
        let expired: Vec<bool> = shard
            .servers
            .iter()
            .map(|server| server.zone == self.zone && self.is_expired(now, server.key))
            .collect();
        let has_expired = |owner: Option<u16>| {
            owner.is_some_and(|owner| expired.get(usize::from(owner)) == Some(&true))
        };
        let slices: Vec<SliceId> = shard
            .slices()
            .filter(|(_, row)| has_expired(row.owner))
            .map(|(slice, _)| slice)
            .collect();
        for slice in slices {
            let Some(server) = loads.pick_warm_server(slice) else {
                return;
            };
            assign(shard, slice, server.key, server.zone);
        }
    }
}

/// Assigns a slice to a new owner under a higher token; leaves its previous owner as it is.
pub(crate) fn assign(shard: &mut Shard, slice: SliceId, key: ServerKey, zone: bay_types::ZoneName) {
    let owner = shard.intern(key, zone);
    let token = shard.next_token();
    if let Some(row) = shard.row_mut(slice) {
        row.owner = Some(owner);
        row.token = token;
    }
}
