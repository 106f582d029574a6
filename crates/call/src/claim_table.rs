use std::collections::HashMap;
use std::time::Duration;

use bay_time::{Time, Timers};
use bay_types::NodeId;
use bay_wire::ClaimVerdict;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The claims of idempotency keys that one gate stores on behalf of all gates.
///
/// A claim is the exclusive right to run a request with an idempotency key. Each key has two home
/// gates by rendezvous hashing (Thaler and Ravishankar, 1998). A gate runs a request only if a home
/// other than itself grants the claim and none refuses it. When one gate joins or leaves, at least
/// one home of each key stays the same.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<u64, Claim>,
    expiries: Timers<u64>,
}

/// The request that holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claimant {
    /// The gate that received the request.
    pub gate: NodeId,
    /// The request's number at that gate.
    pub call: u64,
}

#[derive(Debug, Clone, Copy)]
struct Claim {
    holder: Claimant,
    expires_at: Time,
}

impl ClaimTable {
    /// Maximum number of claims stored at a time.
    pub const MAX_CLAIMS: usize = 65_536;
    /// Number of gates that store each claim.
    pub const HOMES: usize = 2;
    /// Maximum time for which a claim is granted.
    pub const MAX_HOLD: Duration = Duration::from_secs(3_600);

    /// Returns the home gates of the idempotency key with this digest, fewer than
    /// [`ClaimTable::HOMES`] if there are fewer gates.
    pub fn homes(digest: u64, gates: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
        let score = |gate: NodeId| (xxh3_64_with_seed(&gate.0.to_le_bytes(), digest), gate);
        let mut homes: Vec<(u64, NodeId)> = Vec::with_capacity(ClaimTable::HOMES + 1);
        for scored in gates.map(score) {
            let position = homes.partition_point(|home| *home > scored);
            homes.insert(position, scored);
            homes.truncate(ClaimTable::HOMES);
        }
        homes.into_iter().map(|(_, gate)| gate).collect()
    }

    /// Grants or renews a claim for the time `hold`.
    ///
    /// Refuses it if another copy of the request holds the claim or if the table is full.
    pub fn claim(
        &mut self,
        now: Time,
        digest: u64,
        holder: Claimant,
        hold: Duration,
    ) -> ClaimVerdict {
        self.expire(now);
        let expires_at = now + hold.min(ClaimTable::MAX_HOLD);
        match self.claims.get(&digest) {
            Some(claim) if claim.holder != holder => return refusal(claim.expires_at.since(now)),
            Some(_) => {}
            None if self.claims.len() >= ClaimTable::MAX_CLAIMS => return refusal(Duration::ZERO),
            None => {}
        }
        self.claims.insert(digest, Claim { holder, expires_at });
        self.expiries.set(digest, expires_at);
        ClaimVerdict::Granted
    }

    /// Removes a claim if this request holds it.
    pub fn release(&mut self, digest: u64, holder: Claimant) {
        if self.claims.get(&digest).is_some_and(|claim| claim.holder == holder) {
            self.claims.remove(&digest);
            self.expiries.cancel(digest);
        }
    }

    /// Returns the number of stored claims, expired ones included until [`ClaimTable::expire`].
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Removes expired claims.
    pub fn expire(&mut self, now: Time) {
        while let Some(digest) = self.expiries.pop_due(now) {
            self.claims.remove(&digest);
        }
    }
}

fn refusal(span: Duration) -> ClaimVerdict {
    ClaimVerdict::Held { for_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX) }
}
