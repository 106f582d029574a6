mod status;

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{GateAddress, Item, KeyVersion, LinkMessage, Role, decode, encode};

use crate::packet::{MAX_PACKET_BYTES, OutgoingPacket, Packet, PacketKind};
use crate::survey::Survey;
use crate::{
    AdoptedGates, ItemTable, LinkHandle, Member, MemberConfig, MemberState, Membership,
    OfferResult, PeerCounts, PeersOutput, SeedNode,
};

/// Number of random peers that new items and own changes are pushed to.
const FANOUT: usize = 3;
/// Bytes reserved for item versions on a datagram; member updates get the rest.
const MAX_VERSIONS_BYTES: usize = 200;
/// Delay of updates to the list of gates, to batch changes.
const GATES_DELAY: Duration = Duration::from_millis(200);

/// A steward's exchange with other stewards, and its updates to connected gates.
#[derive(Debug)]
pub struct Peers {
    membership: Membership,
    items: ItemTable,
    survey: Option<Survey>,
    survey_count: u32,
    last_survey: Option<Time>,
    gates: Vec<GateAddress>,
    gates_due: Option<Time>,
    malformed: u64,
}

impl Peers {
    /// Creates the peers of a steward that has no members or items yet.
    pub fn new(config: MemberConfig, now: Time) -> Peers {
        Peers {
            membership: Membership::new(config, now),
            items: ItemTable::new(),
            survey: None,
            survey_count: 0,
            last_survey: None,
            gates: Vec::new(),
            gates_due: Some(now),
            malformed: 0,
        }
    }

    /// Returns the membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the items that this node holds.
    pub fn items(&self) -> &ItemTable {
        &self.items
    }

    /// Returns the counters since the start, of members and items together.
    pub fn counts(&self) -> PeerCounts {
        let (members, items) = (self.membership.counts, self.items.counts);
        PeerCounts {
            malformed: self.malformed,
            stale_items: items.stale_items,
            gaps: items.gaps,
            wanted: items.wanted,
            ..members
        }
    }

    /// Replaces the seed nodes. They are only contacted; they become members once they answer.
    pub fn set_seeds(&mut self, seeds: &[SeedNode]) {
        self.membership.set_seeds(seeds);
    }

    /// Sets the address at which the host's gate receives datagrams from other gates.
    pub fn set_gate(&mut self, now: Time, gate: Option<SocketAddr>, out: &mut Vec<PeersOutput>) {
        self.membership.set_gate(gate);
        self.flush(now, Vec::new(), out);
    }

    /// Announces that this node will shut down.
    pub fn leave(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        self.membership.leave();
        let to = self.membership.sample_live(FANOUT);
        let gossip =
            to.into_iter().map(|to| OutgoingPacket { to, kind: PacketKind::Gossip }).collect();
        self.flush(now, gossip, out);
    }

    /// Offers an item that this node produced or read from the store.
    pub fn offer(&mut self, now: Time, item: Item, out: &mut Vec<PeersOutput>) -> OfferResult {
        let newer = item.version > self.items.version(item.key);
        let gaps = self.items.handle_items(now, vec![item], out);
        match (newer, gaps.is_empty()) {
            (false, _) => OfferResult::Stale,
            (true, true) => OfferResult::Newer,
            (true, false) => OfferResult::Gap,
        }
    }

    /// Handles a message from a connection, whichever side opened it.
    pub fn handle_link_message(
        &mut self,
        now: Time,
        link: LinkHandle,
        message: LinkMessage,
        out: &mut Vec<PeersOutput>,
    ) {
        match message {
            LinkMessage::Hello { node, role: Role::Gate, versions } => {
                self.handle_gate_hello(link, node, &versions, out);
                self.gates_due.get_or_insert(now + GATES_DELAY);
            }
            LinkMessage::RequestItems(have) => self.items.handle_want(link, &have, out),
            LinkMessage::Items(items) => {
                let gaps = self.items.handle_items(now, items, out);
                if !gaps.is_empty() {
                    out.push(PeersOutput::Link { link, message: LinkMessage::RequestItems(gaps) });
                }
            }
            LinkMessage::InForce(versions) => self.items.links.record_in_force(link, &versions),
            LinkMessage::Hello { .. }
            | LinkMessage::Gates(_)
            | LinkMessage::Rates(_)
            | LinkMessage::Heartbeat => {}
        }
    }

    /// Removes a closed connection.
    pub fn close_link(&mut self, now: Time, link: LinkHandle) {
        if self.items.links.remove_gate(link) {
            self.gates_due.get_or_insert(now + GATES_DELAY);
        }
    }

    /// Handles a datagram from another steward. The caller has verified its seal.
    pub fn handle_datagram(
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
        if self.membership.handle_sender(now, &packet.sender) {
            self.membership.handle_rumors(now, &packet.rumors);
            self.membership.compare_summary(now, from, packet.member_summary, &mut sends);
            let newer = self.items.handle_versions(now, from, &packet.versions, out);
            let explained = newer || matches!(packet.kind, PacketKind::Items(_));
            self.items.compare_summary(now, from, packet.item_summary, explained, &mut sends);
        }
        self.handle_kind(now, from, packet.kind, &mut sends, out);
        self.flush(now, sends, out);
    }

    /// Returns the time of the next tick.
    pub fn next_deadline(&mut self) -> Time {
        let survey = self.survey.as_ref().and_then(Survey::next_deadline);
        let others = [self.items.next_deadline(), survey, self.gates_due];
        others.into_iter().flatten().fold(self.membership.next_deadline(), Time::min)
    }

    /// Runs everything that is due: probes, fetches, pushes, the survey and the list of gates.
    pub fn tick(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        let mut sends = Vec::new();
        self.membership.tick(now, &mut sends);
        self.items.tick(now, out);
        self.push_new_items(now, &mut sends);
        if let Some(survey) = &mut self.survey
            && survey.tick(now, &mut sends)
        {
            self.last_survey = Some(now);
            out.push(PeersOutput::SurveyFinished);
        }
        self.send_gate_list(now, out);
        self.flush(now, sends, out);
    }

    fn handle_kind(
        &mut self,
        now: Time,
        from: SocketAddr,
        kind: PacketKind,
        sends: &mut Vec<OutgoingPacket>,
        out: &mut Vec<PeersOutput>,
    ) {
        match kind {
            PacketKind::Ping { sequence, receiver } => {
                self.membership.handle_ping(from, sequence, receiver, sends);
            }
            PacketKind::Ack { sequence, node } => self.membership.handle_ack(sequence, node, sends),
            PacketKind::PingRequest { sequence, target, address } => {
                let target = (target, address);
                self.membership.handle_ping_request(now, from, sequence, target, sends);
            }
            PacketKind::Gossip => {}
            PacketKind::Items(items) => {
                let gaps = self.items.handle_items(now, items, out);
                if !gaps.is_empty() {
                    let message = LinkMessage::RequestItems(gaps);
                    out.push(PeersOutput::Steward { to: from, message });
                }
            }
            PacketKind::MemberBuckets(hashes) => {
                self.membership.handle_buckets(from, &hashes, sends)
            }
            PacketKind::MemberRecords(records) => self.membership.handle_records(now, &records),
            PacketKind::ItemBuckets(hashes) => self.items.handle_buckets(from, &hashes, sends),
            PacketKind::ItemVersions(versions) => {
                self.items.handle_versions(now, from, &versions, out);
            }
            PacketKind::SurveyRequest { survey, versions_hash } => {
                self.answer_survey(from, survey, versions_hash, sends);
            }
            PacketKind::SurveyAnswer { survey, nodes } => {
                if let Some(running) = &mut self.survey {
                    running.handle_answer(now, survey, nodes);
                }
            }
        }
    }

    fn handle_gate_hello(
        &mut self,
        link: LinkHandle,
        node: NodeId,
        have: &[KeyVersion],
        out: &mut Vec<PeersOutput>,
    ) {
        self.items.links.add_gate(link, node, have);
        self.items.send_missing_items(link, out);
        let message = LinkMessage::Gates(self.gates.clone());
        out.push(PeersOutput::Link { link, message });
    }

    /// Pushes new items to a few random peers, if a round is due.
    fn push_new_items(&mut self, now: Time, sends: &mut Vec<OutgoingPacket>) {
        let Some(items) = self.items.take_push_round(now) else {
            return;
        };
        for to in self.membership.sample_live(FANOUT) {
            let kind = match items.is_empty() {
                true => PacketKind::Gossip,
                false => PacketKind::Items(items.clone()),
            };
            sends.push(OutgoingPacket { to, kind });
        }
    }

    fn send_gate_list(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
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
            self.items.links.send_gate_list(&self.gates, out);
        }
    }

    /// Announces the connected gates whose own stewards are not alive. This starts with the first
    /// suspicion, so that others know of it before they would drop the gate.
    fn adopt_gates(&mut self) {
        let lost = |node: &NodeId| {
            let member = self.membership.member(*node);
            member.is_some_and(|member| member.state != MemberState::Alive)
        };
        let adopted =
            AdoptedGates::new(self.items.links.connected_hosts().into_iter().filter(lost));
        self.membership.set_adopted(adopted);
    }

    /// Adds the piggybacked fields to each datagram, gossips a refutation if there is one, and reports
    /// changed members.
    fn flush(&mut self, now: Time, mut sends: Vec<OutgoingPacket>, out: &mut Vec<PeersOutput>) {
        if self.membership.take_refutation() {
            let to = self.membership.sample_live(FANOUT);
            sends.extend(to.into_iter().map(|to| OutgoingPacket { to, kind: PacketKind::Gossip }));
        }
        for OutgoingPacket { to, kind } in sends {
            let packet = self.build_packet(kind);
            if let Ok(payload) = encode(&packet) {
                out.push(PeersOutput::Datagram { to, payload });
            }
        }
        for member in self.membership.take_changed() {
            self.gates_due.get_or_insert(now + GATES_DELAY);
            out.push(PeersOutput::MemberChanged(member));
        }
    }

    fn build_packet(&mut self, kind: PacketKind) -> Packet {
        let mut packet = Packet {
            sender: *self.membership.own_record(),
            kind,
            member_summary: self.membership.summary(),
            item_summary: self.items.summary(),
            rumors: Vec::new(),
            versions: Vec::new(),
        };
        let used = encode(&packet).map_or(MAX_PACKET_BYTES, |bytes| bytes.len());
        let left = MAX_PACKET_BYTES.saturating_sub(used);
        let members = self.membership.members().count();
        packet.versions = self.items.take_versions(members, left.min(MAX_VERSIONS_BYTES));
        packet.rumors = self.membership.take_rumors(left.saturating_sub(MAX_VERSIONS_BYTES));
        packet
    }
}
