/// A token bucket that is filled by work and emptied by extra work.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    fraction: f64,
    tokens: f64,
}

impl TokenBucket {
    /// Most tokens kept for later, so that a quiet hour does not pay for a burst.
    const MAX_TOKENS: f64 = 10.0;

    /// A budget that allows this fraction of the work as extra work.
    pub(crate) fn new(fraction: f64) -> TokenBucket {
        TokenBucket { fraction, tokens: 1.0 }
    }

    /// Counts a piece of work.
    pub(crate) fn record_work(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(TokenBucket::MAX_TOKENS);
    }

    /// Pays for a piece of extra work, if the budget allows it.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
