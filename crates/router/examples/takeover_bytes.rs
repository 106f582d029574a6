//! Computes the bytes that a new granter and its busiest relay send in a takeover, by message, for
//! fleets of 82 and 784 routers. No network is used.

use std::net::SocketAddr;
use std::time::Duration;

use bay_range::{KeyRange, OwnerId};
use bay_router::{
    Branch, ConfigPart, FeedState, Heartbeat, OwnerMap, PeerMessage, Recipient, RelayOrder,
    RelayedMessage, ServerEntry, ServerState, ServerUpdate, ServiceOwners, plan_relays,
};
use bay_types::{HostName, Revision, ServerName, ServiceName, Term, ZoneName};

/// Zones of a fleet.
const ZONES: usize = 8;

/// Bytes of a configuration.
const CONFIG_BYTES: usize = 30_000;

/// Servers in one datagram of the full list.
const SERVERS_PER_PART: usize = 80;

/// Ranges in one datagram of the owners.
const RANGES_PER_PART: usize = 400;

/// A link on which the times are stated, in bytes per second.
const LARGE_LINK: f64 = 100e6 / 8.0;

fn main() {
    for (routers, servers, ranges) in [(82, 300, 545), (784, 3_000, 5_450)] {
        print_fleet(routers, servers, ranges);
    }
}

fn print_fleet(routers: usize, servers: usize, ranges: usize) {
    println!("{routers} routers, {servers} servers, {ranges} ranges");
    let before = plan(routers, false);
    let after = plan(routers, true);
    let rows = [
        ("heartbeat", vec![heartbeat()]),
        ("owners", owners(ranges)),
        ("configuration", vec![config()]),
        ("list of servers", server_list(servers)),
        ("list of hosts", vec![host_list(routers)]),
    ];
    let mut totals = [0, 0, 0];
    for (name, messages) in rows {
        let sent = |branches: &[Branch]| -> usize {
            messages.iter().map(|each| granter_bytes(branches, each)).sum()
        };
        let [direct, relayed, relay] = [
            sent(&before),
            sent(&after),
            messages.iter().map(|each| relay_bytes(&after, each)).sum(),
        ];
        let plain: usize = messages.iter().map(encoded_len).sum();
        println!(
            "  {name}: {plain} bytes; to each router {direct}, with relays {relayed}, relay {relay}"
        );
        totals = [totals[0] + direct, totals[1] + relayed, totals[2] + relay];
    }
    let [direct, relayed, relay] = totals;
    let seconds = relayed as f64 / LARGE_LINK;
    println!("  all once: to each router {direct}, with relays {relayed}, relay {relay}");
    println!("  with relays {seconds:.3} s at 100 Mbit/s, {:.3} s at 10", seconds * 10.0);
}

/// Plans the relays of a fleet in which one machine in ten is large.
fn plan(routers: usize, is_responsive: bool) -> Vec<Branch> {
    let recipient = |index: usize| Recipient {
        address: address(index),
        zone: Some(ZoneName::new(&format!("zone-{}", index % ZONES)).expect("the name is valid")),
        size: if (index / ZONES).is_multiple_of(10) { 1.0 } else { 0.2 },
        is_responsive,
        needs_direct: false,
    };
    plan_relays(&(1..routers).map(recipient).collect::<Vec<_>>())
}

fn encoded_len(message: &PeerMessage) -> usize {
    postcard::to_stdvec(message).expect("messages can be encoded").len()
}

/// Returns the bytes that the granter sends of a message.
fn granter_bytes(branches: &[Branch], message: &PeerMessage) -> usize {
    let payload = postcard::to_stdvec(message).expect("messages can be encoded");
    let bytes = |branch: &Branch| match branch.members.is_empty() {
        true => payload.len(),
        false => {
            let order = RelayOrder { to: branch.members.clone(), payload: payload.clone() };
            encoded_len(&PeerMessage::Relay(order))
        }
    };
    branches.iter().map(bytes).sum()
}

/// Returns the bytes that the busiest relay sends of a message.
fn relay_bytes(branches: &[Branch], message: &PeerMessage) -> usize {
    let payload = postcard::to_stdvec(message).expect("messages can be encoded");
    let relayed = RelayedMessage { origin: address(0), payload };
    let members = branches.iter().map(|branch| branch.members.len()).max().unwrap_or(0);
    members * encoded_len(&PeerMessage::Relayed(relayed))
}

fn heartbeat() -> PeerMessage {
    let zone = ZoneName::new("zone-3").expect("the name is valid");
    PeerMessage::Heartbeat(Heartbeat {
        host: host(0),
        term: Term(4),
        renewal: 12,
        unconfirmed_ms: 300,
        routers: 784,
        owner_sequences: vec![(service(), 40)],
        feed_state: Some(FeedState {
            age_ms: 300,
            server_sequence: 50,
            config_version: 30,
            zones_out: vec![zone],
            host_count: 784,
        }),
    })
}

fn owners(ranges: usize) -> Vec<PeerMessage> {
    let width = 65_536 / ranges;
    let owner = |index: usize| {
        let first = (index * width) as u16;
        let owner = OwnerId { server: server(index), started: 1_764_864_000_000 };
        (KeyRange::new(first, first + width as u16 - 1), owner)
    };
    let map = OwnerMap { term: Term(4), sequence: 1, ranges: (0..ranges).map(owner).collect() };
    let parts = map.split(RANGES_PER_PART);
    let count = parts.len() as u16;
    let part = |(index, owners)| ServiceOwners { service: service(), part: (index, count), owners };
    (0..).zip(parts).map(part).map(PeerMessage::Owners).collect()
}

fn config() -> PeerMessage {
    PeerMessage::Config(ConfigPart { version: 30, part: (0, 1), text: "x".repeat(CONFIG_BYTES) })
}

fn server_list(servers: usize) -> Vec<PeerMessage> {
    let entry = |index: usize| ServerEntry {
        service: service(),
        address: address(index),
        zone: ZoneName::new(&format!("zone-{}", index % ZONES)).expect("the name is valid"),
        slots: 4,
        state: ServerState::Ready,
        warm_up_left: Duration::from_millis(1_250),
        started: 1_764_864_000_000,
        heartbeat: 410,
    };
    let all: Vec<_> =
        (0..servers).map(|index| (server(index), Revision(9_000), Some(entry(index)))).collect();
    let parts: Vec<_> = all.chunks(SERVERS_PER_PART).collect();
    let count = parts.len() as u16;
    let update = |(index, servers): (u16, &[_])| ServerUpdate {
        term: Term(4),
        sequence: 50,
        part: Some((index, count)),
        servers: servers.to_vec(),
    };
    (0..).zip(parts).map(update).map(PeerMessage::Servers).collect()
}

fn host_list(routers: usize) -> PeerMessage {
    PeerMessage::Hosts((0..routers).map(|index| (host(index), address(index))).collect())
}

fn host(index: usize) -> HostName {
    HostName::new(&format!("gateway-{index:04}")).expect("the name is valid")
}

fn server(index: usize) -> ServerName {
    ServerName::new(&format!("lookup-{index:05}")).expect("the name is valid")
}

fn service() -> ServiceName {
    ServiceName::new("lookup").expect("the name is valid")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (index / 256) as u8, (index % 256) as u8], 7_540))
}
