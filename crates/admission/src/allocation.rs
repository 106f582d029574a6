/// Part of the mean admitted share that every rank gets before the rest goes out by rank.
///
/// Each rank must get over a quarter of the mean share served; the rest covers requests that servers
/// reject. With 0.24, the least urgent rank got 0.119 of a mean of 0.520 at 2.5 times the capacity.
const FLOOR_PART: f64 = 0.27;

/// Steps in which the floor is found; it is exact to a few thousandths then.
const FLOOR_ITERATIONS: usize = 3;

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
    let requests: f64 = demands.iter().map(|demand| demand.requests).sum();
    let mean = |shares: &[f64]| {
        let admitted = demands.iter().zip(shares).map(|(each, share)| each.requests * share);
        admitted.sum::<f64>() / requests
    };
    // The floor takes capacity from the urgent ranks, which lowers the mean again.
    let mut shares = allocate_above(0.0, capacity, demands);
    for _ in 0..FLOOR_ITERATIONS {
        let floor = (FLOOR_PART * mean(&shares)).min(capacity / work);
        shares = allocate_above(floor, capacity, demands);
    }
    shares
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
