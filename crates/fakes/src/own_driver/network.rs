use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

/// A process in the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
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
    cuts: BTreeSet<(Place, Place)>,
    /// One message in this many is lost; 0 for none.
    pub loss: u32,
    /// One message in this many is seconds late; 0 for none.
    pub late: u32,
    /// The latest that a message comes.
    pub latest: Duration,
}

impl Default for Network {
    fn default() -> Network {
        Network { cuts: BTreeSet::new(), loss: 0, late: 0, latest: Duration::from_secs(5) }
    }
}

impl Network {
    /// Cuts one direction.
    pub fn cut(&mut self, from: Place, to: Place) {
        self.cuts.insert((from, to));
    }

    /// Mends every cut.
    pub fn mend(&mut self) {
        self.cuts.clear();
    }

    /// Whether one direction is cut.
    pub fn is_cut(&self, from: Place, to: Place) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// How long a message takes, or `None` if it is lost.
    pub(crate) fn delay(&self, rng: &mut SmallRng, from: Place, to: Place) -> Option<Duration> {
        let lost = self.loss > 0 && rng.random_range(0..self.loss) == 0;
        if self.is_cut(from, to) || lost {
            return None;
        }
        let late = self.late > 0 && rng.random_range(0..self.late) == 0;
        let micros = if late {
            rng.random_range(500_000..self.latest.as_micros() as u64)
        } else {
            rng.random_range(500..3_000)
        };
        Some(Duration::from_micros(micros))
    }
}
