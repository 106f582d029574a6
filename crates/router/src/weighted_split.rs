use bay_types::ServiceName;

/// Splits requests between services by weight (smooth weighted round robin).
#[derive(Debug, Clone)]
pub struct WeightedSplit {
    parts: Vec<Part>,
}

#[derive(Debug, Clone)]
struct Part {
    service: ServiceName,
    weight: i64,
    /// Grows by `weight` with each request and drops by the total of the weights when the service
    /// is chosen.
    credit: i64,
}

impl WeightedSplit {
    /// Creates a split; services with a weight of zero get no requests.
    pub fn new(parts: &[(ServiceName, u32)]) -> WeightedSplit {
        let parts = parts.iter().filter(|(_, weight)| *weight > 0).map(|(service, weight)| Part {
            service: *service,
            weight: i64::from(*weight),
            credit: 0,
        });
        WeightedSplit { parts: parts.collect() }
    }

    /// Returns the service of the next request, or `None` if no service has a weight.
    pub fn next_service(&mut self) -> Option<ServiceName> {
        let total: i64 = self.parts.iter().map(|part| part.weight).sum();
        for part in &mut self.parts {
            part.credit += part.weight;
        }
        let best = self.parts.iter_mut().max_by_key(|part| part.credit)?;
        best.credit -= total;
        Some(best.service)
    }
}
