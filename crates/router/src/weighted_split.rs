use bay_types::ServiceName;

/// Shares requests between services by weight, evenly over time.
#[derive(Debug, Clone)]
pub struct WeightedSplit {
    parts: Vec<Part>,
}

#[derive(Debug, Clone)]
struct Part {
    service: ServiceName,
    weight: i64,
    credit: i64,
}

impl WeightedSplit {
    /// A split among the services with a weight above zero.
    pub fn new(parts: &[(ServiceName, u32)]) -> WeightedSplit {
        let parts = parts.iter().filter(|(_, weight)| *weight > 0).map(|(service, weight)| Part {
            service: *service,
            weight: i64::from(*weight),
            credit: 0,
        });
        WeightedSplit { parts: parts.collect() }
    }

    /// The service of the next request (smooth weighted round robin).
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
