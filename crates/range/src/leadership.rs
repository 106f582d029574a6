use std::time::Duration;

use bay_time::Time;
use bay_types::{HostName, Revision, Term};

use crate::{EarlierGranter, LeadershipRecord};

/// Elects the granter by compare-and-set on one object of the store.
///
/// Followers listen to the granter's heartbeats. One that hears none reads the record and tries to
/// replace it, which succeeds only if the granter has not renewed it in the meantime.
#[derive(Debug)]
pub struct Leadership {
    host: HostName,
    incarnation: u64,
    delay: Duration,
    state: State,
    known_term: Term,
    /// The renewal that the last heartbeat told.
    heard_renewal: Option<(Term, u64)>,
    earlier_granters: Vec<EarlierGranter>,
    /// Whether the granter before this one left no order unanswered.
    settled_predecessor: bool,
    in_flight: bool,
}

/// What a process is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Another process may be the granter.
    Follower,
    /// This process is the granter of the term.
    Leader(Term),
}

/// A call of the store that the election needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeadershipAction {
    /// Reads the record.
    Read,
    /// Writes the record if its revision is still the expected one, or if there is none.
    Write {
        /// The new record.
        record: LeadershipRecord,
        /// The revision that it replaces.
        expect: Option<Revision>,
    },
}

#[derive(Debug, Clone)]
enum State {
    Following {
        silent_from: Time,
        /// No call is made before.
        retry_at: Time,
    },
    /// The record was read; it is replaced if it is unchanged at this time.
    Observing {
        at: Time,
        seen: Option<(Revision, LeadershipRecord)>,
    },
    Leading {
        record: LeadershipRecord,
        revision: Revision,
        renew_at: Time,
        confirmed: Time,
    },
}

impl Leadership {
    /// Time without a heartbeat after which a follower tries to take over.
    pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
    /// Time between two renewals of the record.
    const RENEW: Duration = Duration::from_millis(1_000);
    /// Time without a confirmed renewal after which heartbeats count as silence.
    pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_800);
    /// Time after which a read or write that failed is tried again.
    const RETRY: Duration = Duration::from_millis(700);

    /// A follower; `delay` spreads the attempts of followers that notice the silence together.
    pub fn new(host: HostName, incarnation: u64, delay: Duration, now: Time) -> Leadership {
        // All processes may have started together, after which no granter would ever be heard.
        let silent_from = now - Leadership::HEARTBEAT_TIMEOUT;
        let state = State::Following { silent_from, retry_at: now };
        Leadership {
            host,
            incarnation,
            delay,
            state,
            known_term: Term(0),
            heard_renewal: None,
            earlier_granters: Vec::new(),
            settled_predecessor: false,
            in_flight: false,
        }
    }

    /// What the process is.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leading { record, .. } => Role::Leader(record.term),
            _ => Role::Follower,
        }
    }

    /// How long ago the store last confirmed the granter; `None` for a follower.
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        match &self.state {
            State::Leading { confirmed, .. } => Some(now.since(*confirmed)),
            _ => None,
        }
    }

    /// The highest term that is known.
    pub fn known_term(&self) -> Term {
        self.known_term
    }

    /// Whether earlier granters may still renew holds.
    pub fn has_earlier_granters(&self) -> bool {
        !self.earlier_granters.is_empty()
    }

    /// Whether the granter before this one resigned with all orders answered.
    pub fn has_settled_predecessor(&self) -> bool {
        self.settled_predecessor
    }

    /// Takes note that no earlier granter renews holds any more.
    pub fn clear_earlier_granters(&mut self) {
        self.earlier_granters.clear();
    }

    /// Takes note that a host follows this granter, or runs a new process; returns whether that
    /// was the last earlier granter.
    pub fn remove_earlier_granter(&mut self, host: HostName) -> bool {
        let before = self.earlier_granters.len();
        self.earlier_granters.retain(|earlier| earlier.host != host);
        before > 0 && self.earlier_granters.is_empty()
    }

    /// The number of the last renewal.
    pub fn renewal(&self) -> u64 {
        match &self.state {
            State::Leading { record, .. } => record.renewal,
            _ => 0,
        }
    }

    /// Takes a granter's heartbeat.
    pub fn handle_heartbeat(&mut self, now: Time, term: Term, renewal: u64, unconfirmed: Duration) {
        if term < self.known_term {
            return;
        }
        self.known_term = term;
        self.heard_renewal = Some((term, renewal));
        match &self.state {
            State::Leading { record, .. } if record.term >= term => {}
            State::Leading { .. } => self.follow(now),
            // The granter has lost the store; another one may still reach it. As the granter says
            // so itself, there is no silence to wait for.
            State::Following { silent_from, retry_at }
                if unconfirmed > Leadership::CONFIRMATION_TIMEOUT =>
            {
                let silent_from = (*silent_from).min(now - Leadership::HEARTBEAT_TIMEOUT);
                self.state = State::Following { silent_from, retry_at: *retry_at };
            }
            _ if unconfirmed > Leadership::CONFIRMATION_TIMEOUT => {}
            _ => self.follow(now),
        }
    }

    /// Does what is due; at most one call is under way at a time.
    pub fn tick(&mut self, now: Time) -> Option<LeadershipAction> {
        if self.in_flight {
            return None;
        }
        let action = match &mut self.state {
            State::Following { silent_from, retry_at } => {
                let silent = now.since(*silent_from) >= Leadership::HEARTBEAT_TIMEOUT + self.delay;
                if !silent || now < *retry_at {
                    return None;
                }
                LeadershipAction::Read
            }
            State::Observing { at, seen } => {
                if now < *at {
                    return None;
                }
                let (expect, term, earlier_granters) = match seen {
                    Some((revision, record)) => {
                        (Some(*revision), record.term, record.earlier_granters_after(self.host))
                    }
                    None => (None, Term(0), Vec::new()),
                };
                self.settled_predecessor = seen.as_ref().is_some_and(|(_, seen)| seen.settled);
                let record = LeadershipRecord {
                    host: self.host,
                    incarnation: self.incarnation,
                    term: Term(term.max(self.known_term).0 + 1),
                    renewal: 0,
                    resigned: false,
                    settled: false,
                    earlier_granters,
                };
                LeadershipAction::Write { record, expect }
            }
            State::Leading { record, revision, renew_at, .. } => {
                if now < *renew_at {
                    return None;
                }
                *renew_at = now + Leadership::RENEW;
                let renewal = record.renewal + 1;
                let earlier_granters = self.earlier_granters.clone();
                let record = LeadershipRecord { renewal, earlier_granters, ..record.clone() };
                LeadershipAction::Write { record, expect: Some(*revision) }
            }
        };
        self.in_flight = true;
        Some(action)
    }

    /// Takes the record as the store has it, after a read or a conflict.
    pub fn handle_record(&mut self, now: Time, found: Option<(Revision, LeadershipRecord)>) {
        self.in_flight = false;
        let Some((revision, record)) = found else {
            self.state = State::Observing { at: now, seen: None };
            return;
        };
        self.known_term = self.known_term.max(record.term);
        let own = record.host == self.host && record.incarnation == self.incarnation;
        if own && !record.resigned {
            // A write took effect although its answer was lost.
            if self.role() == Role::Follower {
                self.earlier_granters.clone_from(&record.earlier_granters);
            }
            let renew_at = now + Leadership::RENEW;
            self.state = State::Leading { record, revision, renew_at, confirmed: now };
            return;
        }
        if let State::Following { silent_from, .. } = self.state
            && now.since(silent_from) < Leadership::HEARTBEAT_TIMEOUT
        {
            // The granter was heard while the call was under way.
            return;
        }
        let ended = record.resigned || record.host == self.host;
        // A granter that renewed since its last heartbeat may be alive although it is not heard.
        let silent = self.heard_renewal == Some((record.term, record.renewal));
        let seen = Some((revision, record));
        let unchanged = matches!(&self.state, State::Observing { seen: before, .. }
            if *before == seen);
        let at = match ended || silent || unchanged {
            true => now,
            false => now + Leadership::HEARTBEAT_TIMEOUT + self.delay,
        };
        self.state = State::Observing { at, seen };
    }

    /// Takes note that a write took effect; `sent` is when it was sent.
    pub fn handle_write(&mut self, now: Time, sent: Time, record: LeadershipRecord, to: Revision) {
        self.in_flight = false;
        self.known_term = self.known_term.max(record.term);
        if record.resigned || record.term < self.known_term {
            return self.follow(now);
        }
        if self.role() == Role::Follower {
            self.earlier_granters.clone_from(&record.earlier_granters);
        }
        let renew_at = sent + Leadership::RENEW;
        self.state = State::Leading { record, revision: to, renew_at, confirmed: sent };
    }

    /// Takes note that a read or write failed, or that its answer was lost.
    pub fn handle_failure(&mut self, now: Time) {
        self.in_flight = false;
        match &mut self.state {
            State::Following { retry_at, .. } => *retry_at = now + Leadership::RETRY,
            State::Observing { at, .. } => *at = now + Leadership::RETRY,
            State::Leading { .. } => {}
        }
    }

    /// The record of a granter that resigns, to be written over the last one; `settled` tells
    /// whether all orders were answered.
    pub fn resign(&mut self, now: Time, settled: bool) -> Option<LeadershipAction> {
        let State::Leading { record, revision, .. } = &self.state else {
            return None;
        };
        let renewal = record.renewal + 1;
        let settled = settled && self.earlier_granters.is_empty();
        let record = LeadershipRecord { renewal, resigned: true, settled, ..record.clone() };
        let action = LeadershipAction::Write { record, expect: Some(*revision) };
        self.follow(now);
        Some(action)
    }

    fn follow(&mut self, now: Time) {
        self.state = State::Following { silent_from: now, retry_at: now };
    }
}
