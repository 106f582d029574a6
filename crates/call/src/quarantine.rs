use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;

use crate::Fingerprint;

/// Detects and refuses requests that crash the targets that run them.
///
/// When a target closes the connection of a request, the request's fingerprint becomes a suspect.
/// A suspect runs only on a new connection and not at the same target as another suspect. After a
/// second loss it is quarantined. A suspect that completes is cleared, so requests that only
/// shared a target with a crashing one are cleared by their next run.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    quarantined: HashMap<Fingerprint, Time>,
    /// Suspects that other gates are running, by target.
    remote_runs: HashMap<SocketAddr, RemoteRun>,
    /// Crashes attributed to a quarantined fingerprint.
    attributed_crashes: Vec<Crash>,
    recent_completions: RecentCompletions,
}

/// Suspicion state of a request's fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionState {
    /// Not suspected.
    Clear,
    /// Suspected: one target that ran it crashed.
    Suspect {
        /// The target that crashed; `None` after a quarantine has expired.
        crashed_target: Option<SocketAddr>,
    },
    /// Refused: it was lost in two crashes, or in one after an earlier quarantine.
    Quarantined {
        /// When the quarantine expires.
        until: Time,
    },
}

/// The effect of a loss on the fingerprint's suspicion state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossEffect {
    /// The state did not change.
    Unchanged,
    /// The fingerprint became a suspect.
    Suspected,
    /// The fingerprint was quarantined.
    Quarantined,
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    /// The crash that raised the suspicion.
    crash: Crash,
    /// When the suspicion expires.
    until: Time,
    /// When it completed; it then keeps its rank for [`Quarantine::RANK_RETENTION`].
    cleared_at: Option<Time>,
}

/// A suspect's run through another gate.
#[derive(Debug, Clone, Copy)]
struct RemoteRun {
    fingerprint: Fingerprint,
    until: Time,
}

/// A target's crash, observed as the loss of one request.
#[derive(Debug, Clone, Copy)]
struct Crash {
    target: SocketAddr,
    at: Time,
}

impl Quarantine {
    /// Maximum number of suspects, and of quarantined fingerprints.
    pub const MAX_ENTRIES: usize = 1_024;
    /// How long a fingerprint stays a suspect.
    pub const SUSPICION_DURATION: Duration = Duration::from_secs(600);
    /// How long a fingerprint is quarantined.
    pub const DURATION: Duration = Duration::from_secs(300);
    /// Losses at one target within this time belong to the same crash.
    pub const CRASH_WINDOW: Duration = Duration::from_secs(1);
    /// How long another gate's notice that a suspect runs is valid.
    const REMOTE_RUN_EXPIRY: Duration = Duration::from_secs(1);
    /// How long a cleared suspect keeps its rank, so that the ranks of the others do not shift.
    const RANK_RETENTION: Duration = Duration::from_secs(1);
    /// Maximum number of crashes remembered as attributed to a quarantined fingerprint.
    const MAX_ATTRIBUTED_CRASHES: usize = 64;

    /// Returns the suspicion state of a fingerprint.
    ///
    /// A fingerprint whose quarantine has expired is a suspect: its next loss quarantines it again.
    pub fn suspicion_state(&self, now: Time, fingerprint: Fingerprint) -> SuspicionState {
        if let Some(until) = self.quarantined.get(&fingerprint).copied() {
            if now < until {
                return SuspicionState::Quarantined { until };
            }
            return SuspicionState::Suspect { crashed_target: None };
        }
        match self.suspects.get(&fingerprint) {
            Some(suspect) if suspect.cleared_at.is_none() && now < suspect.until => {
                SuspicionState::Suspect { crashed_target: Some(suspect.crash.target) }
            }
            _ => SuspicionState::Clear,
        }
    }

    /// Records that a target closed the connection of a request.
    ///
    /// `as_suspect` tells whether the request was sent as a suspect or before it became one.
    pub fn record_loss(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: SocketAddr,
        as_suspect: bool,
    ) -> LossEffect {
        let crash = Crash { target, at: now };
        match self.suspicion_state(now, fingerprint) {
            SuspicionState::Quarantined { .. } => {
                self.attribute_crash(crash);
                LossEffect::Unchanged
            }
            SuspicionState::Clear if self.is_attributed(crash) => LossEffect::Unchanged,
            SuspicionState::Clear => {
                self.add_suspect(fingerprint, crash);
                LossEffect::Suspected
            }
            SuspicionState::Suspect { .. }
                if !as_suspect && self.adds_no_evidence(fingerprint, crash) =>
            {
                LossEffect::Unchanged
            }
            SuspicionState::Suspect { .. } => {
                self.quarantine_suspect(now, fingerprint, crash);
                LossEffect::Quarantined
            }
        }
    }

    /// Records that a request completed; returns whether this cleared a suspect.
    pub fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.recent_completions.insert(now, fingerprint);
        self.remove_remote_run(fingerprint);
        match self.suspects.get_mut(&fingerprint) {
            Some(suspect) if suspect.cleared_at.is_none() => {
                suspect.cleared_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Records another gate's notice that a fingerprint is a suspect.
    pub fn record_remote_suspect(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: SocketAddr,
    ) {
        if self.suspicion_state(now, fingerprint) == SuspicionState::Clear {
            self.add_suspect(fingerprint, Crash { target, at: now });
        }
    }

    /// Records another gate's notice that a suspect runs at a target.
    pub fn record_remote_run(&mut self, now: Time, fingerprint: Fingerprint, target: SocketAddr) {
        self.remote_runs.retain(|_, run| now < run.until);
        if self.remote_runs.len() < Quarantine::MAX_ENTRIES {
            self.remote_runs.insert(
                target,
                RemoteRun { fingerprint, until: now + Quarantine::REMOTE_RUN_EXPIRY },
            );
        }
    }

    /// Returns whether another gate is running a different suspect at the target.
    pub fn runs_other_suspect(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        target: SocketAddr,
    ) -> bool {
        let run = self.remote_runs.get(&target);
        run.is_some_and(|run| run.fingerprint != fingerprint && now < run.until)
    }

    /// Records another gate's notice that a fingerprint is quarantined.
    pub fn record_remote_quarantine(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        span: Duration,
    ) {
        let until = now + span.min(Quarantine::DURATION);
        self.suspects.remove(&fingerprint);
        self.remove_remote_run(fingerprint);
        self.insert_quarantined(fingerprint, until);
    }

    /// Returns a suspect's position among the suspects of its service.
    ///
    /// Gates with the same suspects compute the same ranks and send each suspect to a different
    /// target.
    pub fn rank(&self, now: Time, fingerprint: Fingerprint) -> usize {
        let precedes = |(other, suspect): &(&Fingerprint, &Suspect)| {
            other.service == fingerprint.service
                && other.digest < fingerprint.digest
                && suspect.is_ranked(now)
        };
        self.suspects.iter().filter(precedes).count()
    }

    /// Returns the number of suspects and quarantined fingerprints, including cleared and expired
    /// ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.suspects.len() + self.quarantined.len()
    }

    /// Returns whether there are no suspects and no quarantined fingerprints.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remove_remote_run(&mut self, fingerprint: Fingerprint) {
        self.remote_runs.retain(|_, run| run.fingerprint != fingerprint);
    }

    fn add_suspect(&mut self, fingerprint: Fingerprint, crash: Crash) {
        if self.suspects.len() >= Quarantine::MAX_ENTRIES {
            let oldest = self.suspects.iter().min_by_key(|(key, suspect)| (suspect.until, **key));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.suspects.remove(&key);
            }
        }
        self.suspects.retain(|_, suspect| suspect.is_ranked(crash.at));
        let until = crash.at + Quarantine::SUSPICION_DURATION;
        self.suspects.insert(fingerprint, Suspect { crash, until, cleared_at: None });
    }

    fn quarantine_suspect(&mut self, now: Time, fingerprint: Fingerprint, crash: Crash) {
        if let Some(first) = self.suspects.remove(&fingerprint) {
            self.attribute_crash(first.crash);
        }
        self.attribute_crash(crash);
        self.insert_quarantined(fingerprint, now + Quarantine::DURATION);
    }

    fn insert_quarantined(&mut self, fingerprint: Fingerprint, until: Time) {
        if self.quarantined.len() >= Quarantine::MAX_ENTRIES
            && !self.quarantined.contains_key(&fingerprint)
        {
            let oldest = self.quarantined.iter().min_by_key(|(key, until)| (**until, **key));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.quarantined.remove(&key);
            }
        }
        self.quarantined.insert(fingerprint, until);
    }

    /// Attributes a crash to a quarantined fingerprint and drops the suspects lost in that crash.
    fn attribute_crash(&mut self, crash: Crash) {
        self.suspects.retain(|_, suspect| !is_same_crash(suspect.crash, crash));
        if self.attributed_crashes.len() >= Quarantine::MAX_ATTRIBUTED_CRASHES {
            self.attributed_crashes.remove(0);
        }
        self.attributed_crashes.push(crash);
    }

    fn is_attributed(&self, crash: Crash) -> bool {
        self.attributed_crashes.iter().any(|other| is_same_crash(*other, crash))
    }

    /// Returns whether the loss of a copy sent before its fingerprint became a suspect is no
    /// further evidence against it.
    ///
    /// This holds if the loss belongs to the crash that raised the suspicion, or if copies of the
    /// request completed recently, as those of a frequent harmless request do.
    fn adds_no_evidence(&self, fingerprint: Fingerprint, crash: Crash) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return false;
        };
        is_same_crash(suspect.crash, crash) || self.recent_completions.contains(fingerprint)
    }
}

impl Suspect {
    /// Returns whether the suspect counts in the ranking that spreads suspects over targets.
    fn is_ranked(&self, now: Time) -> bool {
        match self.cleared_at {
            Some(at) => now.since(at) < Quarantine::RANK_RETENTION,
            None => now < self.until,
        }
    }
}

/// Fingerprints that completed recently, in two generations.
///
/// The current generation becomes the previous one when it is old or full.
#[derive(Debug, Default)]
struct RecentCompletions {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    current_since: Time,
}

impl RecentCompletions {
    /// Maximum number of fingerprints in a generation.
    const MAX_ENTRIES: usize = 4_096;
    /// How long a generation stays the current one.
    const GENERATION: Duration = Duration::from_secs(10);

    fn insert(&mut self, now: Time, fingerprint: Fingerprint) {
        if now.since(self.current_since) >= RecentCompletions::GENERATION
            || self.current.len() >= RecentCompletions::MAX_ENTRIES
        {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.insert(fingerprint);
    }

    fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }
}

fn is_same_crash(a: Crash, b: Crash) -> bool {
    let interval = a.at.since(b.at).max(b.at.since(a.at));
    a.target == b.target && interval < Quarantine::CRASH_WINDOW
}
