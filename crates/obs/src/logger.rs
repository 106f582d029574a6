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

/// Sends the process's log to standard output, one JSON object a line.
///
/// Lines beyond [`LogRateLimiter`], and those for which the output has no room, are left out and
/// counted, so that the log neither floods nor blocks the process.
///
/// # Errors
/// Returns an error if the process already has a log.
pub fn init_logger(level: LogLevel, process: &'static str) -> Result<(), log::SetLoggerError> {
    let output = Mutex::new(Output {
        limit: LogRateLimiter::new(BootClock.now()),
        reported: BootClock.now(),
        process,
    });
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            output.lock().unwrap_or_else(PoisonError::into_inner).write(record);
        }))
        .apply()
}

/// Standard output with its limit.
#[derive(Debug)]
struct Output {
    limit: LogRateLimiter,
    /// When lines that were left out were last told.
    reported: Time,
    process: &'static str,
}

impl Output {
    fn write(&mut self, record: &log::Record<'_>) {
        let now = BootClock.now();
        if !self.limit.admit(now, record.level() <= log::Level::Warn) {
            return;
        }
        let level = record.level().as_str();
        let event = record.args().to_string();
        self.write_line(level, &event, &fields(record));
        if now.since(self.reported) >= LogRateLimiter::report_interval()
            && let Some(left_out) = self.limit.take_dropped_count()
        {
            self.reported = now;
            let fields = BTreeMap::from([("lines".to_owned(), left_out.to_string())]);
            self.write_line("WARN", "log lines left out", &fields);
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
        if !has_room(&stdout) || stdout.write_all(&bytes).and_then(|()| stdout.flush()).is_err() {
            self.limit.record_blocked();
        }
    }
}

/// Whether a line can be written without waiting for the reader.
fn has_room(stdout: &io::StdoutLock<'_>) -> bool {
    let mut fds = [PollFd::new(stdout, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut fds, Some(&at_once)), Ok(1..))
}

// Only for people who read the log; no decision depends on the wall clock.
fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

fn fields(record: &log::Record<'_>) -> BTreeMap<String, String> {
    let mut fields = Fields::default();
    // Collecting into memory cannot fail.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

#[derive(Default)]
struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}
