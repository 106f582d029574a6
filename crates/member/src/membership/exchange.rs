//! What a node does with the datagrams of others.

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use rand::RngExt;

use super::Membership;
use crate::buckets::{BUCKETS, Buckets};
use crate::packet::{Outgoing, PacketKind, split_list};
use crate::record::{MemberState, Record, Rumor};

/// Time between two comparisons of the whole membership.
const COMPARE: Duration = Duration::from_secs(5);
/// Time between two comparisons while they still bring members.
const COMPARE_JOINING: Duration = Duration::from_millis(200);
/// Datagrams that answer one comparison.
const PACKETS_PER_COMPARISON: usize = 4;

impl Membership {
    /// Takes the sender's record; returns whether its rumors are worth hearing.
    pub(crate) fn on_sender(&mut self, now: Time, sender: &Record) -> bool {
        if sender.node == self.own.node {
            self.meet_self(sender.standing);
            return false;
        }
        self.merge(now, Rumor::Record(*sender));
        self.others.get(&sender.node).is_some_and(|record| !record.is_dead())
    }

    pub(crate) fn on_rumors(&mut self, now: Time, rumors: &[Rumor]) {
        for rumor in rumors {
            self.merge(now, *rumor);
        }
    }

    /// Answers a comparison of the whole membership.
    pub(crate) fn on_buckets(&mut self, from: SocketAddr, cells: &[u32], out: &mut Vec<Outgoing>) {
        let start = self.rng.random_range(0..BUCKETS);
        let differing = |record: &&Record| self.buckets.differs(Buckets::of(&record.node), cells);
        let mut records: Vec<Record> = std::iter::once(&self.own)
            .chain(self.others.values())
            .filter(differing)
            .copied()
            .collect();
        // A different bucket comes first each time, so that an answer cut short is completed.
        records.sort_by_key(|record| (Buckets::of(&record.node) + start) % BUCKETS);
        for records in split_list(records).into_iter().take(PACKETS_PER_COMPARISON) {
            out.push(Outgoing { to: from, kind: PacketKind::MemberRecords(records) });
        }
    }

    pub(crate) fn on_records(&mut self, now: Time, records: &[Record]) {
        let before = self.others.len();
        for record in records {
            self.merge(now, Rumor::Record(*record));
        }
        if self.others.len() > before {
            self.next_compare = self.next_compare.min(now + COMPARE_JOINING);
        }
    }

    /// Compares the membership with a peer whose hash differs, unless that was done lately.
    pub(crate) fn on_summary(
        &mut self,
        now: Time,
        from: SocketAddr,
        summary: u64,
        out: &mut Vec<Outgoing>,
    ) {
        if summary == self.summary() || now < self.next_compare {
            return;
        }
        self.next_compare = now + COMPARE;
        let kind = PacketKind::MemberBuckets(self.buckets.cells().to_vec());
        out.push(Outgoing { to: from, kind });
    }

    pub(crate) fn on_ping(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        known: Option<MemberState>,
        out: &mut Vec<Outgoing>,
    ) {
        if let Some(standing) = known {
            self.meet_self(standing);
        }
        out.push(Outgoing { to: from, kind: PacketKind::Ack { sequence, node: self.own.node } });
    }

    pub(crate) fn on_ack(&mut self, sequence: u32, node: NodeId, out: &mut Vec<Outgoing>) {
        if let Some((to, sequence)) = self.prober.acknowledge(sequence) {
            out.push(Outgoing { to, kind: PacketKind::Ack { sequence, node } });
        }
    }

    pub(crate) fn on_ping_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        sequence: u32,
        target: (NodeId, SocketAddr),
        out: &mut Vec<Outgoing>,
    ) {
        let sequence = self.prober.relay(now, from, sequence);
        let receiver = self.others.get(&target.0).map(|record| record.standing);
        out.push(Outgoing { to: target.1, kind: PacketKind::Ping { sequence, receiver } });
    }
}
