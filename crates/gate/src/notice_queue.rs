use std::time::Duration;

use bay_time::Time;
use bay_wire::QuarantineNotice;

/// Queue of notices about crashing requests for the other gates.
///
/// Datagrams may be lost, so each notice is sent several times.
#[derive(Debug, Default)]
pub(crate) struct NoticeQueue {
    queued: Vec<QueuedNotice>,
    next_send: Option<Time>,
}

#[derive(Debug)]
struct QueuedNotice {
    notice: QuarantineNotice,
    sends_left: u32,
}

impl NoticeQueue {
    /// Maximum number of queued notices; the oldest is dropped first.
    const MAX_QUEUED: usize = 256;
    /// Maximum number of notices in a datagram.
    pub(crate) const MAX_PER_MESSAGE: usize = 16;
    /// Number of times a notice is sent.
    const SENDS: u32 = 3;
    /// Time between two sends of a notice.
    const SEND_INTERVAL: Duration = Duration::from_millis(100);

    /// Adds a notice and makes the queue due at once.
    ///
    /// It replaces an earlier notice about the same fingerprint.
    pub(crate) fn push(&mut self, now: Time, notice: QuarantineNotice) {
        let same = |queued: &QueuedNotice| {
            queued.notice.service == notice.service
                && queued.notice.fingerprint == notice.fingerprint
        };
        self.queued.retain(|queued| !same(queued));
        if self.queued.len() >= NoticeQueue::MAX_QUEUED {
            self.queued.remove(0);
        }
        self.queued.push(QueuedNotice { notice, sends_left: NoticeQueue::SENDS });
        self.next_send = Some(now);
    }

    /// Returns when the queue is due next.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.next_send
    }

    /// Returns the notices to send now, and removes those that were sent often enough.
    pub(crate) fn drain_due(&mut self, now: Time) -> Vec<QuarantineNotice> {
        if self.next_send.is_none_or(|next| next > now) {
            return Vec::new();
        }
        let due = self.queued.iter().map(|queued| queued.notice).collect();
        for queued in &mut self.queued {
            queued.sends_left -= 1;
        }
        self.queued.retain(|queued| queued.sends_left > 0);
        self.next_send = (!self.queued.is_empty()).then_some(now + NoticeQueue::SEND_INTERVAL);
        due
    }
}
