use bay_time::Time;

use crate::budget::Budget;
use crate::{Pool, PoolConfig};

impl Pool {
    /// Takes new limits and budgets; targets, loans and requests in flight stay as they are.
    pub fn set_config(&mut self, now: Time, config: PoolConfig) {
        self.drain_releases(now);
        self.retries = Budget::new(config.retry_budget);
        self.hedges = Budget::new(config.hedge_budget);
        for target in self.targets.values_mut() {
            if let Some(lender) = &mut target.lender {
                lender.capacity.set_limits(config.limits);
            }
        }
        self.config = config;
        let ids: Vec<_> = self.targets.keys().collect();
        for id in ids {
            self.ready.refresh(&mut self.targets, id, now);
        }
        self.arm(now);
    }
}
