use std::time::Duration;

use bay_conf::{ServiceDoc, ZoneDoc};
use bay_own::{CallId, OwnerInput};
use bay_store::{Object, ObjectKey, StoreError, StoreReply, StoreRequest};
use bay_types::{Incarnation, ServiceName};
use rand::RngExt;

use super::{Endpoint, Event, LIST_PERIOD, OwnershipSim, STORE_TIMEOUT, StoreMode};

impl OwnershipSim {
    /// Sends a call to the store. If no reply can follow, also schedules the error that the
    /// steward gets instead.
    pub(super) fn send_store_call(
        &mut self,
        index: usize,
        incarnation: Incarnation,
        id: CallId,
        request: StoreRequest,
    ) {
        let kind = match &request {
            StoreRequest::Put { key, .. } if key.as_str().starts_with(ObjectKey::TERMS) => {
                "store put term"
            }
            StoreRequest::Put { .. } => "store put shard",
            StoreRequest::Get { .. } => "store get",
            _ => "store list",
        };
        self.count(kind, 1);
        let endpoints = (Endpoint::Steward(index), Endpoint::Store);
        let delay = self.network.delay(&mut self.rng, endpoints.0, endpoints.1);
        let (delay, has_reply) = match (self.store_mode, delay) {
            (_, None) | (StoreMode::Down, _) => {
                let input = OwnerInput::Store { id, result: Err(StoreError::Unreachable) };
                let at = self.now + Duration::from_millis(20);
                self.schedule(at, Event::Input(index, incarnation, Box::new(input)));
                return;
            }
            (StoreMode::Up, Some(delay)) => (delay, true),
            (StoreMode::Slow(slow), Some(delay)) => (delay + slow, delay + slow < STORE_TIMEOUT),
            (StoreMode::RepliesLost, Some(delay)) => (delay, false),
            (StoreMode::DelayedEffect(late), Some(_)) => (late, false),
        };
        if !has_reply {
            let input = OwnerInput::Store { id, result: Err(StoreError::Unknown) };
            let at = self.now + STORE_TIMEOUT;
            self.schedule(at, Event::Input(index, incarnation, Box::new(input)));
        }
        let event = Event::StoreCall(index, incarnation, id, request, has_reply);
        self.schedule(self.now + delay, event);
    }

    /// Applies a call at the store and sends the reply, unless it is lost.
    pub(super) fn run_store_call(
        &mut self,
        index: usize,
        incarnation: Incarnation,
        id: CallId,
        request: StoreRequest,
        has_reply: bool,
    ) {
        let result = self.store.call(request);
        self.publish_changes();
        if has_reply {
            let at = self.now + Duration::from_micros(self.rng.random_range(500..3_000));
            let input = OwnerInput::Store { id, result };
            self.schedule(at, Event::Input(index, incarnation, Box::new(input)));
        }
    }

    /// Passes new changes of the store to the checker and to the watch of each steward.
    pub(super) fn publish_changes(&mut self) {
        let since = self.seen_revision;
        let watch = StoreRequest::Watch { prefix: String::new(), since, wait: Duration::ZERO };
        let Ok(StoreReply::Changes(body)) = self.store.call(watch) else {
            return;
        };
        self.seen_revision = body.revision;
        for change in body.changes {
            let Some(text) = change.body else { continue };
            let object = Object { key: change.key, revision: change.revision, body: text };
            self.check_write(&object);
            for index in 0..self.stewards.len() {
                self.notify_steward(index, &object);
            }
        }
    }

    /// Passes a written object to the checker if it is under a service's assignments.
    pub(super) fn check_write(&mut self, object: &Object) {
        let path = object.key.as_str().strip_prefix(ObjectKey::ASSIGNMENTS);
        let name = path.and_then(|path| path.split('/').next());
        if let Some(Ok(service)) = name.map(ServiceName::new) {
            self.checker.check_write(service, object);
        }
    }

    /// Sends an object to one steward, as its watch of the store does.
    pub(super) fn notify_steward(&mut self, index: usize, object: &Object) {
        let is_down = matches!(self.store_mode, StoreMode::Down);
        let delay = self.network.delay(&mut self.rng, Endpoint::Store, Endpoint::Steward(index));
        let Some(delay) = delay.filter(|_| !is_down) else {
            return;
        };
        let input = self.input_from_object(object);
        let incarnation = self.stewards[index].incarnation;
        self.schedule(self.now + delay, Event::Input(index, incarnation, Box::new(input)));
    }

    /// Returns the input by which an owner learns of a service document, a zone or another object.
    pub(super) fn input_from_object(&self, object: &Object) -> OwnerInput {
        let revision = object.revision;
        let key = object.key.as_str();
        let parsed = ServiceDoc::parse(key, object.body.as_bytes());
        if let (true, Ok(doc)) = (key.starts_with(ObjectKey::SERVICES), parsed) {
            return OwnerInput::Document { service: doc.name, revision, doc: Some(doc) };
        }
        let parsed = ZoneDoc::parse(key, object.body.as_bytes());
        if let (true, Ok(doc)) = (key.starts_with(ObjectKey::ZONES), parsed) {
            return OwnerInput::Zone { zone: doc.zone, revision, state: doc.state };
        }
        OwnerInput::StoreObject(object.clone())
    }

    /// Sends every object in the store to every steward, in case a watch has lost a change.
    pub(super) fn list_store(&mut self) {
        self.schedule(self.now + LIST_PERIOD, Event::ListStore);
        let list = StoreRequest::List { prefix: String::new() };
        let Ok(StoreReply::Objects(body)) = self.store.call(list) else {
            return;
        };
        for object in &body.objects {
            for index in 0..self.stewards.len() {
                self.notify_steward(index, object);
            }
        }
    }
}
