use std::time::Duration;

use bay_time::Time;
use bay_types::Token;

use crate::{FormerOwner, HoldTimes, Holding, KeyRange, OrderResult};

/// A holding and how far its grant has come.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) holding: Holding,
    pub(crate) phase: Phase,
    /// When the owner's last possible hold ends.
    pub(crate) owner_until: Time,
    /// When the last possible hold by an unanswered order to the owner ends.
    pub(crate) doubt_until: Time,
    /// The same two times for the former owner.
    pub(crate) former_until: Time,
    pub(crate) former_doubt: Time,
    pub(crate) handover: Option<String>,
    /// Whether the owner has acknowledged a grant in this term.
    pub(crate) acknowledged: bool,
    /// Whether the owner held the keys before it was sent the present grant.
    pub(crate) held_before: bool,
    pub(crate) moved_at: Time,
}

/// What a slot's grant waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The former owner has to release the keys.
    Releasing { next: Time, in_flight: bool },
    /// The former owner's hold has to run out.
    Lapsing { until: Time },
    /// The owner has to be given the keys.
    Granting { next: Time, in_flight: bool },
    /// The owner holds the keys.
    Held { renew_at: Time, in_flight: bool },
}

impl Phase {
    /// The keys can be given to the owner now.
    pub(crate) fn granting(now: Time) -> Phase {
        Phase::Granting { next: now, in_flight: false }
    }
}

impl Slot {
    /// Time after which an order that failed is sent again.
    pub(crate) const RETRY: Duration = Duration::from_millis(200);

    /// Keys that nobody held.
    pub(crate) fn fresh(holding: Holding, now: Time) -> Slot {
        Slot {
            holding,
            phase: Phase::granting(now),
            owner_until: Time::ZERO,
            doubt_until: Time::ZERO,
            former_until: Time::ZERO,
            former_doubt: Time::ZERO,
            handover: None,
            acknowledged: false,
            held_before: false,
            moved_at: now,
        }
    }

    /// A holding of an earlier granter, which may renew it until the given time.
    pub(crate) fn taken_over(holding: Holding, now: Time, until: Time) -> Slot {
        let held_before = holding.former.is_none();
        let phase = match holding.former {
            Some(_) => Phase::Releasing { next: now, in_flight: false },
            None => Phase::granting(now),
        };
        Slot {
            phase,
            owner_until: until,
            former_until: until,
            former_doubt: until,
            held_before,
            ..Slot::fresh(holding, now)
        }
    }

    /// Whether the owner serves the keys, as far as its answers tell.
    pub(crate) fn serves(&self) -> bool {
        match self.phase {
            Phase::Held { .. } => true,
            Phase::Granting { .. } => self.held_before,
            Phase::Releasing { .. } | Phase::Lapsing { .. } => false,
        }
    }

    /// Whether the owner has acknowledged the present grant.
    pub(crate) fn is_held(&self) -> bool {
        matches!(self.phase, Phase::Held { .. })
    }

    /// The same for a part of the keys.
    pub(crate) fn with_range(&self, range: KeyRange) -> Slot {
        let holding = Holding { range, ..self.holding.clone() };
        Slot { holding, ..self.clone() }
    }

    /// The slot of a part of the keys after they were given to another server, or to the same one
    /// with a higher token.
    pub(crate) fn given_to(&self, next: Holding, now: Time) -> Slot {
        let mut slot = self.clone();
        let same_owner = self.holding.owner == next.owner;
        slot.holding = next;
        slot.held_before = same_owner && self.serves();
        if same_owner {
            slot.holding.former = self.holding.former;
            if self.serves() {
                slot.phase = Phase::granting(now);
            }
            return slot;
        }
        slot.moved_at = now;
        slot.acknowledged = false;
        // An owner that was never sent a grant cannot hold the keys; its own former owner may.
        if self.owner_until > Time::ZERO {
            slot.holding.former = Some(FormerOwner {
                owner: self.holding.owner,
                address: self.holding.address,
                token: self.holding.token,
            });
            slot.former_until = self.owner_until;
            // A server that has acknowledged no grant of this term may obey an earlier granter.
            slot.former_doubt = if self.acknowledged { self.doubt_until } else { self.owner_until };
            slot.handover = None;
            slot.phase = Phase::Releasing { next: now, in_flight: false };
        } else {
            slot.holding.former = self.holding.former;
        }
        slot.owner_until = Time::ZERO;
        slot.doubt_until = Time::ZERO;
        slot
    }

    /// Takes the answer to a release.
    pub(crate) fn on_release(&mut self, now: Time, result: &OrderResult) {
        let Phase::Releasing { .. } = self.phase else {
            return;
        };
        self.phase = match result {
            OrderResult::Released { handover } => {
                self.handover.clone_from(handover);
                match self.former_doubt > now {
                    true => Phase::Lapsing { until: self.former_doubt },
                    false => Phase::granting(now),
                }
            }
            OrderResult::OtherServer => Phase::granting(now),
            _ => Phase::Releasing { next: now + Slot::RETRY, in_flight: false },
        };
    }

    /// Takes the result of a grant.
    ///
    /// A hold counts from the arrival of the grant, which is no later than its result.
    pub(crate) fn on_grant(
        &mut self,
        now: Time,
        sent: Time,
        until_before: Time,
        result: &OrderResult,
        times: &HoldTimes,
    ) {
        if *result != OrderResult::Granted {
            self.owner_until = until_before;
            if result.may_take_effect() {
                self.owner_until = until_before.max(now + times.max_after_arrival());
                self.doubt_until = self.doubt_until.max(now + times.max_after_arrival());
            }
            return self.retry(now);
        }
        self.owner_until = now + times.max_after_arrival();
        // From now on the owner refuses earlier granters.
        self.acknowledged = true;
        self.holding.former = None;
        self.handover = None;
        let renew_at = (sent + times.renew_interval).max(now);
        self.phase = Phase::Held { renew_at, in_flight: false };
    }

    /// Sends the present order again after a pause.
    pub(crate) fn retry(&mut self, now: Time) {
        let next = now + Slot::RETRY;
        self.phase = match self.phase {
            Phase::Releasing { .. } => Phase::Releasing { next, in_flight: false },
            Phase::Granting { .. } => Phase::Granting { next, in_flight: false },
            Phase::Held { .. } => Phase::Held { renew_at: next, in_flight: false },
            phase @ Phase::Lapsing { .. } => phase,
        };
    }

    /// Gives the keys to the owner once the former one cannot hold them any more.
    pub(crate) fn expire(&mut self, now: Time, former_ended: bool) {
        let over = match self.phase {
            Phase::Releasing { .. } => former_ended || now >= self.former_until,
            Phase::Lapsing { until } => former_ended || now >= until,
            Phase::Granting { .. } | Phase::Held { .. } => false,
        };
        if over {
            self.phase = Phase::granting(now);
        }
    }

    /// Takes note that no earlier granter renews holds after the given time.
    pub(crate) fn bound(&mut self, until: Time) {
        if !self.acknowledged {
            self.owner_until = self.owner_until.min(until);
        }
        self.former_until = self.former_until.min(until);
        self.former_doubt = self.former_doubt.min(until);
        if let Phase::Lapsing { until: at } = &mut self.phase {
            *at = (*at).min(until);
        }
    }

    /// Takes note that no order of an earlier granter is unanswered.
    pub(crate) fn settle(&mut self) {
        self.acknowledged = true;
        self.former_doubt = Time::ZERO;
    }

    /// Whether no order about the keys may still be carried out.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let former_settled = self.holding.former.is_none() || now >= self.former_doubt;
        now >= self.doubt_until && former_settled
    }

    /// Whether an order with this token is about this slot's owner.
    pub(crate) fn has_token(&self, token: Token) -> bool {
        self.holding.token == token
    }
}
