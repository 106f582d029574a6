use std::net::SocketAddr;
use std::time::Duration;

use bay_call::{Action, CallId, Counter, SuspicionState};
use bay_load::{Permit, PickRequest, PickResult, Purpose, Ticket};
use bay_own::Route;
use bay_time::Time;
use bay_types::{ErrorKind, KeyHash};
use bay_wire::SliceGrant;

use crate::Gate;
use crate::bounds::{
    HEDGE_RETRY_FRACTION, MAX_ATTEMPTS, MAX_OWNER_WAIT, MIN_QUEUE_WAIT, OWNER_RETRY_DELAY,
};
use crate::gate::call_key;
use crate::pending_call::{PendingCall, Phase};
use crate::service::{Service, ServiceId};
use crate::suspects::place_suspect;

/// The result of looking for a target for a request.
pub(crate) enum Placement {
    /// Starts an attempt at the permit's target.
    Start(Permit),
    /// Waits in the pool's queue, and asks again at this time at the latest.
    Queue(Ticket, Time),
    /// Waits until this time, so that suspects of lower rank run first.
    Delay(Time),
    /// Waits until another suspect's run has ended, at most until this time.
    Defer(Time),
    /// Refuses the request, with the time after which the caller may retry.
    Refuse(ErrorKind, Option<Duration>),
}

impl Gate {
    /// Starts an attempt at a suitable target, or makes the request wait, or refuses it.
    pub(crate) fn place(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(call_key(id)) else {
            return;
        };
        if matches!(pending.phase, Phase::Running | Phase::Claiming(_)) {
            return;
        }
        let Some(service) = self.services.get_mut(pending.service) else {
            return self.refuse(now, id, ErrorKind::UnknownHost, None, out);
        };
        let time_left = pending.call.deadline().since(now);
        if time_left.is_zero() || time_left < service.min_latency.lower_bound(now) {
            let kind = pending.fallback_error;
            return self.refuse(now, id, kind, None, out);
        }
        let route = match pending.key.map(|key| select_route(service, pending, now, key)) {
            Some(Ok(route)) => Some(route),
            Some(Err(retry_at)) => return self.wait_for_owner(now, id, retry_at, out),
            None => None,
        };
        if let Some(route) = route
            && pending.rejected_token.is_some_and(|rejected| route.token <= rejected)
            && !pending.retry_paid
        {
            if !service.pool.try_spend_retry(now) {
                self.counters.increment(Counter::RetryDenied);
                return self.refuse(now, id, ErrorKind::NoOwner, None, out);
            }
            pending.retry_paid = true;
        }
        self.touched_services.push(pending.service);
        let only = route.map(|route| route.server);
        let place = match self.quarantine.suspicion_state(now, pending.fingerprint) {
            SuspicionState::Quarantined { until } => {
                Placement::Refuse(ErrorKind::Quarantined, Some(until.since(now)))
            }
            SuspicionState::Suspect { crashed_target } => {
                let quarantine = &self.quarantine;
                place_suspect(service, pending, quarantine, now, id, only, crashed_target)
            }
            SuspicionState::Clear => {
                pending.is_suspect = false;
                pick_target(service, pending, now, only, pending.ticket)
            }
        };
        match place {
            Placement::Start(permit) => self.start_attempt(now, id, permit, route, out),
            Placement::Queue(ticket, until) => {
                pending.ticket = Some(ticket);
                service.queued.insert(ticket, id);
                self.start_waiting(now, id, Phase::Queued { until }, out);
            }
            Placement::Delay(until) => self.start_waiting(now, id, Phase::Queued { until }, out),
            Placement::Defer(until) => {
                service.deferred_suspects.insert(id);
                self.start_waiting(now, id, Phase::Queued { until }, out);
            }
            Placement::Refuse(kind, span) => self.refuse(now, id, kind, span, out),
        }
    }

    /// Starts a second attempt while the first is slow, if the hedge budget allows it.
    pub(crate) fn start_hedge(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(call_key(id)) else {
            return;
        };
        pending.hedge_at = None;
        let Some(service) = self.services.get_mut(pending.service) else {
            return;
        };
        let time_left = pending.call.deadline().since(now);
        let has_one_attempt =
            pending.call.live_attempts().count() == 1 && !pending.call.is_forwarding();
        if !has_one_attempt || time_left <= service.min_latency.lower_bound(now) {
            return;
        }
        let live_targets = pending.permits.iter().flatten().map(|(_, permit)| permit.target());
        let exclude: Vec<_> =
            pending.excluded_targets.iter().copied().chain(live_targets).collect();
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
                return self.reschedule_hedge(now, id);
            }
            PickResult::Refused { .. } => return self.reschedule_hedge(now, id),
        };
        self.touched_services.push(pending.service);
        self.count(Counter::Hedges);
        self.start_attempt(now, id, permit, None, out);
    }

    /// Schedules another try at a hedge, as a target may be free by then.
    fn reschedule_hedge(&mut self, now: Time, id: CallId) {
        let pending = &mut self.calls[call_key(id)];
        let span = self.services[pending.service].pool.hedge_delay();
        pending.hedge_at = span.map(|span| now + span / HEDGE_RETRY_FRACTION);
        self.timers.set(id, pending.next_wakeup());
    }

    /// Starts an attempt at the permit's target and schedules its hedge.
    fn start_attempt(
        &mut self,
        now: Time,
        id: CallId,
        permit: Permit,
        route: Option<Route>,
        out: &mut Vec<Action>,
    ) {
        let pending = &mut self.calls[call_key(id)];
        let to = permit.address();
        let Some(attempt) = pending.call.start_attempt(now, to) else {
            let kind = pending.fallback_error;
            drop(permit);
            return self.refuse(now, id, kind, None, out);
        };
        let service = &mut self.services[pending.service];
        let fresh = permit.needs_new_connection() || pending.is_suspect;
        let trial = permit.is_trial();
        pending.store_permit(attempt, permit);
        pending.retry_paid = false;
        pending.sent_token = route.map(|route| route.token);
        if let Some(ticket) = pending.ticket.take() {
            service.queued.remove(&ticket);
        }
        if pending.is_suspect {
            service.running_suspects.push((to, id));
        }
        let hedges = pending.call.is_idempotent() && pending.key.is_none() && !pending.is_suspect;
        if hedges && pending.call.live_attempts().count() == 1 {
            let span = service.pool.hedge_delay();
            // A trial of a slow target is hedged at once, so that its caller does not wait.
            pending.hedge_at = span.map(|span| if trial { now } else { now + span });
        }
        out.push(Action::StartAttempt {
            call: id,
            attempt,
            to,
            grant: route.map(|route| SliceGrant { slice: route.slice, token: route.token }),
            time_left: pending.call.deadline().since(now),
            fresh,
        });
        let run = pending.is_suspect.then_some(pending.fingerprint);
        self.count(Counter::Attempts);
        self.set_phase(id, Phase::Running);
        if let Some(fingerprint) = run {
            self.announce_suspect_run(now, fingerprint, to);
        }
    }

    /// Makes a request wait for an owner of its key, for at most [`MAX_OWNER_WAIT`] in total.
    fn wait_for_owner(
        &mut self,
        now: Time,
        id: CallId,
        retry_at: Option<Time>,
        out: &mut Vec<Action>,
    ) {
        let pending = &mut self.calls[call_key(id)];
        let since = *pending.ownerless_since.get_or_insert(now);
        let until = since + MAX_OWNER_WAIT;
        pending.fallback_error = ErrorKind::NoOwner;
        if now >= until || pending.call.attempts_started() >= MAX_ATTEMPTS {
            return self.refuse(now, id, ErrorKind::NoOwner, None, out);
        }
        if pending.phase == Phase::Placing {
            self.counters.increment(Counter::WaitsForOwner);
        }
        self.services[pending.service].ownerless.insert(id);
        let next_try = retry_at.unwrap_or(until);
        self.start_waiting(now, id, Phase::Ownerless { until, next_try }, out);
    }

    /// Makes a request wait, or refuses it if too many requests are waiting.
    pub(crate) fn start_waiting(
        &mut self,
        now: Time,
        id: CallId,
        phase: Phase,
        out: &mut Vec<Action>,
    ) {
        let newly = !self.calls[call_key(id)].phase.is_waiting();
        if newly && self.waiting_calls >= self.limits.max_waiting {
            return self.refuse(now, id, ErrorKind::GateOverloaded, None, out);
        }
        if newly && matches!(phase, Phase::Queued { .. }) {
            self.count(Counter::WaitsForTarget);
        }
        self.set_phase(id, phase);
    }

    /// Sets a request's phase, the number of waiting requests and the request's timer.
    pub(crate) fn set_phase(&mut self, id: CallId, phase: Phase) {
        let pending = &mut self.calls[call_key(id)];
        self.waiting_calls -= usize::from(pending.phase.is_waiting());
        self.waiting_calls += usize::from(phase.is_waiting());
        pending.phase = phase;
        self.timers.set(id, pending.next_wakeup());
    }

    /// Schedules the requests at the head of a pool's queue for placement, as slots are free.
    pub(crate) fn wake_queued(&mut self, now: Time, id: ServiceId) {
        let Some(service) = self.services.get_mut(id) else {
            return;
        };
        for _ in 0..service.queued.len() {
            let Some(ticket) = service.pool.pop_ready(now) else {
                return;
            };
            self.calls_to_place.extend(service.queued.get(&ticket));
        }
    }
}

/// Returns the route to the owner of a key.
///
/// # Errors
///
/// The time to try again if the owner rejected this request under the same token, or `None` if the
/// key has no owner.
fn select_route(
    service: &Service,
    pending: &PendingCall,
    now: Time,
    key: KeyHash,
) -> Result<Route, Option<Time>> {
    let route = service.route(now, key).ok_or(None)?;
    if pending.rejected_token.is_none_or(|rejected| route.token > rejected) {
        return Ok(route);
    }
    match pending.phase {
        Phase::Ownerless { next_try, .. } if now >= next_try => Ok(route),
        Phase::Ownerless { next_try, .. } => Err(Some(next_try)),
        Phase::Queued { .. } => Ok(route),
        _ => Err(Some(now + OWNER_RETRY_DELAY * pending.call.attempts_started().max(1))),
    }
}

/// Asks the pool for a slot for a request; `only` restricts the choice to one target.
pub(crate) fn pick_target(
    service: &mut Service,
    pending: &PendingCall,
    now: Time,
    only: Option<SocketAddr>,
    ticket: Option<Ticket>,
) -> Placement {
    let purpose =
        if pending.call.attempts_started() == 0 { Purpose::First } else { Purpose::Retry };
    let exclude: &[_] = if only.is_some() { &[] } else { &pending.excluded_targets };
    let deadline = pending.call.deadline();
    let request =
        PickRequest { only, exclude, customer: pending.customer, purpose, ticket, deadline };
    match service.pool.pick(now, &request) {
        PickResult::Granted(permit) => Placement::Start(permit),
        PickResult::Queued { ticket, until } => {
            Placement::Queue(ticket, until.max(now + MIN_QUEUE_WAIT))
        }
        PickResult::Refused { kind, retry_after } => Placement::Refuse(kind, Some(retry_after)),
    }
}
