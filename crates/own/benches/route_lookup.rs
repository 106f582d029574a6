//! Lookup of a key's owner among 64 Ki key ranges and 64 hot keys, compared with a hash map.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;

use bay_own::RouteTable;
use bay_types::{KeyHash, SliceId, SliceLayout, Token};
use bay_wire::{HotKey, RouteRow, Routes};
use criterion::{Criterion, criterion_group, criterion_main};

const RANGES: u32 = SliceLayout::MAX_RANGES;

fn routes() -> Routes {
    let servers = (1..=780).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    let row = |slice| RouteRow {
        slice: SliceId(slice),
        token: Token(1),
        server: Some((slice % 780) as u16),
    };
    let rows = (0..RANGES + SliceLayout::MAX_HOT_KEYS).map(row).collect();
    let hot = (0..SliceLayout::MAX_HOT_KEYS).map(|index| HotKey {
        slice: SliceId(RANGES + index),
        key: KeyHash::of(&index.to_le_bytes()),
        since: Token(1),
    });
    Routes { servers, rows, hot: hot.collect() }
}

fn lookup(c: &mut Criterion) {
    let layout = SliceLayout::new(RANGES).expect("a power of two");
    let routes = routes();
    let mut table = RouteTable::new(layout);
    table.merge(&routes);
    let rows = routes.rows.iter();
    let map: HashMap<SliceId, (Token, Option<u16>)> =
        rows.map(|row| (row.slice, (row.token, row.server))).collect();
    let keys: Vec<KeyHash> = (0..4_096u32).map(|index| KeyHash::of(&index.to_le_bytes())).collect();
    let mut group = c.benchmark_group("route_lookup_4096_keys");
    group.bench_function("table", |b| {
        b.iter(|| {
            for key in &keys {
                black_box(table.lookup(black_box(*key)));
            }
        });
    });
    group.bench_function("hash_map", |b| {
        b.iter(|| {
            for key in &keys {
                black_box(map.get(&layout.range_of(black_box(*key))));
            }
        });
    });
    group.finish();
}

criterion_group!(benches, lookup);
criterion_main!(benches);
