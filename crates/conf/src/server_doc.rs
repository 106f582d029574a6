use std::net::SocketAddr;

use bay_types::{ServerName, ZoneName};

use crate::{Section, value};

/// The section of one server or target in a service document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerDoc {
    /// Name, unique within the service.
    pub name: ServerName,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Zone that the server is in.
    pub zone: ZoneName,
    /// Share of the keys or requests, relative to the other servers.
    pub weight: u32,
    /// Whether the server is about to be removed. It then gets no new work.
    pub leaving: bool,
}

impl ServerDoc {
    /// Prefix of the section names; the name of the server follows.
    pub(crate) const SECTION_PREFIX: &'static str = "server ";

    /// Parses a section `server NAME`.
    pub(crate) fn parse(section: Section<'_>) -> Option<ServerDoc> {
        let text = section.name().trim_start_matches(ServerDoc::SECTION_PREFIX).trim();
        let name = match value::parse_name(text) {
            Ok(name) => Some(name),
            Err(expected) => {
                section.record_error("", "name", format!("expected {expected}, found `{text}`"));
                None
            }
        };
        let address = section.read_required("address", value::parse_remote_address);
        let zone = section.read_required("zone", value::parse_name);
        let weight = section.read_optional("weight", value::parse_number(1..=1_000));
        let leaving = section.read_optional("leaving", value::parse_yes_no);
        Some(ServerDoc {
            name: name?,
            address: address?,
            zone: zone?,
            weight: weight.unwrap_or(100),
            leaving: leaving.unwrap_or(false),
        })
    }
}
