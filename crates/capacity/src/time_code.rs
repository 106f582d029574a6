use serde::{Deserialize, Serialize};

/// A duration in one byte, in steps of 4.4%, from 0.5 ms to 31 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeCode(pub u8);

impl TimeCode {
    /// Duration with the code 0, in milliseconds.
    const MIN_MS: f64 = 0.5;
    /// Number of codes from a duration to twice the duration.
    const STEPS_PER_DOUBLING: f64 = 16.0;

    /// Encodes a duration in milliseconds; one outside the range gets the nearest code.
    pub fn from_ms(ms: f64) -> TimeCode {
        let doublings = (ms.max(TimeCode::MIN_MS) / TimeCode::MIN_MS).log2();
        // The conversion saturates at 255.
        TimeCode((doublings * TimeCode::STEPS_PER_DOUBLING).round() as u8)
    }

    /// Returns the duration in milliseconds.
    pub fn as_ms(self) -> f64 {
        TimeCode::MIN_MS * (f64::from(self.0) / TimeCode::STEPS_PER_DOUBLING).exp2()
    }
}
