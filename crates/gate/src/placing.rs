use std::net::SocketAddr;
use std::time::Duration;

use bay_call::{Action, CallId, Counter, SuspicionState};
use bay_load::{Permit, PickRequest, PickResult, Purpose, Ticket};
use bay_own::Route;
use bay_time::Time;
use bay_types::{ErrorKind, KeyHash};
use bay_wire::SliceGrant;

use crate::Gate;
use crate::bounds::{HEDGE_TRIES, MAX_ATTEMPTS, OWNER_PAUSE, OWNER_WAIT, QUEUE_PAUSE};
use crate::gate::key_of;
use crate::pending::{Pending, Phase};
use crate::service::{Service, ServiceId};
use crate::suspects::place_suspect;

/// Where an attempt may go.
pub(crate) enum Place {
    /// To the permit's target.
    Go(Permit),
    /// Into the pool's queue.
    Queue(Ticket, Time),
    /// Nowhere until this time, so that other suspects run before.
    Delay(Time),
    /// Nowhere until another suspect's run has ended, or until this time.
    Defer(Time),
    /// Nowhere; the request is refused.
    Refuse(ErrorKind, Option<Duration>),
}

impl Gate {
    /// Looks for a target for a request and starts an attempt, or has the request wait, or
    /// refuses it.
    pub(crate) fn place(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(key_of(id)) else {
            return;
        };
        if matches!(pending.phase, Phase::Running | Phase::Claiming(_)) {
            return;
        }
        let Some(service) = self.services.get_mut(pending.service) else {
            return self.give_up(now, id, ErrorKind::UnknownHost, None, out);
        };
        let time_left = pending.call.deadline().since(now);
        if time_left.is_zero() || time_left < service.fastest.least(now) {
            let kind = pending.fallback;
            return self.give_up(now, id, kind, None, out);
        }
        let route = match pending.key.map(|key| route(service, pending, now, key)) {
            Some(Ok(route)) => Some(route),
            Some(Err(retry_at)) => return self.wait_for_owner(now, id, retry_at, out),
            None => None,
        };
        if let Some(route) = route
            && pending.refused_token.is_some_and(|refused| route.token <= refused)
            && !pending.paid
        {
            if !service.pool.try_spend_retry(now) {
                self.tally.add(Counter::RetryDenied);
                return self.give_up(now, id, ErrorKind::NoOwner, None, out);
            }
            pending.paid = true;
        }
        self.touched.push(pending.service);
        let only = route.map(|route| route.server);
        let place = match self.quarantine.standing(now, pending.fingerprint) {
            SuspicionState::Banned { until } => {
                Place::Refuse(ErrorKind::Quarantined, Some(until.since(now)))
            }
            SuspicionState::Suspect { crashed } => {
                let quarantine = &self.quarantine;
                place_suspect(service, pending, quarantine, now, id, only, crashed)
            }
            SuspicionState::Clear => {
                pending.suspect = false;
                place_at(service, pending, now, only, pending.ticket)
            }
        };
        match place {
            Place::Go(permit) => self.start(now, id, permit, route, out),
            Place::Queue(ticket, until) => {
                pending.ticket = Some(ticket);
                service.queued.insert(ticket, id);
                self.wait(now, id, Phase::Queued { until }, out);
            }
            Place::Delay(until) => self.wait(now, id, Phase::Queued { until }, out),
            Place::Defer(until) => {
                service.held_back.insert(id);
                self.wait(now, id, Phase::Queued { until }, out);
            }
            Place::Refuse(kind, span) => self.give_up(now, id, kind, span, out),
        }
    }

    /// Starts a second attempt beside a slow one, if the budget allows it.
    pub(crate) fn hedge(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(key_of(id)) else {
            return;
        };
        pending.hedge_at = None;
        let Some(service) = self.services.get_mut(pending.service) else {
            return;
        };
        let time_left = pending.call.deadline().since(now);
        let alone = pending.call.live().count() == 1 && !pending.call.forwarding();
        if !alone || time_left <= service.fastest.least(now) {
            return;
        }
        let running = pending.permits.iter().flatten().map(|(_, permit)| permit.target());
        let exclude: Vec<_> = pending.exclude.iter().copied().chain(running).collect();
        let request = PickRequest {
            exclude: &exclude,
            customer: pending.customer,
            purpose: Purpose::Hedge,
            ..PickRequest::new(pending.call.deadline())
        };
        let permit = match service.pool.pick(now, &request) {
            PickResult::Granted(permit) => permit,
            PickResult::Queued { ticket, .. } => {
                service.pool.leave_queue(ticket);
                return self.hedge_later(now, id);
            }
            PickResult::Refused { .. } => return self.hedge_later(now, id),
        };
        self.touched.push(pending.service);
        self.count(Counter::Hedges);
        self.start(now, id, permit, None, out);
    }

    /// Asks for a hedge again soon, as a target may be free by then.
    fn hedge_later(&mut self, now: Time, id: CallId) {
        let pending = &mut self.calls[key_of(id)];
        let span = self.services[pending.service].pool.hedge_delay();
        pending.hedge_at = span.map(|span| now + span / HEDGE_TRIES);
        self.timers.set(id, pending.wake());
    }

    fn start(
        &mut self,
        now: Time,
        id: CallId,
        permit: Permit,
        route: Option<Route>,
        out: &mut Vec<Action>,
    ) {
        let pending = &mut self.calls[key_of(id)];
        let to = permit.address();
        let Some(attempt) = pending.call.start(now, to) else {
            let kind = pending.fallback;
            drop(permit);
            return self.give_up(now, id, kind, None, out);
        };
        let service = &mut self.services[pending.service];
        let fresh = permit.needs_new_connection() || pending.suspect;
        let trial = permit.is_trial();
        pending.keep_permit(attempt, permit);
        pending.paid = false;
        pending.sent_token = route.map(|route| route.token);
        if let Some(ticket) = pending.ticket.take() {
            service.queued.remove(&ticket);
        }
        if pending.suspect {
            service.suspects.push((to, id));
        }
        let hedges = pending.call.idempotent() && pending.key.is_none() && !pending.suspect;
        if hedges && pending.call.live().count() == 1 {
            let span = service.pool.hedge_delay();
            // A trial of a slow target must not make its caller wait.
            pending.hedge_at = span.map(|span| if trial { now } else { now + span });
        }
        out.push(Action::Attempt {
            call: id,
            attempt,
            to,
            grant: route.map(|route| SliceGrant { slice: route.slice, token: route.token }),
            time_left: pending.call.deadline().since(now),
            fresh,
        });
        let run = pending.suspect.then_some(pending.fingerprint);
        self.count(Counter::Attempts);
        self.set_phase(id, Phase::Running);
        if let Some(fingerprint) = run {
            self.note_run(now, fingerprint, to);
        }
    }

    /// Has a request wait for its key's next owner, within a bound.
    fn wait_for_owner(
        &mut self,
        now: Time,
        id: CallId,
        retry_at: Option<Time>,
        out: &mut Vec<Action>,
    ) {
        let pending = &mut self.calls[key_of(id)];
        let since = *pending.ownerless_since.get_or_insert(now);
        let until = since + OWNER_WAIT;
        pending.fallback = ErrorKind::NoOwner;
        if now >= until || pending.call.attempts() >= MAX_ATTEMPTS {
            return self.give_up(now, id, ErrorKind::NoOwner, None, out);
        }
        if pending.phase == Phase::Placing {
            self.tally.add(Counter::WaitsForOwner);
        }
        self.services[pending.service].ownerless.insert(id);
        let next_try = retry_at.unwrap_or(until);
        self.wait(now, id, Phase::Ownerless { until, next_try }, out);
    }

    /// Has a request wait, unless too many do.
    pub(crate) fn wait(&mut self, now: Time, id: CallId, phase: Phase, out: &mut Vec<Action>) {
        let newly = !self.calls[key_of(id)].phase.waits();
        if newly && self.waiting >= self.limits.waiting {
            return self.give_up(now, id, ErrorKind::GateOverloaded, None, out);
        }
        if newly && matches!(phase, Phase::Queued { .. }) {
            self.count(Counter::WaitsForTarget);
        }
        self.set_phase(id, phase);
    }

    /// Notes what a request waits for, and when it needs attention.
    pub(crate) fn set_phase(&mut self, id: CallId, phase: Phase) {
        let pending = &mut self.calls[key_of(id)];
        self.waiting -= usize::from(pending.phase.waits());
        self.waiting += usize::from(phase.waits());
        pending.phase = phase;
        self.timers.set(id, pending.wake());
    }

    /// Places the requests whose turn in a pool's queue has come.
    pub(crate) fn wake_queued(&mut self, now: Time, id: ServiceId) {
        let Some(service) = self.services.get_mut(id) else {
            return;
        };
        for _ in 0..service.queued.len() {
            let Some(ticket) = service.pool.pop_ready(now) else {
                return;
            };
            self.awake.extend(service.queued.get(&ticket));
        }
    }
}

/// The owner to send a request to, or when to try again the one that refused it.
fn route(
    service: &Service,
    pending: &Pending,
    now: Time,
    key: KeyHash,
) -> Result<Route, Option<Time>> {
    let route = service.route(now, key).ok_or(None)?;
    if pending.refused_token.is_none_or(|refused| route.token > refused) {
        return Ok(route);
    }
    match pending.phase {
        Phase::Ownerless { next_try, .. } if now >= next_try => Ok(route),
        Phase::Ownerless { next_try, .. } => Err(Some(next_try)),
        Phase::Queued { .. } => Ok(route),
        _ => Err(Some(now + OWNER_PAUSE * pending.call.attempts().max(1))),
    }
}

/// Asks the pool for a place for a request, at one target only if one is named.
pub(crate) fn place_at(
    service: &mut Service,
    pending: &Pending,
    now: Time,
    only: Option<SocketAddr>,
    ticket: Option<Ticket>,
) -> Place {
    let purpose = if pending.call.attempts() == 0 { Purpose::First } else { Purpose::Retry };
    let exclude: &[_] = if only.is_some() { &[] } else { &pending.exclude };
    let deadline = pending.call.deadline();
    let request =
        PickRequest { only, exclude, customer: pending.customer, purpose, ticket, deadline };
    match service.pool.pick(now, &request) {
        PickResult::Granted(permit) => Place::Go(permit),
        PickResult::Queued { ticket, until } => Place::Queue(ticket, until.max(now + QUEUE_PAUSE)),
        PickResult::Refused { kind, retry_after } => Place::Refuse(kind, Some(retry_after)),
    }
}
