use async_io::Timer;
use bay_store::{HttpStore, ObjectKey, StoreReply, StoreRequest};

use crate::{ConditionalWrite, CtlError, ExpectedVersion, WriteAction, WriteOutcome};

/// Runs a write or a delete to its end. The outcome can remain unknown if replies are lost.
pub(crate) async fn run_write(
    store: &HttpStore,
    key: ObjectKey,
    body: Option<&str>,
    expected: ExpectedVersion,
) -> Result<WriteOutcome, CtlError> {
    let mut write = ConditionalWrite::new(key, body, expected, rand::random());
    let mut request = write.first_request();
    loop {
        match write.handle_result(store.call(request).await) {
            WriteAction::Finish(result) => return result,
            WriteAction::CallStore { delay, request: next } => {
                Timer::after(delay).await;
                request = next;
            }
        }
    }
}

/// Sends one read request to the store, without retries.
pub(crate) async fn call_store(
    store: &HttpStore,
    request: StoreRequest,
) -> Result<StoreReply, CtlError> {
    store.call(request).await.map_err(CtlError::Store)
}
