//! Log output as one JSON object per line.

use std::fmt::Arguments;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use log::{LevelFilter, Record};
use masticdeal_config::settings::Log;
use serde_json::{Map, Value};

use super::log_writer::LogWriter;

/// Why logging cannot start.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// `{0}` is not a log level; expected off, error, warn, info, debug or trace
    Level(String),
    /// a logger is already set
    AlreadySet,
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Starts logging to standard output, and returns the writer.
///
/// # Errors
///
/// Returns [`Error::Level`] for an unknown level, or [`Error::AlreadySet`] on a second call.
pub fn init(settings: &Log) -> Result<Arc<LogWriter>> {
    let log_writer = Arc::new(LogWriter::start(std::io::stdout()));
    let writer = Arc::clone(&log_writer);
    dispatch(settings)?
        .chain(fern::Output::call(move |record| {
            writer.enqueue(record.target(), record.args().to_string());
        }))
        .apply()
        .map_err(|_| Error::AlreadySet)?;
    Ok(log_writer)
}

/// Returns the logger without an output, for [`init`] and for tests.
///
/// # Errors
///
/// Returns [`Error::Level`] for an unknown level.
pub fn dispatch(settings: &Log) -> Result<fern::Dispatch> {
    let mut dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{}", render_record(message, record)))
        })
        .level(parse_level(&settings.level)?);
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), parse_level(level)?);
    }
    Ok(dispatch)
}

fn parse_level(text: &str) -> Result<LevelFilter> {
    text.parse().map_err(|_| Error::Level(text.to_owned()))
}

/// Converts a record and its key-value pairs to JSON. A pair never replaces a standard field.
fn render_record(message: &Arguments<'_>, record: &Record<'_>) -> Value {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("time_ms".into(), (time.as_millis() as u64).into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("module".into(), record.target().into());
    fields.insert("message".into(), message.to_string().into());
    let _ = record.key_values().visit(&mut PairVisitor(&mut fields));
    Value::Object(fields)
}

struct PairVisitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for PairVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.entry(key.as_str()).or_insert(value);
        Ok(())
    }
}
