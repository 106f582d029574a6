use std::collections::VecDeque;
use std::time::Duration;

use bay_time::Time;

use crate::PlatformBounds;

/// This router's share of a service's budget of further attempts.
///
/// The budget holds for all routers together, which do not see each other's counts; each spends
/// by its own requests and an equal part of the fixed extra.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    extra: f64,
    slots: VecDeque<Slot>,
    routers: VecDeque<(Time, u32)>,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    from: Time,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Share of the budget that is spent, so that windows that straddle slots stay within it.
    const USED_SHARE: f64 = 0.85;
    /// Slots in a window.
    const SLOTS: u32 = 40;

    /// The share under the platform's bounds.
    pub fn new(bounds: &PlatformBounds) -> RetryBudget {
        RetryBudget {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            extra: bounds.retry_extra,
            slots: VecDeque::new(),
            routers: VecDeque::new(),
        }
    }

    /// Takes other bounds; what was spent counts on.
    pub fn set_bounds(&mut self, bounds: &PlatformBounds) {
        self.ratio = bounds.retry_ratio;
        self.window = bounds.retry_window;
        self.extra = bounds.retry_extra;
    }

    /// Takes note of how many routers share the budget.
    pub fn set_router_count(&mut self, now: Time, routers: u32) {
        if self.routers.back().is_none_or(|(_, last)| *last != routers) {
            self.routers.push_back((now, routers));
        }
        while self.routers.len() > 1 && now.since(self.routers[1].0) > self.window {
            self.routers.pop_front();
        }
    }

    /// Takes note of a request.
    pub fn record_request(&mut self, now: Time) {
        self.slot(now).requests += 1;
    }

    /// Takes a further attempt from the budget, if there is one.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.slot(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let routers = self.routers.iter().map(|(_, routers)| *routers).max().unwrap_or(1).max(1);
        let allowed = f64::from(requests) * self.ratio + self.extra / f64::from(routers);
        if f64::from(retries) + 1.0 > allowed * RetryBudget::USED_SHARE {
            return false;
        }
        self.slot(now).retries += 1;
        true
    }

    fn slot(&mut self, now: Time) -> &mut Slot {
        let length = self.window / RetryBudget::SLOTS;
        while self.slots.front().is_some_and(|slot| now.since(slot.from) > self.window) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| now.since(slot.from) >= length) {
            self.slots.push_back(Slot { from: now, requests: 0, retries: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
