use bay_types::ServiceName;

use crate::{ConfigErrors, Document, KeyedRules, Limits, RequestRules, ServerDoc, value};

/// A service's one document.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDoc {
    /// The service's name.
    pub name: ServiceName,
    /// The host names under which callers reach it.
    pub hosts: Vec<String>,
    /// Whether its servers own keys.
    pub kind: ServiceKind,
    /// How its requests are handled.
    pub requests: RequestRules,
    /// What each of its targets can take.
    pub limits: Limits,
    /// Its servers or targets.
    pub servers: Vec<ServerDoc>,
}

/// Whether a service's servers own keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceKind {
    /// Each key has one owner.
    Keyed(KeyedRules),
    /// Any target takes any request.
    Pooled,
}

impl ServiceDoc {
    /// Reads and checks a document.
    ///
    /// # Errors
    /// Returns every mistake found.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<ServiceDoc, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let doc = read(&document);
        document.finish(doc)
    }

    /// Reads and checks a document whose object's key holds this name.
    ///
    /// # Errors
    /// Returns every mistake found; a document of another service is one.
    pub fn parse_named(
        file: &str,
        name: ServiceName,
        bytes: &[u8],
    ) -> Result<ServiceDoc, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let doc = read(&document);
        if doc.as_ref().is_some_and(|doc| doc.name != name) {
            let message = format!("expected `{name}`, the name in the object's key");
            document.section("service").record_error("name", "name", message);
        }
        document.finish(doc)
    }

    /// The rules for keys, or `None` if the service is pooled.
    pub fn keyed_rules(&self) -> Option<&KeyedRules> {
        match &self.kind {
            ServiceKind::Keyed(rules) => Some(rules),
            ServiceKind::Pooled => None,
        }
    }
}

fn read(document: &Document) -> Option<ServiceDoc> {
    let service = document.section("service");
    let name = service.read_required("name", value::name);
    let hosts = service.read_required("hosts", hosts);
    let keyed = service.read_required("kind", |text| match text {
        "keyed" => Ok(true),
        "pooled" => Ok(false),
        _ => Err(String::from("`keyed` or `pooled`")),
    });
    let kind = read_kind(document, keyed);
    let requests = RequestRules::read(document.section("requests"));
    let limits = Limits::read(document.section("limits"));
    let servers = read_servers(document);
    Some(ServiceDoc {
        name: name?,
        hosts: hosts?,
        kind: kind?,
        requests,
        limits: limits?,
        servers: servers?,
    })
}

fn read_kind(document: &Document, keyed: Option<bool>) -> Option<ServiceKind> {
    let keys = document.section("keys");
    match keyed {
        Some(true) => KeyedRules::read(keys).map(ServiceKind::Keyed),
        Some(false) => {
            if keys.exists() {
                keys.reject(String::from("expected no section `keys` in a pooled service"));
            }
            Some(ServiceKind::Pooled)
        }
        // The mistakes in the section are found although the kind is not known.
        None if keys.exists() => KeyedRules::read(keys).and(None),
        None => None,
    }
}

fn read_servers(document: &Document) -> Option<Vec<ServerDoc>> {
    let sections = document.sections_with_prefix(ServerDoc::SECTION_PREFIX);
    if sections.is_empty() {
        let message = String::from("expected a section `server NAME` for each server, found none");
        document.report("server", message);
    }
    let mut servers: Vec<ServerDoc> = Vec::new();
    let mut complete = true;
    for name in sections {
        let section = document.section(name);
        let Some(server) = ServerDoc::read(section) else {
            complete = false;
            continue;
        };
        if servers.iter().any(|other| other.name == server.name) {
            section.reject(String::from("expected a name that no other server has"));
        }
        if servers.iter().any(|other| other.address == server.address) {
            let message = String::from("expected an address that no other server has");
            section.record_error("address", "address", message);
        }
        servers.push(server);
    }
    complete.then_some(servers)
}

fn hosts(text: &str) -> Result<Vec<String>, String> {
    let hosts: Vec<String> = text.split(',').map(|part| part.trim().to_lowercase()).collect();
    let valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'.';
    if hosts.iter().any(|host| host.is_empty() || !host.bytes().all(valid)) {
        return Err(String::from("host names parted by commas, without ports"));
    }
    if !value::all_differ(&hosts) {
        return Err(String::from("each host name once"));
    }
    Ok(hosts)
}
