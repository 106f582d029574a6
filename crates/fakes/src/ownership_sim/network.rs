use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

/// A process of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// Steward with this index.
    Steward(usize),
    /// Server with this index.
    Server(usize),
    /// Store.
    Store,
}

/// Network with random delays, losses and cuts.
#[derive(Debug)]
pub struct Network {
    cuts: BTreeSet<(Endpoint, Endpoint)>,
    /// Loses one message in this many; 0 loses none.
    pub loss_one_in: u32,
    /// Delays one message in this many by 0.5 s to `max_delay`; 0 delays none.
    pub late_one_in: u32,
    /// Longest delay of a message.
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
    /// Drops all messages in one direction.
    pub fn cut(&mut self, from: Endpoint, to: Endpoint) {
        self.cuts.insert((from, to));
    }

    /// Removes all cuts.
    pub fn clear_cuts(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether messages in this direction are dropped.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Draws the delay of a message; returns `None` if the message is lost.
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
