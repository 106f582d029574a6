use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bay_types::{HostName, ZoneName};

use crate::{ConfigErrors, Document, Section, value};

/// The settings of one host's processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The host's name.
    pub host: HostName,
    /// The host's zone.
    pub zone: ZoneName,
    /// Where the platform's store listens.
    pub store: SocketAddr,
    /// The file with the key shared by the system's processes.
    pub key_file: PathBuf,
    /// The least severe messages that are logged.
    pub log_level: LogLevel,
    /// Where counters are sent over UDP, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// The gate's settings.
    pub gate: GateSettings,
    /// The steward's settings.
    pub steward: StewardSettings,
}

/// The settings of a gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateSettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the gate is live and ready.
    pub admin: SocketAddr,
    /// Where other gates send their datagrams.
    pub peer: SocketAddr,
    /// The stewards that the gate takes updates from, its own first.
    pub stewards: Vec<SocketAddr>,
    /// Most open connections of callers.
    pub max_connections: u32,
    /// Most open connections of one peer address.
    pub max_connections_per_peer: u32,
    /// Time that a stopping gate stays open after it says that it is not ready.
    pub drain: Duration,
}

/// The settings of a steward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StewardSettings {
    /// Where gates and other stewards connect, over TCP and UDP.
    pub listen: SocketAddr,
    /// Where operators' tools ask for status.
    pub admin: SocketAddr,
}

/// How severe a message is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the system handles.
    Warn,
    /// Changes of state.
    Info,
    /// Single decisions.
    Debug,
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Returns every mistake found.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Settings, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let settings = read(&document);
        document.finish(settings)
    }
}

fn read(document: &Document) -> Option<Settings> {
    let node = document.section("node");
    let host = node.read_required("host", value::name);
    let zone = node.read_required("zone", value::name);
    let key_file = node.read_required("key_file", path);
    let store = document.section("store").read_required("address", value::remote_address);
    let log_level = document.section("log").read_optional("level", level);
    let metrics = document.section("metrics").read_optional("address", value::remote_address);
    let gate = read_gate(document.section("gate"));
    let steward = read_steward(document.section("steward"));
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

fn read_gate(section: Section<'_>) -> Option<GateSettings> {
    let listen = section.read_required("listen", value::address);
    let admin = section.read_required("admin", value::address);
    let peer = section.read_required("peer", value::own_address);
    let stewards = section.read_required("stewards", value::addresses);
    let max_connections = section.read_optional("max_connections", value::number(1..=1_000_000));
    let per_peer = section.read_optional("max_connections_per_peer", value::number(1..=1_000_000));
    let drain_range = Duration::ZERO..=Duration::from_secs(3_600);
    let drain = section.read_optional("drain", value::span(drain_range));
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

fn read_steward(section: Section<'_>) -> Option<StewardSettings> {
    let listen = section.read_required("listen", value::own_address);
    let admin = section.read_required("admin", value::address);
    Some(StewardSettings { listen: listen?, admin: admin? })
}

/// Finds two sockets of the host that would have the same address.
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
    let own: Vec<_> = gate.into_iter().flatten().chain(steward.into_iter().flatten()).collect();
    for (index, (section, key, address)) in own.iter().enumerate() {
        let clash = own[..index].iter().find(|(.., other)| other == address && address.port() != 0);
        if let Some((first_section, first_key, _)) = clash {
            let message = format!(
                "expected an address of its own, found that of `{first_section}.{first_key}`"
            );
            document.section(section).record_error(key, key, message);
        }
    }
}

fn path(text: &str) -> Result<PathBuf, String> {
    if text.is_empty() {
        return Err(String::from("a path"));
    }
    Ok(PathBuf::from(text))
}

fn level(text: &str) -> Result<LogLevel, String> {
    match text {
        "error" => Ok(LogLevel::Error),
        "warn" => Ok(LogLevel::Warn),
        "info" => Ok(LogLevel::Info),
        "debug" => Ok(LogLevel::Debug),
        _ => Err(String::from("`error`, `warn`, `info` or `debug`")),
    }
}
