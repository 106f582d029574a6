use bay_time::Time;
use bay_types::{NodeId, ServiceName, Term, ZoneName};

use crate::clock_bounds::lease_ends;
use crate::owner::Owner;
use crate::service_state::ServiceState;
use crate::{Holder, Mandate, OwnerMessage, OwnerMessageBody, OwnerOutput};

impl Owner {
    /// Emits a message to the owner of another steward.
    pub(crate) fn send_message(
        &mut self,
        to: Holder,
        service: ServiceName,
        zone: ZoneName,
        term: Term,
        body: OwnerMessageBody,
        out: &mut Vec<OwnerOutput>,
    ) {
        let from = self.config.incarnation;
        let message = OwnerMessage { to: to.incarnation, from, service, zone, term, body };
        out.push(OwnerOutput::PeerMessage { to: to.node, message });
    }

    /// Applies a message of another steward; ignores one that is meant for another process.
    pub(crate) fn handle_peer_message(
        &mut self,
        now: Time,
        from: NodeId,
        message: OwnerMessage,
        out: &mut Vec<OwnerOutput>,
    ) {
        if message.to != self.config.incarnation {
            return;
        }
        let sender = Holder { node: from, incarnation: message.from };
        let (service, zone, term) = (message.service, message.zone, message.term);
        match message.body {
            OwnerMessageBody::Mandate(mandate) => {
                self.handle_mandate(now, sender, (service, zone, term), mandate, out);
            }
            OwnerMessageBody::StepDown => {
                self.handle_step_down(now, sender, (service, zone, term), out)
            }
            OwnerMessageBody::DeputyReport(report) => {
                let Some(service) = self.services.get_mut(&service) else { return };
                let Some(keeper) = service.keepers.get_mut(&zone) else { return };
                if keeper.record.number == term && keeper.record.deputy == Some(sender) {
                    keeper.mandates.handle_report(now, &report);
                    service.dirty = true;
                }
            }
            OwnerMessageBody::SteppedDown(leases) => {
                let Some(service) = self.services.get_mut(&service) else { return };
                let Some(keeper) = service.keepers.get_mut(&zone) else { return };
                if keeper.record.number == term {
                    keeper.mark_former_ended(now, sender, &lease_ends(now, &leases));
                    service.dirty = true;
                }
            }
        }
    }

    fn handle_mandate(
        &mut self,
        now: Time,
        sender: Holder,
        (service, zone, term): (ServiceName, ZoneName, Term),
        mandate: Mandate,
        out: &mut Vec<OwnerOutput>,
    ) {
        let deputies = self.services.get_mut(&service).map(|service| &mut service.deputies);
        let deputy = deputies.and_then(|deputies| deputies.get_mut(&zone));
        let Some(deputy) = deputy.filter(|d| d.term == term && d.keeper == sender) else {
            return;
        };
        let report = deputy.handle_mandate(now, mandate);
        self.send_message(sender, service, zone, term, OwnerMessageBody::DeputyReport(report), out);
    }

    /// Ends the roles of this process in all terms before the sender's, and confirms that.
    fn handle_step_down(
        &mut self,
        now: Time,
        sender: Holder,
        (name, zone, term): (ServiceName, ZoneName, Term),
        out: &mut Vec<OwnerOutput>,
    ) {
        let service = self.services.entry(name).or_insert_with(|| ServiceState::new(name));
        if service.keepers.get(&zone).is_some_and(|keeper| keeper.record.number < term) {
            service.end_keeper(zone);
        }
        if service.deputies.get(&zone).is_some_and(|deputy| deputy.term < term) {
            service.end_deputy(now, zone);
        }
        let slot = service.terms.entry(zone).or_default();
        slot.ended_before = slot.ended_before.max(term);
        let leases = service.remaining_leases(now, zone);
        out.push(OwnerOutput::Count("own.term.ended"));
        self.send_message(sender, name, zone, term, OwnerMessageBody::SteppedDown(leases), out);
    }
}
