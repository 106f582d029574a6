use bay_conf::{ServiceDoc, ZoneDoc};
use bay_store::{HttpStore, ObjectKey, StoreReply, StoreRequest};
use bay_types::{Revision, ServiceName, ZoneName};

use crate::object_text::split_version;
use crate::perform::{call, perform};
use crate::{CtlError, ExpectedVersion, WriteOutcome};

/// Checks a service's document and writes it over the version that its first line names, or as a
/// new one.
///
/// # Errors
/// Returns an error if the document has mistakes, the store gave no answer, or another operator
/// was first.
pub async fn apply_document(
    store: &HttpStore,
    file: &str,
    bytes: &[u8],
) -> Result<Revision, CtlError> {
    match apply_document_at_version(store, file, bytes, ExpectedVersion::Unspecified).await? {
        WriteOutcome::Changed(revision) | WriteOutcome::Unchanged(revision) => Ok(revision),
        WriteOutcome::Absent => Err(CtlError::NotFound(file.to_owned())),
    }
}

/// Checks a service's document and writes it over the version that is expected; an unstated one
/// is taken from the document's first line.
///
/// # Errors
/// As [`apply_document`].
pub async fn apply_document_at_version(
    store: &HttpStore,
    file: &str,
    bytes: &[u8],
    expected: ExpectedVersion,
) -> Result<WriteOutcome, CtlError> {
    let doc = ServiceDoc::parse(file, bytes).map_err(CtlError::InvalidDocument)?;
    // The document was checked to be UTF-8.
    let text = String::from_utf8_lossy(bytes);
    let (version, body) = split_version(&text);
    let expected = match (expected, version) {
        (ExpectedVersion::Unspecified, Some(version)) => ExpectedVersion::Version(version),
        (expected, _) => expected,
    };
    check_slices(store, &doc).await?;
    perform(store, ObjectKey::service(doc.name), Some(body), expected).await
}

/// Takes a zone in or out.
///
/// # Errors
/// Returns an error if no host and no server has the zone, the store gave no answer or another
/// operator was first.
pub async fn set_zone(store: &HttpStore, doc: &ZoneDoc) -> Result<Revision, CtlError> {
    match set_zone_at_version(store, doc, ExpectedVersion::Current).await? {
        WriteOutcome::Changed(revision) | WriteOutcome::Unchanged(revision) => Ok(revision),
        WriteOutcome::Absent => Err(CtlError::NotFound(doc.zone.to_string())),
    }
}

/// Takes a zone in or out over the version that is expected.
///
/// # Errors
/// As [`set_zone`].
pub async fn set_zone_at_version(
    store: &HttpStore,
    doc: &ZoneDoc,
    expected: ExpectedVersion,
) -> Result<WriteOutcome, CtlError> {
    check_zone(store, doc.zone).await?;
    perform(store, ObjectKey::zone(doc.zone), Some(&doc.to_text()), expected).await
}

/// Deletes a service's document at the version that is expected.
///
/// # Errors
/// Returns an error if the store gave no answer or another operator was first.
pub async fn delete_document(
    store: &HttpStore,
    service: ServiceName,
    expected: ExpectedVersion,
) -> Result<WriteOutcome, CtlError> {
    perform(store, ObjectKey::service(service), None, expected).await
}

/// Finds a change of the slices, under which the stored assignment would name no owner.
async fn check_slices(store: &HttpStore, doc: &ServiceDoc) -> Result<(), CtlError> {
    let key = ObjectKey::service(doc.name);
    let StoreReply::Object(Some(object)) = call(store, StoreRequest::Get { key }).await? else {
        return Ok(());
    };
    // A stored document that this version cannot read divides no keys.
    let Ok(current) = ServiceDoc::parse(object.key.as_str(), object.body.as_bytes()) else {
        return Ok(());
    };
    let ranges = |doc: &ServiceDoc| doc.keyed_rules().map(|rules| rules.layout.ranges());
    match (ranges(&current), ranges(doc)) {
        (Some(current), Some(found)) if current != found => {
            Err(CtlError::SlicesChanged { current, found })
        }
        _ => Ok(()),
    }
}

/// Finds a mistyped zone, which would stay in while its operator believes that it is out.
async fn check_zone(store: &HttpStore, zone: ZoneName) -> Result<(), CtlError> {
    let mut known = Vec::new();
    if let StoreReply::Hosts(hosts) = call(store, StoreRequest::Hosts).await? {
        known.extend(hosts.iter().map(|host| host.zone));
    }
    let prefix = ObjectKey::SERVICES.to_owned();
    if let StoreReply::Objects(body) = call(store, StoreRequest::List { prefix }).await? {
        for object in body.objects {
            let doc = ServiceDoc::parse(object.key.as_str(), object.body.as_bytes());
            let servers = doc.map(|doc| doc.servers).unwrap_or_default();
            known.extend(servers.iter().map(|server| server.zone));
        }
    }
    if known.is_empty() || known.contains(&zone) {
        return Ok(());
    }
    known.sort();
    known.dedup();
    let known = known.iter().map(ZoneName::to_string).collect();
    Err(CtlError::UnknownZone { zone: zone.to_string(), known })
}
