/// A token bucket that first attempts fill and that retries or hedges drain.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    fraction: f64,
    tokens: f64,
}

impl TokenBucket {
    /// Capacity of the bucket. It bounds the burst of retries or hedges after a quiet period.
    const MAX_TOKENS: f64 = 10.0;

    /// Creates a bucket with one token that gains this fraction of a token per first attempt.
    pub(crate) fn new(fraction: f64) -> TokenBucket {
        TokenBucket { fraction, tokens: 1.0 }
    }

    /// Adds the fraction of a token that a first attempt earns.
    pub(crate) fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(TokenBucket::MAX_TOKENS);
    }

    /// Takes one token; returns `false` if the bucket has none.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
