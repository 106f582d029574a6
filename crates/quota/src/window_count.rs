use std::collections::VecDeque;
use std::time::Duration;

use bay_time::Time;

/// Counts requests within a sliding window, in intervals of fixed length.
#[derive(Debug, Default, Clone)]
pub(crate) struct WindowCount {
    /// Index and count of each interval with requests, in ascending order.
    intervals: VecDeque<(u64, f64)>,
    sum: f64,
}

impl WindowCount {
    /// Length of an interval, by which requests may count longer than the window.
    pub(crate) const INTERVAL: Duration = Duration::from_millis(50);

    /// Adds requests at a time; a negative count removes some.
    pub(crate) fn add(&mut self, at: Time, count: f64) {
        let index = interval(at);
        let position = self.intervals.partition_point(|(other, _)| *other < index);
        match self.intervals.get_mut(position) {
            Some((other, sum)) if *other == index => *sum += count,
            _ => self.intervals.insert(position, (index, count)),
        }
        self.sum += count;
    }

    /// Removes a request that was added at a time; returns whether there was one.
    pub(crate) fn remove(&mut self, at: Time) -> bool {
        let index = interval(at);
        let counted = self.intervals.iter().any(|(other, sum)| *other == index && *sum >= 1.0);
        if counted {
            self.add(at, -1.0);
        }
        counted
    }

    /// Adds requests evenly over the time from `from` to `to`.
    pub(crate) fn spread(&mut self, from: Time, to: Time, count: f64) {
        let (first, last) = (interval(from), interval(to).max(interval(from)));
        let part = count / (last - first + 1) as f64;
        for index in first..=last {
            self.add(start(index), part);
        }
    }

    /// Drops the requests before the window and returns the number of those within it.
    pub(crate) fn count(&mut self, now: Time, window: Duration) -> f64 {
        let first = interval(now - window);
        while self.intervals.front().is_some_and(|(index, _)| *index < first) {
            self.sum -= self.intervals.pop_front().map_or(0.0, |(_, count)| count);
        }
        if self.intervals.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }

    /// Returns the number of requests in each of the parts of the window, the earliest first.
    pub(crate) fn history(&self, now: Time, window: Duration, parts: u32) -> Vec<u32> {
        let part = window / parts;
        let end = now + WindowCount::INTERVAL;
        let starts = (0..parts).rev().map(|index| end - part * (index + 1));
        starts.map(|start| self.between(start, start + part).max(0.0) as u32).collect()
    }

    /// Returns the start of the first interval with requests.
    pub(crate) fn first(&self) -> Option<Time> {
        self.intervals.front().map(|(index, _)| start(*index))
    }

    /// Returns the number of requests from one time to another.
    pub(crate) fn between(&self, from: Time, to: Time) -> f64 {
        let (first, last) = (interval(from), interval(to));
        let within = self.intervals.iter().filter(|(index, _)| (first..last).contains(index));
        within.map(|(_, count)| count).sum()
    }
}

fn interval(at: Time) -> u64 {
    at.as_nanos() / WindowCount::INTERVAL.as_nanos() as u64
}

fn start(index: u64) -> Time {
    Time::from_nanos(index * WindowCount::INTERVAL.as_nanos() as u64)
}
