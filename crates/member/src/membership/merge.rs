//! How news of a node replaces what is known.

use bay_time::Time;
use rand::RngExt;

use super::{MAX_MEMBERS, Membership};
use crate::Member;
use crate::record::{Health, MemberState, Record, Rumor};

impl Membership {
    /// Takes news of a node if it is newer than what is known.
    pub(super) fn merge(&mut self, now: Time, rumor: Rumor) {
        let (node, standing) = match rumor {
            Rumor::Record(record) => (record.node, record.standing),
            Rumor::MemberState(node, standing) => (node, standing),
        };
        if node == self.own.node {
            self.meet_self(standing);
            return;
        }
        let known = self.others.get(&node).copied();
        if known.is_some_and(|known| known.standing >= standing) {
            return;
        }
        let record = match (rumor, known) {
            (Rumor::Record(record), _) => record,
            (Rumor::MemberState(..), Some(known)) => Record { standing, ..known },
            (Rumor::MemberState(..), None) => return,
        };
        if known.is_none() && self.others.len() >= MAX_MEMBERS {
            return;
        }
        self.replace(now, known, record);
    }

    pub(super) fn replace(&mut self, now: Time, known: Option<Record>, record: Record) {
        let node = record.node;
        if let Some(known) = known {
            self.toggle(&known);
        }
        self.toggle(&record);
        self.others.insert(node, record);
        self.rumors.push(node);
        match record.standing.health {
            Health::Alive => self.suspicions.cancel(node),
            Health::Suspect => {
                let until = now + self.suspicion_time();
                self.suspicions.set(node, until);
            }
            Health::Dead => self.suspicions.cancel(node),
        }
        match record.is_dead() {
            true => self.died.insert(node, now),
            false => self.died.remove(&node),
        };
        if known.map(|known| Member::of(&known)) != Some(Member::of(&record)) {
            self.changed.push(node);
        }
        if known.is_none_or(|known| known.is_dead()) && !record.is_dead() {
            let at = self.rng.random_range(0..=self.order.len());
            self.order.insert(at, node);
        }
    }

    /// Adds a record to the hashes or takes it out; dead nodes are forgotten at different times,
    /// so that they do not count.
    pub(super) fn toggle(&mut self, record: &Record) {
        let MemberState { incarnation, revision, health } = record.standing;
        if health != Health::Dead {
            self.buckets.toggle(&record.node, &(incarnation, revision));
        }
    }

    /// Hears what another thinks of this node, and refutes it if it is wrong.
    pub(super) fn meet_self(&mut self, standing: MemberState) {
        let own = self.own.standing;
        if standing.incarnation > own.incarnation {
            // Another start of this host was heard later; this start goes on above it.
            self.counts.refuted += 1;
            let above = standing.incarnation.0.saturating_add(1);
            self.refuted = true;
            self.update_own(|own| own.standing.incarnation.0 = above);
        } else if standing > own {
            self.counts.refuted += 1;
            self.refuted = true;
            self.update_own(|own| own.standing.revision = standing.revision);
        }
    }

    pub(super) fn update_own<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Record),
    {
        let before = self.own;
        self.toggle(&before);
        change(&mut self.own);
        self.own.standing.revision = self.own.standing.revision.saturating_add(1);
        let after = self.own;
        self.toggle(&after);
        self.rumors.push(after.node);
        if Member::of(&before) != Member::of(&after) {
            self.changed.push(after.node);
        }
    }
}
