use bay_types::ServiceName;

use crate::{Document, KeyedRules, Limits, Mistakes, RequestRules, ServerDoc, value};

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
    /// What each of its targets bears.
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
    pub fn parse(file: &str, bytes: &[u8]) -> Result<ServiceDoc, Mistakes> {
        let document = Document::parse(file, bytes)?;
        let doc = read(&document);
        document.finish(doc)
    }

    /// The rules for keys, or `None` if the service is pooled.
    pub fn keyed(&self) -> Option<&KeyedRules> {
        match &self.kind {
            ServiceKind::Keyed(rules) => Some(rules),
            ServiceKind::Pooled => None,
        }
    }
}

fn read(document: &Document) -> Option<ServiceDoc> {
    let service = document.section("service");
    let name = service.required("name", value::name);
    let hosts = service.required("hosts", hosts);
    let keyed = service.required("kind", |text| match text {
        "keyed" => Ok(true),
        "pooled" => Ok(false),
        _ => Err(String::from("`keyed` or `pooled`")),
    });
    let kind = match keyed {
        Some(true) => KeyedRules::read(document.section("keys")).map(ServiceKind::Keyed),
        Some(false) => Some(ServiceKind::Pooled),
        None => None,
    };
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

fn read_servers(document: &Document) -> Option<Vec<ServerDoc>> {
    let names = document.sections_with_prefix(ServerDoc::SECTION_PREFIX);
    let read: Vec<_> =
        names.into_iter().map(|name| ServerDoc::read(document.section(name))).collect();
    let servers: Vec<ServerDoc> = read.into_iter().collect::<Option<_>>()?;
    for (index, server) in servers.iter().enumerate() {
        let earlier = &servers[..index];
        if earlier.iter().any(|other| other.address == server.address) {
            let name = format!("{}{}", ServerDoc::SECTION_PREFIX, server.name);
            let message = String::from("expected an address that no other server has");
            document.section(&name).report("address", "address", message);
        }
    }
    Some(servers)
}

fn hosts(text: &str) -> Result<Vec<String>, String> {
    let hosts: Vec<String> = text.split(',').map(|part| part.trim().to_lowercase()).collect();
    let valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'.';
    if hosts.iter().any(|host| host.is_empty() || !host.bytes().all(valid)) {
        return Err(String::from("host names parted by commas, without ports"));
    }
    Ok(hosts)
}
