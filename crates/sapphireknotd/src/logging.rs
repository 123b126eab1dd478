//! Log output of the daemon: one JSON object per line on standard output.

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

/// Error during the setup of logging.
#[derive(Debug, Error)]
pub enum LogError {
    /// A logger is already installed.
    #[error("install logger: {0}")]
    Install(#[from] log::SetLoggerError),
    /// The writer thread could not be started.
    #[error("start log writer: {0}")]
    Writer(#[from] std::io::Error),
}

/// Capacity of the line queue, about half a megabyte.
const QUEUE_CAPACITY: usize = 2_048;
/// Time limit for writing the remaining lines at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Queue of the installed logger.
static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Installs the logger at the level of `settings`.
pub fn install(settings: &LogSettings) -> Result<(), LogError> {
    let queue = LineQueue::start(std::io::stdout(), QUEUE_CAPACITY)?;
    let lines = QUEUE.get_or_init(|| queue).clone();
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    fern::Dispatch::new()
        // `log::set_max_level` filters by level before a record is built, and a settings reload may change it.
        .level(LevelFilter::Trace)
        // Below this level these libraries log every frame, which drowns the daemon's own lines.
        .level_for("h2", LevelFilter::Warn)
        .level_for("hyper", LevelFilter::Warn)
        .format(|out, _, record| out.finish(format_args!("{}", format_line(record))))
        .chain(fern::Output::call(move |record| lines.push(record.args().to_string())))
        .apply()?;
    log::set_max_level(level);
    Ok(())
}

/// Writes the queued lines at process exit.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FLUSH_TIMEOUT);
    }
}

/// Changes the log level.
pub fn set_level(settings: &LogSettings) {
    log::set_max_level(settings.level.parse().unwrap_or(LevelFilter::Info));
}

/// Formats a record as a JSON object.
pub fn format_line(record: &Record<'_>) -> String {
    let time = WallTime::from(std::time::SystemTime::now());
    let mut fields = FieldCollector(Map::new());
    // The record's own fields are inserted first, so that none replaces a standard field.
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

struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| json!(value.to_string()));
        // A null field adds bytes to the line and no information.
        if !value.is_null() {
            self.0.insert(key.as_str().to_owned(), value);
        }
        Ok(())
    }
}
