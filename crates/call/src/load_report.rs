/// The load that a target reports with an answer. It describes the past, not the present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in flight at the target.
    pub in_flight: u32,
    /// Maximum requests that the target runs at a time.
    pub slots: u32,
}

impl LoadReport {
    /// Parses the value of the `Bay-Load` header, `IN_FLIGHT/SLOTS`.
    pub fn parse(text: &str) -> Option<LoadReport> {
        let (in_flight, slots) = text.split_once('/')?;
        Some(LoadReport { in_flight: in_flight.parse().ok()?, slots: slots.parse().ok()? })
    }
}
