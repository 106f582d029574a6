use std::time::Duration;

use bay_range::{Fitness, Leadership, LeadershipAction};
use bay_router::{PublishPlan, StoreHealth};
use bay_time::Time;
use bay_types::Term;
use rand::RngExt;
use rand::rngs::SmallRng;

use super::host;

/// Bytes of the configuration.
const CONFIG_BYTES: usize = 30_000;

/// Bytes of a heartbeat.
const HEARTBEAT_BYTES: usize = 250;

/// Time after the first heartbeat by which all routers have reported.
const REPORTED_AFTER: Duration = Duration::from_millis(350);

/// Relays of 82 routers in 8 zones, at one for each group of ten or less.
const RELAYS: usize = 16;

/// Index of the zone that is out of service from 19.3 s on.
const ZONE_OUT: usize = 3;

/// A router: its election, its link and its circuit breaker.
pub struct Machine {
    index: usize,
    pub up: bool,
    pub started: Time,
    link_mbps: f64,
    size: f64,
    spread: f64,
    pub leadership: Leadership,
    pub breaker: StoreHealth,
    pub knows_zones: bool,
    /// Whether the router has heard which keys have no holder.
    pub is_told: bool,
    pub term: Term,
    pub is_loading: bool,
    pub is_loaded: bool,
    pub heartbeat_at: Time,
    term_began_at: Time,
    has_published: bool,
    link_busy_until: Time,
    plan: PublishPlan<usize>,
}

impl Machine {
    pub fn new(index: usize, now: Time, random: &mut SmallRng) -> Machine {
        let (link_mbps, cores): (f64, f64) = match index % 3 {
            0 => (10.0, 0.1),
            1 => (200.0, 0.5),
            _ => (50.0, 0.2),
        };
        let size = (cores / 0.2).min(link_mbps / 100.0).min(1.0);
        let spread = random.random_range(0.0..1.0);
        Machine {
            index,
            up: true,
            started: now,
            link_mbps,
            size,
            spread,
            leadership: Leadership::new(host(index), 1, takeover_delay(size, spread), now),
            breaker: StoreHealth::default(),
            knows_zones: false,
            is_told: false,
            term: Term(0),
            is_loading: false,
            is_loaded: false,
            heartbeat_at: now,
            term_began_at: now,
            has_published: false,
            link_busy_until: now,
            plan: PublishPlan::new(now, link_mbps),
        }
    }

    pub fn is_zone_out(&self) -> bool {
        self.index % 8 == ZONE_OUT
    }

    pub fn is_eligible(&self) -> bool {
        self.size >= 1.0 && !self.is_zone_out()
    }

    pub fn restart(&mut self, now: Time) {
        self.up = true;
        self.started = now;
        let delay = takeover_delay(self.size, self.spread);
        self.leadership = Leadership::new(host(self.index), now.as_nanos(), delay, now);
        self.breaker = StoreHealth::default();
        self.term = Term(0);
        self.knows_zones = false;
        self.is_told = false;
        self.plan = PublishPlan::new(now, self.link_mbps);
    }

    pub fn begin_term(&mut self, now: Time, term: Term) {
        self.term = term;
        self.is_loading = false;
        self.is_loaded = false;
        self.has_published = false;
        self.heartbeat_at = now;
        self.term_began_at = now;
        self.plan.begin_term(now);
    }

    /// Returns when the bytes that are queued on the link have been sent.
    pub fn link_free_at(&self, now: Time) -> Time {
        self.link_busy_until.max(now)
    }

    pub fn transfer_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 * 8.0 / (self.link_mbps * 1e6))
    }

    pub fn record_loaded(&mut self) {
        self.is_loading = false;
        self.is_loaded = true;
        self.leadership.record_working();
        self.plan.record_tables_loaded();
    }

    /// Passes on what the router knows about itself. It learns of the zone only from the store.
    pub fn update_fitness(&mut self) {
        let fitness = Fitness {
            size: self.size,
            is_zone_out: self.knows_zones && self.is_zone_out(),
            is_zone_unknown: !self.knows_zones,
            is_stopping: false,
            is_store_lost: self.breaker.is_lost(),
            is_cut_off: false,
        };
        self.leadership.set_fitness(fitness, self.spread);
    }

    pub fn hand_over(&mut self, now: Time) -> Option<LeadershipAction> {
        let has_others = now.since(self.term_began_at) >= REPORTED_AFTER;
        self.leadership.hand_over(now, has_others)
    }

    /// Sends what the plan lets through.
    pub fn publish_documents(&mut self, now: Time, routers: usize) {
        self.send(now, HEARTBEAT_BYTES * routers);
        self.plan.record_sent(now, HEARTBEAT_BYTES * routers);
        if now.since(self.term_began_at) >= REPORTED_AFTER {
            self.plan.record_reports(routers, routers);
        }
        if self.plan.may_publish(now) && !std::mem::replace(&mut self.has_published, true) {
            (0..RELAYS).for_each(|_| self.plan.push(CONFIG_BYTES, CONFIG_BYTES));
        }
    }

    pub fn send_queued(&mut self, now: Time) {
        while let Some(bytes) = self.plan.next_due(now) {
            self.send(now, bytes);
        }
    }

    fn send(&mut self, now: Time, bytes: usize) {
        self.link_busy_until = self.link_free_at(now) + self.transfer_time(bytes);
    }
}

fn takeover_delay(size: f64, spread: f64) -> Duration {
    Duration::from_millis(700).mul_f64(1.0 - size) + Leadership::MAX_IMMEDIATE_DELAY.mul_f64(spread)
}
