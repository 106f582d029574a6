use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::ServerName;
use serde::{Deserialize, Serialize};

use crate::planner::{OwnedRange, Planner};
use crate::{Candidate, KeyLoads, OwnerId};

/// Share of the requests for an owner's keys that it can run in time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct OwnerLimit {
    /// The owner.
    pub server: ServerName,
    /// Share of the requests for its keys to admit, from 0 to 1.
    pub share: f32,
}

/// Number of requests at a server, as its answers have told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOccupancy {
    /// The server.
    pub server: ServerName,
    /// Requests that run or wait.
    pub requests: u16,
}

/// Finds the owners that get more requests than they can run, from what all routers see of them.
///
/// A key has one owner, so that its requests can't go elsewhere. A router alone sees few of an owner's
/// answers: many routers that each send a little fill its queue until every request is late, and
/// the owner works on requests whose callers have given up. Where few routers send an owner enough
/// requests to see its load themselves, they need no limit.
#[derive(Debug, Default)]
pub struct OwnerLimits {
    occupancies: BTreeMap<ServerName, Occupancy>,
}

/// Requests at a server in the last reports.
#[derive(Debug, Clone, Copy)]
struct Occupancy {
    mean: f64,
    at: Time,
}

impl OwnerLimits {
    /// Requests at an owner that the limits aim at, relative to its slots. Some wait, so that no slot
    /// is idle between the answers.
    const TARGET_OCCUPANCY: f64 = 2.0;
    /// Time in which a limit brings an owner's requests to the target.
    const CORRECTION_TIME: Duration = Duration::from_secs(1);
    /// Lower bound of the admitted requests, relative to those that an owner can run. Its answers
    /// show when the load ends.
    const MIN_INFLOW: f64 = 0.1;
    /// Mean time between two requests of a router to an owner up to which it needs no limit.
    const MAX_OWN_INTERVAL: Duration = Duration::from_secs(2);
    /// Age up to which a report counts.
    const MAX_REPORT_AGE: Duration = Duration::from_millis(900);
    /// Weight of a report against the earlier ones.
    const REPORT_WEIGHT: f64 = 0.4;

    /// Records a report of the requests at a server.
    pub fn record(&mut self, now: Time, report: &ServerOccupancy) {
        let requests = f64::from(report.requests);
        let known =
            self.occupancies.entry(report.server).or_insert(Occupancy { mean: requests, at: now });
        known.mean = match now.since(known.at) > OwnerLimits::MAX_REPORT_AGE {
            true => requests,
            false => known.mean + OwnerLimits::REPORT_WEIGHT * (requests - known.mean),
        };
        known.at = now;
    }

    /// Returns the limits of the owners that get more requests than they can run from this many
    /// routers, and forgets servers that are no candidates.
    pub(crate) fn update(
        &mut self,
        now: Time,
        owned_ranges: &[OwnedRange],
        candidates: &[Candidate],
        loads: &KeyLoads,
        routers: u32,
    ) -> Vec<OwnerLimit> {
        let is_candidate =
            |name: &ServerName| candidates.iter().any(|each| each.owner.server == *name);
        self.occupancies.retain(|name, _| is_candidate(name));
        let estimate = loads.estimate(owned_ranges);
        let mut rates: BTreeMap<OwnerId, f64> = BTreeMap::new();
        for owned in owned_ranges {
            *rates.entry(owned.owner).or_default() += estimate.rates.rate(owned.range);
        }
        let mean_service_ms = Planner::mean_service_ms(candidates);
        let limit = |each: &Candidate| {
            let rate = rates.get(&each.owner).copied()?;
            if f64::from(routers) <= rate * OwnerLimits::MAX_OWN_INTERVAL.as_secs_f64() {
                return None;
            }
            let occupancy = self.occupancies.get(&each.owner.server)?;
            if now.since(occupancy.at) > OwnerLimits::MAX_REPORT_AGE {
                return None;
            }
            let target = f64::from(each.slots.max(1)) * OwnerLimits::TARGET_OCCUPANCY;
            let capacity = each.capacity(mean_service_ms);
            let correction = (target - occupancy.mean) / OwnerLimits::CORRECTION_TIME.as_secs_f64();
            let inflow = (capacity + correction).max(capacity * OwnerLimits::MIN_INFLOW);
            let limit = OwnerLimit { server: each.owner.server, share: (inflow / rate) as f32 };
            (rate > inflow).then_some(limit)
        };
        candidates.iter().filter_map(limit).collect()
    }
}
