use std::path::{Path, PathBuf};
use std::time::Duration;

use bay_time::Time;
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rustix::process::Signal;

use crate::faults::as_seconds;
use crate::router::Router;

/// Replacement of the routers' build, one router after the other.
pub struct Upgrade {
    /// Steps that are left, the next one last.
    steps: Vec<Step>,
    interval: Duration,
    next_step_at: Time,
}

/// Replacement of one router's build.
struct Step {
    router: usize,
    binary: PathBuf,
}

impl Upgrade {
    /// Plans the steps in random order, spread over `duration`. All routers run `previous` before.
    ///
    /// A third of the plans upgrades all routers, a third takes the upgrade back halfway, and a third
    /// leaves half of the routers as they are.
    pub fn plan(
        random: &mut SmallRng,
        (previous, current): (&Path, &Path),
        routers: usize,
        now: Time,
        duration: Duration,
    ) -> Upgrade {
        let mut order: Vec<usize> = (0..routers).collect();
        order.shuffle(random);
        let half = routers.div_ceil(2);
        let step = |binary: &Path| {
            let binary = binary.to_owned();
            move |router: &usize| Step { router: *router, binary: binary.clone() }
        };
        let mut steps: Vec<Step> = match random.random_range(0..3) {
            0 => order.iter().map(step(current)).collect(),
            1 => {
                let forth = order[..half].iter().map(step(current));
                forth.chain(order[..half].iter().map(step(previous))).collect()
            }
            _ => order[..half].iter().map(step(current)).collect(),
        };
        steps.reverse();
        let interval = duration / (steps.len() as u32 + 1);
        Upgrade { steps, interval, next_step_at: now + interval }
    }

    /// Stops the next router if a step is due; it starts again with the other build once it has exited.
    /// Returns whether a step was made.
    pub fn advance(&mut self, now: Time, routers: &mut [Router]) -> bool {
        if now < self.next_step_at {
            return false;
        }
        let Some(Step { router, binary }) = self.steps.pop() else {
            return false;
        };
        self.next_step_at = now + self.interval;
        println!("{:8.3} router {router} gets {}", as_seconds(now), binary.display());
        routers[router].set_binary(binary);
        routers[router].signal(Signal::CONT);
        routers[router].signal(Signal::TERM);
        true
    }
}
