use std::time::Duration;

use bay_store::{ObjectKey, Precondition, StoreReply, StoreRequest, StoreResult};
use bay_time::Time;
use bay_types::{Revision, ServiceName, Term, ZoneName};

use crate::clock_bounds::hold_time;
use crate::deputy::Deputy;
use crate::keeper::Keeper;
use crate::owner::Owner;
use crate::service_state::ServiceState;
use crate::shard_writes::STORE_RETRY_DELAY;
use crate::store_call::StoreCall;
use crate::term_action::TermAction;
use crate::{Holder, OwnerOutput, TermRecord};

/// Time between two renewals of a term.
pub(crate) const TERM_RENEWAL: Duration = Duration::from_secs(5);

impl Owner {
    /// Takes the next action on every term of every service.
    pub(crate) fn check_terms(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        for service in self.services.values_mut() {
            for keeper in service.keepers.values_mut() {
                keeper.mark_replaced_formers(now, &self.stewards);
            }
        }
        let names: Vec<ServiceName> = self.services.keys().copied().collect();
        for name in names {
            let zones = self.services.get(&name).map(ServiceState::zones).unwrap_or_default();
            for zone in zones {
                match self.next_term_action(now, name, zone) {
                    TermAction::Wait => {}
                    TermAction::Read => self.list_term(name, zone, out),
                    TermAction::TakeOver => self.take_over_term(now, name, zone, out),
                    TermAction::Renew => self.renew_term(now, name, zone, out),
                    TermAction::HandOver(to) => self.hand_over(now, name, zone, to, out),
                }
            }
        }
    }

    fn list_term(&mut self, service: ServiceName, zone: ZoneName, out: &mut Vec<OwnerOutput>) {
        let Some(slot) = self.services.get_mut(&service).and_then(|s| s.terms.get_mut(&zone))
        else {
            return;
        };
        slot.call_in_flight = true;
        let prefix = ObjectKey::term(service, zone).as_str().to_owned();
        self.call_store(StoreCall::ListTerm { service, zone }, StoreRequest::List { prefix }, out);
    }

    pub(crate) fn handle_term_list(
        &mut self,
        now: Time,
        service: ServiceName,
        zone: ZoneName,
        result: StoreResult,
        out: &mut Vec<OwnerOutput>,
    ) {
        let key = ObjectKey::term(service, zone);
        if let Ok(StoreReply::Objects(body)) = &result {
            self.highest_revision = self.highest_revision.max(body.revision);
            if let Some(object) = body.objects.iter().find(|object| object.key == key) {
                self.apply_object(now, object, out);
            }
        }
        let Some(slot) = self.services.get_mut(&service).and_then(|s| s.terms.get_mut(&zone))
        else {
            return;
        };
        slot.call_in_flight = false;
        match result {
            Ok(StoreReply::Objects(body)) => {
                slot.needs_read = false;
                slot.absent = body.objects.iter().all(|object| object.key != key);
                slot.confirmed_at.get_or_insert(now);
            }
            _ => {
                slot.confirmed_at = None;
                slot.retry_at = now + STORE_RETRY_DELAY;
            }
        }
        self.next_term_check = now;
    }

    /// Writes a new term with this process as its keeper.
    fn take_over_term(
        &mut self,
        now: Time,
        name: ServiceName,
        zone: ZoneName,
        out: &mut Vec<OwnerOutput>,
    ) {
        let me = self.holder();
        let deputy = self.stewards.deputy_candidates(name, zone, me).first().copied();
        let highest = self.highest_revision.0;
        let Some(service) = self.services.get(&name) else {
            return;
        };
        let Some(rules) = service.doc.as_ref().and_then(|doc| doc.keyed_rules()) else {
            return;
        };
        let previous = service.terms.get(&zone).and_then(|slot| slot.record.as_ref());
        let last = previous.map_or(highest, |record| record.number.0);
        let number = Term(last + 1);
        let former = previous.map(|record| record.former_holders(number, None)).unwrap_or_default();
        let record = TermRecord {
            nonce: 0,
            number,
            since: number,
            keeper: me,
            deputy,
            renewals: 0,
            lease_ms: rules.lease.as_millis() as u64,
            hold_ms: hold_time(rules).as_millis() as u64,
            former: former.into_iter().filter(|former| former.holder != me).collect(),
        };
        out.push(OwnerOutput::Count("own.term.taken"));
        self.put_term(now, name, zone, record, out);
    }

    /// Renews a term that this process keeps; replaces a deputy that is down or silent.
    fn renew_term(
        &mut self,
        now: Time,
        name: ServiceName,
        zone: ZoneName,
        out: &mut Vec<OwnerOutput>,
    ) {
        let me = self.holder();
        let candidates = self.stewards.deputy_candidates(name, zone, me);
        let Some(service) = self.services.get(&name) else {
            return;
        };
        let Some(keeper) = service.keepers.get(&zone) else {
            return;
        };
        let mut record = keeper.record.clone();
        if let Some(rules) = service.doc.as_ref().and_then(|doc| doc.keyed_rules()) {
            record.lease_ms = rules.lease.as_millis() as u64;
            record.hold_ms = hold_time(rules).as_millis() as u64;
        }
        record.renewals += 1;
        if keeper.all_servers_at_term() {
            record.former.clear();
        }
        let silent = keeper.installed && keeper.mandates.is_silent(now, keeper.interval());
        let is_working = |holder: Holder| self.stewards.is_alive(holder) && !silent;
        if !record.deputy.is_some_and(is_working) {
            let other = candidates.iter().find(|other| Some(**other) != record.deputy).copied();
            if other.is_some() {
                record.change_deputy(other);
                out.push(OwnerOutput::Count("own.deputy.changed"));
            }
        }
        self.put_term(now, name, zone, record, out);
    }

    /// Steps down as keeper and writes a term with the successor.
    fn hand_over(
        &mut self,
        now: Time,
        name: ServiceName,
        zone: ZoneName,
        to: Holder,
        out: &mut Vec<OwnerOutput>,
    ) {
        let me = self.holder();
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        // The keeper ends first: this process must send no order after the write.
        service.end_keeper(zone);
        let record = service.terms.get(&zone).and_then(|slot| slot.record.as_ref());
        let Some(previous) = record else {
            return;
        };
        let number = Term(previous.number.0 + 1);
        let mut record = previous.clone();
        record.former = previous.former_holders(number, Some(me));
        record.number = number;
        record.since = number;
        record.keeper =
            previous.deputy.filter(|deputy| self.stewards.is_alive(*deputy)).unwrap_or(to);
        record.deputy = None;
        out.push(OwnerOutput::Count("own.term.handed-over"));
        self.put_term(now, name, zone, record, out);
    }

    fn put_term(
        &mut self,
        now: Time,
        service: ServiceName,
        zone: ZoneName,
        mut record: TermRecord,
        out: &mut Vec<OwnerOutput>,
    ) {
        record.nonce = self.next_nonce();
        let nonce = record.nonce;
        let Some(slot) = self.services.get_mut(&service).and_then(|s| s.terms.get_mut(&zone))
        else {
            return;
        };
        slot.record_write(now, nonce);
        let precondition = match slot.absent {
            true => Precondition::Absent,
            false => Precondition::Revision(slot.revision),
        };
        let key = ObjectKey::term(service, zone);
        let body = record.to_text();
        let call = StoreCall::PutTerm { service, zone, nonce, record: Box::new(record) };
        self.call_store(call, StoreRequest::Put { key, body, precondition }, out);
    }

    pub(crate) fn handle_term_write(
        &mut self,
        now: Time,
        (service, zone): (ServiceName, ZoneName),
        nonce: u64,
        record: TermRecord,
        result: StoreResult,
        out: &mut Vec<OwnerOutput>,
    ) {
        let Some(slot) = self.services.get_mut(&service).and_then(|s| s.terms.get_mut(&zone))
        else {
            return;
        };
        slot.call_in_flight = false;
        match result {
            Ok(StoreReply::Written(revision)) => {
                self.highest_revision = self.highest_revision.max(revision);
                self.apply_term(now, service, zone, revision, record, out);
            }
            Ok(StoreReply::Conflict(object)) => {
                slot.discard_write(nonce);
                slot.needs_read = object.is_none();
                out.push(OwnerOutput::Count("own.term.conflict"));
                if let Some(object) = object {
                    self.apply_object(now, &object, out);
                }
            }
            Err(error) if !error.may_have_taken_effect() => {
                slot.discard_write(nonce);
                slot.retry_at = now + STORE_RETRY_DELAY;
            }
            _ => {
                slot.needs_read = true;
                slot.retry_at = now + STORE_RETRY_DELAY;
                out.push(OwnerOutput::Count("own.term.unsettled"));
            }
        }
    }

    /// Applies a term record if it is newer, and starts or ends the roles that it implies.
    pub(crate) fn apply_term(
        &mut self,
        now: Time,
        name: ServiceName,
        zone: ZoneName,
        revision: Revision,
        record: TermRecord,
        out: &mut Vec<OwnerOutput>,
    ) {
        let service = self.services.entry(name).or_insert_with(|| ServiceState::new(name));
        let slot = service.terms.entry(zone).or_default();
        let known = slot.revision;
        if !slot.update(now, revision, record.clone()) {
            if revision < known {
                out.push(OwnerOutput::Count("own.term.stale"));
            }
            return;
        }
        let write_sent_at = slot.resolve_writes();
        service.dirty = true;
        let ended = record.number < slot.ended_before;
        if ended {
            return;
        }
        self.update_keeper(now, name, zone, &record, write_sent_at);
        self.update_deputy(now, name, zone, &record);
    }

    /// Starts, renews or ends the keeper role of this process after a new record.
    fn update_keeper(
        &mut self,
        now: Time,
        name: ServiceName,
        zone: ZoneName,
        record: &TermRecord,
        write_sent_at: Option<Time>,
    ) {
        let me = self.holder();
        let node = me.node;
        let stopping = self.stopping;
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        let same = service.keepers.get(&zone).is_some_and(|k| k.record.since == record.since);
        match write_sent_at.filter(|_| record.keeper == me) {
            Some(sent) if same => {
                if let Some(keeper) = service.keepers.get_mut(&zone) {
                    keeper.renew(now, record.clone(), sent);
                    keeper.next_renewal = now + TERM_RENEWAL;
                }
            }
            Some(sent) if !stopping => {
                service.end_keeper(zone);
                let record = record.clone();
                let mut keeper = Keeper::new(node, zone, record, sent, now);
                keeper.next_renewal = now + TERM_RENEWAL;
                service.keepers.insert(zone, keeper);
                service.refresh_keepers(now);
            }
            _ => {
                service.end_keeper(zone);
            }
        }
        self.next_term_check = now;
    }

    /// Starts, keeps or ends the deputy role of this process after a new record.
    fn update_deputy(&mut self, now: Time, name: ServiceName, zone: ZoneName, record: &TermRecord) {
        let me = self.holder();
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        let same = service.deputies.get(&zone).is_some_and(|deputy| deputy.term == record.number);
        if same && record.deputy == Some(me) {
            return;
        }
        // The deputy of the previous term continues until the new keeper asks it to step down, or
        // the servers reject its orders.
        let is_deputy = record.deputy == Some(me);
        let must_end =
            is_deputy || service.deputies.get(&zone).is_some_and(|d| d.keeper == record.keeper);
        if must_end {
            service.end_deputy(now, zone);
        }
        if is_deputy {
            let rules = service.doc.as_ref().and_then(|doc| doc.keyed_rules());
            let fenced = rules.is_none_or(|rules| rules.fenced);
            let deputy = Deputy::new(me.node, record.keeper, record.number, fenced, now);
            service.deputies.insert(zone, deputy);
        }
    }
}
