use std::time::Duration;

use bay_time::Time;
use bay_types::{ServiceName, ZoneName};

use crate::Holder;
use crate::keeper::Keeper;
use crate::owner::Owner;
use crate::stewards::Stewards;

/// How long a term may go without a renewal before others look for its keeper in the store.
const TERM_SILENCE: Duration = Duration::from_secs(15);
/// How long the store has to show no renewal before a silent keeper's term is taken over.
const TERM_CONFIRMATION: Duration = Duration::from_secs(10);
/// How much later each next candidate acts.
const RANK_DELAY: Duration = Duration::from_secs(1);

/// What an owner does about a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TermMove {
    /// Nothing for now.
    Nothing,
    /// Reads it.
    Read,
    /// Takes it over.
    Take,
    /// Renews it.
    Renew,
    /// Hands it over to another.
    HandOver(Holder),
}

impl Owner {
    /// Whether this process is a zone's keeper or deputy, or was its keeper last.
    fn takes_part(&self, name: ServiceName, zone: ZoneName) -> bool {
        let me = self.holder();
        self.services.get(&name).is_some_and(|service| {
            let record = service.terms.get(&zone).and_then(|slot| slot.record.as_ref());
            service.keepers.contains_key(&zone)
                || service.deputies.contains_key(&zone)
                || record.is_some_and(|record| record.keeper == me)
        })
    }

    /// Decides what to do about a term.
    pub(crate) fn judge(&mut self, now: Time, name: ServiceName, zone: ZoneName) -> TermMove {
        let me = self.holder();
        if !self.stewards.is_candidate(me) && !self.takes_part(name, zone) {
            return TermMove::Nothing;
        }
        let candidates = self.stewards.keepers(name, zone);
        let Some(service) = self.services.get_mut(&name) else {
            return TermMove::Nothing;
        };
        let slot = service.terms.entry(zone).or_default();
        if slot.busy || now < slot.retry_at {
            return TermMove::Nothing;
        }
        if slot.unread {
            return TermMove::Read;
        }
        if let Some(keeper) = service.keepers.get(&zone) {
            let best = candidates.first().copied().filter(|best| *best != me);
            // A keeper loses its zone's servers together with itself if the zone is lost.
            let misplaced = self.config.zone == zone;
            let better = best.filter(|best| self.stewards.zone(*best) != Some(zone));
            return match (self.stopping, best, better) {
                (true, Some(to), _) => TermMove::HandOver(to),
                (false, _, Some(to)) if misplaced && keeper.installed => TermMove::HandOver(to),
                _ if now >= keeper.next_renewal => TermMove::Renew,
                _ if lacks_deputy(now, keeper, &self.stewards, name, zone) => TermMove::Renew,
                _ => TermMove::Nothing,
            };
        }
        if self.stopping {
            let handing = slot.record.as_ref().is_some_and(|record| record.keeper == me);
            let to = candidates.into_iter().find(|candidate| *candidate != me);
            return match to {
                Some(to) if handing => TermMove::HandOver(to),
                _ => TermMove::Nothing,
            };
        }
        let Some(record) = &slot.record else {
            return match (candidates.first() == Some(&me), slot.absent) {
                (true, true) => TermMove::Take,
                (true, false) => TermMove::Read,
                _ => TermMove::Nothing,
            };
        };
        if record.keeper == me {
            return TermMove::Take;
        }
        let mine = record.deputy == Some(me);
        let rank = candidates.iter().position(|candidate| *candidate == me);
        let rank = if mine { 0 } else { rank.map_or(u32::MAX, |rank| rank as u32 + 1) };
        if rank == u32::MAX {
            return TermMove::Nothing;
        }
        let delay = RANK_DELAY * rank;
        if !self.stewards.alive(record.keeper) {
            let since = *slot.gone_since.get_or_insert(now);
            return if now >= since + delay { TermMove::Take } else { TermMove::Nothing };
        }
        slot.gone_since = None;
        if now < slot.seen + TERM_SILENCE {
            return TermMove::Nothing;
        }
        match slot.confirmed {
            None => TermMove::Read,
            Some(at) if now >= at + TERM_CONFIRMATION + delay => TermMove::Take,
            Some(_) => TermMove::Nothing,
        }
    }
}

/// Whether another deputy should be named.
fn lacks_deputy(
    now: Time,
    keeper: &Keeper,
    stewards: &Stewards,
    name: ServiceName,
    zone: ZoneName,
) -> bool {
    let deputy = keeper.record.deputy;
    let up = deputy.is_some_and(|deputy| stewards.alive(deputy));
    let silent = keeper.installed && keeper.mandates.silent(now, keeper.interval());
    let others = stewards.deputies(name, zone, keeper.record.keeper);
    (!up || silent) && others.into_iter().any(|other| Some(other) != deputy)
}
