//! Merging of updates into the membership.

use bay_time::Time;
use rand::RngExt;

use super::{MAX_MEMBERS, Membership};
use crate::Member;
use crate::record::{Health, NodeStatus, Record, Rumor};

impl Membership {
    /// Applies an update about a node if its status is higher than the known one.
    pub(super) fn merge(&mut self, now: Time, rumor: Rumor) {
        let (node, status) = match rumor {
            Rumor::Record(record) => (record.node, record.status),
            Rumor::Status(node, status) => (node, status),
        };
        if node == self.own.node {
            self.handle_own_status(status);
            return;
        }
        let known = self.others.get(&node).copied();
        if known.is_some_and(|known| known.status >= status) {
            return;
        }
        let record = match (rumor, known) {
            (Rumor::Record(record), _) => record,
            (Rumor::Status(..), Some(known)) => Record { status, ..known },
            (Rumor::Status(..), None) => return,
        };
        if known.is_none() && self.others.len() >= MAX_MEMBERS {
            return;
        }
        self.replace_record(now, known, record);
    }

    /// Replaces a node's record. Updates the hashes, the rumors, the suspicion timer and the order
    /// of probes.
    pub(super) fn replace_record(&mut self, now: Time, known: Option<Record>, record: Record) {
        let node = record.node;
        if let Some(known) = known {
            self.toggle(&known);
        }
        self.toggle(&record);
        self.others.insert(node, record);
        self.rumors.push(node);
        match record.status.health {
            Health::Alive => self.suspicions.cancel(node),
            Health::Suspect => {
                let until = now + self.suspicion_time();
                self.suspicions.set(node, until);
            }
            Health::Dead => self.suspicions.cancel(node),
        }
        match record.is_dead() {
            true => self.death_times.insert(node, now),
            false => self.death_times.remove(&node),
        };
        if known.map(|known| Member::from_record(&known)) != Some(Member::from_record(&record)) {
            self.changed_members.push(node);
        }
        if known.is_none_or(|known| known.is_dead()) && !record.is_dead() {
            let at = self.rng.random_range(0..=self.probe_order.len());
            self.probe_order.insert(at, node);
        }
    }

    /// Adds a record to the bucket hashes, or removes it. Dead nodes are left out, since nodes
    /// forget them at different times.
    pub(super) fn toggle(&mut self, record: &Record) {
        let NodeStatus { incarnation, revision, health } = record.status;
        if health != Health::Dead {
            self.buckets.toggle(&record.node, &(incarnation, revision));
        }
    }

    /// Handles another node's view of this node, and refutes it if it is higher than this node's
    /// own status.
    pub(super) fn handle_own_status(&mut self, status: NodeStatus) {
        let own = self.own.status;
        if status.incarnation > own.incarnation {
            // The peer knows a higher incarnation of this host; continue above it.
            self.counts.refuted += 1;
            let above = status.incarnation.0.saturating_add(1);
            self.refutation_pending = true;
            self.update_own(|own| own.status.incarnation.0 = above);
        } else if status > own {
            self.counts.refuted += 1;
            self.refutation_pending = true;
            self.update_own(|own| own.status.revision = status.revision);
        }
    }

    /// Changes this node's record, raises its revision and gossips it.
    pub(super) fn update_own<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Record),
    {
        let before = self.own;
        self.toggle(&before);
        change(&mut self.own);
        self.own.status.revision = self.own.status.revision.saturating_add(1);
        let after = self.own;
        self.toggle(&after);
        self.rumors.push(after.node);
        if Member::from_record(&before) != Member::from_record(&after) {
            self.changed_members.push(after.node);
        }
    }
}
