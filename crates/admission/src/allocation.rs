/// Part of the mean admitted share that every rank gets before the rest goes out by rank.
///
/// A rank must get over a quarter of the mean share served; the rest covers its requests that servers
/// reject.
const FLOOR_PART: f64 = 0.35;

/// Returns the share of each rank's requests to admit, the most urgent rank first.
///
/// `demands` are in the order of rank and in the unit of `capacity`. All shares are 1 if the capacity
/// covers the demands.
pub fn allocate_shares(capacity: f64, demands: &[f64]) -> Vec<f64> {
    let total: f64 = demands.iter().sum();
    if total <= capacity || total <= 0.0 {
        return vec![1.0; demands.len()];
    }
    let floor = FLOOR_PART * capacity / total;
    let mut rest = capacity - floor * total;
    let share = |demand: &f64| {
        let wanted = (1.0 - floor) * demand;
        let granted = wanted.min(rest);
        rest -= granted;
        if wanted > 0.0 { floor + (1.0 - floor) * granted / wanted } else { 1.0 }
    };
    demands.iter().map(share).collect()
}
