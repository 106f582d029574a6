//! Handling of datagrams from other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use rand::RngExt;

use super::Membership;
use crate::bucket_hashes::{BUCKET_COUNT, BucketHashes};
use crate::packet::{OutgoingPacket, PacketKind, split_list};
use crate::record::{NodeStatus, Record, Rumor};

/// Shortest interval between comparisons of the full membership.
const COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest interval between comparisons while they still yield new members.
const JOIN_COMPARE_INTERVAL: Duration = Duration::from_millis(200);
/// Most datagrams sent in reply to one comparison.
const PACKETS_PER_COMPARISON: usize = 4;

impl Membership {
    /// Merges the sender's record. Returns whether to process its rumors and hashes: not if it
    /// claims to be this node, or if it is dead or not a member.
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

    /// Replies to a comparison with the records of all buckets that differ.
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
        // A random first bucket lets repeated comparisons complete a truncated reply.
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
            self.next_comparison = self.next_comparison.min(now + JOIN_COMPARE_INTERVAL);
        }
    }

    /// Starts a comparison with a peer whose summary differs, at most once per interval.
    pub(crate) fn compare_summary(
        &mut self,
        now: Time,
        from: SocketAddr,
        summary: u64,
        out: &mut Vec<OutgoingPacket>,
    ) {
        if summary == self.summary() || now < self.next_comparison {
            return;
        }
        self.next_comparison = now + COMPARE_INTERVAL;
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
