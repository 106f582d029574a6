use bay_types::ServiceName;

use crate::{ConfigErrors, Document, KeyedRules, Limits, RequestRules, ServerDoc, value};

/// The document that describes a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDoc {
    /// Name, which is also in the key of the stored object.
    pub name: ServiceName,
    /// Host names of the service in the requests of callers, in lower case.
    pub hosts: Vec<String>,
    /// Whether the servers own keys, with the rules for them.
    pub kind: ServiceKind,
    /// Timeouts, budgets and other rules for requests.
    pub requests: RequestRules,
    /// Capacity limits of each target.
    pub limits: Limits,
    /// Servers or targets, in the order of the document; there is at least one.
    pub servers: Vec<ServerDoc>,
}

/// Whether the servers of a service own keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceKind {
    /// Each key is owned by one server, which runs its requests.
    Keyed(KeyedRules),
    /// Any target can run any request.
    Pooled,
}

impl ServiceDoc {
    /// Parses and checks a document.
    ///
    /// # Errors
    /// Returns all errors found.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<ServiceDoc, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let doc = parse_document(&document);
        document.finish(doc)
    }

    /// Parses and checks a stored document whose object key contains `name`.
    ///
    /// # Errors
    /// Returns all errors found. A document that names another service is an error.
    pub fn parse_named(
        file: &str,
        name: ServiceName,
        bytes: &[u8],
    ) -> Result<ServiceDoc, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let doc = parse_document(&document);
        if doc.as_ref().is_some_and(|doc| doc.name != name) {
            let message = format!("expected `{name}`, the name in the object's key");
            document.section("service").record_error("name", "name", message);
        }
        document.finish(doc)
    }

    /// Returns the rules for keys, or `None` if the service is pooled.
    pub fn keyed_rules(&self) -> Option<&KeyedRules> {
        match &self.kind {
            ServiceKind::Keyed(rules) => Some(rules),
            ServiceKind::Pooled => None,
        }
    }
}

fn parse_document(document: &Document) -> Option<ServiceDoc> {
    let service = document.section("service");
    let name = service.read_required("name", value::parse_name);
    let hosts = service.read_required("hosts", parse_host_names);
    let keyed = service.read_required("kind", |text| match text {
        "keyed" => Ok(true),
        "pooled" => Ok(false),
        _ => Err(String::from("`keyed` or `pooled`")),
    });
    let kind = parse_kind(document, keyed);
    let requests = RequestRules::parse(document.section("requests"));
    let limits = Limits::parse(document.section("limits"));
    let servers = parse_servers(document);
    Some(ServiceDoc {
        name: name?,
        hosts: hosts?,
        kind: kind?,
        requests,
        limits: limits?,
        servers: servers?,
    })
}

fn parse_kind(document: &Document, keyed: Option<bool>) -> Option<ServiceKind> {
    let keys = document.section("keys");
    match keyed {
        Some(true) => KeyedRules::parse(keys).map(ServiceKind::Keyed),
        Some(false) => {
            if keys.exists() {
                keys.reject(String::from("section `keys` is not allowed in a pooled service"));
            }
            Some(ServiceKind::Pooled)
        }
        // The kind is invalid. The section is still parsed to report its errors too.
        None if keys.exists() => KeyedRules::parse(keys).and(None),
        None => None,
    }
}

fn parse_servers(document: &Document) -> Option<Vec<ServerDoc>> {
    let sections = document.sections_with_prefix(ServerDoc::SECTION_PREFIX);
    if sections.is_empty() {
        let message = String::from("no servers found, expected a section `server NAME` for each");
        document.record_file_error("server", message);
    }
    let mut servers: Vec<ServerDoc> = Vec::new();
    let mut complete = true;
    for name in sections {
        let section = document.section(name);
        let Some(server) = ServerDoc::parse(section) else {
            complete = false;
            continue;
        };
        if servers.iter().any(|other| other.name == server.name) {
            section.reject(String::from("name is already used by another server"));
        }
        if servers.iter().any(|other| other.address == server.address) {
            let message = String::from("address is already used by another server");
            section.record_error("address", "address", message);
        }
        servers.push(server);
    }
    complete.then_some(servers)
}

fn parse_host_names(text: &str) -> Result<Vec<String>, String> {
    let hosts: Vec<String> = text.split(',').map(|part| part.trim().to_lowercase()).collect();
    let valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'.';
    if hosts.iter().any(|host| host.is_empty() || !host.bytes().all(valid)) {
        return Err(String::from("host names without ports, separated by commas"));
    }
    if !value::are_distinct(&hosts) {
        return Err(String::from("each host name once"));
    }
    Ok(hosts)
}
