use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Latency histograms by name, which are created when first used.
#[derive(Debug, Default)]
pub struct LatencyHistograms {
    by_name: BTreeMap<String, Histogram<u32>>,
}

impl LatencyHistograms {
    /// Maximum recorded latency, in milliseconds.
    const MAX_MS: u64 = 120_000;
    /// Significant decimal digits that a histogram keeps.
    const SIGNIFICANT_DIGITS: u8 = 2;
    /// Reported quantiles, with the suffixes of their names.
    const QUANTILES: [(f64, &'static str); 4] =
        [(0.5, "p50_ms"), (0.9, "p90_ms"), (0.99, "p99_ms"), (0.999, "p999_ms")];

    /// Records a latency. One above 120 s is recorded as 120 s.
    pub fn record(&mut self, name: &str, latency: Duration) {
        let millis = (latency.as_millis() as u64).min(LatencyHistograms::MAX_MS);
        if let Some(histogram) = self.by_name.get_mut(name) {
            histogram.saturating_record(millis);
            return;
        }
        match Histogram::new_with_max(
            LatencyHistograms::MAX_MS,
            LatencyHistograms::SIGNIFICANT_DIGITS,
        ) {
            Ok(mut histogram) => {
                histogram.saturating_record(millis);
                self.by_name.insert(name.to_owned(), histogram);
            }
            Err(error) => log::error!(error:% = error; "cannot create a histogram"),
        }
    }

    /// Returns the count, the quantiles and the maximum of each histogram, by name. Latencies are
    /// in milliseconds.
    pub fn values(&self) -> Vec<(String, u64)> {
        let mut values = Vec::new();
        for (name, histogram) in &self.by_name {
            values.push((format!("{name}.count"), histogram.len()));
            for (quantile, suffix) in LatencyHistograms::QUANTILES {
                values.push((format!("{name}.{suffix}"), histogram.value_at_quantile(quantile)));
            }
            values.push((format!("{name}.max_ms"), histogram.max()));
        }
        values
    }
}
