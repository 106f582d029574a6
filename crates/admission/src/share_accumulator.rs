/// Admits an exact share of a sequence of requests.
///
/// After any number of requests, the number admitted differs by less than one from the share.
#[derive(Debug, Clone, Copy)]
pub struct ShareAccumulator {
    /// Part of a request that is admitted but not yet used, from 0 to 1.
    credit: f64,
}

impl ShareAccumulator {
    /// Creates an accumulator at a phase from 0 to 1.
    ///
    /// Accumulators of different routers start at different phases: otherwise all of them would admit, or
    /// refuse, the first requests of a short load.
    pub fn new(phase: f64) -> ShareAccumulator {
        ShareAccumulator { credit: phase.clamp(0.0, 1.0) }
    }

    /// Counts a request; returns whether it is admitted.
    pub fn admits(&mut self, share: f64) -> bool {
        self.credit += share.clamp(0.0, 1.0);
        let admitted = self.credit >= 1.0;
        if admitted {
            self.credit -= 1.0;
        }
        admitted
    }
}
