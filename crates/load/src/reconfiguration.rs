use bay_time::Time;

use crate::token_bucket::TokenBucket;
use crate::{Pool, PoolConfig};

impl Pool {
    /// Replaces the limits and budgets; both budgets start anew. Targets, loans and requests in
    /// flight are kept.
    pub fn set_config(&mut self, now: Time, config: PoolConfig) {
        self.drain_releases(now);
        self.retry_bucket = TokenBucket::new(config.retry_budget);
        self.hedge_bucket = TokenBucket::new(config.hedge_budget);
        for target in self.targets.values_mut() {
            if let Some(ledger) = &mut target.ledger {
                ledger.capacity.set_limits(config.limits);
            }
        }
        self.config = config;
        let ids: Vec<_> = self.targets.keys().collect();
        for id in ids {
            self.ready_list.refresh(&mut self.targets, id, now);
        }
        self.schedule_sweep(now);
    }
}
