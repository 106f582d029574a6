use std::time::Duration;

use bay_time::Time;
use bay_wire::QuarantineNotice;

/// Notices about crashing requests on their way to the other gates.
///
/// Datagrams may be lost, so each notice is sent a few times.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    open: Vec<Open>,
    next: Option<Time>,
}

#[derive(Debug)]
struct Open {
    notice: QuarantineNotice,
    left: u32,
}

impl Notices {
    /// Most notices kept; the oldest are dropped.
    const MAX_OPEN: usize = 256;
    /// Most notices of one datagram.
    pub(crate) const MAX_PER_MESSAGE: usize = 16;
    /// How often a notice is sent.
    const SENDS: u32 = 3;
    /// Time between two sendings.
    const PAUSE: Duration = Duration::from_millis(100);

    /// Adds a notice, to be sent at once.
    pub(crate) fn push(&mut self, now: Time, notice: QuarantineNotice) {
        let same = |open: &Open| {
            open.notice.service == notice.service && open.notice.fingerprint == notice.fingerprint
        };
        self.open.retain(|open| !same(open));
        if self.open.len() >= Notices::MAX_OPEN {
            self.open.remove(0);
        }
        self.open.push(Open { notice, left: Notices::SENDS });
        self.next = Some(now);
    }

    /// When notices are to be sent next.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.next
    }

    /// Takes the notices to send now.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<QuarantineNotice> {
        if self.next.is_none_or(|next| next > now) {
            return Vec::new();
        }
        let due = self.open.iter().map(|open| open.notice).collect();
        for open in &mut self.open {
            open.left -= 1;
        }
        self.open.retain(|open| open.left > 0);
        self.next = (!self.open.is_empty()).then_some(now + Notices::PAUSE);
        due
    }
}
