/// Part of the mean admitted share that every rank gets before the rest goes out by rank.
///
/// Each rank must get over a quarter of the mean share served. Some refused callers return, which adds
/// to the share that is served in the end.
const FLOOR_PART: f64 = 0.24;

/// Demand of a rank.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankDemand {
    /// Requests per second.
    pub requests: f64,
    /// Their work per second, in the unit of the capacity.
    pub work: f64,
}

/// Returns the share of each rank's requests to admit, the most urgent rank first.
///
/// `demands` are in the order of rank. All shares are 1 if the capacity covers them.
pub fn allocate_shares(capacity: f64, demands: &[RankDemand]) -> Vec<f64> {
    let work: f64 = demands.iter().map(|demand| demand.work).sum();
    if work <= capacity || work <= 0.0 {
        return vec![1.0; demands.len()];
    }
    // The mean share of requests depends on the ranks that get them.
    let by_rank = allocate_above(0.0, capacity, demands);
    let requests: f64 = demands.iter().map(|demand| demand.requests).sum();
    let admitted: f64 =
        demands.iter().zip(by_rank).map(|(each, share)| each.requests * share).sum();
    let floor = FLOOR_PART * admitted / requests;
    allocate_above(floor.min(capacity / work), capacity, demands)
}

/// Gives every rank the share `floor`, and the rest of the capacity to the most urgent ranks.
fn allocate_above(floor: f64, capacity: f64, demands: &[RankDemand]) -> Vec<f64> {
    let work: f64 = demands.iter().map(|demand| demand.work).sum();
    let mut rest = capacity - floor * work;
    let share = |demand: &RankDemand| {
        let wanted = (1.0 - floor) * demand.work;
        let granted = wanted.min(rest.max(0.0));
        rest -= granted;
        if wanted > 0.0 { floor + (1.0 - floor) * granted / wanted } else { 1.0 }
    };
    demands.iter().map(share).collect()
}
