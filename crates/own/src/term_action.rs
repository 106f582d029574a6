use std::time::Duration;

use bay_time::Time;
use bay_types::{ServiceName, ZoneName};

use crate::Holder;
use crate::keeper::Keeper;
use crate::owner::Owner;
use crate::stewards::Stewards;

/// Time without a renewal after which other stewards read the term from the store.
const TERM_SILENCE: Duration = Duration::from_secs(15);
/// Time for which the store must show no renewal before a silent keeper's term is taken over.
const TERM_CONFIRMATION: Duration = Duration::from_secs(10);
/// Delay of a takeover per rank of the candidate, so that candidates don't act at the same time.
const RANK_DELAY: Duration = Duration::from_secs(1);

/// The next action of an owner on a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TermAction {
    /// Does nothing until the next check.
    Wait,
    /// Reads the record from the store.
    Read,
    /// Writes a record with this process as the keeper.
    TakeOver,
    /// Renews the term of this process, with another deputy if the current one is down or silent.
    Renew,
    /// Steps down in favor of another process.
    HandOver(Holder),
}

impl Owner {
    /// Returns whether this process is a zone's keeper or deputy, or is named keeper by its record.
    fn has_role(&self, name: ServiceName, zone: ZoneName) -> bool {
        let me = self.holder();
        self.services.get(&name).is_some_and(|service| {
            let record = service.terms.get(&zone).and_then(|slot| slot.record.as_ref());
            service.keepers.contains_key(&zone)
                || service.deputies.contains_key(&zone)
                || record.is_some_and(|record| record.keeper == me)
        })
    }

    /// Decides the next action on a term.
    pub(crate) fn next_term_action(
        &mut self,
        now: Time,
        name: ServiceName,
        zone: ZoneName,
    ) -> TermAction {
        let me = self.holder();
        if !self.stewards.is_candidate(me) && !self.has_role(name, zone) {
            return TermAction::Wait;
        }
        let candidates = self.stewards.keeper_candidates(name, zone);
        let Some(service) = self.services.get_mut(&name) else {
            return TermAction::Wait;
        };
        let slot = service.terms.entry(zone).or_default();
        if slot.call_in_flight || now < slot.retry_at {
            return TermAction::Wait;
        }
        if slot.needs_read {
            return TermAction::Read;
        }
        if let Some(keeper) = service.keepers.get(&zone) {
            let best = candidates.first().copied().filter(|best| *best != me);
            // A keeper in its servers' own zone fails together with them if the zone is lost.
            let in_servers_zone = self.config.zone == zone;
            let better = best.filter(|best| self.stewards.zone(*best) != Some(zone));
            return match (self.stopping, best, better) {
                (true, Some(to), _) => TermAction::HandOver(to),
                (false, _, Some(to)) if in_servers_zone && keeper.installed => {
                    TermAction::HandOver(to)
                }
                _ if now >= keeper.next_renewal => TermAction::Renew,
                _ if needs_deputy(now, keeper, &self.stewards, name, zone) => TermAction::Renew,
                _ => TermAction::Wait,
            };
        }
        if self.stopping {
            let is_keeper = slot.record.as_ref().is_some_and(|record| record.keeper == me);
            let to = candidates.into_iter().find(|candidate| *candidate != me);
            return match to {
                Some(to) if is_keeper => TermAction::HandOver(to),
                _ => TermAction::Wait,
            };
        }
        let Some(record) = &slot.record else {
            return match (candidates.first() == Some(&me), slot.absent) {
                (true, true) => TermAction::TakeOver,
                (true, false) => TermAction::Read,
                _ => TermAction::Wait,
            };
        };
        if record.keeper == me {
            return TermAction::TakeOver;
        }
        let is_deputy = record.deputy == Some(me);
        let rank = candidates.iter().position(|candidate| *candidate == me);
        let rank = if is_deputy { 0 } else { rank.map_or(u32::MAX, |rank| rank as u32 + 1) };
        if rank == u32::MAX {
            return TermAction::Wait;
        }
        let delay = RANK_DELAY * rank;
        if !self.stewards.is_alive(record.keeper) {
            let since = *slot.gone_since.get_or_insert(now);
            return if now >= since + delay { TermAction::TakeOver } else { TermAction::Wait };
        }
        slot.gone_since = None;
        if now < slot.seen_at + TERM_SILENCE {
            return TermAction::Wait;
        }
        match slot.confirmed_at {
            None => TermAction::Read,
            Some(at) if now >= at + TERM_CONFIRMATION + delay => TermAction::TakeOver,
            Some(_) => TermAction::Wait,
        }
    }
}

/// Returns whether the deputy is missing, down or silent and another candidate exists.
fn needs_deputy(
    now: Time,
    keeper: &Keeper,
    stewards: &Stewards,
    name: ServiceName,
    zone: ZoneName,
) -> bool {
    let deputy = keeper.record.deputy;
    let up = deputy.is_some_and(|deputy| stewards.is_alive(deputy));
    let silent = keeper.installed && keeper.mandates.is_silent(now, keeper.interval());
    let others = stewards.deputy_candidates(name, zone, keeper.record.keeper);
    (!up || silent) && others.into_iter().any(|other| Some(other) != deputy)
}
