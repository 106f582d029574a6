use bay_store::{HttpStore, Object, ObjectKey, StoreError, StoreReply, StoreRequest};

use crate::CtlError;
use crate::object_text::with_version;
use crate::store_calls::call_store;

/// Reads an object and puts its version in the first line.
///
/// The text can be edited and applied; it then replaces that version. If `raw` is set, the object
/// is returned exactly as it is stored.
///
/// # Errors
/// Returns an error if the object does not exist or the store does not reply.
pub async fn show_object(store: &HttpStore, key: ObjectKey, raw: bool) -> Result<String, CtlError> {
    let name = key.to_string();
    match call_store(store, StoreRequest::Get { key }).await? {
        StoreReply::Object(Some(object)) if raw => Ok(object.body),
        StoreReply::Object(Some(object)) => Ok(with_version(object.revision, &object.body)),
        StoreReply::Object(None) => Err(CtlError::NotFound(name)),
        _ => Err(CtlError::Store(StoreError::Unknown)),
    }
}

/// Lists the keys and versions of all service documents and zones, a line each.
///
/// # Errors
/// Returns an error if the store does not reply.
pub async fn list_objects(store: &HttpStore) -> Result<String, CtlError> {
    let mut text = String::new();
    for prefix in [ObjectKey::SERVICES, ObjectKey::ZONES] {
        let request = StoreRequest::List { prefix: prefix.to_owned() };
        let StoreReply::Objects(body) = call_store(store, request).await? else {
            return Err(CtlError::Store(StoreError::Unknown));
        };
        for Object { key, revision, .. } in body.objects {
            text.push_str(&format!("{key} version {}\n", revision.0));
        }
    }
    Ok(text)
}
