use crate::{AnswerSize, BudgetShare, ByteBudget, ReaderState, SendQueue};

/// How the body of an answer reaches its reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It is read whole before its first byte is sent. Until then the request can be retried.
    Whole,
    /// It is passed on while it is read.
    Streamed,
    /// It is given up: memory is short, and it may not be passed on in part.
    Refused,
}

/// Decides about memory for the answers of downloads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeliveryPolicy {
    /// Length up to which a body is buffered whole while the budget allows, in bytes.
    whole_bytes: u64,
    /// Maximum number of bytes that the rest of a streamed answer may hold.
    answer_bytes: u64,
    /// Limit of all shares up to which the router reads ahead of readers that make progress.
    read_ahead_bytes: u64,
    /// Limit of all shares.
    budget_bytes: u64,
}

impl DeliveryPolicy {
    /// Maximum length of a body that is buffered whole, in bytes. Almost twice the largest download
    /// that is known (540 kB), so that streaming is the exception.
    pub const WHOLE_BYTES: u64 = 1 << 20;
    /// Maximum length of a body that may not be streamed, in bytes.
    pub const MAX_UNSTREAMED_BYTES: u64 = 16 << 20;
    /// Length up to which a body that may not be streamed is read although the budget is exhausted,
    /// in bytes.
    pub const SMALL_BYTES: u64 = 256 * 1024;
    /// Number of unsent bytes below which a streamed answer is read on whatever the budget is.
    pub const WINDOW_BYTES: u64 = 16 * 1024;
    /// Divisor of the budget that gives the most that one answer may hold.
    const ANSWER_SHARE: u64 = 4;

    /// Creates the policy for a budget.
    pub fn new(budget: &ByteBudget) -> DeliveryPolicy {
        let budget_bytes = budget.limit();
        let answer_bytes = budget_bytes / DeliveryPolicy::ANSWER_SHARE;
        DeliveryPolicy {
            whole_bytes: DeliveryPolicy::WHOLE_BYTES.min(answer_bytes),
            answer_bytes,
            // The last quarter is left to answers that are buffered whole and to stalled readers.
            read_ahead_bytes: budget_bytes - budget_bytes / 4,
            budget_bytes,
        }
    }

    /// Decides about an answer whose received part takes `received` bytes, and adjusts its share.
    ///
    /// `may_stream` says whether the head may be passed on before the body is complete.
    pub fn decide(
        &self,
        size: AnswerSize,
        received: u64,
        may_stream: bool,
        reader: ReaderState,
        share: &mut BudgetShare,
    ) -> Delivery {
        let may_stream = may_stream && size != AnswerSize::UntilClose;
        let (needed, is_large) = match size {
            AnswerSize::Declared(length) => (length.max(received), length > self.whole_bytes),
            AnswerSize::Chunked => (received, received > self.whole_bytes),
            AnswerSize::UntilClose => (received, false),
        };
        // A slow reader would hold its bytes for long, so it gets whole answers only while half of
        // the budget is free.
        let limit = match may_stream && reader.pace.is_slow() {
            true => self.budget_bytes / 2,
            false => self.budget_bytes,
        };
        let is_within_bounds = needed <= DeliveryPolicy::MAX_UNSTREAMED_BYTES;
        let prefers_stream = may_stream && is_large && !reader.is_behind_others;
        if !prefers_stream && is_within_bounds && share.try_set(needed, limit) {
            return Delivery::Whole;
        }
        if may_stream {
            share.set(received);
            return Delivery::Streamed;
        }
        if needed <= DeliveryPolicy::SMALL_BYTES {
            share.set(needed);
            return Delivery::Whole;
        }
        Delivery::Refused
    }

    /// Returns whether memory is so short that streamed answers keep their servers' connections for as
    /// long as their readers take.
    pub fn is_short(&self, budget: &ByteBudget) -> bool {
        budget.held() + DeliveryPolicy::WINDOW_BYTES > self.read_ahead_bytes
    }

    /// Returns whether the router reads more of a streamed answer from its server now.
    ///
    /// Beyond the window that is read-ahead, which lasts while the budget allows. Then the server's
    /// connection is read no faster than the reader reads.
    pub fn may_read(
        &self,
        queue: &SendQueue,
        is_reader_stalled: bool,
        share: &mut BudgetShare,
    ) -> bool {
        let unsent = queue.unsent_bytes();
        if unsent < DeliveryPolicy::WINDOW_BYTES {
            return true;
        }
        let limit = match is_reader_stalled {
            true => self.budget_bytes,
            false => self.read_ahead_bytes,
        };
        let needed = queue.held_bytes() + DeliveryPolicy::WINDOW_BYTES;
        needed <= self.answer_bytes && share.try_set(needed, limit)
    }
}
