use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Latency histograms by name.
#[derive(Debug, Default)]
pub struct LatencyHistograms {
    by_name: BTreeMap<String, Histogram<u32>>,
}

impl LatencyHistograms {
    /// Longest time that is told apart, in milliseconds.
    const MAX_MS: u64 = 120_000;
    /// Significant digits of a recorded time.
    const DIGITS: u8 = 2;
    /// Quantiles that are served, with their names.
    const QUANTILES: [(f64, &'static str); 4] =
        [(0.5, "p50_ms"), (0.9, "p90_ms"), (0.99, "p99_ms"), (0.999, "p999_ms")];

    /// Records a time; one that is too long counts as the longest.
    pub fn record(&mut self, name: &str, span: Duration) {
        let millis = (span.as_millis() as u64).min(LatencyHistograms::MAX_MS);
        if let Some(histogram) = self.by_name.get_mut(name) {
            histogram.saturating_record(millis);
            return;
        }
        match Histogram::new_with_max(LatencyHistograms::MAX_MS, LatencyHistograms::DIGITS) {
            Ok(mut histogram) => {
                histogram.saturating_record(millis);
                self.by_name.insert(name.to_owned(), histogram);
            }
            Err(error) => log::error!(error:% = error; "histogram not made"),
        }
    }

    /// The counts, quantiles and maxima, by name.
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
