use bay_conf::{ServiceDoc, ZoneDoc};
use bay_store::{HttpStore, ObjectKey, StoreReply, StoreRequest};
use bay_types::{Revision, ServiceName, ZoneName};

use crate::object_text::split_version;
use crate::store_calls::{call_store, run_write};
use crate::{CtlError, ExpectedVersion, WriteOutcome};

/// Checks a service's document and stores it.
///
/// If the document starts with a version line, it replaces that version. Without such a line, it
/// must be new or equal to the stored one.
///
/// # Errors
/// Returns an error if the document is invalid, the store does not reply, or the stored version is
/// not the expected one.
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

/// Checks a service's document and stores it if the stored version is the expected one.
///
/// An unspecified version is taken from the document's version line, if it has one.
///
/// # Errors
/// Returns an error in the same cases as [`apply_document`].
pub async fn apply_document_at_version(
    store: &HttpStore,
    file: &str,
    bytes: &[u8],
    expected: ExpectedVersion,
) -> Result<WriteOutcome, CtlError> {
    let doc = ServiceDoc::parse(file, bytes).map_err(CtlError::InvalidDocument)?;
    // Parsing has checked that the bytes are UTF-8.
    let text = String::from_utf8_lossy(bytes);
    let (version, body) = split_version(&text);
    let expected = match (expected, version) {
        (ExpectedVersion::Unspecified, Some(version)) => ExpectedVersion::Version(version),
        (expected, _) => expected,
    };
    check_slices(store, &doc).await?;
    run_write(store, ObjectKey::service(doc.name), Some(body), expected).await
}

/// Takes a zone in or out of service, whatever version of its object is stored.
///
/// # Errors
/// Returns an error if no host and no server is in the zone, the store does not reply, or another
/// operator changes the object at the same time.
pub async fn set_zone(store: &HttpStore, doc: &ZoneDoc) -> Result<Revision, CtlError> {
    match set_zone_at_version(store, doc, ExpectedVersion::Current).await? {
        WriteOutcome::Changed(revision) | WriteOutcome::Unchanged(revision) => Ok(revision),
        WriteOutcome::Absent => Err(CtlError::NotFound(doc.zone.to_string())),
    }
}

/// Takes a zone in or out of service if the stored version of its object is the expected one.
///
/// # Errors
/// Returns an error in the same cases as [`set_zone`].
pub async fn set_zone_at_version(
    store: &HttpStore,
    doc: &ZoneDoc,
    expected: ExpectedVersion,
) -> Result<WriteOutcome, CtlError> {
    check_zone(store, doc.zone).await?;
    run_write(store, ObjectKey::zone(doc.zone), Some(&doc.to_text()), expected).await
}

/// Deletes a service's document if its stored version is the expected one.
///
/// # Errors
/// Returns an error if the store does not reply or the stored version is not the expected one.
pub async fn delete_document(
    store: &HttpStore,
    service: ServiceName,
    expected: ExpectedVersion,
) -> Result<WriteOutcome, CtlError> {
    run_write(store, ObjectKey::service(service), None, expected).await
}

/// Rejects a document that changes the number of slices of a stored service. The stored
/// assignment names an owner for each slice, so it would name no owner for the new slices.
async fn check_slices(store: &HttpStore, doc: &ServiceDoc) -> Result<(), CtlError> {
    let key = ObjectKey::service(doc.name);
    let StoreReply::Object(Some(object)) = call_store(store, StoreRequest::Get { key }).await?
    else {
        return Ok(());
    };
    // A stored document that this version cannot parse has no slices in use.
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

/// Rejects a zone that no host and no server is in. A mistyped name would leave the intended zone
/// in service while the operator believes that it is out.
async fn check_zone(store: &HttpStore, zone: ZoneName) -> Result<(), CtlError> {
    let mut known = Vec::new();
    if let StoreReply::Hosts(hosts) = call_store(store, StoreRequest::Hosts).await? {
        known.extend(hosts.iter().map(|host| host.zone));
    }
    let prefix = ObjectKey::SERVICES.to_owned();
    if let StoreReply::Objects(body) = call_store(store, StoreRequest::List { prefix }).await? {
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
