use std::time::Duration;

use bay_time::Time;

/// The least time that an answer of a service took lately, over two windows.
#[derive(Debug, Default)]
pub(crate) struct Fastest {
    current: Option<Duration>,
    previous: Option<Duration>,
    since: Time,
}

impl Fastest {
    /// How long a window lasts.
    const WINDOW: Duration = Duration::from_secs(10);

    /// Takes the time that an answer took.
    pub(crate) fn observe(&mut self, now: Time, span: Duration) {
        if now.since(self.since) >= Fastest::WINDOW {
            self.previous = self.current.take();
            self.since = now;
        }
        self.current = Some(self.current.map_or(span, |least| least.min(span)));
    }

    /// Time below which no answer came lately; zero if nothing is known.
    pub(crate) fn least(&self, now: Time) -> Duration {
        let age = now.since(self.since);
        if age >= Fastest::WINDOW * 2 {
            return Duration::ZERO;
        }
        let previous = if age < Fastest::WINDOW { self.previous } else { None };
        let least = self.current.into_iter().chain(previous).min();
        least.unwrap_or(Duration::ZERO)
    }
}
