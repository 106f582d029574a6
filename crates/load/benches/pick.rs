//! Measures the cost of one request in the pool, against a scan of all targets as the baseline.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use bay_load::{
    AttemptOutcome, Observation, PickRequest, PickResult, Pool, PoolConfig, TargetLimits,
    TargetSpec,
};
use bay_time::Time;
use bay_types::{NodeId, ZoneName};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Numbers of targets, of a small site and of the largest one.
const SIZES: [usize; 2] = [28, 780];

/// Other requests in flight during the measurement.
const IN_FLIGHT: usize = 20;

fn pool(targets: usize) -> Pool {
    let zone = ZoneName::new("a").expect("a letter is a name");
    let limits =
        TargetLimits { slots: 4, connections: 110, cold_slots: 4, warmup: Duration::from_secs(10) };
    let config = PoolConfig {
        node: NodeId(1),
        zone,
        limits,
        retry_budget: 0.1,
        hedge_budget: 0.05,
        seed: 1,
    };
    let specs: Vec<TargetSpec> = (0..targets)
        .map(|i| TargetSpec {
            address: SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80)),
            zone,
            in_service: true,
        })
        .collect();
    let mut pool = Pool::new(config, Time::ZERO);
    pool.set_targets(Time::ZERO, &specs);
    pool
}

fn one_request(pool: &mut Pool, now: Time, out: &mut Vec<bay_load::LoadOutput>) {
    let PickResult::Granted(permit) = pool.pick(now, &PickRequest::new(Time::MAX)) else {
        return;
    };
    let target = black_box(permit.target());
    drop(permit);
    let latency = Duration::from_millis(10);
    pool.observe(
        now,
        target,
        Observation { latency, outcome: AttemptOutcome::Answered, reported: None },
    );
    pool.tick(now, out);
    out.clear();
}

/// Finds the least loaded target by a scan, starting at a rotating position.
fn scan(in_flight: &mut [u32], turn: &mut usize) {
    let count = in_flight.len();
    *turn += 1;
    let start = *turn;
    let least = (0..count).map(|i| (start + i) % count).min_by_key(|i| in_flight[*i]);
    let least = black_box(least.unwrap_or(0));
    in_flight[least] += 1;
    in_flight[least] -= 1;
}

fn benches(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    for targets in SIZES {
        group.bench_function(BenchmarkId::new("pool", targets), |b| {
            let mut pool = pool(targets);
            let held: Vec<PickResult> = (0..IN_FLIGHT)
                .map(|_| pool.pick(Time::ZERO, &PickRequest::new(Time::MAX)))
                .collect();
            let mut out = Vec::new();
            let mut now = Time::ZERO;
            b.iter(|| {
                now += Duration::from_micros(500);
                one_request(&mut pool, now, &mut out);
            });
            drop(held);
        });
        group.bench_function(BenchmarkId::new("baseline scan", targets), |b| {
            let mut in_flight = vec![0; targets];
            let mut turn = 0;
            b.iter(|| scan(&mut in_flight, &mut turn));
        });
    }
    group.finish();
}

criterion_group!(pick, benches);
criterion_main!(pick);
