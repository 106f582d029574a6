use std::collections::{BTreeMap, BTreeSet};

use bay_own::Shard;
use bay_store::Object;
use bay_types::{KeyHash, ServerName, ServiceName, SliceId, Token, ZoneName};
use bay_wire::SliceGrant;

/// Checks that each key has one owner and that each grant follows a write to the store.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// Owner of each token, once a written row names no previous owner. Only then may the token
    /// be granted.
    settled_owners: BTreeMap<(ServiceName, SliceId, Token), ServerName>,
    /// Hot keys excluded from a range, by token of the range.
    excluded_keys: BTreeMap<(ServiceName, SliceId, Token), BTreeSet<KeyHash>>,
    /// Hot key and base range of a hot slot, by token of the slot. The same slot can serve
    /// another key under another token.
    slot_keys: BTreeMap<(ServiceName, SliceId, Token), (KeyHash, SliceId)>,
    /// Highest token written, by slice.
    highest_tokens: BTreeMap<(ServiceName, SliceId), Token>,
    /// Last written shard, by object key.
    last_shards: BTreeMap<String, Shard>,
    forbidden_zones: BTreeSet<ZoneName>,
    /// Violations found so far, one line each.
    pub violations: Vec<String>,
}

/// Slices that one server owns.
#[derive(Debug)]
pub(crate) struct ServerGrants {
    pub(crate) service: ServiceName,
    pub(crate) server: ServerName,
    pub(crate) grants: Vec<SliceGrant>,
}

impl InvariantChecker {
    /// Replaces the zones in which any later grant is a violation.
    pub(crate) fn forbid_grants(&mut self, zones: BTreeSet<ZoneName>) {
        self.forbidden_zones = zones;
    }

    /// Checks a written shard against earlier ones and records it; ignores other objects.
    pub(crate) fn check_write(&mut self, service: ServiceName, object: &Object) {
        let Some(shard) = Shard::parse(object) else {
            return;
        };
        let last = self.last_shards.insert(object.key.to_string(), shard.clone());
        for (slice, row) in shard.slices() {
            let highest = self.highest_tokens.entry((service, slice)).or_default();
            if row.token < *highest {
                self.violations.push(format!("{service} {slice:?}: token reverted to {row:?}"));
            }
            *highest = row.token.max(*highest);
            let previous = last.as_ref().and_then(|last| last.row(slice));
            if previous.is_some_and(|previous| previous.owner.is_some() && row.owner.is_none()) {
                self.violations.push(format!("{service} {slice:?}: assignment lost"));
            }
            let owner = row.owner.and_then(|owner| shard.servers.get(usize::from(owner)));
            if let (Some(owner), None) = (owner, row.previous_owner) {
                let key = (service, slice, row.token);
                let earlier_owner = self.settled_owners.insert(key, owner.key.name);
                if earlier_owner.is_some_and(|earlier_owner| earlier_owner != owner.key.name) {
                    self.violations.push(format!("{key:?}: two owners of one token"));
                }
            }
            let excluded: BTreeSet<KeyHash> =
                shard.hot.iter().filter(|hot| hot.base == slice).map(|hot| hot.key).collect();
            let key = (service, slice, row.token);
            let known = self.excluded_keys.entry(key).or_insert_with(|| excluded.clone());
            if *known != excluded {
                self.violations.push(format!("{key:?}: hot keys changed under one token"));
            }
        }
        for hot in &shard.hot {
            self.slot_keys.insert((service, hot.slice, hot.row.token), (hot.key, hot.base));
        }
    }

    /// Checks slices that were just granted to a server.
    pub(crate) fn check_grants(
        &mut self,
        service: ServiceName,
        server: ServerName,
        zone: ZoneName,
        added: &[SliceGrant],
    ) {
        for grant in added {
            let key = (service, grant.slice, grant.token);
            if self.settled_owners.get(&key) != Some(&server) {
                self.violations.push(format!("{key:?}: granted to {server} without a write"));
            }
            if self.forbidden_zones.contains(&zone) {
                self.violations
                    .push(format!("{key:?}: granted in zone {zone}, which is out of service"));
            }
        }
    }

    /// Checks that no two servers own the same key, either by the same slice or by its hot slot
    /// and its range.
    pub(crate) fn check_owners(&mut self, now: bay_time::Time, server_grants: &[ServerGrants]) {
        let mut owners: BTreeMap<(ServiceName, SliceId), (ServerName, Token)> = BTreeMap::new();
        for server in server_grants {
            for grant in &server.grants {
                let here = (server.server, grant.token);
                let other = owners.insert((server.service, grant.slice), here);
                if let Some((other, token)) = other
                    && self.tokens_overlap(server.service, grant, token)
                {
                    let millis = now.as_nanos() / 1_000_000;
                    self.violations.push(format!(
                        "at {millis} ms {} {grant:?}: owned by {} and {other}",
                        server.service, server.server
                    ));
                }
            }
        }
        for ((service, slice), (server, token)) in &owners {
            let Some((key, base)) = self.slot_keys.get(&(*service, *slice, *token)) else {
                continue;
            };
            let Some((other, token)) = owners.get(&(*service, *base)) else {
                continue;
            };
            let excluded = self.excluded_keys.get(&(*service, *base, *token));
            if other != server && !excluded.is_some_and(|excluded| excluded.contains(key)) {
                self.violations
                    .push(format!("{service} hot {key:?}: owned by {server} and {other}"));
            }
        }
    }

    /// Returns whether two tokens of a slice cover a common key. Tokens of a hot slot that serve
    /// different keys don't; any others do.
    fn tokens_overlap(&self, service: ServiceName, grant: &SliceGrant, token: Token) -> bool {
        let key = |token| self.slot_keys.get(&(service, grant.slice, token));
        match (key(grant.token), key(token)) {
            (Some(left), Some(right)) => left.0 == right.0,
            _ => true,
        }
    }
}
