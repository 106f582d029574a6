use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

/// What a task comes to, or `None` if it takes longer than this.
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
