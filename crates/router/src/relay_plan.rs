use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bay_types::ZoneName;

/// A router to which the granter's messages have to be delivered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Recipient {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Zone of its machine, if its record in the store says it.
    pub zone: Option<ZoneName>,
    /// Size of its machine relative to one that is large enough to be the granter.
    pub size: f64,
    /// Whether it has reported to the granter recently.
    pub is_responsive: bool,
    /// Whether messages through a relay do not reach it.
    pub needs_direct: bool,
}

/// A router that gets the granter's messages directly, with those to which it passes them on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// Address of the router.
    pub relay: SocketAddr,
    /// Addresses of the routers behind it; empty for a router that passes nothing on.
    pub members: Vec<SocketAddr>,
}

impl Branch {
    /// Creates the branch of a router that passes nothing on.
    fn direct(recipient: &Recipient) -> Branch {
        Branch { relay: recipient.address, members: Vec::new() }
    }
}

/// Fleets up to this size have no relays: the granter reaches every router directly.
pub(crate) const MAX_DIRECT: usize = 16;

/// Plans how the granter's messages reach all routers of a large fleet in two hops.
///
/// With `n` routers the granter sends to about `sqrt(n)` relays, and each relay to as many routers,
/// so that the bytes sent by the busiest machine grow with the square root of the fleet. A relay
/// serves its own zone: a message crosses to another zone once for each relay, not for each router.
/// The largest responsive machines of a zone are its relays; in a zone without any, all routers get
/// the messages directly. `recipients` are in the order of their names.
pub fn plan_relays(recipients: &[Recipient]) -> Vec<Branch> {
    if recipients.len() <= MAX_DIRECT {
        return recipients.iter().map(Branch::direct).collect();
    }
    let mut branches = Vec::new();
    let mut zones: BTreeMap<Option<ZoneName>, Vec<&Recipient>> = BTreeMap::new();
    for recipient in recipients {
        match recipient.needs_direct {
            true => branches.push(Branch::direct(recipient)),
            false => zones.entry(recipient.zone).or_default().push(recipient),
        }
    }
    // A relay for each group of this size.
    let group = (recipients.len() as f64).sqrt().ceil() as usize;
    for in_zone in zones.into_values() {
        let mut by_size: Vec<&Recipient> =
            in_zone.iter().copied().filter(|each| each.is_responsive).collect();
        by_size.sort_by(|a, b| b.size.total_cmp(&a.size));
        by_size.truncate(in_zone.len().div_ceil(group));
        if by_size.is_empty() {
            branches.extend(in_zone.into_iter().map(Branch::direct));
            continue;
        }
        let is_relay = |address| by_size.iter().any(|relay| relay.address == address);
        let mut relays: VecDeque<Branch> = by_size.iter().copied().map(Branch::direct).collect();
        for member in in_zone.iter().filter(|each| !is_relay(each.address)) {
            if let Some(branch) = relays.front_mut() {
                branch.members.push(member.address);
            }
            relays.rotate_left(1);
        }
        branches.extend(relays);
    }
    branches
}
