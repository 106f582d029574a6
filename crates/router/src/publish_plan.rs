use std::collections::VecDeque;
use std::time::Duration;

use bay_time::Time;

use crate::relay_plan::MAX_DIRECT;

/// Decides when a granter sends what.
///
/// Heartbeats, owners and orders are sent at once. Documents (the configuration and lists) wait until
/// the granter has loaded its tables and knows which routers can be relays, and are then paced by the
/// rate of the machine's link. Without that, a new granter on a small link would send a configuration to
/// each router and could not reach the store for seconds.
///
/// An item `T` is a datagram with its recipient.
#[derive(Debug)]
pub struct PublishPlan<T> {
    /// Rate of the link, in bytes per second.
    link_rate: f64,
    /// When the present term was won.
    won_at: Time,
    has_tables: bool,
    has_relays: bool,
    /// Bytes that may be sent now; negative while the link is busy with messages that do not wait.
    allowance: f64,
    refilled_at: Time,
    queue: VecDeque<(usize, T)>,
}

impl<T> PublishPlan<T> {
    /// Share of the link's rate for documents; the rest is left to callers, the store and servers.
    const LINK_SHARE: f64 = 0.5;
    /// Bytes that are sent without a pause, as the time that they take on the link.
    const BURST: Duration = Duration::from_millis(100);
    /// Longest time after winning for which documents wait until routers have reported. Routers report
    /// each 300 ms.
    const RELAY_WAIT: Duration = Duration::from_millis(500);

    /// Creates the plan of a machine with a link of this rate, in megabits per second.
    pub fn new(now: Time, link_mbps: f64) -> PublishPlan<T> {
        let link_rate = link_mbps * 1e6 / 8.0;
        PublishPlan {
            link_rate,
            won_at: now,
            has_tables: false,
            has_relays: false,
            allowance: link_rate * PublishPlan::<T>::BURST.as_secs_f64(),
            refilled_at: now,
            queue: VecDeque::new(),
        }
    }

    /// Starts a term of this granter; what is still queued belongs to an earlier one and is dropped.
    pub fn begin_term(&mut self, now: Time) {
        self.won_at = now;
        self.has_tables = false;
        self.has_relays = false;
        self.queue.clear();
    }

    /// Records that all tables are loaded.
    pub fn record_tables_loaded(&mut self) {
        self.has_tables = true;
    }

    /// Records how many of the other routers have reported in this term. With half of them, most zones
    /// have relays; a small fleet needs none.
    pub fn record_reports(&mut self, reported: usize, others: usize) {
        self.has_relays |= others <= MAX_DIRECT || reported * 2 >= others;
    }

    /// Returns whether documents may be sent, and heartbeats may name them.
    pub fn may_publish(&self, now: Time) -> bool {
        let has_waited = now.since(self.won_at) >= PublishPlan::<T>::RELAY_WAIT;
        self.has_tables && (self.has_relays || has_waited)
    }

    /// Adds a datagram of a document to the queue.
    pub fn push(&mut self, bytes: usize, datagram: T) {
        self.queue.push_back((bytes, datagram));
    }

    /// Returns the queued datagrams.
    pub fn queued(&self) -> impl Iterator<Item = &T> {
        self.queue.iter().map(|(_, datagram)| datagram)
    }

    /// Returns the next datagram if the link has room for it now.
    pub fn next_due(&mut self, now: Time) -> Option<T> {
        self.refill(now);
        if self.allowance <= 0.0 {
            return None;
        }
        let (bytes, datagram) = self.queue.pop_front()?;
        self.allowance -= bytes as f64;
        Some(datagram)
    }

    /// Records bytes that were sent without waiting.
    pub fn record_sent(&mut self, now: Time, bytes: usize) {
        self.refill(now);
        self.allowance = (self.allowance - bytes as f64).max(-self.link_rate);
    }

    /// Returns whether this router's own messages fill its link, so that connections which fail say
    /// nothing about the path to servers.
    pub fn is_link_busy(&mut self, now: Time) -> bool {
        self.refill(now);
        self.allowance <= 0.0
    }

    fn refill(&mut self, now: Time) {
        let burst = self.link_rate * PublishPlan::<T>::BURST.as_secs_f64();
        let rate = self.link_rate * PublishPlan::<T>::LINK_SHARE;
        let added = now.since(self.refilled_at).as_secs_f64() * rate;
        self.allowance = (self.allowance + added).min(burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
