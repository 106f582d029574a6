use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::CustomerName;

use crate::Ticket;

/// One gate's queue of requests that wait for a slot, bounded in length and time.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: BTreeMap<Ticket, Entry>,
    last_ticket: u64,
    /// Requests in flight per customer.
    in_flight: HashMap<CustomerName, u32>,
}

/// A queued request and its state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) customer: Option<CustomerName>,
    /// The target that the request is pinned to; `None` if it accepts any.
    pub(crate) only: Option<SocketAddr>,
    pub(crate) queued_at: Time,
    /// Whether [`crate::Pool::pop_ready`] has returned the ticket since the last sweep.
    pub(crate) called: bool,
    /// Whether the request lost its place to another customer's and is refused at its next poll.
    pub(crate) displaced: bool,
    /// When the caller last picked with the ticket.
    polled_at: Time,
}

impl Queue {
    /// Longest wait for a slot; after it the request is refused.
    pub(crate) const MAX_WAIT: Duration = Duration::from_millis(200);
    /// A request that has not polled for this long counts as abandoned.
    const ABANDONED_AFTER: Duration = Duration::from_millis(100);

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Entry> {
        self.entries.get_mut(&ticket)
    }

    /// Records that a request has polled again.
    pub(crate) fn record_poll(&mut self, now: Time, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.polled_at = now;
        }
    }

    pub(crate) fn push(
        &mut self,
        now: Time,
        customer: Option<CustomerName>,
        only: Option<SocketAddr>,
    ) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let entry = Entry {
            customer,
            only,
            queued_at: now,
            called: false,
            displaced: false,
            polled_at: now,
        };
        self.entries.insert(ticket, entry);
        ticket
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) {
        self.entries.remove(&ticket);
    }

    /// Removes abandoned requests, and lets those that were called but found no slot be called
    /// again.
    pub(crate) fn sweep(&mut self, now: Time) {
        self.entries.retain(|_, entry| now.since(entry.polled_at) < Queue::ABANDONED_AFTER);
        for entry in self.entries.values_mut() {
            entry.called = false;
        }
    }

    /// Displaces the newest request of the customer with the most requests queued and in flight.
    /// Returns `false` and displaces none unless that customer has at least two more requests than
    /// the given one.
    pub(crate) fn make_room(&mut self, customer: Option<CustomerName>) -> bool {
        let mut shares: BTreeMap<Option<CustomerName>, u32> = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| !entry.displaced) {
            *shares
                .entry(entry.customer)
                .or_insert_with(|| self.in_flight_count(entry.customer)) += 1;
        }
        let own = shares.get(&customer).copied().unwrap_or_else(|| self.in_flight_count(customer));
        let Some((largest, share)) = shares.into_iter().max_by_key(|(_, share)| *share) else {
            return false;
        };
        if share <= own + 1 {
            return false;
        }
        let last = self
            .entries
            .values_mut()
            .rev()
            .find(|entry| entry.customer == largest && !entry.displaced);
        if let Some(entry) = last {
            entry.displaced = true;
        }
        true
    }

    /// Returns the request to serve next: the oldest one of the customer with the fewest requests
    /// in flight. A displaced request comes first, to be refused at once.
    pub(crate) fn next_to_serve<F>(&self, can_start: F) -> Option<Ticket>
    where
        F: Fn(&Entry) -> bool,
    {
        let waiting = self.entries.iter().filter(|(_, entry)| !entry.called);
        waiting
            .filter(|(_, entry)| entry.displaced || can_start(entry))
            .min_by_key(|(ticket, entry)| {
                (!entry.displaced, self.in_flight_count(entry.customer), **ticket)
            })
            .map(|(ticket, _)| *ticket)
    }

    /// Returns when the oldest request that accepts any target was queued.
    pub(crate) fn oldest_queued_at(&self) -> Option<Time> {
        self.entries.values().find(|entry| entry.only.is_none()).map(|entry| entry.queued_at)
    }

    /// Counts the requests that wait for the given target, or for any target if `None`.
    pub(crate) fn waiting_for(&self, only: Option<SocketAddr>) -> u32 {
        let waiting = self.entries.values();
        waiting.filter(|entry| entry.only == only && !entry.displaced).count() as u32
    }

    /// Returns the targets that pinned requests wait for, without duplicates.
    pub(crate) fn pinned_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self.entries.values().filter_map(|entry| entry.only).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Adds a request to its customer's count in flight.
    pub(crate) fn record_started(&mut self, customer: Option<CustomerName>) {
        if let Some(customer) = customer {
            *self.in_flight.entry(customer).or_default() += 1;
        }
    }

    /// Removes a request from its customer's count in flight.
    pub(crate) fn record_ended(&mut self, customer: Option<CustomerName>) {
        let Some(customer) = customer else { return };
        if let Some(count) = self.in_flight.get_mut(&customer) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&customer);
            }
        }
    }

    fn in_flight_count(&self, customer: Option<CustomerName>) -> u32 {
        customer.and_then(|name| self.in_flight.get(&name).copied()).unwrap_or(0)
    }
}
