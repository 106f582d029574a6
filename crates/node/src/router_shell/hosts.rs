use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{HostRecord, object_key};
use bay_store::{Object, Precondition, StoreReply, StoreRequest};
use bay_types::HostName;

use super::feeds::host_from_key;
use super::shell_state::ShellState;

/// Pause after a failed write or a conflict.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Writes this router's record to the store, replacing that of an earlier process on the host.
/// Retries until it succeeds.
pub(crate) async fn register_host(shell: Rc<ShellState>) {
    let record = HostRecord { peer: shell.settings.peer, incarnation: shell.incarnation };
    let (Some(key), Ok(body)) =
        (object_key::host(shell.settings.host), serde_json::to_string(&record))
    else {
        log::error!(host:% = shell.settings.host; "host name is not a valid object key");
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

/// Parses a router's record; `None` if it is invalid.
pub(crate) fn parse_host_record(object: &Object) -> Option<(HostName, HostRecord)> {
    let record = serde_json::from_str(&object.body).ok()?;
    Some((host_from_key(&object.key)?, record))
}
