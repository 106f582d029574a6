use std::time::Duration;

use bay_time::Time;
use bay_types::Token;

use crate::{FormerOwner, HoldTimes, Holding, KeyRange, OrderResult, OwnerId};

/// A holding and the progress of its grant.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) holding: Holding,
    pub(crate) phase: Phase,
    /// End of the owner's last possible hold; zero if it was never sent a grant.
    pub(crate) owner_hold_until: Time,
    /// End of the last hold that an unanswered order to the owner may still bring about.
    pub(crate) unanswered_until: Time,
    /// End of the former owner's last possible hold.
    pub(crate) former_hold_until: Time,
    /// End of the last hold that an unanswered order to the former owner may still bring about.
    pub(crate) former_unanswered_until: Time,
    /// End of the last possible hold of owners before the former one; zero if there is none.
    pub(crate) blocked_until: Time,
    /// State that the former owner returned with its release, for the next grant.
    pub(crate) handover: Option<String>,
    /// Whether the owner refuses earlier granters, as it has acknowledged a grant of this term.
    pub(crate) acknowledged: bool,
    /// Whether the owner held the keys before the current grant, which then only renews.
    pub(crate) served_before: bool,
    /// When the keys were last assigned to another owner.
    pub(crate) moved_at: Time,
}

/// What a slot's grant waits for; `next` and `renew_at` say when the order is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The former owner has to release the keys, or its hold has to expire.
    Releasing { next: Time, in_flight: bool },
    /// The former owner has released the keys, but an unanswered order may give them back to it
    /// until this time.
    AwaitingExpiry { until: Time },
    /// The owner has to acknowledge the grant.
    Granting { next: Time, in_flight: bool },
    /// The owner holds the keys and gets renewals.
    Held { renew_at: Time, in_flight: bool },
}

impl Phase {
    /// Returns the phase in which the grant is due at `now`.
    pub(crate) fn grant_at(now: Time) -> Phase {
        Phase::Granting { next: now, in_flight: false }
    }
}

impl Slot {
    /// Time after which a failed order is sent again.
    pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(200);

    /// Creates a slot of keys that no server holds.
    pub(crate) fn new(holding: Holding, now: Time) -> Slot {
        Slot {
            holding,
            phase: Phase::grant_at(now),
            owner_hold_until: Time::ZERO,
            unanswered_until: Time::ZERO,
            former_hold_until: Time::ZERO,
            former_unanswered_until: Time::ZERO,
            blocked_until: Time::ZERO,
            handover: None,
            acknowledged: false,
            served_before: false,
            moved_at: now,
        }
    }

    /// Creates a slot from a holding of an earlier granter, whose orders may extend holds up to
    /// `until`.
    pub(crate) fn from_stored(holding: Holding, now: Time, until: Time) -> Slot {
        let served_before = holding.former.is_none();
        let blocked_until = if holding.has_earlier_former { until } else { Time::ZERO };
        let phase = match holding.former {
            Some(_) => Phase::Releasing { next: now, in_flight: false },
            None => Phase::grant_at(now),
        };
        Slot {
            phase,
            owner_hold_until: until,
            former_hold_until: until,
            former_unanswered_until: until,
            blocked_until,
            served_before,
            moved_at: Time::ZERO,
            ..Slot::new(holding, now)
        }
    }

    /// Returns whether the owner serves the keys, according to its answers.
    pub(crate) fn is_served(&self) -> bool {
        match self.phase {
            Phase::Held { .. } => true,
            Phase::Granting { .. } => self.served_before,
            Phase::Releasing { .. } | Phase::AwaitingExpiry { .. } => false,
        }
    }

    /// Returns whether the owner has acknowledged the current grant.
    pub(crate) fn is_held(&self) -> bool {
        matches!(self.phase, Phase::Held { .. })
    }

    /// Returns a copy of the slot for a part of its keys.
    pub(crate) fn with_range(&self, range: KeyRange) -> Slot {
        let holding = Holding { range, ..self.holding.clone() };
        Slot { holding, ..self.clone() }
    }

    /// Returns the slot with the ends of another one's holds as well, for the join of their ranges.
    ///
    /// Renewals of the two are sent at different times, so that their holds end at different times.
    pub(crate) fn with_holds_of(self, other: &Slot) -> Slot {
        Slot {
            owner_hold_until: self.owner_hold_until.max(other.owner_hold_until),
            unanswered_until: self.unanswered_until.max(other.unanswered_until),
            former_hold_until: self.former_hold_until.max(other.former_hold_until),
            former_unanswered_until: self
                .former_unanswered_until
                .max(other.former_unanswered_until),
            blocked_until: self.blocked_until.max(other.blocked_until),
            acknowledged: self.acknowledged && other.acknowledged,
            ..self
        }
    }

    /// Returns the slot for `next`, which has these keys or a part of them.
    ///
    /// A new owner waits for the release by the current one. The same owner gets a new grant with
    /// the higher token; a release that it waits for goes on.
    pub(crate) fn reassign(&self, next: Holding, now: Time) -> Slot {
        let mut slot = self.clone();
        let same_owner = self.holding.owner == next.owner;
        slot.holding = next;
        slot.served_before = same_owner && self.is_served();
        if same_owner {
            slot.holding.former = self.holding.former;
            slot.holding.has_earlier_former = self.holding.has_earlier_former;
            if self.is_served() {
                slot.phase = Phase::grant_at(now);
            }
            return slot;
        }
        slot.moved_at = now;
        slot.acknowledged = false;
        slot.holding.has_earlier_former = self.holding.has_earlier_former;
        // An owner that was never sent a grant cannot hold the keys. Its own former owner can.
        if self.owner_hold_until > Time::ZERO {
            if self.awaits_former() {
                // An earlier granter may have granted the keys to the owner or not, so that both
                // the owner and its former owner may hold them.
                slot.holding.has_earlier_former = true;
                slot.blocked_until = slot
                    .blocked_until
                    .max(self.former_hold_until)
                    .max(self.former_unanswered_until);
            }
            slot.holding.former = Some(FormerOwner {
                owner: self.holding.owner,
                address: self.holding.address,
                token: self.holding.token,
            });
            slot.former_hold_until = self.owner_hold_until;
            // A server that has acknowledged no grant of this term may accept orders of an earlier
            // granter.
            slot.former_unanswered_until =
                if self.acknowledged { self.unanswered_until } else { self.owner_hold_until };
            slot.handover = None;
            slot.phase = Phase::Releasing { next: now, in_flight: false };
        } else {
            slot.holding.former = self.holding.former;
        }
        slot.owner_hold_until = Time::ZERO;
        slot.unanswered_until = Time::ZERO;
        slot
    }

    /// Handles the result of a release; ignored in other phases.
    pub(crate) fn handle_release_result(&mut self, now: Time, result: &OrderResult) {
        let Phase::Releasing { .. } = self.phase else {
            return;
        };
        self.phase = match result {
            OrderResult::Released { handover } => {
                self.handover.clone_from(handover);
                self.phase_without_former(now, self.former_unanswered_until)
            }
            OrderResult::OtherServer => self.phase_without_former(now, Time::ZERO),
            _ => Phase::Releasing { next: now + Slot::RETRY_DELAY, in_flight: false },
        };
    }

    /// Handles the result of a grant.
    ///
    /// The hold starts when the grant arrives, which is no later than its result.
    pub(crate) fn handle_grant_result(
        &mut self,
        now: Time,
        sent_at: Time,
        previous_hold_until: Time,
        result: &OrderResult,
        times: &HoldTimes,
    ) {
        if matches!(result, OrderResult::OtherServer | OrderResult::NotAnOrder) {
            // Requests for the keys would reach the other server.
            self.served_before = false;
            self.phase = Phase::grant_at(now);
        }
        if *result != OrderResult::Granted {
            self.owner_hold_until = previous_hold_until;
            if result.may_take_effect() {
                self.owner_hold_until = previous_hold_until.max(now + times.max_after_arrival());
                self.unanswered_until = self.unanswered_until.max(now + times.max_after_arrival());
            }
            return self.schedule_retry(now);
        }
        self.owner_hold_until = now + times.max_after_arrival();
        // The owner has seen the higher token and refuses earlier granters.
        self.acknowledged = true;
        self.holding.former = None;
        self.holding.has_earlier_former = false;
        self.handover = None;
        let renew_at = (sent_at + times.renew_interval).max(now);
        self.phase = Phase::Held { renew_at, in_flight: false };
    }

    /// Replaces the token, and makes the grant with it due.
    pub(crate) fn raise_token(&mut self, now: Time, token: Token) {
        self.holding.token = token;
        self.phase = match self.phase {
            Phase::Granting { .. } => Phase::Granting { next: now, in_flight: false },
            Phase::Held { .. } => Phase::Held { renew_at: now, in_flight: false },
            phase @ (Phase::Releasing { .. } | Phase::AwaitingExpiry { .. }) => phase,
        };
    }

    /// Records that a server may get the keys by an unanswered grant with an earlier token, and may
    /// hold them until the given time.
    pub(crate) fn extend_holds_of(&mut self, server: OwnerId, until: Time) {
        if self.holding.owner == server {
            self.owner_hold_until = self.owner_hold_until.max(until);
            self.unanswered_until = self.unanswered_until.max(until);
        }
        if self.holding.former.is_some_and(|former| former.owner == server) {
            self.former_unanswered_until = self.former_unanswered_until.max(until);
        }
    }

    /// Makes the order of the phase due again after [`Slot::RETRY_DELAY`].
    pub(crate) fn schedule_retry(&mut self, now: Time) {
        let next = now + Slot::RETRY_DELAY;
        self.phase = match self.phase {
            Phase::Releasing { .. } => Phase::Releasing { next, in_flight: false },
            Phase::Granting { .. } => Phase::Granting { next, in_flight: false },
            Phase::Held { .. } => Phase::Held { renew_at: next, in_flight: false },
            phase @ Phase::AwaitingExpiry { .. } => phase,
        };
    }

    /// Makes the grant due if the former owner has ended or its last possible hold has expired.
    pub(crate) fn grant_if_former_expired(&mut self, now: Time, former_ended: bool) {
        let has_expired = match self.phase {
            Phase::Releasing { .. } => former_ended || now >= self.former_hold_until,
            Phase::AwaitingExpiry { until } => former_ended || now >= until,
            Phase::Granting { .. } | Phase::Held { .. } => false,
        };
        if has_expired {
            self.phase = self.phase_without_former(now, Time::ZERO);
        }
    }

    /// Returns the phase after the former owner has given up the keys: the grant, once no unanswered
    /// order can give them back (`until`) and no owner before it can hold them.
    fn phase_without_former(&self, now: Time, until: Time) -> Phase {
        let until = until.max(self.blocked_until);
        match until > now {
            true => Phase::AwaitingExpiry { until },
            false => Phase::grant_at(now),
        }
    }

    /// Returns whether the grant waits until a former owner no longer holds the keys.
    fn awaits_former(&self) -> bool {
        matches!(self.phase, Phase::Releasing { .. } | Phase::AwaitingExpiry { .. })
    }

    /// Limits holds by orders of earlier granters to the given time.
    pub(crate) fn limit_earlier_holds(&mut self, until: Time) {
        if !self.acknowledged {
            self.owner_hold_until = self.owner_hold_until.min(until);
        }
        self.former_hold_until = self.former_hold_until.min(until);
        self.former_unanswered_until = self.former_unanswered_until.min(until);
        self.blocked_until = self.blocked_until.min(until);
        if let Phase::AwaitingExpiry { until: at } = &mut self.phase {
            *at = (*at).min(until);
        }
    }

    /// Records that no order of an earlier granter is unanswered.
    pub(crate) fn record_predecessor_settled(&mut self) {
        self.acknowledged = true;
        self.former_unanswered_until = Time::ZERO;
    }

    /// Returns whether no server can hold the keys or get them by an order that was sent.
    pub(crate) fn has_no_holder(&self, now: Time) -> bool {
        let former_has_ended = self.holding.former.is_none()
            || now >= self.former_hold_until.max(self.former_unanswered_until);
        let owner_until = self.owner_hold_until.max(self.unanswered_until);
        now >= owner_until.max(self.blocked_until) && former_has_ended
    }

    /// Records that no server holds the keys.
    pub(crate) fn record_no_holder(&mut self, now: Time) {
        let holding = Holding { former: None, has_earlier_former: false, ..self.holding.clone() };
        *self = Slot::new(holding, now);
    }

    /// Returns whether no unanswered order for these keys can still take effect.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let former_is_settled =
            self.holding.former.is_none() || now >= self.former_unanswered_until;
        now >= self.unanswered_until && now >= self.blocked_until && former_is_settled
    }

    /// Returns whether the current grant has this token.
    pub(crate) fn has_token(&self, token: Token) -> bool {
        self.holding.token == token
    }
}
