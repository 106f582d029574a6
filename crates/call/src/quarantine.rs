use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;

use crate::Fingerprint;

/// Finds requests that crash the targets which run them, and refuses them.
///
/// A request whose connection its target closed is a suspect; it runs again only on a new
/// connection, and beside no other suspect. If it is lost a second time it is banned. A request
/// that ran to the end is no suspect, so those that merely ran beside a crashing one clear
/// themselves.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    banned: HashMap<Fingerprint, Time>,
    /// The suspects that run at other gates, by target.
    running: HashMap<SocketAddr, Run>,
    explained: Vec<Crash>,
    recent: Recent,
}

/// What is known of a request's fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionState {
    /// Nothing.
    Clear,
    /// A target that ran it crashed.
    Suspect {
        /// The target, if it is still known.
        crashed: Option<SocketAddr>,
    },
    /// Two targets that ran it crashed.
    Quarantined {
        /// When it may run again.
        until: Time,
    },
}

/// What a loss leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossVerdict {
    /// Nothing new.
    Unchanged,
    /// The fingerprint is under suspicion from now on.
    Suspected,
    /// The fingerprint is refused from now on.
    Quarantined,
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    crash: Crash,
    until: Time,
    /// When it ran to the end; it then keeps its rank for a moment.
    cleared: Option<Time>,
}

/// A suspect's run at another gate.
#[derive(Debug, Clone, Copy)]
struct Run {
    fingerprint: Fingerprint,
    until: Time,
}

/// A target's crash, as one request showed it.
#[derive(Debug, Clone, Copy)]
struct Crash {
    target: SocketAddr,
    at: Time,
}

impl Quarantine {
    /// Most suspects kept, and most banned fingerprints.
    pub const MAX_ENTRIES: usize = 1_024;
    /// How long a fingerprint stays under suspicion.
    pub const SUSPICION_DURATION: Duration = Duration::from_secs(600);
    /// How long a fingerprint is refused.
    pub const DURATION: Duration = Duration::from_secs(300);
    /// Losses at one target within this time show the same crash.
    pub const CRASH_WINDOW: Duration = Duration::from_secs(1);
    /// How long another gate's word that a suspect runs holds.
    const RUN_HOLD: Duration = Duration::from_secs(1);
    /// How long a suspect that ran to the end keeps its rank, so that the others keep theirs.
    const RANK_HOLD: Duration = Duration::from_secs(1);
    /// Crashes kept that a banned fingerprint explains.
    const MAX_EXPLAINED: usize = 64;

    /// What is known of a fingerprint.
    pub fn suspicion_state(&self, now: Time, fingerprint: Fingerprint) -> SuspicionState {
        if let Some(until) = self.banned.get(&fingerprint).copied() {
            if now < until {
                return SuspicionState::Quarantined { until };
            }
            return SuspicionState::Suspect { crashed: None };
        }
        match self.suspects.get(&fingerprint) {
            Some(suspect) if suspect.cleared.is_none() && now < suspect.until => {
                SuspicionState::Suspect { crashed: Some(suspect.crash.target) }
            }
            _ => SuspicionState::Clear,
        }
    }

    /// Takes note that a target closed the connection of a request, which was sent as a suspect
    /// or before it became one.
    pub fn record_loss(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: SocketAddr,
        as_suspect: bool,
    ) -> LossVerdict {
        let crash = Crash { target, at: now };
        match self.suspicion_state(now, fingerprint) {
            SuspicionState::Quarantined { .. } => {
                self.explain(crash);
                LossVerdict::Unchanged
            }
            SuspicionState::Clear if self.is_explained(crash) => LossVerdict::Unchanged,
            SuspicionState::Clear => {
                self.suspect(fingerprint, crash);
                LossVerdict::Suspected
            }
            SuspicionState::Suspect { .. }
                if !as_suspect && self.same_crash(fingerprint, crash) =>
            {
                LossVerdict::Unchanged
            }
            SuspicionState::Suspect { .. } => {
                self.convict(now, fingerprint, crash);
                LossVerdict::Quarantined
            }
        }
    }

    /// Takes note that a request ran to the end; returns whether it was a suspect.
    pub fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.recent.insert(now, fingerprint);
        self.stopped(fingerprint);
        match self.suspects.get_mut(&fingerprint) {
            Some(suspect) if suspect.cleared.is_none() => {
                suspect.cleared = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Takes another gate's word that a fingerprint is under suspicion.
    pub fn record_remote_suspect(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: SocketAddr,
    ) {
        if self.suspicion_state(now, fingerprint) == SuspicionState::Clear {
            self.suspect(fingerprint, Crash { target, at: now });
        }
    }

    /// Takes another gate's word that a suspect runs at a target.
    pub fn record_remote_run(&mut self, now: Time, fingerprint: Fingerprint, target: SocketAddr) {
        self.running.retain(|_, run| now < run.until);
        if self.running.len() < Quarantine::MAX_ENTRIES {
            self.running.insert(target, Run { fingerprint, until: now + Quarantine::RUN_HOLD });
        }
    }

    /// Whether another suspect runs at a target through another gate.
    pub fn runs_other_suspect(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        target: SocketAddr,
    ) -> bool {
        let run = self.running.get(&target);
        run.is_some_and(|run| run.fingerprint != fingerprint && now < run.until)
    }

    /// Takes another gate's word that a fingerprint is refused.
    pub fn record_remote_quarantine(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        span: Duration,
    ) {
        let until = now + span.min(Quarantine::DURATION);
        self.suspects.remove(&fingerprint);
        self.stopped(fingerprint);
        self.ban(fingerprint, until);
    }

    /// Places a suspect among those of its service, so that gates which know the same suspects
    /// send each to another target.
    pub fn rank(&self, now: Time, fingerprint: Fingerprint) -> usize {
        let before = |(other, suspect): &(&Fingerprint, &Suspect)| {
            other.service == fingerprint.service
                && other.digest < fingerprint.digest
                && suspect.ranks(now)
        };
        self.suspects.iter().filter(before).count()
    }

    /// How many fingerprints are kept.
    pub fn len(&self) -> usize {
        self.suspects.len() + self.banned.len()
    }

    /// Whether no fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn stopped(&mut self, fingerprint: Fingerprint) {
        self.running.retain(|_, run| run.fingerprint != fingerprint);
    }

    fn suspect(&mut self, fingerprint: Fingerprint, crash: Crash) {
        if self.suspects.len() >= Quarantine::MAX_ENTRIES {
            let oldest = self.suspects.iter().min_by_key(|(key, suspect)| (suspect.until, **key));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.suspects.remove(&key);
            }
        }
        self.suspects.retain(|_, suspect| suspect.ranks(crash.at));
        let until = crash.at + Quarantine::SUSPICION_DURATION;
        self.suspects.insert(fingerprint, Suspect { crash, until, cleared: None });
    }

    fn convict(&mut self, now: Time, fingerprint: Fingerprint, crash: Crash) {
        if let Some(first) = self.suspects.remove(&fingerprint) {
            self.explain(first.crash);
        }
        self.explain(crash);
        self.ban(fingerprint, now + Quarantine::DURATION);
    }

    fn ban(&mut self, fingerprint: Fingerprint, until: Time) {
        if self.banned.len() >= Quarantine::MAX_ENTRIES && !self.banned.contains_key(&fingerprint) {
            let oldest = self.banned.iter().min_by_key(|(key, until)| (**until, **key));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.banned.remove(&key);
            }
        }
        self.banned.insert(fingerprint, until);
    }

    /// Drops the suspects that were lost in a crash for which a fingerprint was banned.
    fn explain(&mut self, crash: Crash) {
        self.suspects.retain(|_, suspect| !same(suspect.crash, crash));
        if self.explained.len() >= Quarantine::MAX_EXPLAINED {
            self.explained.remove(0);
        }
        self.explained.push(crash);
    }

    fn is_explained(&self, crash: Crash) -> bool {
        self.explained.iter().any(|other| same(*other, crash))
    }

    /// Whether the loss of a copy that was under way before adds nothing to the crash that brought
    /// the suspect under suspicion.
    ///
    /// It is the same crash at the same target; at another target it says nothing if copies ran
    /// to the end a moment ago, as those of a frequent request do.
    fn same_crash(&self, fingerprint: Fingerprint, crash: Crash) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return false;
        };
        same(suspect.crash, crash) || self.recent.contains(fingerprint)
    }
}

impl Suspect {
    /// Whether the suspect counts among those that are spread over the targets.
    fn ranks(&self, now: Time) -> bool {
        match self.cleared {
            Some(at) => now.since(at) < Quarantine::RANK_HOLD,
            None => now < self.until,
        }
    }
}

/// The fingerprints that ran to the end a moment ago, in two generations.
#[derive(Debug, Default)]
struct Recent {
    young: HashSet<Fingerprint>,
    old: HashSet<Fingerprint>,
    since: Time,
}

impl Recent {
    /// Most fingerprints of a generation.
    const MAX_ENTRIES: usize = 4_096;
    /// How long a generation is young.
    const SPAN: Duration = Duration::from_secs(10);

    fn insert(&mut self, now: Time, fingerprint: Fingerprint) {
        if now.since(self.since) >= Recent::SPAN || self.young.len() >= Recent::MAX_ENTRIES {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        self.young.insert(fingerprint);
    }

    fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.young.contains(&fingerprint) || self.old.contains(&fingerprint)
    }
}

fn same(a: Crash, b: Crash) -> bool {
    let apart = a.at.since(b.at).max(b.at.since(a.at));
    a.target == b.target && apart < Quarantine::CRASH_WINDOW
}
