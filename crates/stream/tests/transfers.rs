//! Transfers over virtual time.

use std::rc::Rc;
use std::time::Duration;

use bay_stream::{
    AnswerSize, ByteBudget, Delivery, DeliveryPolicy, Party, ReaderState, SendQueue, TransferWatch,
};
use bay_time::Time;
use proptest::prelude::*;

const READERS: usize = 200;
const ANSWER: u64 = 540_000;
const PORTION: u64 = DeliveryPolicy::WINDOW_BYTES;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Checks a watch every half second from after `from` to `to`; returns the side that timed out at `to`.
fn check_until(watch: &mut TransferWatch, from: u64, to: u64) -> Option<Party> {
    for millis in (from + 500..to).step_by(500) {
        assert_eq!(watch.timed_out(at(millis)), None, "{millis} ms");
    }
    watch.timed_out(at(to))
}

/// Guards against readers that are cut although they read, and stalled ones that never are.
#[test]
fn only_a_reader_without_progress_is_cut() {
    let mut watch = TransferWatch::new(at(0));
    let mut now = 0;
    for _ in 0..10 {
        assert_eq!(check_until(&mut watch, now, now + 9_999), None);
        now += 9_999;
        watch.update(at(now), Party::Reader, true);
    }
    watch.update(at(now + 900), Party::Reader, false);
    assert!(!watch.is_reader_stalled(at(now + 999)));
    assert!(watch.is_reader_stalled(at(now + 1_000)));
    assert_eq!(check_until(&mut watch, now + 900, now + 9_600), None);
    assert_eq!(watch.next_check(at(now + 9_600)), Duration::from_millis(400));
    assert_eq!(watch.timed_out(at(now + 9_999)), None);
    assert_eq!(watch.timed_out(at(now + 10_000)), Some(Party::Reader));
}

/// Guards against a reader that is cut because its server was slow, and the other way round.
#[test]
fn each_side_is_waited_for_separately() {
    let mut watch = TransferWatch::new(at(0));
    assert_eq!(check_until(&mut watch, 0, 3_000), None);
    watch.update(at(3_000), Party::Server, false);
    assert_eq!(check_until(&mut watch, 3_000, 7_999), None);
    assert!(!watch.is_reader_stalled(at(7_999)));
    assert_eq!(watch.timed_out(at(8_000)), Some(Party::Server));
    watch.update(at(8_000), Party::Reader, false);
    assert_eq!(check_until(&mut watch, 8_000, 17_999), None);
    assert_eq!(watch.timed_out(at(18_000)), Some(Party::Reader));
    assert_eq!(watch.reader_wait(), Duration::from_secs(3));
}

/// Guards against readers that are cut because the router's machine was suspended.
#[test]
fn a_stop_of_the_router_does_not_count() {
    let mut watch = TransferWatch::new(at(0));
    assert_eq!(check_until(&mut watch, 0, 4_000), None);
    assert_eq!(watch.timed_out(at(64_000)), None);
    assert_eq!(check_until(&mut watch, 64_000, 69_999), None);
    assert_eq!(watch.timed_out(at(70_000)), Some(Party::Reader));
}

/// One transfer of the simulation below.
struct Transfer {
    queue: SendQueue,
    share: bay_stream::BudgetShare,
    unread: u64,
    is_streamed: bool,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against memory that grows with the number of slow readers.
    #[test]
    fn two_hundred_readers_stay_within_the_budget(
        steps in prop::collection::vec((0..READERS, 0..20_000_usize, any::<bool>()), 20_000),
    ) {
        let budget = Rc::new(ByteBudget::of_machine(160 << 20));
        let policy = DeliveryPolicy::new(&budget);
        let mut transfers = Vec::new();
        for _ in 0..READERS {
            let mut share = budget.share();
            let mut queue = SendQueue::default();
            queue.append(&[0; PORTION as usize]);
            let size = AnswerSize::Declared(ANSWER);
            let reader = ReaderState::default();
            let is_streamed = match policy.decide(size, PORTION, true, reader, &mut share) {
                Delivery::Whole => {
                    queue.append(&vec![0; (ANSWER - PORTION) as usize]);
                    false
                }
                Delivery::Streamed => true,
                Delivery::Refused => panic!("a confirmed answer is never refused"),
            };
            let unread = if is_streamed { ANSWER - PORTION } else { 0 };
            transfers.push(Transfer { queue, share, unread, is_streamed });
        }
        prop_assert!(transfers.iter().filter(|t| !t.is_streamed).count() >= 38);
        let bound = budget.limit() + READERS as u64 * 2 * PORTION;
        for (reader, taken, is_stalled) in steps {
            let Transfer { queue, share, unread, .. } = &mut transfers[reader];
            queue.consume(queue.front().len().min(taken));
            share.set(queue.held_bytes());
            if *unread > 0 && policy.may_read(queue, is_stalled, share) {
                let count = PORTION.min(*unread);
                queue.append(&vec![0; count as usize]);
                *unread -= count;
                share.set(queue.held_bytes());
            }
            prop_assert!(budget.held() <= bound, "{} bytes held", budget.held());
        }
        // Nobody waits for memory of others: every transfer ends whatever the order.
        for Transfer { queue, unread, share, .. } in &mut transfers {
            while *unread > 0 || !queue.is_empty() {
                queue.consume(queue.front().len());
                if *unread > 0 && policy.may_read(queue, false, share) {
                    let count = PORTION.min(*unread);
                    queue.append(&vec![0; count as usize]);
                    *unread -= count;
                }
            }
            share.set(0);
        }
        prop_assert_eq!(budget.held(), 0);
    }
}
