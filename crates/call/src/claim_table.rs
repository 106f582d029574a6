use std::collections::HashMap;
use std::time::Duration;

use bay_time::{Time, Timers};
use bay_types::NodeId;
use bay_wire::ClaimVerdict;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rights to run requests with an idempotency key, as one gate keeps them for all gates.
///
/// Each key has two home gates by rendezvous hash (Thaler and Ravishankar, 1998). A gate runs a
/// request only if a home other than itself grants it and none refuses it; one gate's loss or
/// arrival leaves one home of each key in place.
#[derive(Debug, Default)]
pub struct ClaimTable {
    held: HashMap<u64, Hold>,
    expiries: Timers<u64>,
}

/// Who holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claimant {
    /// The gate that has the request.
    pub gate: NodeId,
    /// That gate's number of the request.
    pub call: u64,
}

#[derive(Debug, Clone, Copy)]
struct Hold {
    by: Claimant,
    until: Time,
}

impl ClaimTable {
    /// Most claims kept at a time.
    pub const MAX_CLAIMS: usize = 65_536;
    /// How many gates keep each claim.
    pub const HOMES: usize = 2;
    /// Longest time that a claim is kept.
    pub const MAX_HOLD: Duration = Duration::from_secs(3_600);

    /// The gates that keep the claims of a digest.
    pub fn homes(digest: u64, gates: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
        let weigh = |gate: NodeId| (xxh3_64_with_seed(&gate.0.to_le_bytes(), digest), gate);
        let mut homes: Vec<(u64, NodeId)> = Vec::with_capacity(ClaimTable::HOMES + 1);
        for weighed in gates.map(weigh) {
            let place = homes.partition_point(|home| *home > weighed);
            homes.insert(place, weighed);
            homes.truncate(ClaimTable::HOMES);
        }
        homes.into_iter().map(|(_, gate)| gate).collect()
    }

    /// Grants a claim, unless another copy holds it.
    pub fn claim(&mut self, now: Time, digest: u64, by: Claimant, hold: Duration) -> ClaimVerdict {
        self.expire(now);
        let until = now + hold.min(ClaimTable::MAX_HOLD);
        match self.held.get(&digest) {
            Some(held) if held.by != by => return held_for(held.until.since(now)),
            Some(_) => {}
            None if self.held.len() >= ClaimTable::MAX_CLAIMS => return held_for(Duration::ZERO),
            None => {}
        }
        self.held.insert(digest, Hold { by, until });
        self.expiries.set(digest, until);
        ClaimVerdict::Granted
    }

    /// Gives a claim back.
    pub fn release(&mut self, digest: u64, by: Claimant) {
        if self.held.get(&digest).is_some_and(|held| held.by == by) {
            self.held.remove(&digest);
            self.expiries.cancel(digest);
        }
    }

    /// How many claims are kept.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Drops the claims whose time has run out.
    pub fn expire(&mut self, now: Time) {
        while let Some(digest) = self.expiries.pop_due(now) {
            self.held.remove(&digest);
        }
    }
}

fn held_for(span: Duration) -> ClaimVerdict {
    ClaimVerdict::Held { for_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX) }
}
