use bay_own::{OwnerInput, StewardState, StewardView};
use bay_types::SliceId;

use super::{Endpoint, Event, MEMBER_PERIOD, MEMBER_TIMEOUT, OwnershipSim, SAMPLE_PERIOD};
use crate::Admission;

impl OwnershipSim {
    /// Sends every running steward its current view of all stewards.
    pub(super) fn update_members(&mut self) {
        self.schedule(self.now + MEMBER_PERIOD, Event::UpdateMembers);
        for index in 0..self.stewards.len() {
            if self.stewards[index].owner.is_none() {
                continue;
            }
            let others = 0..self.stewards.len();
            let views = others.map(|other| self.steward_view(index, other)).collect();
            let incarnation = self.stewards[index].incarnation;
            self.deliver_input(index, incarnation, OwnerInput::Stewards(views));
        }
    }

    /// Returns how the steward `index` sees `other`, which counts as dead after `MEMBER_TIMEOUT`
    /// without contact.
    pub(super) fn steward_view(&mut self, index: usize, other: usize) -> StewardView {
        let endpoints = (Endpoint::Steward(index), Endpoint::Steward(other));
        let steward = &self.stewards[other];
        let is_cut = self.network.is_cut(endpoints.0, endpoints.1)
            || self.network.is_cut(endpoints.1, endpoints.0);
        let is_silent = steward.owner.is_none() || steward.is_paused || is_cut;
        if !is_silent || index == other {
            self.silent_since.remove(&(index, other));
            let leaving = steward.is_leaving;
            return steward.view(if leaving { StewardState::Leaving } else { StewardState::Alive });
        }
        let since = *self.silent_since.entry((index, other)).or_insert(self.now);
        let is_dead = self.now >= since + MEMBER_TIMEOUT;
        steward.view(if is_dead { StewardState::Dead } else { StewardState::Alive })
    }

    /// Samples whether each range is served at the server that the published routes name.
    pub(super) fn sample_slices(&mut self) {
        self.schedule(self.now + SAMPLE_PERIOD, Event::Sample);
        if !self.is_metering {
            return;
        }
        let now = self.now;
        for (service, doc) in &self.docs {
            let Some(rules) = doc.keyed_rules() else { continue };
            let table = &self.tables[service];
            for index in 0..rules.layout.ranges() {
                let slice = SliceId(index);
                let shift = 64 - rules.layout.ranges().trailing_zeros();
                // The last key of the range; no test makes this key hot.
                let key = bay_types::KeyHash(((u64::from(index) + 1) << shift).wrapping_sub(1));
                let route = table.lookup(key);
                let served = route.is_some_and(|route| {
                    let server = self.servers.iter_mut().find(|s| s.address == route.server);
                    server.is_some_and(|server| {
                        let reading = server.clock.reading(now);
                        let admission = server.server.admit(reading, route.slice, route.token);
                        server.is_up && !server.is_paused && admission == Admission::Owner
                    })
                });
                self.meter.sample(now, *service, slice, served);
            }
        }
    }
}
