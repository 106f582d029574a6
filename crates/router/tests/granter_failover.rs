//! Replay of a failed run: the store is down for eight seconds, the granter is stopped at the end of
//! the outage, and a small machine reaches the store first.

mod failover;

use std::time::Duration;

use failover::{Fleet, Winner};

/// Time after the store's return within which orders for keys without an owner must be sent.
const ORDERS_BOUND: Duration = Duration::from_secs(2);

/// Guards against a small machine that wins because it reaches the store first, saturates its link,
/// never loads the tables and keeps the others from taking over.
#[test]
fn orders_are_sent_within_two_seconds_of_the_stores_return_whichever_router_reaches_it_first() {
    let mut slowest = Duration::ZERO;
    let mut failed = Vec::new();
    for seed in 0..1_000 {
        let Winner { orders_after, eligible } = Fleet::new(82, seed).replay();
        if orders_after >= ORDERS_BOUND || !eligible {
            failed.push((seed, orders_after, eligible));
        }
        slowest = slowest.max(orders_after);
    }
    println!("slowest {slowest:?}");
    let first = failed.iter().take(5).collect::<Vec<_>>();
    assert!(failed.is_empty(), "{} of 1000, first {first:?}, slowest {slowest:?}", failed.len());
}
