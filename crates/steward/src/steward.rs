use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_member::{
    LinkHandle, Member, MemberConfig, MemberState, Peers, PeersOutput, SeedNode, candidates,
    is_watcher,
};
use bay_own::{KeyRate, OrderId as OwnOrderId, OwnConfig, OwnInput, OwnOutput, Owner};
use bay_store::{Change, Host, Object, ObjectKey, StoreReply, StoreRequest, StoreResult};
use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{Item, LinkMessage, ServiceRates, decode, encode};

use crate::config_items::own_input;
use crate::store_calls::{Caller, StoreCalls};
use crate::views::{member_counter, steward_view, term_status};
use crate::{
    Input, LinkId, OrderId, Output, StatusId, StewardConfig, StewardDatagram, StoreWatch,
    WatchOutput, item_of_change, object_of_item,
};

/// Time between two readings of the platform's list of hosts.
const HOSTS_PERIOD: Duration = Duration::from_secs(30);
/// Time between two readings while no other steward is known.
const HOSTS_PERIOD_ALONE: Duration = Duration::from_secs(2);
/// Time between two choices of who watches the store.
const WATCHERS_PERIOD: Duration = Duration::from_secs(1);

/// Plans assignments, keeps leases and spreads configuration and maps.
#[derive(Debug)]
pub struct Steward {
    config: StewardConfig,
    peers: Peers,
    watch: StoreWatch,
    owner: Owner,
    calls: StoreCalls,
    members: BTreeMap<NodeId, Member>,
    asked: Vec<StatusId>,
    next_hosts: Time,
    next_watchers: Time,
    candidate: bool,
    stopping: bool,
}

impl Steward {
    /// A steward that knows nothing yet.
    pub fn new(config: StewardConfig, now: Time) -> Steward {
        let (node, zone, incarnation) = (config.node, config.zone, config.incarnation);
        let member = MemberConfig {
            node,
            zone,
            steward: config.address,
            gate: Some(config.gate),
            incarnation,
            seed: config.seed,
        };
        let prefixes =
            [ObjectKey::SERVICES, ObjectKey::ZONES, ObjectKey::TERMS, ObjectKey::ASSIGNMENTS];
        let own = OwnConfig { node, incarnation, zone, seed: config.seed };
        Steward {
            peers: Peers::new(member, now),
            watch: StoreWatch::new(&prefixes, config.seed, now),
            owner: Owner::new(own, now),
            calls: StoreCalls::default(),
            members: BTreeMap::new(),
            asked: Vec::new(),
            next_hosts: now,
            next_watchers: now,
            candidate: true,
            stopping: false,
            config,
        }
    }

    /// Whether the steward was asked to stop and has handed over all that it kept.
    pub fn stopped(&self) -> bool {
        self.stopping && (self.owner.stopped() || self.is_alone())
    }

    /// Whether no other steward is up that could take anything over.
    fn is_alone(&self) -> bool {
        let up = |member: &Member| {
            member.node != self.config.node
                && matches!(member.state, MemberState::Alive | MemberState::Suspect)
        };
        !self.members.values().any(up)
    }

    /// The time of the next [`Input::Tick`].
    pub fn next_deadline(&mut self, now: Time) -> Time {
        let peers = self.peers.next_deadline();
        let own = self.owner.next_deadline(now);
        let others = [peers, own, self.next_hosts, self.next_watchers];
        let watch = self.watch.next_deadline().unwrap_or(Time::MAX);
        others.into_iter().fold(watch, Time::min)
    }

    /// Takes one input and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Store { id, result } => {
                if let Some(caller) = self.calls.end(id) {
                    self.store_answer(now, caller, result, out);
                }
            }
            Input::Order { id, reply } => {
                self.own(now, OwnInput::Order { id: OwnOrderId(id.0), reply }, out);
            }
            Input::Link { message: LinkMessage::Rates(rates), .. } => {
                self.forward_rates(now, rates, out)
            }
            Input::Link { link, message } => {
                self.peers(now, out, |peers, done| {
                    peers.handle_link_message(now, LinkHandle(link.0), message, done);
                });
            }
            Input::LinkClosed { link } => self.peers.close_link(now, LinkHandle(link.0)),
            Input::Datagram { node, from, payload } => {
                self.datagram(now, node, from, &payload, out)
            }
            Input::StatusAsked(id) => {
                self.asked.push(id);
                self.peers(now, out, |peers, done| peers.start_survey(now, done));
            }
            Input::Stop => self.stop(now, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if now >= self.next_hosts {
            let alone = self.members.is_empty();
            self.next_hosts = now + if alone { HOSTS_PERIOD_ALONE } else { HOSTS_PERIOD };
            let id = self.calls.begin(Caller::Hosts);
            out.push(Output::Store { id, request: StoreRequest::Hosts });
        }
        if now >= self.next_watchers {
            self.next_watchers = now + WATCHERS_PERIOD;
            self.choose_watchers(now);
        }
        let mut watched = Vec::new();
        self.watch.tick(now, &mut watched);
        self.watched(now, watched, out);
        self.peers(now, out, |peers, done| peers.tick(now, done));
        self.own(now, OwnInput::Tick, out);
    }

    fn choose_watchers(&mut self, now: Time) {
        let watcher = is_watcher(self.config.node, self.peers.membership().members());
        self.watch.set_watching(now, ObjectKey::SERVICES, watcher);
        self.watch.set_watching(now, ObjectKey::ZONES, watcher);
        let takes_part = self.candidate || self.owner.keeps_any();
        self.watch.set_watching(now, ObjectKey::TERMS, takes_part);
        self.watch.set_watching(now, ObjectKey::ASSIGNMENTS, takes_part);
    }

    fn stop(&mut self, now: Time, out: &mut Vec<Output>) {
        self.stopping = true;
        self.peers(now, out, |peers, done| peers.leave(now, done));
        self.own(now, OwnInput::Stop, out);
    }

    fn store_answer(
        &mut self,
        now: Time,
        caller: Caller,
        result: StoreResult,
        out: &mut Vec<Output>,
    ) {
        match caller {
            Caller::Watch(id) => {
                let mut watched = Vec::new();
                self.watch.on_answer(now, id, result, &mut watched);
                self.watched(now, watched, out);
            }
            Caller::Own(id) => self.own(now, OwnInput::Store { id, result }, out),
            Caller::Hosts => match result {
                Ok(StoreReply::Hosts(hosts)) => self.seed(&hosts),
                _ => out.push(Output::Count("hosts.unanswered")),
            },
        }
    }

    fn seed(&mut self, hosts: &[Host]) {
        let seed = |host: &Host| SeedNode { node: NodeId::of(host.name), steward: host.steward };
        let seeds: Vec<SeedNode> = hosts.iter().map(seed).collect();
        self.peers.set_seeds(&seeds);
    }

    fn watched(&mut self, now: Time, watched: Vec<WatchOutput>, out: &mut Vec<Output>) {
        for output in watched {
            match output {
                WatchOutput::Call { id, request } => {
                    let id = self.calls.begin(Caller::Watch(id));
                    out.push(Output::Store { id, request });
                }
                WatchOutput::Changed(change) => self.changed(now, change, out),
            }
        }
    }

    fn changed(&mut self, now: Time, change: Change, out: &mut Vec<Output>) {
        if let Some(item) = item_of_change(&change) {
            self.peers(now, out, |peers, done| {
                peers.offer(now, item, done);
            });
        } else if let Change { key, revision, body: Some(body) } = change {
            self.own(now, OwnInput::Seen(Object { key, revision, body }), out);
        }
    }

    fn datagram(
        &mut self,
        now: Time,
        node: NodeId,
        from: SocketAddr,
        payload: &[u8],
        out: &mut Vec<Output>,
    ) {
        match decode(payload) {
            Ok(StewardDatagram::Peers(payload)) => {
                self.watch.peer_heard(now);
                self.peers(now, out, |peers, done| {
                    peers.handle_datagram(now, from, &payload, done)
                });
            }
            Ok(StewardDatagram::Own(message)) => {
                self.own(now, OwnInput::Peer { from: node, message }, out);
            }
            Ok(StewardDatagram::Rates { gate, rates }) => self.take_rates(now, gate, rates, out),
            Err(_) => out.push(Output::Count("datagram.malformed")),
        }
    }

    /// Passes what the host's gate sends to a service on to the service's planner.
    fn forward_rates(&mut self, now: Time, rates: ServiceRates, out: &mut Vec<Output>) {
        let gate = self.config.node;
        let planner = self.owner.planner(rates.service);
        match planner.filter(|planner| *planner != self.config.node) {
            None => self.take_rates(now, gate, rates, out),
            Some(planner) => match self.members.get(&planner) {
                Some(member) => {
                    let datagram = StewardDatagram::Rates { gate, rates };
                    send_datagram(member.steward, &datagram, out);
                }
                None => out.push(Output::Count("own.peer-unknown")),
            },
        }
    }

    fn take_rates(&mut self, now: Time, gate: NodeId, rates: ServiceRates, out: &mut Vec<Output>) {
        let keys =
            rates.keys.iter().map(|rate| KeyRate { key: rate.key, per_second: rate.per_second });
        let input = OwnInput::Rates {
            service: rates.service,
            gate,
            total: rates.total_per_second,
            keys: keys.collect(),
            slices: Vec::new(),
        };
        self.own(now, input, out);
    }

    /// Lets membership act and does what it asks for.
    fn peers<F>(&mut self, now: Time, out: &mut Vec<Output>, act: F)
    where
        F: FnOnce(&mut Peers, &mut Vec<PeersOutput>),
    {
        let mut done = Vec::new();
        act(&mut self.peers, &mut done);
        let mut members_changed = false;
        for output in done {
            match output {
                PeersOutput::Datagram { to, payload } => {
                    send_datagram(to, &StewardDatagram::Peers(payload), out);
                }
                PeersOutput::Link { link, message } => {
                    out.push(Output::Link { link: LinkId(link.0), message });
                }
                PeersOutput::Steward { to, message } => out.push(Output::Steward { to, message }),
                PeersOutput::MemberChanged(member) => {
                    members_changed |= member.node != self.config.node;
                    out.push(Output::Count(member_counter(&member)));
                    self.members.insert(member.node, member);
                }
                PeersOutput::ItemChanged(item) => self.item_changed(now, &item, out),
                PeersOutput::SurveyFinished => self.answer_status(out),
            }
        }
        if members_changed {
            let candidates = candidates(self.peers.membership().members());
            self.candidate = candidates.contains(&self.config.node);
            let view = |member: &Member| steward_view(member, candidates.contains(&member.node));
            let views = self.peers.membership().members().map(|member| view(&member)).collect();
            self.own(now, OwnInput::Stewards(views), out);
        }
    }

    fn item_changed(&mut self, now: Time, item: &Item, out: &mut Vec<Output>) {
        if let Some(key) = object_of_item(item.key) {
            let revision = bay_types::Revision(item.version.major);
            self.watch.learned(&key, revision, !item.body.is_empty());
        }
        match own_input(item) {
            Some(input) => {
                out.push(Output::Count("item.in-force"));
                self.own(now, input, out);
            }
            None if item.key.is_configuration() => out.push(Output::Count("item.unreadable")),
            None => {}
        }
    }

    fn answer_status(&mut self, out: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.asked) {
            let mut status = self.peers.cluster_status();
            status.terms = self.owner.terms().map(term_status).collect();
            out.push(Output::Status { id, status: Box::new(status) });
        }
    }

    /// Lets ownership act and does what it asks for.
    fn own(&mut self, now: Time, input: OwnInput, out: &mut Vec<Output>) {
        let mut done = Vec::new();
        self.owner.handle(now, input, &mut done);
        for output in done {
            match output {
                OwnOutput::Store { id, request } => {
                    let id = self.calls.begin(Caller::Own(id));
                    out.push(Output::Store { id, request });
                }
                OwnOutput::Order { id, to, order } => {
                    out.push(Output::Order { id: OrderId(id.0), to, order });
                }
                OwnOutput::Peer { to, message } => match self.members.get(&to) {
                    Some(member) => {
                        send_datagram(member.steward, &StewardDatagram::Own(message), out);
                    }
                    None => out.push(Output::Count("own.peer-unknown")),
                },
                OwnOutput::Spread { whole, change } => self.spread(now, whole, change, out),
                OwnOutput::Count(name) => out.push(Output::Count(name)),
            }
        }
    }

    fn spread(&mut self, now: Time, whole: Item, change: Option<Item>, out: &mut Vec<Output>) {
        let version = self.peers.items().version(whole.key);
        let item = change.filter(|change| change.base == Some(version)).unwrap_or(whole);
        self.peers(now, out, |peers, done| {
            peers.offer(now, item, done);
        });
    }
}

fn send_datagram(to: SocketAddr, datagram: &StewardDatagram, out: &mut Vec<Output>) {
    match encode(datagram) {
        Ok(payload) => out.push(Output::Datagram { to, payload }),
        Err(_) => out.push(Output::Count("datagram.too-long")),
    }
}
