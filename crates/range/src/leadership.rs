use std::time::Duration;

use bay_time::Time;
use bay_types::{HostName, Revision, StoreEra, Term};

use crate::{
    EarlierGranter, Fitness, HoldTimes, KnownHolds, LeadershipRecord, ProvenTable, RangeTable,
    TakeoverDelay,
};

/// Elects the granter by compare-and-set on one object of the store.
///
/// A follower that receives no heartbeat reads the record and tries to replace it. This succeeds
/// only if the granter has not renewed the record in the meantime.
#[derive(Debug)]
pub struct Leadership {
    host: HostName,
    incarnation: u64,
    /// How long the process leaves the role to others; differs between processes.
    takeover_delay: TakeoverDelay,
    state: State,
    /// The highest term seen in a heartbeat or in the record.
    known_term: Term,
    /// Terms up to this one may have been used although nothing shows them.
    term_floor: Term,
    /// Term and renewal of the last heartbeat.
    last_heard_renewal: Option<(Term, u64)>,
    /// Earlier granters that may still renew holds.
    earlier_granters: Vec<EarlierGranter>,
    /// Until when earlier granters that were removed may have renewed holds.
    earlier_renewals_until: Time,
    /// Whether the previous granter resigned with all orders answered.
    settled_predecessor: bool,
    /// Term of the record that this process last tried to replace.
    predecessor_term: Option<Term>,
    /// Whether a call of the store is in flight.
    in_flight: bool,
    /// Calls in a row that have failed.
    failures: u32,
    /// Time of the last heartbeat of a granter that has not resigned.
    last_heard_at: Option<Time>,
    /// The highest term whose granter has said in a heartbeat that it has resigned, or that this
    /// process has resigned from. The record may still show it.
    resigned_term: Option<Term>,
    /// When the process won its term; `None` for a follower.
    won_at: Option<Time>,
    /// Whether the granter has loaded its tables in this term.
    is_working: bool,
    /// Terms in a row that this process has handed over before it had loaded its tables.
    handovers: u32,
    /// Until when the process does not try to become the granter after such a term.
    paused_until: Time,
    /// The last term of another granter that was heard, and when its first heartbeat arrived.
    heard_term_since: (Term, Time),
    /// Terms in a row, of all granters, that ended by a resignation before their tables can have been
    /// loaded.
    short_terms: u32,
    /// What this process knows as the granter about holds that earlier ones have given.
    known_holds: KnownHolds,
    /// Whether so many routers follow this granter that no other one can renew holds without the store.
    do_most_follow: bool,
}

/// The role of a process in granting keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The process grants nothing; another one may be the granter.
    Follower,
    /// The process is the granter of this term.
    Leader(Term),
}

/// A call of the store that the caller has to perform for the election.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeadershipAction {
    /// Reads the leadership record.
    Read,
    /// Writes the record if its revision still is `expect`; with `None`, if there is no record.
    Write {
        /// The new record.
        record: LeadershipRecord,
        /// The revision to replace.
        expect: Option<Revision>,
    },
}

#[derive(Debug, Clone)]
enum State {
    Follower {
        /// When the current time without heartbeats began.
        silent_since: Time,
        /// Earliest time of the next read.
        retry_at: Time,
    },
    /// The record was read. It is replaced after the wait from `since` on unless it has changed by
    /// then, and not before `retry_at`.
    Observing {
        since: Time,
        wait: Wait,
        retry_at: Time,
        observed: Option<(Revision, LeadershipRecord)>,
    },
    Leader {
        record: LeadershipRecord,
        /// Revision of the record; `None` if the store has lost it.
        revision: Option<Revision>,
        renew_at: Time,
        /// When the store last confirmed the granter; for a write, when it was sent.
        confirmed_at: Time,
    },
}

/// What a follower that has read the record leaves others time for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// Nothing: the granter has ended.
    Ended,
    /// Others that are fitter and learn later that an outage of the store is over; before that, a
    /// granter that is still heard, for its renewal.
    Outage { grace: Duration },
    /// The granter, which is heard, for writing its record again: the store has lost it.
    Rewrite,
    /// The granter, for its renewal.
    Renewal,
}

impl Wait {
    /// Returns the length of the wait of a process with this takeover delay.
    fn length(self, delay: TakeoverDelay) -> Duration {
        match self {
            Wait::Ended => Duration::ZERO,
            Wait::Outage { grace } => grace + delay.after_outage,
            Wait::Rewrite => Leadership::REWRITE_GRACE + delay.after_outage,
            Wait::Renewal => Leadership::HEARTBEAT_TIMEOUT + delay.usual,
        }
    }
}

impl Leadership {
    /// Time without a heartbeat after which a follower tries to take over.
    pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
    /// Time between two renewals of the record by the granter.
    const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
    /// Time since the store last confirmed the granter after which its heartbeats no longer keep
    /// followers from taking over.
    pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_800);
    /// Time since a confirmation by which a heartbeat says that its granter has resigned.
    pub const RESIGNED: Duration = Duration::from_millis(u32::MAX as u64);
    /// Largest takeover delay of a host that may replace its own ended granter at once.
    ///
    /// Hosts with a longer delay are too small for a large fleet and give the others time to take
    /// over.
    pub const MAX_IMMEDIATE_DELAY: Duration = Duration::from_millis(300);
    /// Time after which a failed read or write is repeated.
    const RETRY_DELAY: Duration = Duration::from_millis(700);
    /// Time after which the granter repeats a failed renewal.
    const RENEW_RETRY_DELAY: Duration = Duration::from_millis(250);
    /// Failed calls in a row from which the store counts as lost for all processes.
    const OUTAGE_FAILURES: u32 = 2;
    /// Time after an outage that a follower leaves to the granter for a renewal.
    const OUTAGE_GRACE: Duration = Duration::from_millis(700);
    /// Time that a follower leaves to a granter that it hears for writing its lost record again. Until
    /// then the granter renews holds; a successor has to wait until they have expired.
    const REWRITE_GRACE: Duration = Duration::from_millis(4_000);
    /// Age up to which a router's report counts as proof that it follows the granter.
    pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);
    /// Time after winning within which a granter has to load its tables. At 200 Mbit/s a table of 545
    /// ranges takes 0.2 s.
    pub const START_TIMEOUT: Duration = Duration::from_millis(600);
    /// Number of doublings of the start timeout, once for each short term in a row. All routers take that
    /// long to load the tables if the store is slow.
    const MAX_START_DOUBLINGS: u32 = 3;
    /// Shortest pause of a process that has handed over a term before it had loaded its tables. It
    /// doubles with each such term in a row.
    const HANDOVER_PAUSE: Duration = Duration::from_secs(2);
    /// Bits of a term below the era of the store.
    const ERA_SHIFT: u32 = 16;
    /// Number of doublings of the pause.
    const MAX_HANDOVER_DOUBLINGS: u32 = 4;

    /// Creates a follower.
    ///
    /// `takeover_delay` spreads the attempts of followers; see [`Fitness::takeover_delay`].
    pub fn new<D>(host: HostName, incarnation: u64, takeover_delay: D, now: Time) -> Leadership
    where
        D: Into<TakeoverDelay>,
    {
        // All processes may have started together, without any granter. A new follower therefore
        // does not wait for the heartbeat timeout.
        let silent_since = now - Leadership::HEARTBEAT_TIMEOUT;
        let state = State::Follower { silent_since, retry_at: now };
        Leadership {
            host,
            incarnation,
            takeover_delay: takeover_delay.into(),
            state,
            known_term: Term(0),
            term_floor: Term(0),
            last_heard_renewal: None,
            earlier_granters: Vec::new(),
            earlier_renewals_until: now,
            settled_predecessor: false,
            predecessor_term: None,
            in_flight: false,
            failures: 0,
            last_heard_at: None,
            resigned_term: None,
            won_at: None,
            is_working: false,
            handovers: 0,
            paused_until: now,
            heard_term_since: (Term(0), now),
            short_terms: 0,
            known_holds: KnownHolds::new(now, false),
            do_most_follow: false,
        }
    }

    /// Records that this process was started with the whole system, which has never run before.
    pub fn record_first_start(&mut self, now: Time) {
        self.known_holds = KnownHolds::new(now, true);
    }

    /// Sets the takeover delay by the router's present fitness; it also counts for a wait under way.
    pub fn set_fitness(&mut self, fitness: Fitness, spread: f64) {
        self.takeover_delay = fitness.takeover_delay(spread);
    }

    /// Records that the store answers this process again after an outage, so that the next read does
    /// not wait for the pause after a failed one.
    pub fn record_store_recovery(&mut self, now: Time) {
        match &mut self.state {
            State::Follower { retry_at, .. } | State::Observing { retry_at, .. } => {
                *retry_at = (*retry_at).min(now);
            }
            State::Leader { renew_at, .. } => *renew_at = (*renew_at).min(now),
        }
    }

    /// Records that the granter has loaded its tables, so that it does not have to hand over.
    pub fn record_working(&mut self) {
        if self.role() != Role::Follower {
            self.is_working = true;
            self.handovers = 0;
            self.short_terms = 0;
        }
    }

    /// Resigns if this granter has not loaded its tables within [`Leadership::START_TIMEOUT`] (longer
    /// after terms that were short) and others may take over; returns the write of the final record.
    ///
    /// The caller tells the others with a heartbeat at once, as the store may not be reachable. This
    /// process then pauses, so that it does not win again at once. Without others it stays the granter.
    pub fn hand_over(&mut self, now: Time, has_others: bool) -> Option<LeadershipAction> {
        let is_late = self.won_at.is_some_and(|at| now.since(at) >= self.start_timeout());
        if self.is_working || !is_late || !has_others {
            return None;
        }
        let action = self.resign(now, None)?;
        let doublings = self.handovers.min(Leadership::MAX_HANDOVER_DOUBLINGS);
        self.handovers += 1;
        self.short_terms += 1;
        self.paused_until = now + Leadership::HANDOVER_PAUSE * 2_u32.pow(doublings);
        Some(action)
    }

    /// Returns the current role of the process.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader { record, .. } => Role::Leader(record.term),
            _ => Role::Follower,
        }
    }

    /// Returns the time since the store last confirmed this granter; `None` for a follower.
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        match &self.state {
            State::Leader { confirmed_at, .. } => Some(now.since(*confirmed_at)),
            _ => None,
        }
    }

    /// Returns the highest term seen in a heartbeat or in the record.
    pub fn known_term(&self) -> Term {
        self.known_term
    }

    /// Returns whether earlier granters may still renew holds.
    pub fn has_earlier_granters(&self) -> bool {
        !self.earlier_granters.is_empty()
    }

    /// Returns whether the previous granter resigned with all orders answered.
    pub fn has_settled_predecessor(&self) -> bool {
        self.settled_predecessor
    }

    /// Returns the term of the granter that this one has replaced; `None` if there was none.
    pub fn predecessor_term(&self) -> Option<Term> {
        self.predecessor_term
    }

    /// Removes all earlier granters, as none of them renews holds after `until`.
    pub fn clear_earlier_granters(&mut self, until: Time) {
        self.earlier_granters.clear();
        self.earlier_renewals_until = self.earlier_renewals_until.max(until);
    }

    /// Returns the time from which on no earlier granter renews holds, `now` at the earliest; `None` if
    /// one may go on. A range table that is loaded after they were removed starts from it.
    pub fn earlier_granters_ended_at(&self, now: Time) -> Option<Time> {
        (!self.has_earlier_granters()).then(|| now.max(self.earlier_renewals_until))
    }

    /// Removes the earlier granter on a host that follows this granter or runs a new process.
    ///
    /// Returns whether it was the last one.
    pub fn remove_earlier_granter(&mut self, host: HostName) -> bool {
        let before = self.earlier_granters.len();
        self.earlier_granters.retain(|earlier| earlier.host != host);
        before > 0 && self.earlier_granters.is_empty()
    }

    /// Returns the number of the last renewal in this term; zero for a follower.
    pub fn renewal(&self) -> u64 {
        match &self.state {
            State::Leader { record, .. } => record.renewal,
            _ => 0,
        }
    }

    /// Handles a granter's heartbeat; one of an earlier term is ignored.
    ///
    /// `unconfirmed` is the sender's [`Leadership::confirmation_age`].
    pub fn handle_heartbeat(&mut self, now: Time, term: Term, renewal: u64, unconfirmed: Duration) {
        self.known_holds.record_other_granter();
        if term < self.known_term {
            return;
        }
        self.known_term = term;
        self.last_heard_renewal = Some((term, renewal));
        self.count_short_term(now, term, unconfirmed >= Leadership::RESIGNED);
        if unconfirmed >= Leadership::RESIGNED {
            self.resigned_term = Some(term);
        }
        // A heartbeat that was sent before the resignation may arrive after it.
        let has_resigned = self.has_resigned(term);
        let is_unconfirmed = has_resigned || unconfirmed > Leadership::CONFIRMATION_TIMEOUT;
        self.last_heard_at = (!has_resigned).then_some(now);
        match &mut self.state {
            State::Leader { record, .. } if record.term >= term => {}
            State::Leader { .. } => self.become_follower(now),
            // The granter has lost the store, which another process may still reach. It reports
            // this itself, so that the heartbeat timeout does not have to pass.
            State::Follower { silent_since, .. } if is_unconfirmed => {
                *silent_since = (*silent_since).min(now - Leadership::HEARTBEAT_TIMEOUT);
            }
            // No renewal is waited for any more, only fitter routers.
            State::Observing { wait, observed: Some((_, record)), .. }
                if has_resigned && record.term == term && *wait != Wait::Ended =>
            {
                *wait = Wait::Outage { grace: Duration::ZERO };
            }
            State::Observing { wait, .. } if has_resigned && *wait == Wait::Rewrite => {
                *wait = Wait::Outage { grace: Duration::ZERO };
            }
            _ if is_unconfirmed => {}
            _ => self.become_follower(now),
        }
    }

    /// Returns the call that is due, if any; at most one is in flight at a time.
    pub fn tick(&mut self, now: Time) -> Option<LeadershipAction> {
        let is_paused = self.role() == Role::Follower && now < self.paused_until;
        if self.in_flight || is_paused {
            return None;
        }
        let resigned_term = self.resigned_term;
        let is_heard = self.is_granter_heard(now);
        let action = match &mut self.state {
            State::Follower { silent_since, retry_at } => {
                let is_silent = now.since(*silent_since)
                    >= Leadership::HEARTBEAT_TIMEOUT + self.takeover_delay.usual;
                if !is_silent || now < *retry_at {
                    return None;
                }
                LeadershipAction::Read
            }
            State::Observing { since, wait, retry_at, observed } => {
                if *wait == Wait::Rewrite && !is_heard {
                    *wait = Wait::Outage { grace: Duration::ZERO };
                    *since = now;
                }
                if now < *since + wait.length(self.takeover_delay) || now < *retry_at {
                    return None;
                }
                let (expect, term, earlier_granters) = match observed {
                    Some((revision, record)) => {
                        let resigned = record.resigned || resigned_term >= Some(record.term);
                        let ended = LeadershipRecord { resigned, ..record.clone() };
                        (Some(*revision), record.term, ended.earlier_granters_after(self.host))
                    }
                    None => (None, Term(0), Vec::new()),
                };
                self.settled_predecessor =
                    observed.as_ref().is_some_and(|(_, observed)| observed.settled);
                self.predecessor_term = observed.as_ref().map(|(_, observed)| observed.term);
                let replaced = observed.as_ref().map(|(revision, record)| (*revision, record));
                self.known_holds.begin_term(now, replaced);
                let record = LeadershipRecord {
                    host: self.host,
                    incarnation: self.incarnation,
                    term: Term(term.max(self.known_term).max(self.term_floor).0 + 1),
                    renewal: 0,
                    resigned: false,
                    settled: false,
                    earlier_granters,
                    store_era: self.known_holds.era(),
                    holds_known_in: self.known_holds.complete_in(),
                };
                LeadershipAction::Write { record, expect }
            }
            State::Leader { record, revision, renew_at, .. } => {
                if now < *renew_at {
                    return None;
                }
                *renew_at = now + Leadership::RENEW_INTERVAL;
                let renewal = record.renewal + 1;
                let record = LeadershipRecord {
                    renewal,
                    earlier_granters: self.earlier_granters.clone(),
                    store_era: self.known_holds.era(),
                    holds_known_in: self.known_holds.complete_in(),
                    ..record.clone()
                };
                LeadershipAction::Write { record, expect: *revision }
            }
        };
        self.in_flight = true;
        Some(action)
    }

    /// Handles the stored record after a read or a conflicting write; `None` if there is no record.
    ///
    /// A follower replaces the record at once if its granter has resigned, or has not renewed it
    /// since its last heartbeat or the last read. So does the granter's own host after a restart,
    /// unless its takeover delay exceeds [`Leadership::MAX_IMMEDIATE_DELAY`]. Otherwise the
    /// follower first gives the granter time to renew.
    ///
    /// After an outage of the store, the follower that reaches it first would take over from a granter
    /// that is about to renew, or before the fitter machines. So it leaves a granter that it still hears
    /// some time, and the others its takeover delay, also if the granter has resigned.
    ///
    /// A record that is gone, or of an earlier term than is known, is that of a copy from which the store
    /// was restored. It says nothing about the granter, which is given time to write its own again.
    pub fn handle_record(&mut self, now: Time, found: Option<(Revision, LeadershipRecord)>) {
        self.in_flight = false;
        let had_outage = std::mem::take(&mut self.failures) >= Leadership::OUTAGE_FAILURES;
        if self.keep_restored_role(now, found.as_ref()) {
            return;
        }
        let found_term = found.as_ref().map_or(Term(0), |(_, record)| record.term);
        if found_term < self.known_term {
            return self.handle_lost_record(now, found, had_outage);
        }
        let Some((revision, record)) = found else {
            let wait = Wait::Ended;
            self.state = State::Observing { since: now, wait, retry_at: now, observed: None };
            return;
        };
        self.known_term = self.known_term.max(record.term);
        let is_own = record.host == self.host && record.incarnation == self.incarnation;
        let has_resigned = record.resigned || self.has_resigned(record.term);
        if is_own && !has_resigned {
            // A write took effect although its answer was lost.
            if self.role() == Role::Follower {
                self.earlier_granters.clone_from(&record.earlier_granters);
            }
            self.begin_term(now, record.term);
            let renew_at = now + Leadership::RENEW_INTERVAL;
            let revision = Some(revision);
            self.state = State::Leader { record, revision, renew_at, confirmed_at: now };
            return;
        }
        if self.has_heard_lately(now) {
            // A heartbeat arrived while the call was in flight.
            return;
        }
        // A resignation that the record does not show could not be written.
        let had_outage = had_outage || (has_resigned && !record.resigned);
        let is_own_host = record.host == self.host;
        let may_replace_at_once = self.takeover_delay.usual <= Leadership::MAX_IMMEDIATE_DELAY;
        let has_ended = has_resigned || (is_own_host && may_replace_at_once);
        // A granter that has renewed the record since its last heartbeat may be alive although its
        // heartbeats do not arrive.
        let is_silent = self.last_heard_renewal == Some((record.term, record.renewal));
        let observed = Some((revision, record));
        let unchanged = matches!(&self.state, State::Observing { observed: before, .. }
            if *before == observed);
        let wait = match has_ended || is_silent || unchanged {
            true if had_outage && (has_resigned || !has_ended) => {
                let grace = match self.is_granter_heard(now) && !has_resigned {
                    true => Leadership::OUTAGE_GRACE,
                    false => Duration::ZERO,
                };
                Wait::Outage { grace }
            }
            true => Wait::Ended,
            false => Wait::Renewal,
        };
        self.state = State::Observing { since: now, wait, retry_at: now, observed };
    }

    /// Keeps the role of a granter whose record is gone, or is that of an earlier term: the store was
    /// restored from a copy. The record is written again under the same term. Returns whether nothing
    /// else is to be done.
    ///
    /// The role is given up if another granter, whose record is lost as well, may have replaced this one:
    /// it was unconfirmed for long enough, and too few routers follow it to rule that out.
    fn keep_restored_role(
        &mut self,
        now: Time,
        found: Option<&(Revision, LeadershipRecord)>,
    ) -> bool {
        let known_term = self.known_term;
        let State::Leader { record, revision, renew_at, confirmed_at } = &mut self.state else {
            return false;
        };
        let is_copy = found.is_none_or(|(at, stored)| {
            let is_own = stored.host == record.host && stored.incarnation == record.incarnation;
            let is_of_later_era = revision.is_none_or(|known| at.era() > known.era());
            stored.term < record.term || (stored.term == record.term && is_own && is_of_later_era)
        });
        if !is_copy || record.term < known_term {
            return false;
        }
        let is_replaceable = now.since(*confirmed_at) >= Leadership::HEARTBEAT_TIMEOUT;
        if is_replaceable && !self.do_most_follow {
            self.resigned_term = self.resigned_term.max(Some(record.term));
            self.become_follower(now);
            return true;
        }
        *revision = found.map(|(revision, _)| *revision);
        *renew_at = now;
        true
    }

    /// Handles a record that shows that the store has lost that of the last known granter.
    fn handle_lost_record(
        &mut self,
        now: Time,
        observed: Option<(Revision, LeadershipRecord)>,
        had_outage: bool,
    ) {
        if self.has_heard_lately(now) {
            return;
        }
        let wait = match self.is_granter_heard(now) && !self.has_resigned(self.known_term) {
            true => Wait::Rewrite,
            false if had_outage => Wait::Outage { grace: Duration::ZERO },
            false => Wait::Ended,
        };
        self.state = State::Observing { since: now, wait, retry_at: now, observed };
    }

    /// Returns whether this follower has no reason to replace the granter.
    fn has_heard_lately(&self, now: Time) -> bool {
        matches!(self.state, State::Follower { silent_since, .. }
            if now.since(silent_since) < Leadership::HEARTBEAT_TIMEOUT)
    }

    /// Returns whether heartbeats of a granter that has not resigned arrive, confirmed by the store or not.
    fn is_granter_heard(&self, now: Time) -> bool {
        self.last_heard_at.is_some_and(|at| now.since(at) < Leadership::HEARTBEAT_TIMEOUT)
    }

    /// Records whether so many routers follow this granter that no other one can renew holds without the
    /// store.
    pub fn record_followers(&mut self, now: Time, do_most_follow: bool) {
        self.do_most_follow = do_most_follow;
        let was_complete = self.known_holds.is_complete();
        self.known_holds.record_followers(now, do_most_follow);
        self.renew_if_completed(now, was_complete);
    }

    /// Records that a router has followed the granter of another term.
    pub fn record_other_term(&mut self) {
        self.known_holds.record_other_granter();
    }

    /// Records that the store has all range tables as this granter knows them, written in its present
    /// era.
    pub fn record_tables_saved(&mut self, now: Time) {
        let was_complete = self.known_holds.is_complete();
        self.known_holds.record_tables_saved();
        self.renew_if_completed(now, was_complete);
    }

    /// Writes the record at once when it can say for the first time that the tables name all holds.
    fn renew_if_completed(&mut self, now: Time, was_complete: bool) {
        if let State::Leader { renew_at, .. } = &mut self.state
            && self.known_holds.is_complete()
            && !was_complete
        {
            *renew_at = (*renew_at).min(now);
        }
    }

    /// Returns the range table to start from, if no server can hold keys without this granter's
    /// knowledge. `stored` is the table that the store has in this era.
    pub fn prove_table(
        &mut self,
        now: Time,
        era: Option<StoreEra>,
        stored: Option<RangeTable>,
        times: &HoldTimes,
    ) -> Option<ProvenTable> {
        self.record_store_era(now, era);
        self.known_holds.prove(now, stored, times)
    }

    /// Returns whether a table that could not be proven may be by now.
    pub fn may_prove_tables(&self, now: Time, times: &HoldTimes) -> bool {
        self.known_holds.is_complete() || self.known_holds.have_expired(now, times)
    }

    /// Records the era of the store, if it tells one. Terms of its earlier eras may have been lost, so
    /// that new terms are above all of them.
    pub fn record_store_era(&mut self, now: Time, era: Option<StoreEra>) {
        self.known_holds.record_era(now, era);
        self.term_floor = Term(u64::from(era.unwrap_or_default().0) << Leadership::ERA_SHIFT);
    }

    /// Handles a write that took effect; `sent` is when it was sent, `to` the new revision.
    pub fn handle_write(&mut self, now: Time, sent: Time, record: LeadershipRecord, to: Revision) {
        self.in_flight = false;
        self.failures = 0;
        self.known_term = self.known_term.max(record.term);
        // A renewal that was under way when the process resigned may be answered after that.
        let has_resigned = record.resigned || self.has_resigned(record.term);
        if has_resigned || record.term < self.known_term {
            return self.become_follower(now);
        }
        if self.role() == Role::Follower {
            self.earlier_granters.clone_from(&record.earlier_granters);
        }
        self.begin_term(now, record.term);
        let renew_at = sent + Leadership::RENEW_INTERVAL;
        let revision = Some(to);
        self.state = State::Leader { record, revision, renew_at, confirmed_at: sent };
    }

    /// Handles a read or write that failed or whose answer was lost.
    pub fn handle_failure(&mut self, now: Time) {
        self.in_flight = false;
        self.failures += 1;
        match &mut self.state {
            State::Follower { retry_at, .. } => *retry_at = now + Leadership::RETRY_DELAY,
            // What was observed before an outage says nothing about the granter after it.
            State::Observing { .. } if self.failures >= Leadership::OUTAGE_FAILURES => {
                let silent_since = now - Leadership::HEARTBEAT_TIMEOUT - self.takeover_delay.usual;
                let retry_at = now + Leadership::RETRY_DELAY;
                self.state = State::Follower { silent_since, retry_at };
            }
            State::Observing { retry_at, .. } => *retry_at = now + Leadership::RETRY_DELAY,
            State::Leader { renew_at, .. } => {
                *renew_at = (*renew_at).min(now + Leadership::RENEW_RETRY_DELAY);
            }
        }
    }

    /// Resigns; returns the write of the final record, or `None` for a follower.
    ///
    /// `settled` says whether no order, of this granter or an earlier one, can still take effect. It is
    /// `None` if a range table was not loaded in this term: then that is as the predecessor left it.
    pub fn resign(&mut self, now: Time, settled: Option<bool>) -> Option<LeadershipAction> {
        let State::Leader { record, revision, .. } = &self.state else {
            return None;
        };
        let renewal = record.renewal + 1;
        let settled = settled.unwrap_or(self.settled_predecessor);
        let settled = settled && self.earlier_granters.is_empty() && self.known_holds.is_complete();
        let record = LeadershipRecord { renewal, resigned: true, settled, ..record.clone() };
        self.resigned_term = self.resigned_term.max(Some(record.term));
        let action = LeadershipAction::Write { record, expect: *revision };
        self.become_follower(now);
        Some(action)
    }

    /// Returns the time after winning within which a granter has to load its tables at present.
    fn start_timeout(&self) -> Duration {
        let doublings = self.short_terms.min(Leadership::MAX_START_DOUBLINGS);
        Leadership::START_TIMEOUT * 2_u32.pow(doublings)
    }

    /// Counts another granter's term as short if it resigns within the start timeout, give or take a
    /// heartbeat timeout. A term that goes on ends the row. To be called before the resignation is noted.
    fn count_short_term(&mut self, now: Time, term: Term, resigns: bool) {
        let (heard, since) = self.heard_term_since;
        if heard != term {
            self.heard_term_since = (term, now);
            return;
        }
        let is_short = now.since(since) < self.start_timeout() + Leadership::HEARTBEAT_TIMEOUT;
        match (resigns, is_short) {
            (true, true) if !self.has_resigned(term) => self.short_terms += 1,
            (_, false) if !self.has_resigned(term) => self.short_terms = 0,
            _ => {}
        }
    }

    /// Returns whether the granter of a term is known to have resigned.
    fn has_resigned(&self, term: Term) -> bool {
        self.resigned_term >= Some(term)
    }

    /// Notes the time at which a term was won; no effect on later renewals.
    fn begin_term(&mut self, now: Time, term: Term) {
        if self.role() != Role::Leader(term) {
            self.won_at = Some(now);
            self.is_working = false;
        }
    }

    fn become_follower(&mut self, now: Time) {
        self.won_at = None;
        self.is_working = false;
        self.failures = 0;
        self.state = State::Follower { silent_since: now, retry_at: now };
    }
}
