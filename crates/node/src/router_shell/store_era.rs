use bay_store::{Object, Precondition, StoreReply, StoreRequest};
use bay_types::{Revision, StoreEra};

/// A request in the revisions of the store's present era, or what to do in its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LocalRequest {
    /// The request to send.
    Send(StoreRequest),
    /// A watch from a revision that the store does not have. The objects must be listed again.
    ListAgain,
    /// A write under a condition that the store cannot judge. The object must be read instead.
    ReadInstead(StoreRequest),
}

/// Translates a request with revisions of any era for the store, which knows those of its own era.
///
/// A revision of another era may match another object by accident.
pub(crate) fn localize(request: &StoreRequest, era: StoreEra) -> LocalRequest {
    let own = |revision: Revision| (revision.era() == era).then(|| revision.own());
    match request {
        StoreRequest::Watch { prefix, since, wait } => match own(*since) {
            Some(since) => LocalRequest::Send(StoreRequest::Watch {
                prefix: prefix.clone(),
                since,
                wait: *wait,
            }),
            None => LocalRequest::ListAgain,
        },
        StoreRequest::Put { key, body, precondition: Precondition::Revision(revision) } => {
            let (key, body) = (key.clone(), body.clone());
            match own(*revision).map(Precondition::Revision) {
                Some(precondition) => {
                    LocalRequest::Send(StoreRequest::Put { key, body, precondition })
                }
                None => LocalRequest::ReadInstead(StoreRequest::Get { key }),
            }
        }
        StoreRequest::Delete { key, precondition: Precondition::Revision(revision) } => {
            let key = key.clone();
            match own(*revision).map(Precondition::Revision) {
                Some(precondition) => {
                    LocalRequest::Send(StoreRequest::Delete { key, precondition })
                }
                None => LocalRequest::ReadInstead(StoreRequest::Get { key }),
            }
        }
        request => LocalRequest::Send(request.clone()),
    }
}

/// Qualifies the revisions in a reply by the era in which it was given.
pub(crate) fn qualify(reply: StoreReply, era: StoreEra) -> StoreReply {
    let object = |object: Object| Object { revision: object.revision.in_era(era), ..object };
    match reply {
        StoreReply::Object(found) => StoreReply::Object(found.map(object)),
        StoreReply::Conflict(found) => StoreReply::Conflict(found.map(object)),
        StoreReply::Written(revision) => StoreReply::Written(revision.in_era(era)),
        StoreReply::Objects(mut body) => {
            body.revision = body.revision.in_era(era);
            body.objects = body.objects.into_iter().map(object).collect();
            StoreReply::Objects(body)
        }
        StoreReply::Changes(mut body) => {
            body.revision = body.revision.in_era(era);
            for change in &mut body.changes {
                change.revision = change.revision.in_era(era);
            }
            StoreReply::Changes(body)
        }
        reply @ StoreReply::Hosts(_) => reply,
    }
}
