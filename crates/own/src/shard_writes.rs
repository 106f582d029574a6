use std::time::Duration;

use bay_store::{ObjectKey, Precondition, StoreError, StoreReply, StoreRequest, StoreResult};
use bay_time::Time;
use bay_types::{Revision, ServiceName, Token};

use crate::loads::Loads;
use crate::owner::Owner;
use crate::shard_slot::ShardSlot;
use crate::store_call::StoreCall;
use crate::{OwnerOutput, Shard};

/// Delay before the next attempt after a failed store call.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Owner {
    /// Reads or writes the shards of every service for which work is due.
    pub(crate) fn write_shards(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        if self.stopping {
            return;
        }
        let names: Vec<ServiceName> = self.services.keys().copied().collect();
        for name in names {
            let is_planner = self.stewards.planner(name) == Some(self.holder());
            let Some(service) = self.services.get_mut(&name) else { continue };
            let due = service.dirty || (is_planner && now >= service.planner.next_plan());
            if service.doc.is_none() || !due || (!is_planner && service.keepers.is_empty()) {
                continue;
            }
            let is_waiting = |slot: &ShardSlot| slot.call_in_flight || now < slot.retry_at;
            if service.shards.iter().all(is_waiting) {
                continue;
            }
            service.dirty = service.shards.iter().any(is_waiting);
            self.write_service_shards(now, name, is_planner, out);
        }
    }

    fn write_service_shards(
        &mut self,
        now: Time,
        name: ServiceName,
        is_planner: bool,
        out: &mut Vec<OwnerOutput>,
    ) {
        let zones_out = self.zones_out();
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        let plan_due = is_planner && now >= service.planner.next_plan();
        if plan_due {
            service.planner.record_plan(now);
        }
        let (servers, all_up) = service.eligible_servers(&self.stewards, &zones_out);
        let mut limits = service.plan_limits(all_up);
        let rules = service.doc.as_ref().and_then(|doc| doc.keyed_rules());
        let Some(layout) = rules.map(|rules| rules.layout) else {
            return;
        };
        // The loads borrow the rates while the service is borrowed mutably.
        let rates = std::mem::take(&mut service.rates);
        let mut loads = Loads::new(servers, &service.shards, &rates, layout.ranges());
        let mut calls = Vec::new();
        for index in 0..service.shards.len() {
            let slot = &service.shards[index];
            if slot.call_in_flight || now < slot.retry_at {
                continue;
            }
            let number = index as u32;
            if slot.needs_read {
                calls.push((number, None));
            } else if slot.shard().is_none() {
                let first = Shard::new(layout, number, Token(self.highest_revision.0));
                calls.push((number, Some((first, Precondition::Absent))));
            } else {
                let precondition = Precondition::Revision(slot.revision);
                let limits = plan_due.then_some(&mut limits);
                if let Some(next) = service.next_shard(now, index, &mut loads, limits) {
                    calls.push((number, Some((next, precondition))));
                }
            }
        }
        drop(loads);
        service.rates = rates;
        for (index, write) in calls {
            self.send_shard_call(now, name, index, write, out);
        }
    }

    fn send_shard_call(
        &mut self,
        now: Time,
        service: ServiceName,
        index: u32,
        write: Option<(Shard, Precondition)>,
        out: &mut Vec<OwnerOutput>,
    ) {
        let Some(service_state) = self.services.get_mut(&service) else {
            return;
        };
        let Some(slot) = service_state.shards.get_mut(index as usize) else {
            return;
        };
        slot.call_in_flight = true;
        let key = ObjectKey::assignment(service, index);
        let Some((shard, precondition)) = write else {
            let call = StoreCall::GetShard { service, index };
            self.call_store(call, StoreRequest::Get { key }, out);
            return;
        };
        slot.record_write(shard.clone());
        service_state.refresh_keepers(now);
        let body = shard.to_text();
        let call = StoreCall::PutShard { service, index, shard: Box::new(shard) };
        self.call_store(call, StoreRequest::Put { key, body, precondition }, out);
    }

    /// Applies a shard if it is newer and fits the service's slice layout.
    pub(crate) fn apply_shard(
        &mut self,
        now: Time,
        name: ServiceName,
        index: u32,
        revision: Revision,
        shard: Shard,
        out: &mut Vec<OwnerOutput>,
    ) {
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        let rules = service.doc.as_ref().and_then(|doc| doc.keyed_rules());
        let Some(layout) = rules.map(|rules| rules.layout) else {
            return;
        };
        let expected = Shard::new(layout, index, Token(0));
        if shard.rows.len() != expected.rows.len() || shard.first != expected.first {
            out.push(OwnerOutput::Count("own.shard.other-slices"));
            return;
        }
        let Some(slot) = service.shards.get_mut(index as usize) else {
            return;
        };
        let known = slot.revision;
        if slot.update(revision, shard) {
            service.refresh_keepers(now);
        } else if revision < known {
            out.push(OwnerOutput::Count("own.shard.stale"));
        }
    }

    pub(crate) fn handle_shard_read(
        &mut self,
        now: Time,
        name: ServiceName,
        index: u32,
        result: StoreResult,
        out: &mut Vec<OwnerOutput>,
    ) {
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        service.dirty = true;
        let Some(slot) = service.shards.get_mut(index as usize) else {
            return;
        };
        slot.call_in_flight = false;
        match result {
            Ok(StoreReply::Object(object)) => {
                slot.needs_read = false;
                if let Some(object) = object {
                    self.apply_object(now, &object, out);
                }
            }
            _ => slot.retry_at = now + STORE_RETRY_DELAY,
        }
    }

    pub(crate) fn handle_shard_write(
        &mut self,
        now: Time,
        name: ServiceName,
        index: u32,
        shard: Shard,
        result: StoreResult,
        out: &mut Vec<OwnerOutput>,
    ) {
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        service.dirty = true;
        let Some(slot) = service.shards.get_mut(index as usize) else {
            return;
        };
        slot.call_in_flight = false;
        match result {
            Ok(StoreReply::Written(revision)) => {
                self.highest_revision = self.highest_revision.max(revision);
                slot.update(revision, shard);
                service.refresh_keepers(now);
            }
            Ok(StoreReply::Conflict(object)) => {
                slot.discard_last_write();
                slot.needs_read = object.is_none();
                out.push(OwnerOutput::Count("own.shard.conflict"));
                if let Some(object) = object {
                    self.apply_object(now, &object, out);
                }
            }
            Err(error) if !error.may_have_taken_effect() => {
                slot.discard_last_write();
                slot.retry_at = now + STORE_RETRY_DELAY;
                if error == StoreError::Rejected {
                    out.push(OwnerOutput::Count("own.shard.rejected"));
                }
                service.refresh_keepers(now);
            }
            _ => {
                slot.needs_read = true;
                slot.retry_at = now + STORE_RETRY_DELAY;
                out.push(OwnerOutput::Count("own.shard.unsettled"));
            }
        }
    }
}
