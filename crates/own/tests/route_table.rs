//! Lookup in a route table and merging of routes into it.

use std::net::SocketAddr;

use bay_own::{Route, RouteTable};
use bay_types::{KeyHash, SliceId, SliceLayout, Token};
use bay_wire::{HotKey, RouteRow, Routes};
use proptest::prelude::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn routes(slice: u32, token: u64, port: u16, hot: &[HotKey]) -> Routes {
    let row = RouteRow { slice: SliceId(slice), token: Token(token), server: Some(0) };
    Routes { servers: vec![address(port)], rows: vec![row], hot: hot.to_vec() }
}

fn table() -> RouteTable {
    RouteTable::new(SliceLayout::new(4).unwrap())
}

const KEY: KeyHash = KeyHash(7);
const HOT: HotKey = HotKey { slice: SliceId(4), key: KEY, since: Token(6) };

#[test]
fn a_row_with_a_lower_token_is_ignored() {
    let mut table = table();
    table.merge(&routes(0, 5, 1, &[]));
    table.merge(&routes(0, 4, 2, &[]));
    let route = Route { slice: SliceId(0), token: Token(5), server: address(1) };
    assert_eq!(table.lookup(KEY), Some(route));
}

#[test]
fn a_hot_key_routes_to_its_slot_until_its_range_merges_it_back() {
    let mut table = table();
    table.merge(&routes(0, 5, 1, &[]));
    table.merge(&routes(0, 7, 1, &[HOT]));
    // The slot's owner is unknown yet, and the range's owner has released the key.
    assert_eq!(table.lookup(KEY), None);
    table.merge(&routes(4, 6, 2, &[HOT]));
    let route = Route { slice: SliceId(4), token: Token(6), server: address(2) };
    assert_eq!(table.lookup(KEY), Some(route));
    assert_eq!(table.lookup(KeyHash(8)).map(|route| route.slice), Some(SliceId(0)));
    // A row of the range with a higher token and without the hot key merges the key back.
    table.merge(&routes(0, 9, 1, &[]));
    assert_eq!(table.lookup(KEY).map(|route| route.slice), Some(SliceId(0)));
}

#[test]
fn a_slot_row_of_a_previous_key_is_not_used() {
    let mut table = table();
    table.merge(&routes(4, 3, 2, &[]));
    table.merge(&routes(0, 7, 1, &[HOT]));
    assert_eq!(table.lookup(KEY), None);
}

#[test]
fn the_largest_table_takes_at_most_4_mib() {
    let layout = SliceLayout::new(SliceLayout::MAX_RANGES).unwrap();
    assert!(RouteTable::new(layout).memory_bytes() <= 4 << 20);
}

proptest! {
    #[test]
    fn rows_in_any_order_leave_the_highest_token(
        order in Just((1u64..20).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut table = table();
        for token in order {
            table.merge(&routes(0, token, token as u16, &[]));
        }
        prop_assert_eq!(table.lookup(KEY).map(|route| route.token), Some(Token(19)));
    }
}
