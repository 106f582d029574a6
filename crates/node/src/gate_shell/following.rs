use std::sync::Arc;

use bay_gate::ApplyResult;
use bay_wire::{Item, ItemVersion, KeyVersion, LinkMessage, ServiceRates};

use super::shared::Shared;
use crate::steward_link::FollowSteward;

/// Reports of what is in force between two reports of rates.
const REPORTS_PER_RATES: u64 = 10;

impl FollowSteward for Arc<Shared> {
    fn have(&self) -> Vec<KeyVersion> {
        self.decide(|gate, _, _| {
            let have = gate.versions().iter();
            have.map(|(key, version)| KeyVersion { key: *key, version: *version }).collect()
        })
    }

    fn take(&self, message: LinkMessage) -> Option<LinkMessage> {
        match message {
            LinkMessage::Items(items) => {
                let gaps = take_items(self, &items);
                (!gaps.is_empty()).then_some(LinkMessage::RequestItems(gaps))
            }
            LinkMessage::Gates(gates) => {
                self.set_gates(&gates);
                None
            }
            _ => None,
        }
    }

    fn reports(&self) -> Vec<LinkMessage> {
        let mut reports = vec![LinkMessage::InForce(self.have())];
        if self.next_report().is_multiple_of(REPORTS_PER_RATES) {
            reports.extend(self.rates().into_iter().map(LinkMessage::Rates));
        }
        reports
    }
}

/// Applies items; returns those of which the whole is needed.
fn take_items(shared: &Shared, items: &[Item]) -> Vec<KeyVersion> {
    shared.decide(|gate, now, actions| {
        let mut gaps = Vec::new();
        for item in items {
            if gate.apply(now, item, actions) == ApplyResult::Gap {
                gaps.push(KeyVersion { key: item.key, version: ItemVersion::default() });
            }
        }
        gaps
    })
}

impl Shared {
    /// What this gate sends to its keyed services.
    fn rates(&self) -> Vec<ServiceRates> {
        self.decide(|gate, now, _| {
            let services: Vec<_> = gate.keyed_services().collect();
            let rates = |service| ServiceRates {
                service,
                total_per_second: gate.keyed_rate(now, service).round() as u32,
                keys: gate.hot_keys(now, service).iter().map(wire_rate).collect(),
            };
            let all = services.into_iter().map(rates);
            all.filter(|rates| !rates.keys.is_empty()).collect()
        })
    }
}

fn wire_rate(rate: &bay_call::HotKeyRate) -> bay_wire::HotKeyRate {
    bay_wire::HotKeyRate { key: rate.key, per_second: rate.rate.round() as u32 }
}
