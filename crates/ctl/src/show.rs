use bay_store::{HttpStore, Object, ObjectKey, StoreError, StoreReply, StoreRequest};

use crate::CtlError;
use crate::object_text::with_version;
use crate::perform::call;

/// Reads an object; its version stands in the first line, so that the text can be edited and
/// applied over that version.
///
/// # Errors
/// Returns an error if there is no such object or the store gave no answer.
pub async fn show_object(store: &HttpStore, key: ObjectKey, raw: bool) -> Result<String, CtlError> {
    let name = key.to_string();
    match call(store, StoreRequest::Get { key }).await? {
        StoreReply::Object(Some(object)) if raw => Ok(object.body),
        StoreReply::Object(Some(object)) => Ok(with_version(object.revision, &object.body)),
        StoreReply::Object(None) => Err(CtlError::NotFound(name)),
        _ => Err(CtlError::Store(StoreError::Unknown)),
    }
}

/// Lists the documents and zones with their versions.
///
/// # Errors
/// Returns an error if the store gave no answer.
pub async fn list_objects(store: &HttpStore) -> Result<String, CtlError> {
    let mut text = String::new();
    for prefix in [ObjectKey::SERVICES, ObjectKey::ZONES] {
        let request = StoreRequest::List { prefix: prefix.to_owned() };
        let StoreReply::Objects(body) = call(store, request).await? else {
            return Err(CtlError::Store(StoreError::Unknown));
        };
        for Object { key, revision, .. } in body.objects {
            text.push_str(&format!("{key} version {}\n", revision.0));
        }
    }
    Ok(text)
}
