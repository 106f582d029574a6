use std::convert::Infallible;

use async_channel::{Receiver, Sender};

/// Signal that is raised once, for all tasks that wait for it, now or later.
#[derive(Debug)]
pub(crate) struct Signal {
    tx: Sender<Infallible>,
    rx: Receiver<Infallible>,
}

impl Signal {
    /// Creates a signal that has not been raised.
    pub(crate) fn new() -> Signal {
        let (tx, rx) = async_channel::bounded(1);
        Signal { tx, rx }
    }

    /// Raises the signal.
    pub(crate) fn raise(&self) {
        self.tx.close();
    }

    /// Returns whether the signal was raised.
    pub(crate) fn is_raised(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits until the signal is raised.
    pub(crate) async fn wait(&self) {
        // Nothing is ever sent, so receiving ends only when the channel is closed.
        let Err(_closed) = self.rx.recv().await;
    }
}
