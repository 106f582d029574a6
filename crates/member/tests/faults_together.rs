//! Tests random combinations of all faults, followed by a quiet period in which all nodes must
//! agree.

mod driver;

use std::time::Duration;

use bay_wire::Item;
use driver::{Net, document};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const NODES: usize = 18;
const ZONES: usize = 6;
const EVENTS: usize = 60;
const QUIET: Duration = Duration::from_secs(120);

/// A random schedule of faults and changes.
struct Schedule {
    net: Net,
    rng: SmallRng,
    major: u64,
    newest: Item,
}

impl Schedule {
    fn new(seed: u64) -> Schedule {
        let mut net = Net::new(NODES, ZONES, seed);
        net.run(Duration::from_secs(10));
        net.link_gates();
        let newest = document("jobs", 1, 500);
        let mut schedule = Schedule { net, rng: SmallRng::seed_from_u64(seed), major: 1, newest };
        schedule.offer();
        schedule
    }

    fn step(&mut self) {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..12) {
            0 => self.net.kill(node),
            1 => self.net.restart(node),
            2 => self.net.pause(node),
            3 => self.resume(node, false),
            4 => self.resume(node, true),
            5 => self.cut_zone(),
            6 => self.cut_one_way(node),
            7 => self.net.cut = Box::new(|_, _| false),
            8 => self.net.loss = self.rng.random_range(0.0..0.3),
            9 => self.net.duplicated = self.rng.random_range(0.0..0.3),
            10 => self.offer_older(node),
            _ => self.offer(),
        }
        let pause = self.rng.random_range(100..12_000);
        self.net.run(Duration::from_millis(pause));
    }

    fn resume(&mut self, node: usize, dropping: bool) {
        if dropping {
            self.net.drop_held_back(node);
        }
        if self.net.nodes[node].paused {
            self.net.resume(node);
        }
    }

    fn cut_zone(&mut self) {
        let zone = self.net.nodes[self.rng.random_range(0..NODES)].zone;
        self.net.cut = Box::new(move |from, to| (from.zone == zone) != (to.zone == zone));
    }

    fn cut_one_way(&mut self, node: usize) {
        let id = self.net.nodes[node].id;
        self.net.cut = Box::new(move |_, to| to.id == id);
    }

    /// Offers a newer document, sometimes a deletion, at a random node if it is running.
    fn offer(&mut self) {
        let node = self.rng.random_range(0..NODES);
        if !self.runs(node) {
            return;
        }
        self.major += 1;
        let bytes = [0, 300, 5_000][self.rng.random_range(0..3)];
        self.newest = document("jobs", self.major, bytes);
        self.net.offer(node, self.newest.clone());
    }

    /// Offers an older document, as a lagging store returns it.
    fn offer_older(&mut self, node: usize) {
        if self.runs(node) {
            let major = self.rng.random_range(1..=self.major);
            if major < self.major {
                self.net.offer(node, document("jobs", major, 300));
            }
        }
    }

    fn runs(&self, node: usize) -> bool {
        self.net.nodes[node].up && !self.net.nodes[node].paused
    }

    fn heal(&mut self) {
        self.net.cut = Box::new(|_, _| false);
        (self.net.loss, self.net.duplicated) = (0.0, 0.0);
        for node in 0..NODES {
            self.resume(node, false);
            if !self.net.nodes[node].up {
                self.net.restart(node);
            }
        }
    }
}

#[test_case(0..4; "seeds 0 to 3")]
#[test_case(4..8; "seeds 4 to 7")]
#[test_case(8..12; "seeds 8 to 11")]
#[test_case(12..16; "seeds 12 to 15")]
fn all_nodes_agree_after_random_faults(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut schedule = Schedule::new(seed);
        for _ in 0..EVENTS {
            schedule.step();
        }
        schedule.heal();
        // A watcher reads the newest version from the store.
        let newest = schedule.newest.clone();
        schedule.net.offer(0, newest.clone());
        let agreed = schedule.net.run_until(QUIET, Net::agreed);
        assert!(agreed.is_some(), "seed {seed}: the nodes do not agree");
        let (key, version) = (newest.key, newest.version);
        let spread = schedule.net.run_until(QUIET, move |net| net.everywhere(key, version));
        assert!(spread.is_some(), "seed {seed}: the newest document is not everywhere");
    }
}
