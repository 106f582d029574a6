use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use bay_time::{BootClock, Clock, Time};
use log::kv::{Key, Value, VisitSource};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde_json::json;

use crate::LogRateLimiter;

pub use log::LevelFilter as LogLevel;

/// Sets up the process's logger, which writes one JSON object per line to standard output.
///
/// Lines beyond the limit of [`LogRateLimiter`] are dropped and counted, and so are lines that the
/// output cannot take at once. This keeps the log from flooding the host and from blocking the
/// process when the output's reader stops.
///
/// # Errors
/// Returns an error if the process already has a logger.
pub fn init_logger(level: LogLevel, process: &'static str) -> Result<(), log::SetLoggerError> {
    let output = Mutex::new(Output {
        limiter: LogRateLimiter::new(BootClock.now()),
        last_report: BootClock.now(),
        process,
    });
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            output.lock().unwrap_or_else(PoisonError::into_inner).write(record);
        }))
        .apply()
}

/// Standard output with a rate limiter.
#[derive(Debug)]
struct Output {
    limiter: LogRateLimiter,
    /// Time of the last report of dropped lines.
    last_report: Time,
    process: &'static str,
}

impl Output {
    fn write(&mut self, record: &log::Record<'_>) {
        let now = BootClock.now();
        if !self.limiter.admit(now, record.level() <= log::Level::Warn) {
            return;
        }
        let level = record.level().as_str();
        let event = record.args().to_string();
        self.write_line(level, &event, &collect_fields(record));
        if now.since(self.last_report) >= LogRateLimiter::report_interval()
            && let Some(dropped) = self.limiter.take_dropped_count()
        {
            self.last_report = now;
            let fields = BTreeMap::from([("lines".to_owned(), dropped.to_string())]);
            self.write_line("WARN", "log lines dropped", &fields);
        }
    }

    fn write_line(&mut self, level: &str, event: &str, fields: &BTreeMap<String, String>) {
        let line = json!({
            "time_ms": wall_millis(),
            "level": level,
            "process": self.process,
            "event": event,
            "fields": fields,
        });
        let mut bytes = line.to_string().into_bytes();
        bytes.push(b'\n');
        let mut stdout = io::stdout().lock();
        if !is_writable(&stdout) || stdout.write_all(&bytes).and_then(|()| stdout.flush()).is_err()
        {
            self.limiter.record_blocked();
        }
    }
}

/// Returns whether standard output accepts data without blocking.
fn is_writable(stdout: &io::StdoutLock<'_>) -> bool {
    let mut fds = [PollFd::new(stdout, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut fds, Some(&no_wait)), Ok(1..))
}

// The wall clock is only for readers of the log. No decision depends on it.
fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn collect_fields(record: &log::Record<'_>) -> BTreeMap<String, String> {
    let mut fields = FieldCollector::default();
    // The collector never returns an error.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

#[derive(Default)]
struct FieldCollector(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}
