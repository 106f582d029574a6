use std::collections::BTreeMap;

use bay_types::ServerName;

use crate::ServerTiming;

/// The mean time of a request at each server of a service, out of the reports of all routers.
#[derive(Debug, Default)]
pub struct MeanServiceTimes {
    servers: BTreeMap<ServerName, MeanTime>,
    /// The mean over all servers.
    overall: MeanTime,
}

#[derive(Debug, Default, Clone, Copy)]
struct MeanTime {
    service_ms: f64,
    requests: f64,
}

impl MeanServiceTimes {
    /// Requests over which the mean of a server is taken: some seconds of a busy one.
    const SPAN: f64 = 100.0;
    /// Requests over which the mean of all servers is taken.
    const OVERALL_SPAN: f64 = 1_000.0;
    /// How many requests of overall time a server starts with: one quick answer does not make a
    /// fast server.
    const PRIOR: f64 = 8.0;

    /// Takes a router's report.
    pub fn record(&mut self, time: &ServerTiming) {
        let (requests, sample) = (f64::from(time.requests), f64::from(time.service_ms));
        self.overall.record(sample, requests, MeanServiceTimes::OVERALL_SPAN);
        let prior =
            MeanTime { service_ms: self.overall.service_ms, requests: MeanServiceTimes::PRIOR };
        let known = self.servers.entry(time.server).or_insert(prior);
        known.record(sample, requests, MeanServiceTimes::SPAN);
    }

    /// The mean time at a server, in milliseconds, if it was reported.
    pub fn get(&self, server: ServerName) -> Option<f64> {
        self.servers.get(&server).map(|known| known.service_ms)
    }
}

impl MeanTime {
    fn record(&mut self, sample: f64, requests: f64, span: f64) {
        self.requests += requests;
        self.service_ms += (sample - self.service_ms) * (requests / self.requests).min(1.0);
        self.requests = self.requests.min(span);
    }
}
