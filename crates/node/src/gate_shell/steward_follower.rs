use std::sync::Arc;

use bay_gate::ApplyResult;
use bay_wire::{Item, ItemVersion, KeyVersion, LinkMessage, ServiceRates};

use super::shell_state::ShellState;
use crate::steward_link::StewardFollower;

/// Number of version reports per report of request rates.
const REPORTS_PER_RATES: u64 = 10;

impl StewardFollower for Arc<ShellState> {
    fn known_versions(&self) -> Vec<KeyVersion> {
        self.with_gate(|gate, _, _| {
            let versions = gate.versions().iter();
            versions.map(|(key, version)| KeyVersion { key: *key, version: *version }).collect()
        })
    }

    fn handle_message(&self, message: LinkMessage) -> Option<LinkMessage> {
        match message {
            LinkMessage::Items(items) => {
                let gaps = apply_items(self, &items);
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
        let mut reports = vec![LinkMessage::InForce(self.known_versions())];
        if self.next_report_number().is_multiple_of(REPORTS_PER_RATES) {
            reports.extend(self.rates().into_iter().map(LinkMessage::Rates));
        }
        reports
    }
}

/// Applies items. Returns those whose base version the gate does not have; they are requested in
/// full.
fn apply_items(shared: &ShellState, items: &[Item]) -> Vec<KeyVersion> {
    shared.with_gate(|gate, now, actions| {
        let mut gaps = Vec::new();
        for item in items {
            if gate.apply(now, item, actions) == ApplyResult::Gap {
                gaps.push(KeyVersion { key: item.key, version: ItemVersion::default() });
            }
        }
        gaps
    })
}

impl ShellState {
    /// Returns the request rates of the keyed services with hot keys.
    fn rates(&self) -> Vec<ServiceRates> {
        self.with_gate(|gate, now, _| {
            let services: Vec<_> = gate.keyed_services().collect();
            let rates = |service| ServiceRates {
                service,
                total_per_second: gate.keyed_rate(now, service).round() as u32,
                keys: gate.hot_keys(now, service).iter().map(to_wire_rate).collect(),
            };
            let all = services.into_iter().map(rates);
            all.filter(|rates| !rates.keys.is_empty()).collect()
        })
    }
}

fn to_wire_rate(rate: &bay_call::HotKeyRate) -> bay_wire::HotKeyRate {
    bay_wire::HotKeyRate { key: rate.key, per_second: rate.rate.round() as u32 }
}
