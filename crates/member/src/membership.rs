mod exchange;
mod merge;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::{Time, Timers};
use bay_types::NodeId;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::bucket_hashes::BucketHashes;
use crate::packet::{OutgoingPacket, PacketKind};
use crate::probe::{INDIRECT_PROBES, PROBE_PERIOD, Prober};
use crate::record::{Health, NodeStatus, Record, Rumor};
use crate::rumor_queue::{RumorQueue, max_transmissions};
use crate::{AdoptedGates, Member, MemberConfig, PeerCounts, SeedNode};

/// Suspicion time in probe periods, per decade of members (their decimal logarithm, at least 1).
const SUSPICION_PERIODS: u32 = 4;
/// Interval between attempts to reach nodes that are dead or have never been heard from.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
/// Nodes contacted per attempt while no live member is known.
const JOIN_CONTACTS: usize = 3;
/// Time for which a dead node is remembered and contacted. It lets regions rejoin after a
/// partition.
const DEAD_RETENTION: Duration = Duration::from_secs(4 * 3_600);
/// A tick delayed by more than this means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Upper bound of the number of other members.
const MAX_MEMBERS: usize = 8_192;

/// Failure detection and membership by probes and gossip (SWIM: Das, Gupta, Motivala 2002).
///
/// In each period, a node probes one other node, first directly and then through others. A node
/// that cannot be reached is suspected. It is declared dead unless it refutes the suspicion in
/// time. The cost per node does not grow with the number of nodes.
#[derive(Debug)]
pub struct Membership {
    own: Record,
    others: BTreeMap<NodeId, Record>,
    /// When this node learned of each death that it remembers.
    death_times: BTreeMap<NodeId, Time>,
    seeds: Vec<SeedNode>,
    buckets: BucketHashes,
    rumors: RumorQueue<NodeId>,
    probe_order: Vec<NodeId>,
    prober: Prober,
    suspicions: Timers<NodeId>,
    /// The nodes that this node itself suspects, from its own failed probes.
    own_suspects: Vec<NodeId>,
    refutation_pending: bool,
    next_reconnect: Time,
    next_comparison: Time,
    next_period_at: Time,
    rng: SmallRng,
    /// Members changed since the last call of [`Membership::take_changed`].
    changed_members: Vec<NodeId>,
    pub(crate) counts: PeerCounts,
}

impl Membership {
    /// Creates a membership that contains only this node.
    pub fn new(config: MemberConfig, now: Time) -> Membership {
        let status =
            NodeStatus { incarnation: config.incarnation, revision: 0, health: Health::Alive };
        let own = Record {
            node: config.node,
            zone: config.zone,
            steward: config.steward,
            gate: config.gate,
            leaving: false,
            adopted: AdoptedGates::default(),
            status,
        };
        let mut rng = SmallRng::seed_from_u64(config.seed);
        // A random phase keeps nodes that start together from probing in step.
        let first = now + PROBE_PERIOD.mul_f64(rng.random_range(0.0..1.0));
        let mut membership = Membership {
            own,
            others: BTreeMap::new(),
            death_times: BTreeMap::new(),
            seeds: Vec::new(),
            buckets: BucketHashes::new(),
            rumors: RumorQueue::new(),
            probe_order: Vec::new(),
            prober: Prober::new(),
            suspicions: Timers::new(),
            own_suspects: Vec::new(),
            refutation_pending: false,
            next_reconnect: now,
            next_comparison: now,
            next_period_at: first,
            rng,
            changed_members: Vec::new(),
            counts: PeerCounts::default(),
        };
        membership.toggle(&own);
        membership
    }

    /// Replaces the seed nodes. They are only contacted; they become members once they answer.
    pub fn set_seeds(&mut self, seeds: &[SeedNode]) {
        self.seeds.clear();
        let others = seeds.iter().filter(|seed| seed.node != self.own.node);
        self.seeds.extend(others.copied().take(MAX_MEMBERS));
    }

    /// Returns this node and all others it has a record of, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        std::iter::once(&self.own).chain(self.others.values()).map(Member::from_record)
    }

    /// Returns the member with this identifier, if known.
    pub fn member(&self, node: NodeId) -> Option<Member> {
        self.record(node).map(Member::from_record)
    }

    /// Sets the address at which the host's gate receives datagrams from other gates.
    pub fn set_gate(&mut self, gate: Option<SocketAddr>) {
        if self.own.gate != gate {
            self.update_own(|own| own.gate = gate);
        }
    }

    /// Sets the hosts whose gates are connected to this steward because their own is not alive.
    pub(crate) fn set_adopted(&mut self, adopted: AdoptedGates) {
        if self.own.adopted != adopted {
            self.update_own(|own| own.adopted = adopted);
        }
    }

    /// Announces that this node will shut down.
    pub fn leave(&mut self) {
        if !self.own.leaving {
            self.update_own(|own| own.leaving = true);
        }
    }

    /// Returns the time of the next tick.
    pub fn next_deadline(&mut self) -> Time {
        let mut next = self.next_period_at.min(self.next_reconnect);
        if let Some(at) = self.prober.current.as_ref().and_then(|probe| probe.indirect_probes_at) {
            next = next.min(at);
        }
        self.suspicions.next_deadline().map_or(next, |at| next.min(at))
    }

    /// Runs due probes, suspicion timeouts and reconnects.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<OutgoingPacket>) {
        if now.since(self.next_deadline()) > PAUSE_THRESHOLD {
            self.handle_pause(now);
        }
        self.send_indirect_probes(now, out);
        if now >= self.next_period_at {
            self.start_period(now, out);
        }
        while let Some(node) = self.suspicions.pop_due(now) {
            self.mark_dead(now, node);
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now + RECONNECT_INTERVAL;
            self.reconnect(now, out);
        }
    }

    pub(crate) fn own_record(&self) -> &Record {
        &self.own
    }

    pub(crate) fn summary(&self) -> u64 {
        self.buckets.summary()
    }

    /// Whether this node has issued a refutation since the last call. The caller gossips it at once.
    pub(crate) fn take_refutation(&mut self) -> bool {
        std::mem::take(&mut self.refutation_pending)
    }

    /// Returns the members that have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Vec<Member> {
        let changed = std::mem::take(&mut self.changed_members);
        changed.into_iter().filter_map(|node| self.member(node)).collect()
    }

    pub(crate) fn take_rumors(&mut self, budget: usize) -> Vec<Rumor> {
        let limit = max_transmissions(self.others.len());
        let (own, others) = (&self.own, &self.others);
        let load = |node| {
            let record = if node == own.node { Some(own) } else { others.get(&node) };
            record.map(Record::rumor)
        };
        self.rumors.next_batch(limit, budget, load)
    }

    /// Returns the addresses of random nodes that are not dead.
    pub(crate) fn sample_live(&mut self, count: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> =
            self.others.values().filter(|record| !record.is_dead()).map(|r| r.steward).collect();
        live.sample(&mut self.rng, count).copied().collect()
    }

    fn record(&self, node: NodeId) -> Option<&Record> {
        if node == self.own.node { Some(&self.own) } else { self.others.get(&node) }
    }

    fn send_indirect_probes(&mut self, now: Time, out: &mut Vec<OutgoingPacket>) {
        let Some(probe) = &mut self.prober.current else {
            return;
        };
        if probe.indirect_probes_at.is_none_or(|at| now < at) {
            return;
        }
        probe.indirect_probes_at = None;
        if probe.acknowledged {
            return;
        }
        let (target, sequence) = (probe.target, probe.sequence);
        let Some(address) = self.others.get(&target).map(|record| record.steward) else {
            return;
        };
        let helpers = self.sample_live(INDIRECT_PROBES + 1);
        for to in helpers.into_iter().filter(|to| *to != address).take(INDIRECT_PROBES) {
            let kind = PacketKind::PingRequest { sequence, target, address };
            out.push(OutgoingPacket { to, kind });
        }
    }

    fn start_period(&mut self, now: Time, out: &mut Vec<OutgoingPacket>) {
        if let Some(target) = self.prober.finish() {
            self.mark_suspect(now, target);
        }
        self.next_period_at = now + PROBE_PERIOD;
        self.notify_suspects(out);
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let Some(record) = self.others.get(&target).copied() else {
            return;
        };
        let sequence = self.prober.start(now, target);
        if let Some(probe) = &self.prober.current {
            self.next_period_at = probe.ends_at;
        }
        let kind = PacketKind::Ping { sequence, receiver: Some(record.status) };
        out.push(OutgoingPacket { to: record.steward, kind });
    }

    /// Returns the next node to probe. Rounds cover all nodes that are not dead, in random order
    /// (SWIM, section 4.3).
    fn next_probe_target(&mut self) -> Option<NodeId> {
        loop {
            if self.probe_order.is_empty() {
                let live = self.others.values().filter(|record| !record.is_dead());
                self.probe_order.extend(live.map(|record| record.node));
                self.probe_order.shuffle(&mut self.rng);
            }
            let node = self.probe_order.pop()?;
            if self.others.get(&node).is_some_and(|record| !record.is_dead()) {
                return Some(node);
            }
        }
    }

    fn mark_suspect(&mut self, now: Time, node: NodeId) {
        let Some(record) = self.others.get(&node) else {
            return;
        };
        if record.status.health != Health::Alive {
            return;
        }
        self.counts.suspected += 1;
        self.own_suspects.push(node);
        let status = record.status.with_health(Health::Suspect);
        self.merge(now, Rumor::Status(node, status));
    }

    /// Pings this node's own suspects with their status, so that they refute it at once.
    fn notify_suspects(&mut self, out: &mut Vec<OutgoingPacket>) {
        let others = &self.others;
        let suspect = |node: &NodeId| {
            others.get(node).is_some_and(|record| record.status.health == Health::Suspect)
        };
        self.own_suspects.retain(suspect);
        for node in &self.own_suspects {
            let record = &self.others[node];
            let sequence = self.prober.next_sequence();
            let kind = PacketKind::Ping { sequence, receiver: Some(record.status) };
            out.push(OutgoingPacket { to: record.steward, kind });
        }
    }

    fn mark_dead(&mut self, now: Time, node: NodeId) {
        let Some(record) = self.others.get(&node) else {
            return;
        };
        if record.status.health != Health::Suspect {
            return;
        }
        self.counts.found_dead += 1;
        let status = record.status.with_health(Health::Dead);
        self.merge(now, Rumor::Status(node, status));
    }

    fn suspicion_time(&self) -> Duration {
        let decades = ((self.others.len() + 1) as f64).log10().max(1.0);
        let health_multiplier = self.prober.health_multiplier().min(2);
        (PROBE_PERIOD * SUSPICION_PERIODS * health_multiplier).mul_f64(decades)
    }

    /// Handles a pause of this process. Acknowledgements missed meanwhile are its own fault, so the
    /// current probe is dropped and suspicions start over.
    fn handle_pause(&mut self, now: Time) {
        self.counts.paused += 1;
        self.prober.current = None;
        self.next_period_at = now;
        let suspects: Vec<NodeId> = self
            .others
            .values()
            .filter(|record| record.status.health == Health::Suspect)
            .map(|record| record.node)
            .collect();
        let until = now + self.suspicion_time();
        for node in suspects {
            self.suspicions.set(node, until);
        }
    }

    /// Pings random nodes that are dead or have never been heard from, to heal a partition.
    fn reconnect(&mut self, now: Time, out: &mut Vec<OutgoingPacket>) {
        self.forget_dead(now);
        let lost = self.others.values().filter(|record| record.is_dead());
        let mut contacts: Vec<(SocketAddr, Option<NodeStatus>)> =
            lost.map(|record| (record.steward, Some(record.status))).collect();
        let unheard = self.seeds.iter().filter(|seed| !self.others.contains_key(&seed.node));
        contacts.extend(unheard.map(|seed| (seed.steward, None)));
        let alone = self.others.values().all(Record::is_dead);
        let count = if alone { JOIN_CONTACTS } else { 1 };
        let chosen: Vec<_> = contacts.sample(&mut self.rng, count).copied().collect();
        for (to, receiver) in chosen {
            let sequence = self.prober.next_sequence();
            out.push(OutgoingPacket { to, kind: PacketKind::Ping { sequence, receiver } });
        }
    }

    /// Removes nodes that have been dead for [`DEAD_RETENTION`]. A node whose gate is adopted is
    /// kept, since the list of gates takes the gate's address from it.
    fn forget_dead(&mut self, now: Time) {
        let expired = |since: &Time| now.since(*since) > DEAD_RETENTION;
        let adopted = |node| self.members().any(|member| member.adopted.contains(node));
        let forgotten: Vec<NodeId> = self
            .death_times
            .iter()
            .filter(|(node, since)| expired(since) && !adopted(**node))
            .map(|(node, _)| *node)
            .collect();
        for node in forgotten {
            self.death_times.remove(&node);
            self.others.remove(&node);
        }
    }
}
