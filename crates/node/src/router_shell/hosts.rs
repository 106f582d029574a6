use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{HostRecord, object_key};
use bay_store::{Object, Precondition, StoreReply, StoreRequest};
use bay_types::HostName;

use super::feeds::host_name;
use super::shell::Shell;

/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Lists this router in the store.
pub(crate) async fn register(shell: Rc<Shell>) {
    let record = HostRecord { peer: shell.settings.peer, incarnation: shell.incarnation };
    let (Some(key), Ok(body)) =
        (object_key::host(shell.settings.host), serde_json::to_string(&record))
    else {
        log::error!(host:% = shell.settings.host; "host name makes no key");
        return;
    };
    let mut precondition = Precondition::Absent;
    loop {
        let put = StoreRequest::Put { key: key.clone(), body: body.clone(), precondition };
        match shell.store.call(&put).await {
            Ok(StoreReply::Written(_)) => return,
            Ok(StoreReply::Conflict(Some(object))) => {
                precondition = Precondition::Revision(object.revision)
            }
            Ok(StoreReply::Conflict(None)) => precondition = Precondition::Absent,
            _ => {}
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Reads a router's record.
pub(crate) fn host_record(object: &Object) -> Option<(HostName, HostRecord)> {
    let record = serde_json::from_str(&object.body).ok()?;
    Some((host_name(&object.key)?, record))
}
