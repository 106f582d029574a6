use std::time::Duration;

/// Rate at which a caller has read answers on its connection so far.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ReaderPace {
    bytes_per_second: Option<u64>,
}

impl ReaderPace {
    /// Rate below which a reader is slow, in bytes per second. The mean download (90 kB) then takes
    /// over a second.
    const SLOW_RATE: u64 = 64 * 1024;
    /// Time spent waiting for a reader below which its rate is unknown: the system's buffers took the
    /// bytes.
    const MIN_WAIT: Duration = Duration::from_millis(100);

    /// Records that an answer of `bytes` was sent, with the time spent waiting for its reader.
    pub fn record_sent(&mut self, bytes: u64, waited: Duration) {
        if waited < ReaderPace::MIN_WAIT {
            return;
        }
        let rate = (bytes as f64 / waited.as_secs_f64()) as u64;
        // The mean of the last rate and those before.
        self.bytes_per_second = Some(match self.bytes_per_second {
            Some(before) => before.midpoint(rate),
            None => rate,
        });
    }

    /// Returns whether the reader is known to be slow.
    pub fn is_slow(self) -> bool {
        self.bytes_per_second.is_some_and(|rate| rate < ReaderPace::SLOW_RATE)
    }
}
