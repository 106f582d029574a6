use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::ErrorKind;

use crate::permit::Release;
use crate::queue::Queue;
use crate::target::InFlightRequest;
use crate::{Permit, PickRequest, PickResult, Pool, Purpose, TargetId, Ticket};

/// Time after which a queued request polls again if it has not been called.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Queue length per slot of a gate's even share of all slots.
const QUEUE_PER_SLOT: usize = 2;

/// Lower bound of the queue length.
const MIN_QUEUE: usize = 8;

/// Factor on the queue length while targets are out of service. The remaining targets are nearly
/// full then: a queued request is still served, while a refused one may never be.
const WITHDRAWN_QUEUE_FACTOR: usize = 3;

impl Pool {
    /// Assigns a target to a request, or queues or refuses it.
    pub fn pick(&mut self, now: Time, request: &PickRequest<'_>) -> PickResult {
        self.drain_releases(now);
        self.schedule_sweep(now);
        if let Some(pick) = self.refuse_displaced(now, request) {
            return pick;
        }
        if self.would_overtake(request) {
            return self.queue_or_refuse(now, request);
        }
        match self.choose_target(now, request) {
            Some(id) => self.grant(now, id, request),
            None => self.queue_or_refuse(now, request),
        }
    }

    /// Whether a new request would overtake queued ones. Hedges and pinned requests may do so.
    fn would_overtake(&self, request: &PickRequest<'_>) -> bool {
        if request.ticket.is_some() || request.only.is_some() || self.queue.is_empty() {
            return false;
        }
        request.purpose != Purpose::Hedge && self.ready_list.len() <= self.queue.len()
    }

    fn choose_target(&mut self, now: Time, request: &PickRequest<'_>) -> Option<TargetId> {
        let Some(address) = request.only else {
            return self.ready_list.choose(&self.targets, now, request.exclude, &mut self.rng);
        };
        let id = *self.by_address.get(&address)?;
        (self.has_free_slot(now, address) && !request.exclude.contains(&id)).then_some(id)
    }

    /// Whether a target has a free slot for a request pinned to it.
    pub(crate) fn has_free_slot(&self, now: Time, address: SocketAddr) -> bool {
        let id = self.by_address.get(&address);
        id.is_some_and(|id| self.targets[*id].free_pinned_slots(now) > 0)
    }

    fn grant(&mut self, now: Time, id: TargetId, request: &PickRequest<'_>) -> PickResult {
        match request.purpose {
            Purpose::First => {
                self.retry_bucket.record_first_attempt();
                self.hedge_bucket.record_first_attempt();
            }
            Purpose::Retry => {}
            Purpose::Hedge if self.hedge_bucket.try_spend() => {}
            Purpose::Hedge => return self.refuse(now, ErrorKind::ServiceOverloaded),
        }
        if let Some(ticket) = request.ticket {
            self.queue.remove(ticket);
        }
        self.queue.record_started(request.customer);
        self.last_request_number += 1;
        let number = self.last_request_number;
        let target = &mut self.targets[id];
        let slot = target.acquire_slot(now);
        target.in_flight.push(InFlightRequest {
            number,
            since: now,
            loan: slot.loan,
            slow_recorded: false,
        });
        let (address, new_connection) = (target.spec.address, target.has_suspect_connections);
        self.ready_list.refresh(&mut self.targets, id, now);
        if self.ready_list.is_empty() {
            self.borrow_ahead(now);
        }
        let release = Release { target: id, number, customer: request.customer };
        PickResult::Granted(Permit::new(
            address,
            new_connection,
            slot.trial,
            release,
            self.release_sender.clone(),
        ))
    }

    /// Refuses a queued request that was displaced by another customer's; `None` if it was not.
    fn refuse_displaced(&mut self, now: Time, request: &PickRequest<'_>) -> Option<PickResult> {
        let ticket = request.ticket?;
        if !self.queue.get_mut(ticket)?.displaced {
            return None;
        }
        self.queue.remove(ticket);
        Some(self.refuse(now, ErrorKind::CustomerOverShare))
    }

    fn queue_or_refuse(&mut self, now: Time, request: &PickRequest<'_>) -> PickResult {
        if !self.has_usable_target(request.only) {
            return self.leave_and_refuse(now, request, ErrorKind::NoTarget);
        }
        let until = now + QUEUE_POLL_INTERVAL;
        if request.purpose == Purpose::Hedge || until >= request.deadline {
            return self.leave_and_refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        let ticket = match request.ticket {
            Some(ticket) => self.keep_waiting(now, ticket),
            None => self.enter_queue(now, request),
        };
        match ticket {
            Ok(ticket) => PickResult::Queued { ticket, until },
            Err(kind) => self.leave_and_refuse(now, request, kind),
        }
    }

    fn keep_waiting(&mut self, now: Time, ticket: Ticket) -> Result<Ticket, ErrorKind> {
        let Some(entry) = self.queue.get_mut(ticket) else {
            return Err(ErrorKind::ServiceOverloaded);
        };
        if now.since(entry.queued_at) >= Queue::MAX_WAIT {
            return Err(ErrorKind::ServiceOverloaded);
        }
        self.queue.record_poll(now, ticket);
        Ok(ticket)
    }

    fn enter_queue(&mut self, now: Time, request: &PickRequest<'_>) -> Result<Ticket, ErrorKind> {
        if self.queue.len() >= self.queue_limit() && !self.queue.make_room(request.customer) {
            return Err(ErrorKind::ServiceOverloaded);
        }
        let ticket = self.queue.push(now, request.customer, request.only);
        match request.only {
            Some(address) => self.borrow_for_pinned(now, address),
            None => self.borrow_for_queue(now),
        }
        Ok(ticket)
    }

    fn queue_limit(&self) -> usize {
        let slots = self.targets.len() * self.config.limits.slots as usize;
        let share = slots / self.gates.len().max(1);
        let limit = (QUEUE_PER_SLOT * share).max(MIN_QUEUE);
        let withdrawn = self.targets.values().any(|target| !target.spec.in_service);
        if withdrawn { limit * WITHDRAWN_QUEUE_FACTOR } else { limit }
    }

    fn has_usable_target(&self, only: Option<SocketAddr>) -> bool {
        match only {
            Some(address) => {
                let id = self.by_address.get(&address);
                id.is_some_and(|id| self.targets[*id].spec.in_service)
            }
            None => !self.lending_gates.is_empty() || !self.own_targets.is_empty(),
        }
    }

    fn leave_and_refuse(
        &mut self,
        now: Time,
        request: &PickRequest<'_>,
        kind: ErrorKind,
    ) -> PickResult {
        if let Some(ticket) = request.ticket {
            self.queue.remove(ticket);
        }
        self.refuse(now, kind)
    }

    fn refuse(&mut self, now: Time, kind: ErrorKind) -> PickResult {
        PickResult::Refused { kind, retry_after: self.retry_pacer.next_delay(now, &mut self.rng) }
    }
}
