use std::collections::BTreeMap;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use serde_json::json;

pub use log::LevelFilter as LogLevel;

/// Sends the process's log to standard output, one JSON object a line.
///
/// # Errors
/// Returns an error if the process already has a log.
pub fn init_log(level: LogLevel, process: &'static str) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = json!({
                "time_ms": wall_millis(),
                "level": record.level().as_str(),
                "process": process,
                "event": message.to_string(),
                "fields": fields(record),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(io::stdout())
        .apply()
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
