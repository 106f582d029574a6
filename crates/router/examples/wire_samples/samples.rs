//! A sample of each message between routers and of each of the routers' records in the store.

use std::net::SocketAddr;
use std::time::Duration;

use bay_admission::{
    OverloadLevels, OverloadReport, RankCounts, RankShare, ServiceCounts, ServiceLevel,
};
use bay_capacity::{CapacitySample, ServerCapacity, ServerId, TimeCode};
use bay_quota::{AccountId, AccountShare, AccountUsage, QuotaShares, UsageEntry};
use bay_range::{
    EarlierGranter, FormerOwner, Holding, KeyLimit, KeyRange, LeadershipRecord, OwnerId,
    OwnerLimit, RangeTable, ServerOccupancy,
};
use bay_router::{
    ConfigPart, Crash, FeedState, Heartbeat, HostRecord, IdentifiedServer, KeyCount, OwnerChanges,
    OwnerMap, PeerMessage, Permit, PermitRequest, RateLimitNotice, RelayOrder, RelayedMessage,
    Report, ServerEntry, ServerNotice, ServerProcess, ServerState, ServerStatement, ServerTiming,
    ServerUpdate, ServiceOwners, ServiceReport, Vouch,
};
use bay_types::{HostName, Revision, ServerName, ServiceName, Term, Token, ZoneName};

/// Start time of the samples' processes.
const STARTED: u64 = 1_771_941_872_008;

fn host(name: &str) -> HostName {
    HostName::new(name).expect("the name is valid")
}

fn server(name: &str) -> ServerName {
    ServerName::new(name).expect("the name is valid")
}

fn account_usage(history: &[u32]) -> AccountUsage {
    let entry = UsageEntry {
        account: AccountId(0x89ab_cdef),
        admitted: 300,
        refused: 2,
        in_window: 4,
        history: history.to_vec(),
    };
    let (router, incarnation) = (0x1234_5678, 0x9abc_def0);
    AccountUsage { router, incarnation, term: 7, sent_ms: 86_400_000, entries: vec![entry] }
}

fn quota_shares() -> QuotaShares {
    let share = AccountShare { account: AccountId(0x89ab_cdef), share: 0x4000, used: 1_500 };
    QuotaShares { term: 7, sequence: 5, routers: 74, valid_ms: 600, entries: vec![share] }
}

fn service() -> ServiceName {
    ServiceName::new("lookup").expect("the name is valid")
}

fn zone() -> ZoneName {
    ZoneName::new("north").expect("the name is valid")
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 7_540))
}

fn owner(name: &str) -> OwnerId {
    OwnerId { server: server(name), started: STARTED }
}

fn owner_map() -> OwnerMap {
    let ranges =
        vec![(KeyRange::new(0, 4_095), owner("i-1")), (KeyRange::new(4_096, 65_535), owner("i-2"))];
    OwnerMap { term: Term(7), sequence: 300, ranges }
}

fn capacity_sample() -> CapacitySample {
    let server = ServerId::new(server("i-1"));
    CapacitySample { server, latency: TimeCode(112), concurrency: 3, answers: 2 }
}

fn server_capacity() -> ServerCapacity {
    let server = ServerId::new(server("i-1"));
    ServerCapacity { server, base: TimeCode(112), concurrency: 20 }
}

fn server_entry() -> ServerEntry {
    ServerEntry {
        service: service(),
        address: address(9),
        zone: zone(),
        slots: 4,
        state: ServerState::Draining,
        warm_up_left: Duration::from_millis(1_250),
        started: STARTED,
        heartbeat: 41,
    }
}

fn permit_request() -> PermitRequest {
    PermitRequest {
        server: server("i-1"),
        started: STARTED,
        per_second: 12.5,
        max_wait: Duration::from_millis(300),
    }
}

/// Returns a sample of each message under a name of its own. New messages are appended.
pub fn messages() -> Vec<(&'static str, PeerMessage)> {
    let owner_changes = OwnerChanges {
        term: Term(7),
        sequence: 301,
        removed: vec![KeyRange::new(0, 4_095)],
        added: vec![(KeyRange::new(0, 4_095), owner("i-3"))],
    };
    let heartbeat = |feed_state| {
        PeerMessage::Heartbeat(Heartbeat {
            host: host("edge-1"),
            term: Term(7),
            renewal: 12,
            unconfirmed_ms: 850,
            routers: 9,
            owner_sequences: vec![(service(), 300)],
            feed_state,
        })
    };
    let feed_state = FeedState {
        age_ms: 420,
        server_sequence: 17,
        config_version: 14,
        zones_out: vec![zone()],
        host_count: 13,
    };
    let report = Report {
        host: host("edge-2"),
        term: Term(7),
        services: vec![ServiceReport {
            service: service(),
            keys: vec![KeyCount { key: 4_097, requests: 31 }],
            servers: vec![ServerTiming { server: server("i-1"), service_ms: 61.5, requests: 12 }],
        }],
    };
    let update = |part, entry| {
        let servers = vec![(server("i-1"), Revision(923), entry)];
        PeerMessage::Servers(ServerUpdate { term: Term(7), sequence: 17, part, servers })
    };
    let relay = RelayOrder { to: vec![address(3), address(4)], payload: vec![5, 0] };
    let relayed = RelayedMessage { origin: address(1), payload: vec![6] };
    let config = ConfigPart { version: 14, part: (0, 2), text: "{\"version\"".to_owned() };
    let crash = Crash { digest: 0x9c41_d07b_e2a3_5f68, server: server("i-1"), started: STARTED };
    let limits = vec![KeyLimit { key: 4_097, share: 0.25 }];
    let notice =
        |per_second| RateLimitNotice { server: server("i-1"), started: STARTED, per_second };
    vec![
        ("heartbeat", heartbeat(Some(feed_state))),
        ("heartbeat-without-state", heartbeat(None)),
        ("owner-changes", PeerMessage::OwnerChanges(service(), owner_changes)),
        (
            "owners",
            PeerMessage::Owners(ServiceOwners {
                service: service(),
                part: (1, 2),
                owners: owner_map(),
            }),
        ),
        ("report", PeerMessage::Report(report)),
        ("request-owners", PeerMessage::RequestOwners(service())),
        ("servers-changed", update(None, Some(server_entry()))),
        ("servers-removed", update(None, None)),
        ("servers-listed", update(Some((0, 4)), Some(server_entry()))),
        ("request-servers", PeerMessage::RequestServers),
        ("crashes", PeerMessage::Crashes(vec![crash])),
        ("relay", PeerMessage::Relay(relay)),
        ("relayed", PeerMessage::Relayed(relayed)),
        ("request-direct", PeerMessage::RequestDirect),
        ("request-hosts", PeerMessage::RequestHosts),
        ("hosts", PeerMessage::Hosts(vec![(host("edge-1"), address(1))])),
        ("config", PeerMessage::Config(config)),
        ("key-limits", PeerMessage::KeyLimits(service(), limits)),
        ("rate-limits", PeerMessage::RateLimits(vec![notice(Some(12.5)), notice(None)])),
        ("server-notices", PeerMessage::ServerNotices(server_notices())),
        ("identified-servers", PeerMessage::IdentifiedServers(vec![identified_server()])),
        ("request-identified", PeerMessage::RequestIdentified(vec![server("i-3")])),
        ("request-permit", PeerMessage::RequestPermit(5, permit_request())),
        ("permit-granted", PeerMessage::Permit(5, Permit::Granted(Duration::from_millis(80)))),
        ("account-usage", PeerMessage::AccountUsage(account_usage(&[]))),
        ("account-usage-first", PeerMessage::AccountUsage(account_usage(&[0, 3, 1]))),
        ("quota-shares", PeerMessage::QuotaShares(quota_shares())),
        ("capacity-report", PeerMessage::CapacityReport(vec![capacity_sample()])),
        ("server-capacities", PeerMessage::ServerCapacities(vec![server_capacity()])),
        ("permit-denied", PeerMessage::Permit(6, Permit::Denied(Duration::from_millis(900)))),
        ("occupancies", PeerMessage::Occupancies(service(), vec![occupancy()])),
        ("owner-limits", PeerMessage::OwnerLimits(service(), vec![owner_limit()])),
        ("request-vouch", PeerMessage::RequestVouch(8_412_066_120_457)),
        (
            "vouch",
            PeerMessage::Vouch(Vouch {
                stamp: 8_412_066_120_457,
                config_version: 14,
                age_ms: 1_240,
            }),
        ),
        ("overload-report", PeerMessage::OverloadReport(overload_report())),
        ("overload-levels", PeerMessage::OverloadLevels(overload_levels())),
    ]
}

fn occupancy() -> ServerOccupancy {
    ServerOccupancy { server: server("i-3"), requests: 17 }
}

fn server_notices() -> Vec<ServerNotice> {
    let process = ServerProcess { server: server("i-3"), started: STARTED, address: address(9) };
    vec![ServerNotice { process, statement: ServerStatement::Leaving }]
}

fn identified_server() -> IdentifiedServer {
    let identifier = "Server_3".to_owned();
    IdentifiedServer { identifier, revision: Revision(90), entry: server_entry() }
}

fn owner_limit() -> OwnerLimit {
    OwnerLimit { server: server("i-3"), share: 0.75 }
}

fn overload_report() -> OverloadReport {
    let ranks = vec![RankCounts {
        rank: 2,
        offered: 17,
        admitted: 9,
        refused: 1,
        answered: 8,
        work_ms: 660,
    }];
    let counts = ServiceCounts { service: service(), waiting: 31, slots: 16, ranks };
    OverloadReport { services: vec![counts] }
}

fn overload_levels() -> OverloadLevels {
    let shares = vec![RankShare { rank: 2, share: 0.25 }];
    let services = vec![ServiceLevel { service: service(), shares }];
    OverloadLevels { term: Term(7), sequence: 44, valid_ms: 1_000, services }
}

/// Returns a sample of the record that elects the granter.
pub fn leadership_record() -> LeadershipRecord {
    LeadershipRecord {
        host: host("edge-1"),
        incarnation: STARTED,
        term: Term(7),
        renewal: 12,
        resigned: true,
        settled: true,
        earlier_granters: vec![EarlierGranter { host: host("edge-2"), incarnation: STARTED }],
        store_era: None,
        holds_known_in: None,
    }
}

/// Returns a sample of a router's registration.
pub fn host_record() -> HostRecord {
    HostRecord { peer: address(1), incarnation: STARTED, zone: Some(zone()), size: 0.5 }
}

/// Returns a sample of a service's range table.
pub fn range_table() -> RangeTable {
    let former = FormerOwner { owner: owner("i-2"), address: address(8), token: Token(6) };
    let holding = Holding {
        range: KeyRange::new(0, 65_535),
        owner: owner("i-1"),
        address: address(9),
        token: Token(7),
        former: Some(former),
        has_earlier_former: true,
    };
    RangeTable { term: Term(7), change: 44, holdings: vec![holding], store_era: None }
}
