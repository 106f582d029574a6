//! Decisions about memory for downloads.

use std::rc::Rc;
use std::time::Duration;

use bay_stream::{
    AnswerSize, BudgetShare, ByteBudget, Delivery, DeliveryPolicy, ReaderPace, ReaderState,
    SendQueue,
};
use test_case::test_case;

const MEMORY: u64 = 160 << 20;
const LIMIT: u64 = MEMORY / 8;

fn setup(taken: u64) -> (DeliveryPolicy, BudgetShare, BudgetShare) {
    let budget = Rc::new(ByteBudget::of_machine(MEMORY));
    let mut others = budget.share();
    others.set(taken);
    (DeliveryPolicy::new(&budget), others, budget.share())
}

fn slow() -> ReaderPace {
    let mut pace = ReaderPace::default();
    pace.record_sent(10_000, Duration::from_secs(1));
    pace
}

fn unsent(bytes: usize) -> SendQueue {
    let mut queue = SendQueue::default();
    queue.append(&vec![0; bytes]);
    queue
}

/// Guards against answers that cannot be retried although there is memory, and against those that are
/// held without any.
#[test_case(AnswerSize::Declared(540_000), 9_000, true, 0 => Delivery::Whole; "memory is left")]
#[test_case(AnswerSize::Declared(540_000), 9_000, true, LIMIT - 540_000 => Delivery::Whole; "just enough is left")]
#[test_case(AnswerSize::Declared(540_000), 9_000, true, LIMIT - 539_999 => Delivery::Streamed; "one byte is missing")]
#[test_case(AnswerSize::Declared(2 << 20), 9_000, true, 0 => Delivery::Streamed; "larger than the stated size")]
#[test_case(AnswerSize::Declared(2 << 20), 9_000, false, 0 => Delivery::Whole; "large, but not confirmed")]
#[test_case(AnswerSize::Declared(17 << 20), 9_000, false, 0 => Delivery::Refused; "too large to be held")]
#[test_case(AnswerSize::Declared(540_000), 9_000, false, LIMIT => Delivery::Refused; "not confirmed, no memory")]
#[test_case(AnswerSize::Declared(90_000), 9_000, false, LIMIT => Delivery::Whole; "small, not confirmed, no memory")]
#[test_case(AnswerSize::Chunked, 540_000, true, 0 => Delivery::Whole; "chunks so far small")]
#[test_case(AnswerSize::Chunked, (1 << 20) + 1, true, 0 => Delivery::Streamed; "chunks grown large")]
#[test_case(AnswerSize::Chunked, 9_000, true, LIMIT => Delivery::Streamed; "chunks, no memory")]
#[test_case(AnswerSize::UntilClose, 9_000_000, true, 0 => Delivery::Whole; "an end that cannot be told from a cut")]
#[test_case(AnswerSize::UntilClose, 540_000, true, LIMIT => Delivery::Refused; "no length and no memory")]
fn an_answer_is_held_whole_while_memory_allows(
    size: AnswerSize,
    received: u64,
    may_stream: bool,
    taken: u64,
) -> Delivery {
    let (policy, _others, mut share) = setup(taken);
    policy.decide(size, received, may_stream, ReaderState::default(), &mut share)
}

/// Guards against servers that wait until their answer's turn has come although there is memory.
#[test_case(0 => Delivery::Whole)]
#[test_case(LIMIT => Delivery::Streamed)]
fn a_large_answer_behind_others_is_held_whole_while_memory_allows(taken: u64) -> Delivery {
    let (policy, _others, mut share) = setup(taken);
    let reader = ReaderState { is_behind_others: true, ..ReaderState::default() };
    policy.decide(AnswerSize::Declared(2 << 20), 9_000, true, reader, &mut share)
}

/// Guards against slow readers that take the memory of all others.
#[test_case(LIMIT / 2 - 540_000, true => Delivery::Whole)]
#[test_case(LIMIT / 2, true => Delivery::Streamed)]
#[test_case(LIMIT / 2, false => Delivery::Whole; "the pace of a reader that cannot be streamed to does not count")]
fn a_slow_reader_gets_whole_answers_while_half_is_free(taken: u64, may_stream: bool) -> Delivery {
    let (policy, _others, mut share) = setup(taken);
    policy.decide(
        AnswerSize::Declared(540_000),
        0,
        may_stream,
        ReaderState { pace: slow(), is_behind_others: false },
        &mut share,
    )
}

/// Guards against a rate learned from bytes that the system's buffers took at once.
#[test]
fn a_reader_that_was_not_waited_for_is_not_slow() {
    let mut pace = ReaderPace::default();
    pace.record_sent(10, Duration::from_millis(99));
    assert!(!pace.is_slow());
    assert!(slow().is_slow());
}

/// Guards against a share that stays counted after its answer, which would end all downloads.
#[test]
fn a_share_is_released_by_its_drop() {
    let budget = Rc::new(ByteBudget::of_machine(MEMORY));
    let mut share = budget.share();
    assert!(share.try_set(LIMIT, LIMIT));
    assert!(!budget.share().try_set(1, LIMIT));
    drop(share);
    assert_eq!((budget.held(), budget.peak()), (0, LIMIT));
}

/// Guards against a server that waits while there is memory, and against memory beyond the budget.
#[test_case(100_000, false, 0 => true; "reads ahead")]
#[test_case(100_000, false, LIMIT / 4 * 3 => false; "last quarter is left to others")]
#[test_case(100_000, true, LIMIT / 4 * 3 => true; "last quarter is open to stalled readers")]
#[test_case(100_000, true, LIMIT => false; "nothing is left for a stalled reader")]
#[test_case(16_384, false, LIMIT => false; "no faster than the reader")]
#[test_case(16_383, false, LIMIT => true; "as fast as the reader")]
#[test_case((LIMIT / 4) as usize, true, 0 => false; "one answer takes a quarter at most")]
fn the_server_is_read_ahead_within_the_budget(bytes: usize, is_stalled: bool, taken: u64) -> bool {
    let (policy, _others, mut share) = setup(taken);
    policy.may_read(&unsent(bytes), is_stalled, &mut share)
}

/// Guards against servers whose connections are all kept by slow readers.
#[test_case(LIMIT / 4 * 3 - 16_384 => false)]
#[test_case(LIMIT / 4 * 3 - 16_383 => true)]
fn memory_is_short_once_nothing_is_read_ahead(taken: u64) -> bool {
    let (policy, others, _share) = setup(taken);
    policy.is_short(others.budget())
}

/// Guards against lost, repeated or miscounted bytes.
#[test]
fn a_queue_returns_its_bytes_in_order_and_frees_them() {
    let mut queue = SendQueue::default();
    let mut expected = b"head".to_vec();
    for length in [1, 4_096, 0, 3, 16_384, 5_000] {
        let bytes: Vec<u8> = (0..length).map(|i| (i + length) as u8).collect();
        queue.append(&bytes);
        expected.extend_from_slice(&bytes);
    }
    queue.prepend(b"head".to_vec());
    assert_eq!(queue.unsent_bytes(), expected.len() as u64);
    let mut sent = Vec::new();
    while !queue.is_empty() {
        let bytes = queue.front()[..queue.front().len().min(1_000)].to_vec();
        queue.consume(bytes.len());
        sent.extend_from_slice(&bytes);
    }
    assert!(sent == expected && queue.held_bytes() == 0 && queue.front().is_empty());
}
