use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_member::{
    LinkHandle, Member, MemberConfig, MemberState, Peers, PeersOutput, SeedNode, candidates,
    is_watcher,
};
use bay_own::{KeyRate, OrderId as OwnerOrderId, Owner, OwnerConfig, OwnerInput, OwnerOutput};
use bay_store::{Change, Host, Object, ObjectKey, StoreReply, StoreRequest, StoreResult};
use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{Item, LinkMessage, ServiceRates, decode, encode};

use crate::config_items::owner_input;
use crate::store_calls::{Caller, StoreCalls};
use crate::views::{member_counter, steward_view, term_status};
use crate::{
    Input, LinkId, OrderId, Output, StatusId, StewardConfig, StewardDatagram, StoreWatch,
    WatchOutput, item_from_change, object_key_from_item,
};

/// Time between two reads of the platform's host list.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(30);
/// Time between two reads of the host list while no member is known.
const HOST_LIST_PERIOD_ALONE: Duration = Duration::from_secs(2);
/// Time between two decisions on which prefixes of the store this steward watches.
const WATCH_UPDATE_PERIOD: Duration = Duration::from_secs(1);

/// State machine of one steward, without I/O.
///
/// Combines membership and gossip, the store watch and ownership.
#[derive(Debug)]
pub struct Steward {
    config: StewardConfig,
    peers: Peers,
    store_watch: StoreWatch,
    owner: Owner,
    calls: StoreCalls,
    members: BTreeMap<NodeId, Member>,
    status_requests: Vec<StatusId>,
    next_host_list: Time,
    next_watch_update: Time,
    is_candidate: bool,
    stopping: bool,
}

impl Steward {
    /// Creates a steward that knows no other member and no object of the store.
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
        let owner = OwnerConfig { node, incarnation, zone, seed: config.seed };
        Steward {
            peers: Peers::new(member, now),
            store_watch: StoreWatch::new(&prefixes, config.seed, now),
            owner: Owner::new(owner, now),
            calls: StoreCalls::default(),
            members: BTreeMap::new(),
            status_requests: Vec::new(),
            next_host_list: now,
            next_watch_update: now,
            is_candidate: true,
            stopping: false,
            config,
        }
    }

    /// Returns whether a stop was requested and the process may exit: every term is handed over, or
    /// no other steward can take one over.
    pub fn is_stopped(&self) -> bool {
        self.stopping && (self.owner.is_stopped() || self.is_alone())
    }

    /// Returns whether every other steward is leaving or dead, so that none can take over a term.
    fn is_alone(&self) -> bool {
        let is_up = |member: &Member| {
            member.node != self.config.node
                && matches!(member.state, MemberState::Alive | MemberState::Suspect)
        };
        !self.members.values().any(is_up)
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_deadline(&mut self, now: Time) -> Time {
        let peers = self.peers.next_deadline();
        let owner = self.owner.next_deadline(now);
        let others = [peers, owner, self.next_host_list, self.next_watch_update];
        let watch = self.store_watch.next_deadline().unwrap_or(Time::MAX);
        others.into_iter().fold(watch, Time::min)
    }

    /// Applies one input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Store { id, result } => {
                if let Some(caller) = self.calls.end(id) {
                    self.handle_store_reply(now, caller, result, out);
                }
            }
            Input::Order { id, reply } => {
                self.update_owner(now, OwnerInput::Order { id: OwnerOrderId(id.0), reply }, out);
            }
            Input::Link { message: LinkMessage::Rates(rates), .. } => {
                self.forward_rates(now, rates, out)
            }
            Input::Link { link, message } => {
                self.update_peers(now, out, |peers, outputs| {
                    peers.handle_link_message(now, LinkHandle(link.0), message, outputs);
                });
            }
            Input::LinkClosed { link } => self.peers.close_link(now, LinkHandle(link.0)),
            Input::Datagram { node, from, payload } => {
                self.handle_datagram(now, node, from, &payload, out)
            }
            Input::StatusRequest(id) => {
                self.status_requests.push(id);
                self.update_peers(now, out, |peers, outputs| peers.start_survey(now, outputs));
            }
            Input::Stop => self.stop(now, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if now >= self.next_host_list {
            let alone = self.members.is_empty();
            self.next_host_list =
                now + if alone { HOST_LIST_PERIOD_ALONE } else { HOST_LIST_PERIOD };
            let id = self.calls.begin(Caller::Hosts);
            out.push(Output::Store { id, request: StoreRequest::Hosts });
        }
        if now >= self.next_watch_update {
            self.next_watch_update = now + WATCH_UPDATE_PERIOD;
            self.update_watched_prefixes(now);
        }
        let mut watch_outputs = Vec::new();
        self.store_watch.tick(now, &mut watch_outputs);
        self.handle_watch_outputs(now, watch_outputs, out);
        self.update_peers(now, out, |peers, outputs| peers.tick(now, outputs));
        self.update_owner(now, OwnerInput::Tick, out);
    }

    fn update_watched_prefixes(&mut self, now: Time) {
        let watcher = is_watcher(self.config.node, self.peers.membership().members());
        self.store_watch.set_watching(now, ObjectKey::SERVICES, watcher);
        self.store_watch.set_watching(now, ObjectKey::ZONES, watcher);
        let follows_terms = self.is_candidate || self.owner.holds_any_role();
        self.store_watch.set_watching(now, ObjectKey::TERMS, follows_terms);
        self.store_watch.set_watching(now, ObjectKey::ASSIGNMENTS, follows_terms);
    }

    fn stop(&mut self, now: Time, out: &mut Vec<Output>) {
        self.stopping = true;
        self.update_peers(now, out, |peers, outputs| peers.leave(now, outputs));
        self.update_owner(now, OwnerInput::Stop, out);
    }

    fn handle_store_reply(
        &mut self,
        now: Time,
        caller: Caller,
        result: StoreResult,
        out: &mut Vec<Output>,
    ) {
        match caller {
            Caller::Watch(id) => {
                let mut watch_outputs = Vec::new();
                self.store_watch.handle_reply(now, id, result, &mut watch_outputs);
                self.handle_watch_outputs(now, watch_outputs, out);
            }
            Caller::Owner(id) => self.update_owner(now, OwnerInput::Store { id, result }, out),
            Caller::Hosts => match result {
                Ok(StoreReply::Hosts(hosts)) => self.set_seeds(&hosts),
                _ => out.push(Output::Count("hosts.unanswered")),
            },
        }
    }

    fn set_seeds(&mut self, hosts: &[Host]) {
        let seed = |host: &Host| SeedNode { node: NodeId::of(host.name), steward: host.steward };
        let seeds: Vec<SeedNode> = hosts.iter().map(seed).collect();
        self.peers.set_seeds(&seeds);
    }

    fn handle_watch_outputs(
        &mut self,
        now: Time,
        watch_outputs: Vec<WatchOutput>,
        out: &mut Vec<Output>,
    ) {
        for output in watch_outputs {
            match output {
                WatchOutput::Call { id, request } => {
                    let id = self.calls.begin(Caller::Watch(id));
                    out.push(Output::Store { id, request });
                }
                WatchOutput::Changed(change) => self.apply_change(now, change, out),
            }
        }
    }

    fn apply_change(&mut self, now: Time, change: Change, out: &mut Vec<Output>) {
        if let Some(item) = item_from_change(&change) {
            self.update_peers(now, out, |peers, outputs| {
                peers.offer(now, item, outputs);
            });
        } else if let Change { key, revision, body: Some(body) } = change {
            self.update_owner(now, OwnerInput::StoreObject(Object { key, revision, body }), out);
        }
    }

    fn handle_datagram(
        &mut self,
        now: Time,
        node: NodeId,
        from: SocketAddr,
        payload: &[u8],
        out: &mut Vec<Output>,
    ) {
        match decode(payload) {
            Ok(StewardDatagram::Peers(payload)) => {
                self.store_watch.record_peer_contact(now);
                self.update_peers(now, out, |peers, outputs| {
                    peers.handle_datagram(now, from, &payload, outputs)
                });
            }
            Ok(StewardDatagram::Ownership(message)) => {
                self.update_owner(now, OwnerInput::PeerMessage { from: node, message }, out);
            }
            Ok(StewardDatagram::Rates { gate, rates }) => self.record_rates(now, gate, rates, out),
            Err(_) => out.push(Output::Count("datagram.malformed")),
        }
    }

    /// Forwards the rates of the host's gate to the steward that plans the service.
    fn forward_rates(&mut self, now: Time, rates: ServiceRates, out: &mut Vec<Output>) {
        let gate = self.config.node;
        let planner = self.owner.planner(rates.service);
        match planner.filter(|planner| *planner != self.config.node) {
            None => self.record_rates(now, gate, rates, out),
            Some(planner) => match self.members.get(&planner) {
                Some(member) => {
                    let datagram = StewardDatagram::Rates { gate, rates };
                    send_datagram(member.steward, &datagram, out);
                }
                None => out.push(Output::Count("own.peer-unknown")),
            },
        }
    }

    fn record_rates(
        &mut self,
        now: Time,
        gate: NodeId,
        rates: ServiceRates,
        out: &mut Vec<Output>,
    ) {
        let keys =
            rates.keys.iter().map(|rate| KeyRate { key: rate.key, per_second: rate.per_second });
        let input = OwnerInput::Rates {
            service: rates.service,
            gate,
            total: rates.total_per_second,
            keys: keys.collect(),
            slices: Vec::new(),
        };
        self.update_owner(now, input, out);
    }

    /// Runs `update` on the membership state machine and executes its outputs.
    fn update_peers<F>(&mut self, now: Time, out: &mut Vec<Output>, update: F)
    where
        F: FnOnce(&mut Peers, &mut Vec<PeersOutput>),
    {
        let mut outputs = Vec::new();
        update(&mut self.peers, &mut outputs);
        let mut members_changed = false;
        for output in outputs {
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
                PeersOutput::ItemChanged(item) => self.apply_item(now, &item, out),
                PeersOutput::SurveyFinished => self.send_status(out),
            }
        }
        if members_changed {
            let candidates = candidates(self.peers.membership().members());
            self.is_candidate = candidates.contains(&self.config.node);
            let view = |member: &Member| steward_view(member, candidates.contains(&member.node));
            let views = self.peers.membership().members().map(|member| view(&member)).collect();
            self.update_owner(now, OwnerInput::Stewards(views), out);
        }
    }

    fn apply_item(&mut self, now: Time, item: &Item, out: &mut Vec<Output>) {
        if let Some(key) = object_key_from_item(item.key) {
            let revision = bay_types::Revision(item.version.major);
            self.store_watch.record_peer_object(&key, revision, !item.body.is_empty());
        }
        match owner_input(item) {
            Some(input) => {
                out.push(Output::Count("item.in-force"));
                self.update_owner(now, input, out);
            }
            None if item.key.is_configuration() => out.push(Output::Count("item.unreadable")),
            None => {}
        }
    }

    fn send_status(&mut self, out: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.status_requests) {
            let mut status = self.peers.cluster_status();
            status.terms = self.owner.terms().map(term_status).collect();
            out.push(Output::Status { id, status: Box::new(status) });
        }
    }

    /// Passes an input to the owner and executes its outputs.
    fn update_owner(&mut self, now: Time, input: OwnerInput, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.owner.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                OwnerOutput::Store { id, request } => {
                    let id = self.calls.begin(Caller::Owner(id));
                    out.push(Output::Store { id, request });
                }
                OwnerOutput::Order { id, to, order } => {
                    out.push(Output::Order { id: OrderId(id.0), to, order });
                }
                OwnerOutput::PeerMessage { to, message } => match self.members.get(&to) {
                    Some(member) => {
                        send_datagram(member.steward, &StewardDatagram::Ownership(message), out);
                    }
                    None => out.push(Output::Count("own.peer-unknown")),
                },
                OwnerOutput::PublishRoutes { whole, change } => {
                    self.publish_routes(now, whole, change, out)
                }
                OwnerOutput::Count(name) => out.push(Output::Count(name)),
            }
        }
    }

    /// Publishes the change if it builds on the version in force here, otherwise the whole routes.
    fn publish_routes(
        &mut self,
        now: Time,
        whole: Item,
        change: Option<Item>,
        out: &mut Vec<Output>,
    ) {
        let version = self.peers.items().version(whole.key);
        let item = change.filter(|change| change.base == Some(version)).unwrap_or(whole);
        self.update_peers(now, out, |peers, outputs| {
            peers.offer(now, item, outputs);
        });
    }
}

fn send_datagram(to: SocketAddr, datagram: &StewardDatagram, out: &mut Vec<Output>) {
    match encode(datagram) {
        Ok(payload) => out.push(Output::Datagram { to, payload }),
        Err(_) => out.push(Output::Count("datagram.too-long")),
    }
}
