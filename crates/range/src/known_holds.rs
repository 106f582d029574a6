use std::time::Duration;

use bay_time::Time;
use bay_types::{Revision, StoreEra};

use crate::{Granter, HoldTimes, Leadership, LeadershipRecord, RangeTable};

/// What a granter knows about the holds that earlier granters have given.
///
/// A range table proves that a key is free only if nothing can have been lost since it was written. A
/// store that was restored from a copy may lack tables, or have old ones, so that neither what they say
/// nor what they leave out counts until all holds from before have expired.
#[derive(Debug, Clone)]
pub struct KnownHolds {
    /// Present era of the store; `None` if it tells none and so is never restored.
    era: Option<StoreEra>,
    /// Era in which the tables of the store name all holds.
    complete_in: Option<StoreEra>,
    /// Whether the replaced record is from a build that does not say whether tables name all holds. Each
    /// table then speaks for itself.
    follows_older_build: bool,
    /// Whether the system may be starting for the first time, so that there are no holds.
    may_be_first_start: bool,
    /// From when on no earlier granter can have been confirmed by the store.
    unconfirmed_since: Time,
    /// Since when so many routers follow this granter that no other one can renew holds without the
    /// store.
    followed_since: Option<Time>,
}

/// A range table that a granter may start from, as no server can hold keys without its knowledge.
///
/// [`KnownHolds::prove`] is the only way to get one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProvenTable {
    table: RangeTable,
    proof: HoldProof,
}

/// Why a range table may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldProof {
    /// The table names every server that may hold keys.
    Complete,
    /// All holds that earlier granters have given have expired, those that the table names with them.
    Expired,
}

impl KnownHolds {
    /// The highest era of a store that may never have been restored: eras count from zero or one.
    const MAX_INITIAL_ERA: StoreEra = StoreEra(1);
    /// Time for which a first granter listens for routers that know an earlier one.
    const FIRST_START_WATCH: Duration = Duration::from_millis(2_000);

    /// Creates what a process knows at its start.
    ///
    /// `is_first_start` says that it was started with the whole system, which has never run before.
    pub fn new(now: Time, is_first_start: bool) -> KnownHolds {
        KnownHolds {
            era: None,
            complete_in: None,
            follows_older_build: false,
            may_be_first_start: is_first_start,
            unconfirmed_since: now,
            followed_since: None,
        }
    }

    /// Returns the present era of the store, if it tells one.
    pub fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Returns the era in which the tables of the store name all holds, if that is known.
    pub fn complete_in(&self) -> Option<StoreEra> {
        self.complete_in
    }

    /// Returns whether the tables of the store name all holds at present.
    pub fn is_complete(&self) -> bool {
        self.era.is_none() || self.complete_in == self.era
    }

    /// Records the present era of the store; a higher one than before shows that it was restored.
    pub fn record_era(&mut self, now: Time, era: Option<StoreEra>) {
        if era == self.era {
            return;
        }
        // The first answer tells the era that the process starts in. One that only a restoration can have
        // brought about shows that the system has run before.
        let is_initial_era = era.is_none_or(|era| era <= KnownHolds::MAX_INITIAL_ERA);
        self.may_be_first_start &= self.era.is_none() && is_initial_era;
        self.era = era;
        self.follows_older_build = false;
        self.unconfirmed_since = now;
        self.followed_since = None;
    }

    /// Records that another granter has been seen.
    pub fn record_other_granter(&mut self) {
        self.may_be_first_start = false;
    }

    /// Records that this process tries to replace a granter's record; `None` if there is none.
    pub fn begin_term(&mut self, now: Time, replaced: Option<(Revision, &LeadershipRecord)>) {
        let is_present = |revision: Revision| self.era == Some(revision.era());
        let told = replaced.filter(|(revision, _)| is_present(*revision));
        // Nothing was lost since the record was written, so that what it says still holds.
        self.complete_in =
            told.and_then(|(_, record)| record.holds_known_in).filter(|era| Some(*era) == self.era);
        self.follows_older_build = replaced.is_some_and(|(_, record)| record.store_era.is_none());
        self.may_be_first_start &= replaced.is_none();
        self.unconfirmed_since = now;
        self.followed_since = None;
    }

    /// Records whether so many routers follow this granter that no other one can renew holds without
    /// the store.
    pub fn record_followers(&mut self, now: Time, do_most_follow: bool) {
        self.followed_since =
            do_most_follow.then(|| self.followed_since.map_or(now, |since| since.min(now)));
        let has_listened = now >= self.unconfirmed_since + KnownHolds::FIRST_START_WATCH;
        if self.may_be_first_start && do_most_follow && has_listened {
            self.may_be_first_start = false;
            self.complete_in = self.era;
        }
    }

    /// Records that the store has the tables of all services as this granter knows them, written in the
    /// present era.
    pub fn record_tables_saved(&mut self) {
        self.complete_in = self.era;
    }

    /// Returns whether all holds that earlier granters may have given have expired.
    ///
    /// An earlier granter renews holds for some time after the store last confirmed it, and without the
    /// store only while half of the routers follow it.
    pub fn have_expired(&self, now: Time, times: &HoldTimes) -> bool {
        let mut ended_at = self.unconfirmed_since + Granter::MAX_UNCONFIRMED_RENEWAL;
        if let Some(since) = self.followed_since {
            let confirmed_until = self.unconfirmed_since + Leadership::CONFIRMATION_TIMEOUT;
            ended_at = ended_at.min(confirmed_until.max(since + Leadership::MAX_REPORT_AGE));
        }
        now >= ended_at + times.max_after_decision()
    }

    /// Returns the table to start from if it is certain that no server holds keys without being named;
    /// `None` if that is still open. `stored` is what the store has.
    pub fn prove(
        &self,
        now: Time,
        stored: Option<RangeTable>,
        times: &HoldTimes,
    ) -> Option<ProvenTable> {
        let is_complete = match (&self.era, &stored) {
            (None, _) => true,
            (Some(_), None) => self.is_complete(),
            (Some(_), Some(table)) => {
                table.store_era == self.era && (self.is_complete() || self.follows_older_build)
            }
        };
        let proof = match is_complete {
            true => HoldProof::Complete,
            false if self.have_expired(now, times) => HoldProof::Expired,
            false => return None,
        };
        Some(ProvenTable { table: stored.unwrap_or_default(), proof })
    }
}

impl ProvenTable {
    /// Returns why the table may be used.
    pub fn proof(&self) -> HoldProof {
        self.proof
    }

    /// Returns the table.
    pub fn table(&self) -> &RangeTable {
        &self.table
    }

    /// Returns the table and the proof.
    pub(crate) fn into_parts(self) -> (RangeTable, HoldProof) {
        (self.table, self.proof)
    }
}
