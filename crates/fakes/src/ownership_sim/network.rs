use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

/// A process in the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// The steward with this index.
    Steward(usize),
    /// The server with this index.
    Server(usize),
    /// The store.
    Store,
}

/// How messages travel.
#[derive(Debug)]
pub struct Network {
    cuts: BTreeSet<(Endpoint, Endpoint)>,
    /// One message in this many is lost; 0 for none.
    pub loss_one_in: u32,
    /// One message in this many is seconds late; 0 for none.
    pub late_one_in: u32,
    /// The latest that a message comes.
    pub max_delay: Duration,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            cuts: BTreeSet::new(),
            loss_one_in: 0,
            late_one_in: 0,
            max_delay: Duration::from_secs(5),
        }
    }
}

impl Network {
    /// Cuts one direction.
    pub fn cut(&mut self, from: Endpoint, to: Endpoint) {
        self.cuts.insert((from, to));
    }

    /// Mends every cut.
    pub fn clear_cuts(&mut self) {
        self.cuts.clear();
    }

    /// Whether one direction is cut.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// How long a message takes, or `None` if it is lost.
    pub(crate) fn delay(
        &self,
        rng: &mut SmallRng,
        from: Endpoint,
        to: Endpoint,
    ) -> Option<Duration> {
        let lost = self.loss_one_in > 0 && rng.random_range(0..self.loss_one_in) == 0;
        if self.is_cut(from, to) || lost {
            return None;
        }
        let late = self.late_one_in > 0 && rng.random_range(0..self.late_one_in) == 0;
        let micros = if late {
            rng.random_range(500_000..self.max_delay.as_micros() as u64)
        } else {
            rng.random_range(500..3_000)
        };
        Some(Duration::from_micros(micros))
    }
}
