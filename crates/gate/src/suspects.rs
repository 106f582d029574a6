use std::net::SocketAddr;

use bay_call::{Action, CallId, Counter, Fingerprint, LossEffect, Quarantine};
use bay_time::Time;
use bay_types::ErrorKind;
use bay_wire::{PeerMessage, QuarantineNotice, QuarantineUpdate};

use crate::Gate;
use crate::bounds::{MAX_SUSPECT_DELAYS, SUSPECT_INTERVAL, SUSPECT_RECHECK_DELAY};
use crate::notice_queue::NoticeQueue;
use crate::pending_call::PendingCall;
use crate::placement::{Placement, pick_target};
use crate::service::{Service, ServiceId};

impl Gate {
    /// Records that a target closed the connection of a request, and announces a new suspicion or
    /// quarantine to the other gates.
    pub(crate) fn record_loss(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: SocketAddr,
        as_suspect: bool,
    ) {
        let update = match self.quarantine.record_loss(now, fingerprint, target, as_suspect) {
            LossEffect::Unchanged => return,
            LossEffect::Suspected => {
                self.count(Counter::Suspected);
                QuarantineUpdate::Suspected { target }
            }
            LossEffect::Quarantined => {
                self.count(Counter::Quarantined);
                let for_ms = Quarantine::DURATION.as_millis() as u64;
                QuarantineUpdate::Quarantined { for_ms }
            }
        };
        self.queue_notice(now, fingerprint, update);
    }

    /// Records that a request completed; announces to the other gates if this cleared a suspect.
    pub(crate) fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.quarantine.record_completion(now, fingerprint) {
            self.count(Counter::Cleared);
            self.queue_notice(now, fingerprint, QuarantineUpdate::Cleared);
        }
    }

    /// Applies another gate's notices about suspects and quarantined requests.
    pub(crate) fn apply_notices(&mut self, now: Time, notices: &[QuarantineNotice]) {
        for notice in notices {
            let QuarantineNotice { service, fingerprint: digest, update } = *notice;
            let fingerprint = Fingerprint { service, digest };
            match update {
                QuarantineUpdate::Suspected { target } => {
                    self.quarantine.record_remote_suspect(now, fingerprint, target);
                }
                QuarantineUpdate::Quarantined { for_ms } => {
                    let span = std::time::Duration::from_millis(for_ms);
                    self.quarantine.record_remote_quarantine(now, fingerprint, span);
                }
                QuarantineUpdate::Running { target } => {
                    self.quarantine.record_remote_run(now, fingerprint, target);
                }
                QuarantineUpdate::Cleared => {
                    self.quarantine.record_completion(now, fingerprint);
                }
            }
            if let Some(id) = self.services_by_name.get(&service).copied() {
                self.wake_deferred_suspects(id);
            }
        }
    }

    /// Sends the due notices to all other gates.
    pub(crate) fn send_notices(&mut self, now: Time, out: &mut Vec<Action>) {
        let due = self.notices.drain_due(now);
        for notices in due.chunks(NoticeQueue::MAX_PER_MESSAGE) {
            let others = self.gates.values().filter(|gate| gate.node != self.config.node);
            for gate in others {
                let message = PeerMessage::Quarantine { notices: notices.to_vec() };
                out.push(Action::SendToPeer { to: gate.address, message });
            }
        }
    }

    /// Schedules the suspects that wait for another suspect's run to end for another placement.
    pub(crate) fn wake_deferred_suspects(&mut self, id: ServiceId) {
        if let Some(service) = self.services.get_mut(id) {
            self.calls_to_place.extend(std::mem::take(&mut service.deferred_suspects));
        }
    }

    /// Announces to the other gates that a suspect runs at a target.
    pub(crate) fn announce_suspect_run(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: SocketAddr,
    ) {
        self.queue_notice(now, fingerprint, QuarantineUpdate::Running { target });
    }

    /// Queues a notice to all other gates.
    fn queue_notice(&mut self, now: Time, fingerprint: Fingerprint, update: QuarantineUpdate) {
        let Fingerprint { service, digest } = fingerprint;
        self.notices.push(now, QuarantineNotice { service, fingerprint: digest, update });
    }
}

/// Looks for a target that runs no other suspect, or makes the suspect wait for its turn.
///
/// Gates with the same suspects compute the same ranks, and start each suspect at a different
/// target or at a different time. A second crash then hits only one suspect.
pub(crate) fn place_suspect(
    service: &mut Service,
    pending: &mut PendingCall,
    quarantine: &Quarantine,
    now: Time,
    id: CallId,
    only: Option<SocketAddr>,
    crashed_target: Option<SocketAddr>,
) -> Placement {
    if let Some(ticket) = pending.ticket.take() {
        service.queued.remove(&ticket);
        service.pool.leave_queue(ticket);
    }
    let fingerprint = pending.fingerprint;
    let rank = quarantine.rank(now, fingerprint);
    let targets = targets_for_suspect(service, only, crashed_target, rank);
    let other_targets = targets.iter().filter(|target| Some(**target) != crashed_target).count();
    let turn = rank / other_targets.max(1);
    if !pending.is_suspect && turn > 0 {
        pending.is_suspect = true;
        let turn = u32::try_from(turn).unwrap_or(MAX_SUSPECT_DELAYS).min(MAX_SUSPECT_DELAYS);
        return Placement::Delay(now + SUSPECT_INTERVAL * turn);
    }
    pending.is_suspect = true;
    let mut refusal = Placement::Refuse(ErrorKind::NoTarget, None);
    for target in targets {
        if service.runs_suspect(target, id)
            || quarantine.runs_other_suspect(now, fingerprint, target)
        {
            refusal = Placement::Defer(now + SUSPECT_RECHECK_DELAY);
            continue;
        }
        match pick_target(service, pending, now, Some(target), None) {
            place @ Placement::Refuse(..) if matches!(refusal, Placement::Refuse(..)) => {
                refusal = place
            }
            Placement::Refuse(..) => {}
            place => return place,
        }
    }
    refusal
}

/// Returns the targets for a suspect in order of preference.
///
/// The rank rotates the order. The target that the suspect may have crashed comes last.
fn targets_for_suspect(
    service: &Service,
    only: Option<SocketAddr>,
    crashed_target: Option<SocketAddr>,
    rank: usize,
) -> Vec<SocketAddr> {
    if let Some(owner) = only {
        return vec![owner];
    }
    let mut targets = service.open_targets();
    targets.retain(|target| Some(*target) != crashed_target);
    if !targets.is_empty() {
        let first = rank % targets.len();
        targets.rotate_left(first);
    }
    targets.extend(crashed_target.filter(|target| service.is_open(*target)));
    targets
}
