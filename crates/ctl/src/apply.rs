use bay_conf::{ServiceDoc, ZoneDoc};
use bay_store::{Expect, HttpStore, Object, ObjectKey, StoreReply, StoreRequest};
use bay_types::Revision;

use crate::CtlError;

/// Checks a service's document and writes it over the version that it has read.
///
/// # Errors
/// Returns an error if the document has mistakes, the store gave no answer, or another operator
/// was first.
pub async fn apply_document(
    store: &HttpStore,
    file: &str,
    bytes: &[u8],
) -> Result<Revision, CtlError> {
    let doc = ServiceDoc::parse(file, bytes).map_err(CtlError::Mistakes)?;
    let body = String::from_utf8_lossy(bytes).into_owned();
    write(store, ObjectKey::service(doc.name), body).await
}

/// Takes a zone in or out.
///
/// # Errors
/// Returns an error if the store gave no answer or another operator was first.
pub async fn set_zone(store: &HttpStore, doc: &ZoneDoc) -> Result<Revision, CtlError> {
    write(store, ObjectKey::zone(doc.zone), doc.to_text()).await
}

async fn write(store: &HttpStore, key: ObjectKey, body: String) -> Result<Revision, CtlError> {
    let read = read(store, key.clone()).await?;
    if let Some(object) = &read
        && object.body == body
    {
        return Ok(object.revision);
    }
    let revision = read.map(|object| object.revision);
    let expect = revision.map_or(Expect::Absent, Expect::Revision);
    let put = StoreRequest::Put { key, body, expect };
    match store.call(put).await.map_err(CtlError::Store)? {
        StoreReply::Written(revision) => Ok(revision),
        StoreReply::Conflict(current) => {
            Err(CtlError::Conflict { read: revision.map(|revision| revision.0), current })
        }
        _ => Err(CtlError::Store(bay_store::StoreError::Unknown)),
    }
}

async fn read(store: &HttpStore, key: ObjectKey) -> Result<Option<Object>, CtlError> {
    match store.call(StoreRequest::Get { key }).await.map_err(CtlError::Store)? {
        StoreReply::Object(object) => Ok(object),
        _ => Err(CtlError::Store(bay_store::StoreError::Unknown)),
    }
}
