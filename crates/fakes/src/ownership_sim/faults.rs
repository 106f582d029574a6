use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bay_conf::{ServiceDoc, ZoneDoc, ZoneState};
use bay_own::{KeyRate, OwnerInput, RouteTable, Shard, SliceRate};
use bay_store::{ObjectKey, StoreReply, StoreRequest};
use bay_time::Time;
use bay_types::{Incarnation, NodeId, ServerName, ServiceName, ZoneName};

use super::{
    Endpoint, Event, OwnershipSim, ServerNode, StewardNode, StoreMode, expect_written, new_server,
    precondition_for, random_clock,
};

impl OwnershipSim {
    /// Starts a new steward and returns its index.
    pub fn add_steward(&mut self, zone: ZoneName) -> usize {
        let index = self.stewards.len();
        let mut steward = StewardNode {
            node: NodeId(index as u64 + 1),
            zone,
            incarnation: Incarnation(0),
            clock: random_clock(&mut self.rng),
            owner: None,
            is_leaving: false,
            is_paused: false,
            inbox: VecDeque::new(),
            wake_at: self.now,
        };
        steward.start(self.now, self.seed);
        self.stewards.push(steward);
        self.schedule(self.now, Event::Wake(index));
        index
    }

    /// Writes a service document and starts the servers whose addresses are new.
    ///
    /// # Panics
    /// Panics if the document is invalid or not of a keyed service.
    pub fn apply_document(&mut self, document: &str) {
        let parsed = ServiceDoc::parse("document", document.as_bytes());
        let doc = parsed.unwrap_or_else(|mistakes| panic!("{mistakes:?}"));
        self.write(ObjectKey::service(doc.name), document.to_owned());
        let rules = doc.keyed_rules().expect("a keyed service");
        let fenced = rules.fenced;
        self.tables.entry(doc.name).or_insert_with(|| RouteTable::new(rules.layout));
        for server in &doc.servers {
            if self.servers.iter().any(|known| known.address == server.address) {
                continue;
            }
            let node = ServerNode {
                service: doc.name,
                name: server.name,
                zone: server.zone,
                address: server.address,
                fenced,
                clock: random_clock(&mut self.rng),
                server: new_server(1, fenced),
                boot: 1,
                is_up: true,
                is_paused: false,
                inbox: VecDeque::new(),
            };
            self.servers.push(node);
        }
        self.docs.insert(doc.name, doc);
    }

    /// Takes a zone out of service or back in.
    ///
    /// # Panics
    /// Panics if the zone name is invalid.
    pub fn set_zone_state(&mut self, zone: &str, state: ZoneState) {
        let zone = ZoneName::new(zone).expect("a zone's name");
        let doc = ZoneDoc { zone, state, operator: String::from("driver") };
        self.write(ObjectKey::zone(zone), doc.to_text());
    }

    /// Replaces the zones in which the checker reports any grant as a violation.
    pub fn forbid_grants(&mut self, zones: &[&str]) {
        let names = zones.iter().filter_map(|zone| ZoneName::new(zone).ok());
        self.checker.forbid_grants(names.collect::<BTreeSet<_>>());
    }

    fn write(&mut self, key: ObjectKey, body: String) {
        let precondition =
            precondition_for(self.store.call(StoreRequest::Get { key: key.clone() }));
        expect_written(self.store.call(StoreRequest::Put { key, body, precondition }));
        self.publish_changes();
    }

    /// Sets the behaviour of the store.
    pub fn set_store_mode(&mut self, mode: StoreMode) {
        self.store_mode = mode;
    }

    /// Returns the number of stewards, killed ones included.
    pub fn steward_count(&self) -> usize {
        self.stewards.len()
    }

    /// Returns the number of servers, killed ones included.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Kills a steward process.
    pub fn kill_steward(&mut self, index: usize) {
        self.stewards[index].owner = None;
        self.stewards[index].is_paused = false;
    }

    /// Starts a steward process with a new incarnation.
    pub fn start_steward(&mut self, index: usize) {
        let seed = self.seed;
        self.stewards[index].start(self.now, seed);
        self.schedule(self.now, Event::Wake(index));
    }

    /// Asks a steward process to stop after it has handed over its roles.
    pub fn stop_steward(&mut self, index: usize) {
        self.stewards[index].is_leaving = true;
        let incarnation = self.stewards[index].incarnation;
        self.deliver_input(index, incarnation, OwnerInput::Stop);
    }

    /// Returns whether a stopping steward has handed over all its roles, or is down.
    pub fn is_steward_stopped(&self, index: usize) -> bool {
        self.stewards[index].owner.as_ref().is_none_or(|owner| owner.is_stopped())
    }

    /// Pauses a steward process; its inputs wait.
    pub fn pause_steward(&mut self, index: usize) {
        self.stewards[index].is_paused = true;
    }

    /// Resumes a paused steward process with the inputs that arrived meanwhile.
    pub fn resume_steward(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        steward.is_paused = false;
        steward.wake_at = self.now;
        let incarnation = steward.incarnation;
        let inbox = std::mem::take(&mut steward.inbox);
        self.schedule(self.now, Event::Wake(index));
        for input in inbox {
            self.deliver_input(index, incarnation, input);
        }
    }

    /// Kills a server process.
    pub fn kill_server(&mut self, index: usize) {
        self.servers[index].is_up = false;
        self.servers[index].is_paused = false;
    }

    /// Restarts a server process, which then owns no slice.
    pub fn start_server(&mut self, index: usize) {
        self.servers[index].start();
    }

    /// Pauses a server process; its orders wait.
    pub fn pause_server(&mut self, index: usize) {
        self.servers[index].is_paused = true;
    }

    /// Resumes a paused server process with the orders that arrived meanwhile.
    pub fn resume_server(&mut self, index: usize) {
        self.servers[index].is_paused = false;
        let inbox = std::mem::take(&mut self.servers[index].inbox);
        for (call, order) in inbox {
            self.deliver_order(index, call, order);
        }
    }

    /// Drops all messages between two processes, in both directions.
    pub fn cut(&mut self, left: Endpoint, right: Endpoint) {
        self.network.cut(left, right);
        self.network.cut(right, left);
    }

    /// Returns the indices of the stewards of a zone.
    pub fn stewards_in(&self, zone: &str) -> Vec<usize> {
        let all = self.stewards.iter().enumerate();
        all.filter(|(_, steward)| steward.zone.as_str() == zone).map(|(index, _)| index).collect()
    }

    /// Returns the indices of the servers of a zone.
    pub fn servers_in(&self, zone: &str) -> Vec<usize> {
        let all = self.servers.iter().enumerate();
        all.filter(|(_, server)| server.zone.as_str() == zone).map(|(index, _)| index).collect()
    }

    /// Returns the index of the steward that the term object names as keeper, or as deputy if
    /// `deputy` is set.
    pub fn term_holder(
        &mut self,
        service: ServiceName,
        zone: ZoneName,
        deputy: bool,
    ) -> Option<usize> {
        let key = ObjectKey::term(service, zone);
        let Ok(StoreReply::Object(Some(object))) = self.store.call(StoreRequest::Get { key })
        else {
            return None;
        };
        let record = bay_own::TermRecord::parse(&object)?;
        let holder = if deputy { record.deputy? } else { record.keeper };
        self.stewards.iter().position(|steward| steward.node == holder.node)
    }

    /// Reports the request rates of one gate to every steward.
    pub fn report_rates(&mut self, service: ServiceName, keys: &[KeyRate], slices: &[SliceRate]) {
        for index in 0..self.stewards.len() {
            let input = OwnerInput::Rates {
                service,
                total: 0,
                gate: NodeId(1_000),
                keys: keys.to_vec(),
                slices: slices.to_vec(),
            };
            let incarnation = self.stewards[index].incarnation;
            self.deliver_input(index, incarnation, input);
        }
    }

    /// Returns the shards of a service in the store.
    pub fn shards(&mut self, service: ServiceName) -> Vec<Shard> {
        let prefix = format!("{}{service}/", ObjectKey::ASSIGNMENTS);
        match self.store.call(StoreRequest::List { prefix }) {
            Ok(StoreReply::Objects(body)) => body.objects.iter().filter_map(Shard::parse).collect(),
            _ => Vec::new(),
        }
    }

    /// Returns the number of slices that each server owns by its own clock and lease.
    pub fn owned_slice_counts(&mut self) -> Vec<(ServerName, usize)> {
        let now: Time = self.now;
        self.servers
            .iter_mut()
            .map(|server| (server.name, server.owned_slices(now).len()))
            .collect()
    }

    /// Ends the faults of the network and the store, restarts killed processes, resumes paused
    /// ones, and runs for `span`. Zones stay in or out of service as they are.
    pub fn heal(&mut self, span: Duration) {
        self.network.clear_cuts();
        self.network.loss_one_in = 0;
        self.network.late_one_in = 0;
        self.set_store_mode(StoreMode::Up);
        for index in 0..self.stewards.len() {
            if self.stewards[index].owner.is_none() {
                self.start_steward(index);
            } else if self.stewards[index].is_paused {
                self.resume_steward(index);
            }
        }
        for index in 0..self.servers.len() {
            if !self.servers[index].is_up {
                self.start_server(index);
            } else if self.servers[index].is_paused {
                self.resume_server(index);
            }
        }
        self.run(span);
    }
}
