use async_io::Timer;
use bay_store::{HttpStore, ObjectKey, StoreReply, StoreRequest};

use crate::{ConditionalWrite, CtlError, ExpectedVersion, WriteAction, WriteOutcome};

/// Makes one write.
pub(crate) async fn perform(
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
            WriteAction::CallStore { after, request: next } => {
                Timer::after(after).await;
                request = next;
            }
        }
    }
}

/// Makes one call that reads.
pub(crate) async fn call(store: &HttpStore, request: StoreRequest) -> Result<StoreReply, CtlError> {
    store.call(request).await.map_err(CtlError::Store)
}
