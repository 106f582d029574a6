use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bay_conf::{ServiceDoc, ZoneDoc, ZoneState};
use bay_own::{KeyRate, OwnerInput, RouteTable, Shard, SliceRate};
use bay_store::{ObjectKey, StoreReply, StoreRequest};
use bay_time::Time;
use bay_types::{Incarnation, NodeId, ServerName, ServiceName, ZoneName};

use super::{
    Event, OwnDriver, Place, ServerNode, StewardNode, StoreMode, expect_written, expectation,
    new_server, skewed,
};

impl OwnDriver {
    /// Adds a steward; returns its index.
    pub fn add_steward(&mut self, zone: ZoneName) -> usize {
        let index = self.stewards.len();
        let mut steward = StewardNode {
            node: NodeId(index as u64 + 1),
            zone,
            incarnation: Incarnation(0),
            clock: skewed(&mut self.rng),
            owner: None,
            leaving: false,
            paused: false,
            inbox: VecDeque::new(),
            wake: self.now,
        };
        steward.start(self.now, self.seed);
        self.stewards.push(steward);
        self.schedule(self.now, Event::Wake(index));
        index
    }

    /// Writes a service's document and starts the servers that it names for the first time.
    ///
    /// # Panics
    /// Panics if the document is not valid.
    pub fn apply(&mut self, document: &str) {
        let parsed = ServiceDoc::parse("document", document.as_bytes());
        let doc = parsed.unwrap_or_else(|mistakes| panic!("{mistakes:?}"));
        self.write(ObjectKey::service(doc.name), document.to_owned());
        let rules = doc.keyed().expect("a keyed service");
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
                clock: skewed(&mut self.rng),
                server: new_server(1, fenced),
                boot: 1,
                up: true,
                paused: false,
                inbox: VecDeque::new(),
            };
            self.servers.push(node);
        }
        self.docs.insert(doc.name, doc);
    }

    /// Takes a zone out or in.
    ///
    /// # Panics
    /// Panics if the name is not valid.
    pub fn set_zone(&mut self, zone: &str, state: ZoneState) {
        let zone = ZoneName::new(zone).expect("a zone's name");
        let doc = ZoneDoc { zone, state, operator: String::from("driver") };
        self.write(ObjectKey::zone(zone), doc.to_text());
    }

    /// From now on, the checker takes each grant in these zones for a violation.
    pub fn bar_zones(&mut self, zones: &[&str]) {
        let names = zones.iter().filter_map(|zone| ZoneName::new(zone).ok());
        self.checker.bar_zones(names.collect::<BTreeSet<_>>());
    }

    fn write(&mut self, key: ObjectKey, body: String) {
        let precondition = expectation(self.store.call(StoreRequest::Get { key: key.clone() }));
        expect_written(self.store.call(StoreRequest::Put { key, body, precondition }));
        self.tell_changes();
    }

    /// Sets how the store answers from now on.
    pub fn set_store(&mut self, mode: StoreMode) {
        self.store_mode = mode;
    }

    /// How many stewards there are.
    pub fn steward_count(&self) -> usize {
        self.stewards.len()
    }

    /// How many servers there are.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Ends a steward's process at once.
    pub fn kill_steward(&mut self, index: usize) {
        self.stewards[index].owner = None;
        self.stewards[index].paused = false;
    }

    /// Starts a steward's process anew.
    pub fn start_steward(&mut self, index: usize) {
        let seed = self.seed;
        self.stewards[index].start(self.now, seed);
        self.schedule(self.now, Event::Wake(index));
    }

    /// Asks a steward's process to stop.
    pub fn stop_steward(&mut self, index: usize) {
        self.stewards[index].leaving = true;
        let incarnation = self.stewards[index].incarnation;
        self.input(index, incarnation, OwnerInput::Stop);
    }

    /// Whether a steward that was asked to stop has handed everything over.
    pub fn steward_stopped(&self, index: usize) -> bool {
        self.stewards[index].owner.as_ref().is_none_or(|owner| owner.is_stopped())
    }

    /// Freezes a steward's process.
    pub fn pause_steward(&mut self, index: usize) {
        self.stewards[index].paused = true;
    }

    /// Lets a frozen steward's process go on with what came meanwhile.
    pub fn resume_steward(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        steward.paused = false;
        steward.wake = self.now;
        let incarnation = steward.incarnation;
        let inbox = std::mem::take(&mut steward.inbox);
        self.schedule(self.now, Event::Wake(index));
        for input in inbox {
            self.input(index, incarnation, input);
        }
    }

    /// Ends a server's process at once.
    pub fn kill_server(&mut self, index: usize) {
        self.servers[index].up = false;
        self.servers[index].paused = false;
    }

    /// Starts a server's process anew.
    pub fn start_server(&mut self, index: usize) {
        self.servers[index].start();
    }

    /// Freezes a server's process.
    pub fn pause_server(&mut self, index: usize) {
        self.servers[index].paused = true;
    }

    /// Lets a frozen server's process go on with what came meanwhile.
    pub fn resume_server(&mut self, index: usize) {
        self.servers[index].paused = false;
        let inbox = std::mem::take(&mut self.servers[index].inbox);
        for (call, order) in inbox {
            self.order(index, call, order);
        }
    }

    /// Cuts both directions between two processes.
    pub fn cut(&mut self, left: Place, right: Place) {
        self.network.cut(left, right);
        self.network.cut(right, left);
    }

    /// The stewards of a zone.
    pub fn stewards_in(&self, zone: &str) -> Vec<usize> {
        let all = self.stewards.iter().enumerate();
        all.filter(|(_, steward)| steward.zone.as_str() == zone).map(|(index, _)| index).collect()
    }

    /// The servers of a zone.
    pub fn servers_in(&self, zone: &str) -> Vec<usize> {
        let all = self.servers.iter().enumerate();
        all.filter(|(_, server)| server.zone.as_str() == zone).map(|(index, _)| index).collect()
    }

    /// The index of the steward that a term's object names as keeper or, failing that, deputy.
    pub fn holder_of(
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

    /// Tells every owner what a gate sends to a service.
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
            self.input(index, incarnation, input);
        }
    }

    /// A service's shards as the store has them.
    pub fn shards(&mut self, service: ServiceName) -> Vec<Shard> {
        let prefix = format!("{}{service}/", ObjectKey::ASSIGNMENTS);
        match self.store.call(StoreRequest::List { prefix }) {
            Ok(StoreReply::Objects(body)) => body.objects.iter().filter_map(Shard::parse).collect(),
            _ => Vec::new(),
        }
    }

    /// How many slices each server owns by its own clock and lease.
    pub fn owned(&mut self) -> Vec<(ServerName, usize)> {
        let now: Time = self.now;
        self.servers.iter_mut().map(|server| (server.name, server.owned(now).len())).collect()
    }

    /// Ends every fault and lets the processes settle.
    pub fn heal(&mut self, span: Duration) {
        self.network.mend();
        self.network.loss = 0;
        self.network.late = 0;
        self.set_store(StoreMode::Up);
        for index in 0..self.stewards.len() {
            if self.stewards[index].owner.is_none() {
                self.start_steward(index);
            } else if self.stewards[index].paused {
                self.resume_steward(index);
            }
        }
        for index in 0..self.servers.len() {
            if !self.servers[index].up {
                self.start_server(index);
            } else if self.servers[index].paused {
                self.resume_server(index);
            }
        }
        self.run(span);
    }
}
