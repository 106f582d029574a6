use bay_types::ZoneName;

use crate::{ConfigErrors, Document, value};

/// The stored object with which operators take a zone in and out of service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDoc {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Whether the zone gets new work.
    pub state: ZoneState,
    /// Name of the operator who changed the state last.
    pub operator: String,
}

/// Whether a zone gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone is in service.
    In,
    /// The zone is out of service and gets no new work.
    Out,
}

impl ZoneDoc {
    /// Parses and checks a zone's object.
    ///
    /// # Errors
    /// Returns all errors found.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<ZoneDoc, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let doc = parse_document(&document);
        document.finish(doc)
    }

    /// Parses and checks a zone's stored object whose key contains `zone`.
    ///
    /// # Errors
    /// Returns all errors found. An object that names another zone is an error.
    pub fn parse_named(file: &str, zone: ZoneName, bytes: &[u8]) -> Result<ZoneDoc, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let doc = parse_document(&document);
        if doc.as_ref().is_some_and(|doc| doc.zone != zone) {
            let message = format!("expected `{zone}`, the name in the object's key");
            document.section("zone").record_error("name", "name", message);
        }
        document.finish(doc)
    }

    /// Formats the object as INI. Control characters are removed from the operator's name.
    pub fn to_text(&self) -> String {
        let state = match self.state {
            ZoneState::In => "in",
            ZoneState::Out => "out",
        };
        let operator: String = self.operator.chars().filter(|c| !c.is_control()).collect();
        format!("[zone]\nname = {}\nstate = {state}\noperator = {operator}\n", self.zone)
    }
}

fn parse_document(document: &Document) -> Option<ZoneDoc> {
    let section = document.section("zone");
    let zone = section.read_required("name", value::parse_name);
    let state = section.read_required("state", |text| match text {
        "in" => Ok(ZoneState::In),
        "out" => Ok(ZoneState::Out),
        _ => Err(String::from("`in` or `out`")),
    });
    let operator = section.read_required("operator", |text| Ok(text.to_owned()));
    Some(ZoneDoc { zone: zone?, state: state?, operator: operator? })
}
