//! Logs of the daemon: one JSON object per line on standard output.

pub mod queue;

use std::{sync::OnceLock, time::Duration};

use log::{
    LevelFilter, Record,
    kv::{self, Key, Value, VisitSource},
};
use sapphireknot::time::WallTime;
use serde_json::{Map, json};
use thiserror::Error;

use self::queue::LineQueue;
use crate::settings::LogSettings;

/// Why logs cannot be written.
#[derive(Debug, Error)]
pub enum LogError {
    /// A logger is in place already.
    #[error("install logger: {0}")]
    Install(#[from] log::SetLoggerError),
    /// The thread that writes cannot be started.
    #[error("start log writer: {0}")]
    Writer(#[from] std::io::Error),
}

/// Lines that wait for the writer at most, about half a megabyte.
const QUEUED_LINES: usize = 2_048;
/// Time to write the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Queue of the installed logger.
static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Starts writing logs at the level of `settings`.
pub fn install(settings: &LogSettings) -> Result<(), LogError> {
    let queue = LineQueue::start(std::io::stdout(), QUEUED_LINES)?;
    let lines = QUEUE.get_or_init(|| queue).clone();
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    fern::Dispatch::new()
        // The level is checked before a record is built; a reload may change it.
        .level(LevelFilter::Trace)
        // Connection libraries log single frames below this level, which drowns the host's own lines.
        .level_for("h2", LevelFilter::Warn)
        .level_for("hyper", LevelFilter::Warn)
        .format(|out, _, record| out.finish(format_args!("{}", format_line(record))))
        .chain(fern::Output::call(move |record| lines.push(record.args().to_string())))
        .apply()?;
    log::set_max_level(level);
    Ok(())
}

/// Writes what is queued, at the end of the process.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FLUSH_TIMEOUT);
    }
}

/// Changes the level of the logs that are being written.
pub fn set_level(settings: &LogSettings) {
    log::set_max_level(settings.level.parse().unwrap_or(LevelFilter::Info));
}

/// One record as a JSON object.
pub fn format_line(record: &Record<'_>) -> String {
    let time = WallTime::from(std::time::SystemTime::now());
    let mut fields = FieldMap(Map::new());
    // Fields of the record come first, so that none replaces a fixed one.
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("incomplete".to_owned(), json!(true));
    }
    let mut fields = fields.0;
    fields.insert("time".to_owned(), json!(time));
    fields.insert("level".to_owned(), json!(record.level().as_str().to_lowercase()));
    fields.insert("target".to_owned(), json!(record.target()));
    fields.insert("message".to_owned(), json!(record.args().to_string()));
    serde_json::Value::Object(fields).to_string()
}

struct FieldMap(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| json!(value.to_string()));
        // A field without a value takes bytes of each line and tells nothing.
        if !value.is_null() {
            self.0.insert(key.as_str().to_owned(), value);
        }
        Ok(())
    }
}
