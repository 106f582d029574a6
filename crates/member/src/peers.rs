mod status;

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{GateAddress, Item, KeyVersion, LinkMessage, Role, decode, encode};

use crate::packet::{MAX_PACKET_BYTES, Outgoing, Packet, PacketKind};
use crate::survey::Survey;
use crate::{
    AdoptedGates, LinkHandle, Member, MemberConfig, MemberState, Membership, Offered, PeerCounts,
    PeersOutput, Seed, Spread,
};

/// Peers that are told of a new item at once.
const FANOUT: usize = 3;
/// Bytes of versions on a datagram, out of the bytes for news.
const NEWS_BYTES: usize = 200;
/// Pause in which changes of the list of gates are gathered.
const GATES_PAUSE: Duration = Duration::from_millis(200);

/// All that a steward exchanges with other stewards and tells its gates.
#[derive(Debug)]
pub struct Peers {
    membership: Membership,
    spread: Spread,
    survey: Option<Survey>,
    surveys: u32,
    surveyed: Option<Time>,
    gates: Vec<GateAddress>,
    gates_due: Option<Time>,
    malformed: u64,
}

impl Peers {
    /// The peers of a steward that knows of no other.
    pub fn new(config: MemberConfig, now: Time) -> Peers {
        Peers {
            membership: Membership::new(config, now),
            spread: Spread::new(),
            survey: None,
            surveys: 0,
            surveyed: None,
            gates: Vec::new(),
            gates_due: Some(now),
            malformed: 0,
        }
    }

    /// Which nodes are up.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The items that this node has.
    pub fn spread(&self) -> &Spread {
        &self.spread
    }

    /// What the exchange has come to since the start.
    pub fn counts(&self) -> PeerCounts {
        let (members, items) = (self.membership.counts, self.spread.counts);
        PeerCounts {
            malformed: self.malformed,
            stale_items: items.stale_items,
            gaps: items.gaps,
            wanted: items.wanted,
            ..members
        }
    }

    /// Takes the platform's list of hosts; it only says whom to contact.
    pub fn seed(&mut self, seeds: &[Seed]) {
        self.membership.seed(seeds);
    }

    /// Sets where the host's gate takes datagrams of other gates.
    pub fn set_gate(&mut self, now: Time, gate: Option<SocketAddr>, out: &mut Vec<PeersOutput>) {
        self.membership.set_gate(gate);
        self.finish(now, Vec::new(), out);
    }

    /// Tells the others that this node will stop.
    pub fn leave(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        self.membership.leave();
        let to = self.membership.sample(FANOUT);
        let news = to.into_iter().map(|to| Outgoing { to, kind: PacketKind::News }).collect();
        self.finish(now, news, out);
    }

    /// Takes an item that this node made or read from the store.
    pub fn offer(&mut self, now: Time, item: Item, out: &mut Vec<PeersOutput>) -> Offered {
        let newer = item.version > self.spread.version(item.key);
        let gaps = self.spread.on_items(now, vec![item], out);
        match (newer, gaps.is_empty()) {
            (false, _) => Offered::Stale,
            (true, true) => Offered::Newer,
            (true, false) => Offered::Gap,
        }
    }

    /// Takes a message of a connection, in either direction.
    pub fn on_link(
        &mut self,
        now: Time,
        link: LinkHandle,
        message: LinkMessage,
        out: &mut Vec<PeersOutput>,
    ) {
        match message {
            LinkMessage::Hello { node, role: Role::Gate, versions } => {
                self.open_gate(link, node, &versions, out);
                self.gates_due.get_or_insert(now + GATES_PAUSE);
            }
            LinkMessage::RequestItems(have) => self.spread.answer_want(link, &have, out),
            LinkMessage::Items(items) => {
                let gaps = self.spread.on_items(now, items, out);
                if !gaps.is_empty() {
                    out.push(PeersOutput::Link { link, message: LinkMessage::RequestItems(gaps) });
                }
            }
            LinkMessage::InForce(versions) => self.spread.links.on_in_force(link, &versions),
            LinkMessage::Hello { .. }
            | LinkMessage::Gates(_)
            | LinkMessage::Rates(_)
            | LinkMessage::Heartbeat => {}
        }
    }

    /// Forgets a connection that has ended.
    pub fn close_link(&mut self, now: Time, link: LinkHandle) {
        if self.spread.links.close(link) {
            self.gates_due.get_or_insert(now + GATES_PAUSE);
        }
    }

    /// Takes a datagram of another steward, its seal already checked.
    pub fn on_datagram(
        &mut self,
        now: Time,
        from: SocketAddr,
        payload: &[u8],
        out: &mut Vec<PeersOutput>,
    ) {
        let Ok(packet) = decode::<Packet>(payload) else {
            self.malformed += 1;
            return;
        };
        let mut sends = Vec::new();
        if self.membership.on_sender(now, &packet.sender) {
            self.membership.on_rumors(now, &packet.rumors);
            self.membership.on_summary(now, from, packet.members, &mut sends);
            let newer = self.spread.on_news(now, from, &packet.news, out);
            let explained = newer || matches!(packet.kind, PacketKind::Items(_));
            self.spread.on_summary(now, from, packet.items, explained, &mut sends);
        }
        self.on_kind(now, from, packet.kind, &mut sends, out);
        self.finish(now, sends, out);
    }

    /// The time of the next tick.
    pub fn next_deadline(&mut self) -> Time {
        let survey = self.survey.as_ref().and_then(Survey::next_deadline);
        let others = [self.spread.next_deadline(), survey, self.gates_due];
        others.into_iter().flatten().fold(self.membership.next_deadline(), Time::min)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        let mut sends = Vec::new();
        self.membership.tick(now, &mut sends);
        self.spread.tick(now, out);
        self.send_round(now, &mut sends);
        if let Some(survey) = &mut self.survey
            && survey.tick(now, &mut sends)
        {
            self.surveyed = Some(now);
            out.push(PeersOutput::Surveyed);
        }
        self.push_gates(now, out);
        self.finish(now, sends, out);
    }

    fn on_kind(
        &mut self,
        now: Time,
        from: SocketAddr,
        kind: PacketKind,
        sends: &mut Vec<Outgoing>,
        out: &mut Vec<PeersOutput>,
    ) {
        match kind {
            PacketKind::Ping { sequence, receiver } => {
                self.membership.on_ping(from, sequence, receiver, sends);
            }
            PacketKind::Ack { sequence, node } => self.membership.on_ack(sequence, node, sends),
            PacketKind::PingRequest { sequence, target, address } => {
                let target = (target, address);
                self.membership.on_ping_request(now, from, sequence, target, sends);
            }
            PacketKind::News => {}
            PacketKind::Items(items) => {
                let gaps = self.spread.on_items(now, items, out);
                if !gaps.is_empty() {
                    let message = LinkMessage::RequestItems(gaps);
                    out.push(PeersOutput::Steward { to: from, message });
                }
            }
            PacketKind::MemberBuckets(cells) => self.membership.on_buckets(from, &cells, sends),
            PacketKind::MemberRecords(records) => self.membership.on_records(now, &records),
            PacketKind::ItemBuckets(cells) => self.spread.on_buckets(from, &cells, sends),
            PacketKind::ItemVersions(versions) => {
                self.spread.on_news(now, from, &versions, out);
            }
            PacketKind::SurveyAsk { survey, items } => {
                self.answer_survey(from, survey, items, sends);
            }
            PacketKind::SurveyAnswer { survey, nodes } => {
                if let Some(running) = &mut self.survey {
                    running.on_answer(now, survey, nodes);
                }
            }
        }
    }

    fn open_gate(
        &mut self,
        link: LinkHandle,
        node: NodeId,
        have: &[KeyVersion],
        out: &mut Vec<PeersOutput>,
    ) {
        self.spread.links.open(link, node, have);
        self.spread.bring_up_to_date(link, out);
        let message = LinkMessage::Gates(self.gates.clone());
        out.push(PeersOutput::Link { link, message });
    }

    /// Tells a few peers of new items at once.
    fn send_round(&mut self, now: Time, sends: &mut Vec<Outgoing>) {
        let Some(items) = self.spread.take_round(now) else {
            return;
        };
        for to in self.membership.sample(FANOUT) {
            let kind = match items.is_empty() {
                true => PacketKind::News,
                false => PacketKind::Items(items.clone()),
            };
            sends.push(Outgoing { to, kind });
        }
    }

    fn push_gates(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        if self.gates_due.is_none_or(|at| now < at) {
            return;
        }
        self.gates_due = None;
        self.adopt_gates();
        let live: Vec<Member> =
            self.membership.members().filter(|member| member.state != MemberState::Dead).collect();
        let adopted = |node| live.iter().any(|member| member.adopted.contains(node));
        let up = self
            .membership
            .members()
            .filter(|member| member.state != MemberState::Dead || adopted(member.node));
        let gate = |member: Member| {
            let address = member.gate?;
            Some(GateAddress { node: member.node, zone: member.zone, address })
        };
        let gates: Vec<GateAddress> = up.filter_map(gate).collect();
        if gates != self.gates {
            self.gates = gates;
            self.spread.links.push_gates(&self.gates, out);
        }
    }

    /// Reports the connected gates whose own stewards are not alive; from their first suspicion
    /// on, so that the others know of it before they drop the gate.
    fn adopt_gates(&mut self) {
        let lost = |node: &NodeId| {
            let member = self.membership.member(*node);
            member.is_some_and(|member| member.state != MemberState::Alive)
        };
        let adopted = AdoptedGates::new(self.spread.links.hosts().into_iter().filter(lost));
        self.membership.set_adopted(adopted);
    }

    /// Puts what rides along on each datagram and reports the members that changed.
    fn finish(&mut self, now: Time, mut sends: Vec<Outgoing>, out: &mut Vec<PeersOutput>) {
        if self.membership.take_refuted() {
            let to = self.membership.sample(FANOUT);
            sends.extend(to.into_iter().map(|to| Outgoing { to, kind: PacketKind::News }));
        }
        for Outgoing { to, kind } in sends {
            let packet = self.pack(kind);
            if let Ok(payload) = encode(&packet) {
                out.push(PeersOutput::Datagram { to, payload });
            }
        }
        for member in self.membership.take_changed() {
            self.gates_due.get_or_insert(now + GATES_PAUSE);
            out.push(PeersOutput::MemberChanged(member));
        }
    }

    fn pack(&mut self, kind: PacketKind) -> Packet {
        let mut packet = Packet {
            sender: *self.membership.own(),
            kind,
            members: self.membership.summary(),
            items: self.spread.summary(),
            rumors: Vec::new(),
            news: Vec::new(),
        };
        let used = encode(&packet).map_or(MAX_PACKET_BYTES, |bytes| bytes.len());
        let left = MAX_PACKET_BYTES.saturating_sub(used);
        let members = self.membership.members().count();
        packet.news = self.spread.take_news(members, left.min(NEWS_BYTES));
        packet.rumors = self.membership.take_rumors(left.saturating_sub(NEWS_BYTES));
        packet
    }
}
