use bay_stream::{BudgetShare, SendQueue};

use super::shell_state::ShellState;
use crate::http1::buffer_gauge::HeldBytes;

/// Part of a download's body that is held for its reader, counted in the budget until it is sent.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) queue: SendQueue,
    pub(crate) share: BudgetShare,
    /// Identifier of the request, for the log.
    pub(crate) request_id: String,
    /// Counts the bytes among all buffers of the process.
    held: HeldBytes,
}

impl HeldBody {
    /// Creates an empty body.
    pub(crate) fn new(shell: &ShellState, request_id: String) -> HeldBody {
        HeldBody {
            queue: SendQueue::default(),
            share: shell.download_budget.share(),
            request_id,
            held: shell.resources.buffer_gauge.track(),
        }
    }

    /// Frames the bytes held so far as one chunk; there must be some, as an empty chunk is the last.
    pub(crate) fn frame_as_chunk(&mut self) {
        let size = format!("{:x}\r\n", self.queue.unsent_bytes());
        self.queue.prepend(size.into_bytes());
        self.queue.append(b"\r\n");
    }

    /// Updates the gauge of all buffers.
    pub(crate) fn update_gauge(&mut self) {
        self.held.set(self.queue.held_bytes() as usize);
    }

    /// Updates the share of the budget and the gauge of all buffers.
    pub(crate) fn update_share(&mut self) {
        self.share.set(self.queue.held_bytes());
        self.update_gauge();
    }
}
