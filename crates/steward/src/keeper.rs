use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bay_conf::ServiceDoc;
use bay_own::Assignment;
use bay_time::Time;
use bay_types::{NodeId, ServerName, Term, ZoneName};
use bay_wire::{
    LeaseProof, Order, OrderReply, OrderRole, OrderVerdict, RouteRow, Routes, SliceGrant,
};

/// Renewals sent within one lease.
const RENEWALS_A_LEASE: u32 = 3;

/// Keeps the leases of one service's servers in one zone.
#[derive(Debug)]
pub(crate) struct Keeper {
    node: NodeId,
    pub(crate) term: Term,
    sequence: u64,
    zone: ZoneName,
    next_renewal: Time,
    servers: BTreeMap<ServerName, Kept>,
    pub(crate) routes_minor: u64,
}

#[derive(Debug)]
struct Kept {
    address: SocketAddr,
    boot: u64,
    proof: Option<LeaseProof>,
    granted: BTreeSet<(u32, u64)>,
    wanted: BTreeSet<(u32, u64)>,
}

impl Keeper {
    pub(crate) fn new(node: NodeId, term: Term, zone: ZoneName, now: Time) -> Keeper {
        Keeper {
            node,
            term,
            sequence: 0,
            zone,
            next_renewal: now,
            servers: BTreeMap::new(),
            routes_minor: 0,
        }
    }

    pub(crate) fn next_deadline(&self) -> Time {
        self.next_renewal
    }

    pub(crate) fn set_assignment(&mut self, doc: &ServiceDoc, assignment: &Assignment) {
        let in_zone = doc.servers.iter().filter(|server| server.zone == self.zone);
        for server in in_zone {
            let rows = assignment.rows.iter().filter(|row| row.owner == server.name);
            let wanted = rows.map(|row| (row.slice.0, row.token.0)).collect();
            let kept = self.servers.entry(server.name).or_insert_with(|| Kept {
                address: server.address,
                boot: 0,
                proof: None,
                granted: BTreeSet::new(),
                wanted: BTreeSet::new(),
            });
            kept.address = server.address;
            kept.wanted = wanted;
        }
    }

    /// The orders that are due.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        doc: &ServiceDoc,
    ) -> Vec<(ServerName, SocketAddr, Order)> {
        let Some(rules) = doc.keyed() else {
            return Vec::new();
        };
        if now < self.next_renewal {
            return Vec::new();
        }
        self.next_renewal = now + rules.lease / RENEWALS_A_LEASE;
        let mut orders = Vec::new();
        for (name, kept) in &self.servers {
            self.sequence += 1;
            let order = Order {
                keeper: self.node,
                role: OrderRole::Keeper,
                term: self.term,
                sequence: self.sequence,
                proof: kept.proof,
                replace: false,
                lease_ms: rules.lease.as_millis() as u64,
                grant: grants(kept.wanted.difference(&kept.granted)),
                revoke: Vec::new(),
            };
            orders.push((*name, kept.address, order));
        }
        orders
    }

    /// Takes a server's answer; returns whether the routes changed.
    pub(crate) fn acknowledge(
        &mut self,
        name: ServerName,
        order: &Order,
        reply: &OrderReply,
    ) -> bool {
        let Some(kept) = self.servers.get_mut(&name) else {
            return false;
        };
        kept.proof = Some(LeaseProof { boot: reply.boot, stamp: reply.stamp });
        if reply.verdict != OrderVerdict::Taken || order.proof.is_none() {
            return false;
        }
        let restarted = reply.boot != kept.boot;
        if restarted {
            kept.boot = reply.boot;
            kept.granted.clear();
        }
        let before = kept.granted.len();
        kept.granted.extend(order.grant.iter().map(|grant| (grant.slice.0, grant.token.0)));
        if reply.owned as usize != kept.granted.len() {
            kept.granted.clear();
        }
        kept.granted.len() != before
    }

    pub(crate) fn routes(&self) -> Routes {
        let mut routes = Routes::default();
        for kept in self.servers.values() {
            let index = routes.servers.len() as u16;
            routes.servers.push(kept.address);
            for grant in grants(kept.granted.iter()) {
                let row = RouteRow { slice: grant.slice, token: grant.token, server: Some(index) };
                routes.rows.push(row);
            }
        }
        routes
    }
}

fn grants<'a, I>(pairs: I) -> Vec<SliceGrant>
where
    I: Iterator<Item = &'a (u32, u64)>,
{
    let grant = |(slice, token): &(u32, u64)| SliceGrant {
        slice: bay_types::SliceId(*slice),
        token: bay_types::Token(*token),
    };
    pairs.map(grant).collect()
}
