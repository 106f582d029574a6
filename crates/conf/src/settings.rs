use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bay_types::{HostName, ZoneName};

use crate::{ConfigErrors, Document, Section, value};

/// Settings of the gate and the steward of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Zone that the host is in.
    pub zone: ZoneName,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// File with the secret shared by all processes of the cluster.
    pub key_file: PathBuf,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// StatsD address to which counters are sent over UDP, if any.
    pub metrics: Option<SocketAddr>,
    /// Settings of the gate.
    pub gate: GateSettings,
    /// Settings of the steward.
    pub steward: StewardSettings,
}

/// Settings of a gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateSettings {
    /// Address on which the gate accepts connections of callers.
    pub listen: SocketAddr,
    /// Admin address, for counters and the health checks of the load balancer.
    pub admin: SocketAddr,
    /// Address on which the gate receives datagrams of other gates.
    pub peer: SocketAddr,
    /// Addresses of the stewards that send updates to the gate. The steward of the gate's own host
    /// is the first.
    pub stewards: Vec<SocketAddr>,
    /// Maximum number of open connections of all callers.
    pub max_connections: u32,
    /// Maximum number of open connections from one IP address.
    pub max_connections_per_peer: u32,
    /// Time for which a stopping gate still accepts requests after it reports that it is not ready.
    pub drain: Duration,
}

/// Settings of a steward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StewardSettings {
    /// TCP and UDP address for gates and other stewards.
    pub listen: SocketAddr,
    /// Admin address, for counters and the status that operators' tools request.
    pub admin: SocketAddr,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// A failure that an operator must fix.
    Error,
    /// A failure that the system handles.
    Warn,
    /// A change of state.
    Info,
    /// A single decision.
    Debug,
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// Returns all errors found.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Settings, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let settings = parse_document(&document);
        document.finish(settings)
    }
}

fn parse_document(document: &Document) -> Option<Settings> {
    let node = document.section("node");
    let host = node.read_required("host", value::parse_name);
    let zone = node.read_required("zone", value::parse_name);
    let key_file = node.read_required("key_file", parse_path);
    let store = document.section("store").read_required("address", value::parse_remote_address);
    let log_level = document.section("log").read_optional("level", parse_log_level);
    let metrics = document.section("metrics").read_optional("address", value::parse_remote_address);
    let gate = parse_gate(document.section("gate"));
    let steward = parse_steward(document.section("steward"));
    check_addresses(document, gate.as_ref(), steward.as_ref());
    Some(Settings {
        host: host?,
        zone: zone?,
        store: store?,
        key_file: key_file?,
        log_level: log_level.unwrap_or(LogLevel::Info),
        metrics,
        gate: gate?,
        steward: steward?,
    })
}

fn parse_gate(section: Section<'_>) -> Option<GateSettings> {
    let listen = section.read_required("listen", value::parse_address);
    let admin = section.read_required("admin", value::parse_address);
    let peer = section.read_required("peer", value::parse_advertised_address);
    let stewards = section.read_required("stewards", value::parse_addresses);
    let max_connections =
        section.read_optional("max_connections", value::parse_number(1..=1_000_000));
    let per_peer =
        section.read_optional("max_connections_per_peer", value::parse_number(1..=1_000_000));
    let drain_range = Duration::ZERO..=Duration::from_secs(3_600);
    let drain = section.read_optional("drain", value::parse_duration(drain_range));
    Some(GateSettings {
        listen: listen?,
        admin: admin?,
        peer: peer?,
        stewards: stewards?,
        max_connections: max_connections.unwrap_or(10_000),
        max_connections_per_peer: per_peer.unwrap_or(2_000),
        drain: drain.unwrap_or(Duration::from_secs(5)),
    })
}

fn parse_steward(section: Section<'_>) -> Option<StewardSettings> {
    let listen = section.read_required("listen", value::parse_advertised_address);
    let admin = section.read_required("admin", value::parse_address);
    Some(StewardSettings { listen: listen?, admin: admin? })
}

/// Records an error for each address that the host would listen on twice.
fn check_addresses(
    document: &Document,
    gate: Option<&GateSettings>,
    steward: Option<&StewardSettings>,
) {
    let gate = gate.map(|gate| {
        [
            ("gate", "listen", gate.listen),
            ("gate", "admin", gate.admin),
            ("gate", "peer", gate.peer),
        ]
    });
    let steward = steward.map(|steward| {
        [("steward", "listen", steward.listen), ("steward", "admin", steward.admin)]
    });
    let addresses: Vec<_> =
        gate.into_iter().flatten().chain(steward.into_iter().flatten()).collect();
    for (index, (section, key, address)) in addresses.iter().enumerate() {
        let duplicate =
            addresses[..index].iter().find(|(.., other)| other == address && address.port() != 0);
        if let Some((first_section, first_key, _)) = duplicate {
            let message = format!("address is already used by `{first_section}.{first_key}`");
            document.section(section).record_error(key, key, message);
        }
    }
}

fn parse_path(text: &str) -> Result<PathBuf, String> {
    if text.is_empty() {
        return Err(String::from("a path"));
    }
    Ok(PathBuf::from(text))
}

fn parse_log_level(text: &str) -> Result<LogLevel, String> {
    match text {
        "error" => Ok(LogLevel::Error),
        "warn" => Ok(LogLevel::Warn),
        "info" => Ok(LogLevel::Info),
        "debug" => Ok(LogLevel::Debug),
        _ => Err(String::from("`error`, `warn`, `info` or `debug`")),
    }
}
