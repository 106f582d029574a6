//! What a node does with the datagrams of others.

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use rand::RngExt;

use super::Membership;
use crate::bucket_hashes::{BUCKET_COUNT, BucketHashes};
use crate::packet::{OutgoingPacket, PacketKind, split_list};
use crate::record::{NodeStatus, Record, Rumor};

/// Time between two comparisons of the whole membership.
const COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two comparisons while they still bring members.
const JOIN_COMPARE_INTERVAL: Duration = Duration::from_millis(200);
/// Datagrams that answer one comparison.
const PACKETS_PER_COMPARISON: usize = 4;

impl Membership {
    /// Takes the sender's record; returns whether its rumors are worth hearing.
    pub(crate) fn handle_sender(&mut self, now: Time, sender: &Record) -> bool {
        if sender.node == self.own.node {
            self.handle_own_status(sender.status);
            return false;
        }
        self.merge(now, Rumor::Record(*sender));
        self.others.get(&sender.node).is_some_and(|record| !record.is_dead())
    }

    pub(crate) fn handle_rumors(&mut self, now: Time, rumors: &[Rumor]) {
        for rumor in rumors {
            self.merge(now, *rumor);
        }
    }

    /// Answers a comparison of the whole membership.
    pub(crate) fn handle_buckets(
        &mut self,
        from: SocketAddr,
        hashes: &[u32],
        out: &mut Vec<OutgoingPacket>,
    ) {
        let start = self.rng.random_range(0..BUCKET_COUNT);
        let differing =
            |record: &&Record| self.buckets.differs(BucketHashes::index_of(&record.node), hashes);
        let mut records: Vec<Record> = std::iter::once(&self.own)
            .chain(self.others.values())
            .filter(differing)
            .copied()
            .collect();
        // A different bucket comes first each time, so that an answer cut short is completed.
        records.sort_by_key(|record| (BucketHashes::index_of(&record.node) + start) % BUCKET_COUNT);
        for records in split_list(records).into_iter().take(PACKETS_PER_COMPARISON) {
            out.push(OutgoingPacket { to: from, kind: PacketKind::MemberRecords(records) });
        }
    }

    pub(crate) fn handle_records(&mut self, now: Time, records: &[Record]) {
        let before = self.others.len();
        for record in records {
            self.merge(now, Rumor::Record(*record));
        }
        if self.others.len() > before {
            self.next_compare = self.next_compare.min(now + JOIN_COMPARE_INTERVAL);
        }
    }

    /// Compares the membership with a peer whose hash differs, unless that was done lately.
    pub(crate) fn compare_summary(
        &mut self,
        now: Time,
        from: SocketAddr,
        summary: u64,
        out: &mut Vec<OutgoingPacket>,
    ) {
        if summary == self.summary() || now < self.next_compare {
            return;
        }
        self.next_compare = now + COMPARE_INTERVAL;
        let kind = PacketKind::MemberBuckets(self.buckets.hashes().to_vec());
        out.push(OutgoingPacket { to: from, kind });
    }

    pub(crate) fn handle_ping(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        known: Option<NodeStatus>,
        out: &mut Vec<OutgoingPacket>,
    ) {
        if let Some(status) = known {
            self.handle_own_status(status);
        }
        out.push(OutgoingPacket {
            to: from,
            kind: PacketKind::Ack { sequence, node: self.own.node },
        });
    }

    pub(crate) fn handle_ack(
        &mut self,
        sequence: u32,
        node: NodeId,
        out: &mut Vec<OutgoingPacket>,
    ) {
        if let Some((to, sequence)) = self.prober.handle_ack(sequence) {
            out.push(OutgoingPacket { to, kind: PacketKind::Ack { sequence, node } });
        }
    }

    pub(crate) fn handle_ping_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        sequence: u32,
        target: (NodeId, SocketAddr),
        out: &mut Vec<OutgoingPacket>,
    ) {
        let sequence = self.prober.register_relay(now, from, sequence);
        let receiver = self.others.get(&target.0).map(|record| record.status);
        out.push(OutgoingPacket { to: target.1, kind: PacketKind::Ping { sequence, receiver } });
    }
}
