use async_io::Timer;
use bay_store::{HttpStore, ObjectKey, StoreReply, StoreRequest};

use crate::{CtlError, Expected, Next, Write, Written};

/// Makes one write.
pub(crate) async fn perform(
    store: &HttpStore,
    key: ObjectKey,
    body: Option<&str>,
    expected: Expected,
) -> Result<Written, CtlError> {
    let mut write = Write::new(key, body, expected, rand::random());
    let mut request = write.start();
    loop {
        match write.on_result(store.call(request).await) {
            Next::Done(result) => return result,
            Next::Call { after, request: next } => {
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
