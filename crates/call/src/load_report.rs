/// The load that a target reports of itself; it lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the target runs.
    pub in_flight: u32,
    /// Requests that the target can run at once.
    pub slots: u32,
}

impl LoadReport {
    /// Reads the value of the `Bay-Load` header, `IN_FLIGHT/SLOTS`.
    pub fn parse(text: &str) -> Option<LoadReport> {
        let (in_flight, slots) = text.split_once('/')?;
        Some(LoadReport { in_flight: in_flight.parse().ok()?, slots: slots.parse().ok()? })
    }
}
