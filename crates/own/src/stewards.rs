use std::cmp::Reverse;

use bay_types::{ServiceName, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Holder, StewardState, StewardView};

/// The stewards known to membership, and their ranking for each role.
#[derive(Debug, Default)]
pub(crate) struct Stewards {
    views: Vec<StewardView>,
}

impl Stewards {
    /// Replaces all stewards.
    pub(crate) fn set(&mut self, views: Vec<StewardView>) {
        self.views = views;
    }

    /// Returns whether a process is alive; one that membership doesn't list is not.
    pub(crate) fn is_alive(&self, holder: Holder) -> bool {
        let found = self.views.iter().find(|view| view.holder == holder);
        found.is_some_and(|view| view.state == StewardState::Alive)
    }

    /// Returns whether a later process of the steward is known on the holder's host.
    pub(crate) fn is_replaced(&self, holder: Holder) -> bool {
        let same = self.views.iter().filter(|view| view.holder.node == holder.node);
        same.into_iter().any(|view| view.holder.incarnation > holder.incarnation)
    }

    /// Returns the zone of a process's host.
    pub(crate) fn zone(&self, holder: Holder) -> Option<ZoneName> {
        let found = self.views.iter().find(|view| view.holder.node == holder.node);
        found.map(|view| view.zone)
    }

    /// Returns the candidates for keeper of a zone, best first. Candidates in other zones precede
    /// those in the zone itself.
    pub(crate) fn keeper_candidates(&self, service: ServiceName, zone: ZoneName) -> Vec<Holder> {
        self.rank_candidates(service, zone, |view| u32::from(view.zone == zone))
    }

    /// Returns the candidates for deputy of a zone's keeper, best first.
    ///
    /// Candidates in a third zone come first, then those in the keeper's zone, then those in the
    /// servers' own zone.
    pub(crate) fn deputy_candidates(
        &self,
        service: ServiceName,
        zone: ZoneName,
        keeper: Holder,
    ) -> Vec<Holder> {
        let keeper_zone = self.zone(keeper);
        let ranked = self.rank_candidates(service, zone, |view| match view.zone {
            own if own == zone => 2,
            other => u32::from(Some(other) == keeper_zone),
        });
        ranked.into_iter().filter(|holder| holder.node != keeper.node).collect()
    }

    /// Returns the candidate that plans a service.
    pub(crate) fn planner(&self, service: ServiceName) -> Option<Holder> {
        let best =
            self.candidates().max_by_key(|view| score(service.as_str(), "plan", view.holder));
        best.map(|view| view.holder)
    }

    /// Returns whether a process may be keeper, deputy or planner.
    pub(crate) fn is_candidate(&self, holder: Holder) -> bool {
        self.views.iter().any(|view| view.holder == holder && view.candidate)
    }

    fn candidates(&self) -> impl Iterator<Item = &StewardView> {
        let is_candidate =
            |view: &&StewardView| view.state == StewardState::Alive && view.candidate;
        self.views.iter().filter(is_candidate)
    }

    /// Returns the live candidates, ordered by class and then by rendezvous hash.
    fn rank_candidates<F>(&self, service: ServiceName, zone: ZoneName, class: F) -> Vec<Holder>
    where
        F: Fn(&StewardView) -> u32,
    {
        let mut ranked: Vec<&StewardView> = self.candidates().collect();
        ranked.sort_by_key(|view| {
            let score = score(service.as_str(), zone.as_str(), view.holder);
            (class(view), Reverse(score))
        });
        ranked.into_iter().map(|view| view.holder).collect()
    }
}

fn score(service: &str, role: &str, holder: Holder) -> u64 {
    let text = format!("{service}/{role}");
    xxh3_64_with_seed(text.as_bytes(), holder.node.0)
}
