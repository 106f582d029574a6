//! Estimates of one server from samples.

use std::time::Duration;

use bay_capacity::{
    CapacitySample, CapacityTable, LearnedCapacity, PendingSamples, ServerCapacity, ServerEstimate,
    ServerId, TimeCode,
};
use bay_time::Time;
use bay_types::ServerName;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const SLOTS: u32 = 4;
const BASE_MS: f64 = 100.0;

fn id() -> ServerId {
    ServerId::new(ServerName::new("i-1").unwrap())
}

fn sample(ms: f64, concurrency: u8) -> CapacitySample {
    CapacitySample { server: id(), latency: TimeCode::from_ms(ms), concurrency, answers: 1 }
}

/// A server that answers ten times a second, in times that vary by a factor of four.
struct Server {
    estimate: ServerEstimate,
    random: SmallRng,
    now: Time,
    /// Ratio of its time to the base time by concurrency.
    stretch: fn(u8) -> f64,
}

impl Server {
    fn new(seed: u64, stretch: fn(u8) -> f64) -> Server {
        let estimate = ServerEstimate::new(SLOTS, &sample(BASE_MS, 1));
        Server { estimate, random: SmallRng::seed_from_u64(seed), now: Time::ZERO, stretch }
    }

    /// Records the answers of a span of time; returns the smallest and largest base time estimated.
    fn run(&mut self, millis: u64, factor: f64) -> (f64, f64) {
        let (mut least, mut most) = (f64::MAX, 0.0_f64);
        for _ in 0..millis / 100 {
            self.now += Duration::from_millis(100);
            let concurrency = self.random.random_range(1..=6);
            let queue = (f64::from(concurrency) / f64::from(SLOTS)).max(1.0);
            let noise = self.random.random_range(0.4..1.6);
            let running = concurrency.min(SLOTS as u8);
            let ms = BASE_MS * noise * queue * factor * (self.stretch)(running);
            self.estimate.record(self.now, &sample(ms, concurrency));
            let base_ms = self.estimate.learned().base_ms;
            (least, most) = (least.min(base_ms), most.max(base_ms));
        }
        (least, most)
    }

    fn learned(&self) -> LearnedCapacity {
        self.estimate.learned()
    }
}

/// A server that turned slow must not keep its share for seconds, nor be avoided after it recovered.
#[test]
fn a_server_five_times_slower_is_followed_within_one_second_and_its_recovery_within_three() {
    for seed in 0..200 {
        let mut server = Server::new(seed, |_| 1.0);
        server.run(10_000, 1.0);
        server.run(1_000, 5.0);
        let slow = server.learned().base_ms;
        assert!(slow > BASE_MS * 2.5, "seed {seed}: {slow} ms after a second of {}", BASE_MS * 5.0);
        server.run(4_000, 5.0);
        server.run(3_000, 1.0);
        let usual = server.learned().base_ms;
        assert!(usual < BASE_MS * 1.8, "seed {seed}: {usual} ms three seconds after recovery");
    }
}

/// Noise that is chased moves load back and forth between equal servers.
#[test]
fn noise_is_not_chased() {
    for seed in 0..200 {
        let mut server = Server::new(seed, |_| 1.0);
        server.run(10_000, 1.0);
        let (least, most) = server.run(60_000, 1.0);
        assert!(least > BASE_MS * 0.65 && most < BASE_MS * 1.35, "seed {seed}: {least} to {most}");
        assert_eq!(server.learned().concurrency, f64::from(SLOTS), "seed {seed}");
    }
}

/// The planner of key ranges would move keys with each change of the published estimates.
#[test]
fn noise_hardly_changes_the_published_estimate() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut table = CapacityTable::default();
        table.set_servers(std::iter::once((id(), SLOTS)));
        let (mut published, mut changes) = (None, 0);
        for step in 0..600 {
            let ms = BASE_MS * random.random_range(0.4..1.6);
            table.record(Time::from_millis(step * 100), &sample(ms, random.random_range(1..=4)));
            table.drain_updates();
            if step >= 100 && table.published(id()) != published {
                changes += 1;
            }
            published = table.published(id());
        }
        assert!(changes <= 2, "seed {seed}: {changes} changes in 50 s");
    }
}

/// Such a server runs no more requests with four than with two slots in use.
#[test]
fn a_server_that_slows_from_half_its_slots_on_is_recognised() {
    for seed in 0..50 {
        let mut server = Server::new(seed, |running| (f64::from(running) / 2.0).max(1.0));
        server.run(20_000, 1.0);
        let learned = server.learned();
        assert!(learned.concurrency < 3.2, "seed {seed}: {learned:?}");
        let rate = learned.rate() / (2.0 * 1000.0 / BASE_MS);
        assert!((0.65..1.5).contains(&rate), "seed {seed}: {rate} times its rate");
    }
}

/// Refusals while slots are free show that fewer are sustained.
#[test]
fn refusals_with_free_slots_lower_the_concurrency() {
    let mut server = Server::new(1, |_| 1.0);
    for _ in 0..40 {
        server.estimate.record(Time::ZERO, &CapacitySample { answers: 0, ..sample(1.0, 2) });
    }
    assert!(server.learned().concurrency < 3.0, "{:?}", server.learned());
}

/// A server could attract requests by reporting a slowdown that it does not have.
#[test]
fn a_reported_slowdown_is_believed_up_to_a_bound() {
    let mut pending = PendingSamples::default();
    pending.record_answer(300.0, 1.0, 100.0);
    let latency = pending.drain(id()).unwrap().latency.as_ms();
    assert!((95.0..105.0).contains(&latency), "{latency}");
    assert!(pending.drain(id()).is_none());
}

#[test_case(0.5, 1.0)]
#[test_case(61.0, 2.5)]
#[test_case(30_000.0, 31.0)]
fn capacities_survive_their_encoding(base_ms: f64, concurrency: f64) {
    let learned = ServerCapacity::new(id(), LearnedCapacity { base_ms, concurrency }).learned();
    assert!((learned.base_ms / base_ms - 1.0).abs() < 0.03, "{learned:?}");
    assert_eq!(learned.concurrency, concurrency);
}

/// The granter sends what has changed and repeats the rest in turn, for routers that missed it.
#[test]
fn the_table_sends_changes_once_and_repeats_in_turn() {
    let name = |index: u32| ServerId::new(ServerName::new(&format!("i-{index}")).unwrap());
    let mut table = CapacityTable::default();
    table.set_servers((0..30).map(|index| (name(index), SLOTS)));
    for index in 0..30 {
        for _ in 0..5 {
            table.record(Time::ZERO, &CapacitySample { server: name(index), ..sample(BASE_MS, 1) });
        }
    }
    let sizes: Vec<usize> = (0..6).map(|_| table.drain_updates().len()).collect();
    assert!(sizes[0] <= 12 && sizes[..3].iter().sum::<usize>() >= 30, "{sizes:?}");
    assert!(sizes[4..].iter().all(|size| *size <= 2), "{sizes:?}");
    let repeated: std::collections::BTreeSet<ServerId> =
        (0..20).flat_map(|_| table.drain_updates()).map(|update| update.server).collect();
    assert_eq!(repeated.len(), 30);
    table.set_servers(std::iter::once((name(3), SLOTS)));
    assert!(table.published(name(3)).is_some() && table.published(name(4)).is_none());
}
