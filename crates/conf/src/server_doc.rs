use std::net::SocketAddr;

use bay_types::{ServerName, ZoneName};

use crate::{Section, value};

/// One server or target of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerDoc {
    /// Its name within the service.
    pub name: ServerName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its share of the keys or work relative to the others.
    pub weight: u32,
    /// Whether it is about to leave, so that it gets no new work.
    pub leaving: bool,
}

impl ServerDoc {
    /// The prefix of the section names.
    pub(crate) const SECTION_PREFIX: &'static str = "server ";

    /// Reads a section `server NAME`.
    pub(crate) fn read(section: Section<'_>) -> Option<ServerDoc> {
        let text = section.name().trim_start_matches(ServerDoc::SECTION_PREFIX).trim();
        let name = match value::name(text) {
            Ok(name) => Some(name),
            Err(expected) => {
                section.record_error("", "name", format!("expected {expected}, found `{text}`"));
                None
            }
        };
        let address = section.read_required("address", value::remote_address);
        let zone = section.read_required("zone", value::name);
        let weight = section.read_optional("weight", value::number(1..=1_000));
        let leaving = section.read_optional("leaving", value::yes_no);
        Some(ServerDoc {
            name: name?,
            address: address?,
            zone: zone?,
            weight: weight.unwrap_or(100),
            leaving: leaving.unwrap_or(false),
        })
    }
}
