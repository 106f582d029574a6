/// What is known of a server's capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LearnedCapacity {
    /// Time of a request without queueing, in milliseconds.
    pub base_ms: f64,
    /// Number of concurrent requests up to which the time is kept, at least 1.
    pub concurrency: f64,
}

impl LearnedCapacity {
    /// Returns the expected time of a request, in milliseconds, while `concurrency` requests run or
    /// wait at the server, the request included.
    ///
    /// Beyond the sustained concurrency the throughput stays the same, so that the time rises in
    /// proportion. That holds for a queue as for a server whose work slows down.
    pub fn expected_ms(&self, concurrency: f64) -> f64 {
        self.base_ms * (concurrency / self.concurrency).max(1.0)
    }

    /// Returns the requests per second that the server can run.
    pub fn rate(&self) -> f64 {
        self.concurrency * 1000.0 / self.base_ms.max(1.0)
    }

    /// Returns whether the difference from `other` is worth a message.
    pub fn differs_from(&self, other: &LearnedCapacity) -> bool {
        let ratio = |a: f64, b: f64| a.max(b) / a.min(b).max(f64::MIN_POSITIVE);
        ratio(self.base_ms, other.base_ms) > LearnedCapacity::MIN_CHANGE
            || ratio(self.concurrency, other.concurrency) > LearnedCapacity::MIN_CHANGE
    }

    /// Least ratio of two values that counts as a change. The mean of 40 answers whose times vary by a
    /// factor of four has a standard deviation of 0.055.
    const MIN_CHANGE: f64 = 1.25;
}
