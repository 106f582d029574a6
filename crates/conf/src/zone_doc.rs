use bay_types::ZoneName;

use crate::{ConfigErrors, Document, value};

/// What operators say of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDoc {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it takes work.
    pub state: ZoneState,
    /// The operator who said so last.
    pub operator: String,
}

/// Whether a zone takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone takes work.
    In,
    /// The zone gets no new work.
    Out,
}

impl ZoneDoc {
    /// Reads and checks a zone's object.
    ///
    /// # Errors
    /// Returns every mistake found.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<ZoneDoc, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let doc = read(&document);
        document.finish(doc)
    }

    /// Reads and checks a zone's object whose key holds this name.
    ///
    /// # Errors
    /// Returns every mistake found; the object of another zone is one.
    pub fn parse_named(file: &str, zone: ZoneName, bytes: &[u8]) -> Result<ZoneDoc, ConfigErrors> {
        let document = Document::parse(file, bytes)?;
        let doc = read(&document);
        if doc.as_ref().is_some_and(|doc| doc.zone != zone) {
            let message = format!("expected `{zone}`, the name in the object's key");
            document.section("zone").record_error("name", "name", message);
        }
        document.finish(doc)
    }

    /// Writes the zone's object.
    pub fn to_text(&self) -> String {
        let state = match self.state {
            ZoneState::In => "in",
            ZoneState::Out => "out",
        };
        let operator: String = self.operator.chars().filter(|c| !c.is_control()).collect();
        format!("[zone]\nname = {}\nstate = {state}\noperator = {operator}\n", self.zone)
    }
}

fn read(document: &Document) -> Option<ZoneDoc> {
    let section = document.section("zone");
    let zone = section.read_required("name", value::name);
    let state = section.read_required("state", |text| match text {
        "in" => Ok(ZoneState::In),
        "out" => Ok(ZoneState::Out),
        _ => Err(String::from("`in` or `out`")),
    });
    let operator = section.read_required("operator", |text| Ok(text.to_owned()));
    Some(ZoneDoc { zone: zone?, state: state?, operator: operator? })
}
