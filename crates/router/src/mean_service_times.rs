use std::collections::BTreeMap;

use bay_types::ServerName;

use crate::ServerTiming;

/// Mean time of a request at each server of a service, from the reports of all routers.
#[derive(Debug, Default)]
pub struct MeanServiceTimes {
    servers: BTreeMap<ServerName, MeanTime>,
    /// Mean over all servers.
    overall: MeanTime,
}

#[derive(Debug, Default, Clone, Copy)]
struct MeanTime {
    service_ms: f64,
    /// Number of requests that the mean covers, up to the span.
    requests: f64,
}

impl MeanServiceTimes {
    /// Number of requests that a server's mean covers: some seconds of a busy server.
    const SPAN: f64 = 100.0;
    /// Number of requests that the mean of all servers covers.
    const OVERALL_SPAN: f64 = 1_000.0;
    /// Number of requests with the overall mean that a new server starts with.
    ///
    /// Otherwise a single quick answer would make a new server look fast.
    const PRIOR_REQUESTS: f64 = 8.0;

    /// Adds a router's measurement of a server. One that is no time is ignored.
    pub fn record(&mut self, timing: &ServerTiming) {
        if !timing.service_ms.is_finite() || timing.service_ms < 0.0 {
            return;
        }
        let (requests, sample) = (f64::from(timing.requests), f64::from(timing.service_ms));
        self.overall.record(sample, requests, MeanServiceTimes::OVERALL_SPAN);
        let prior = MeanTime {
            service_ms: self.overall.service_ms,
            requests: MeanServiceTimes::PRIOR_REQUESTS,
        };
        let mean = self.servers.entry(timing.server).or_insert(prior);
        mean.record(sample, requests, MeanServiceTimes::SPAN);
    }

    /// Returns the mean time at a server in milliseconds, if one was reported.
    pub fn get(&self, server: ServerName) -> Option<f64> {
        self.servers.get(&server).map(|mean| mean.service_ms)
    }
}

impl MeanTime {
    fn record(&mut self, sample: f64, requests: f64, span: f64) {
        self.requests += requests;
        self.service_ms += (sample - self.service_ms) * (requests / self.requests).min(1.0);
        self.requests = self.requests.min(span);
    }
}
