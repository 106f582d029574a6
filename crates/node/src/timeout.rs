use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

/// Returns the result of `work`, or `None` if it takes longer than `span`.
pub(crate) async fn with_timeout<W, T>(span: Duration, work: W) -> Option<T>
where
    W: Future<Output = Option<T>>,
{
    let timeout = async {
        Timer::after(span).await;
        None
    };
    future::or(work, timeout).await
}
