//! Logging of this process: one line of `key=value` pairs for each event.
//!
//! ```text
//! ts=2026-12-02T18:40:00.123Z level=warn event=worker.fenced worker=oamaru-w7 epoch=4.0
//! ```
//!
//! Call sites write the `event` pair first and escape text of external origin with [`value`]:
//!
//! ```
//! use oriolefork::logging;
//! let name = "shop\nevent=job.ended";
//! log::info!("event=job.accepted name={}", logging::value(name));
//! assert_eq!(logging::value(name).to_string(), r#""shop\nevent=job.ended""#);
//! ```

mod line;
mod repeats;
mod sink;
mod value;

use derive_more::Display;
use log::LevelFilter;

pub use line::Line;
pub use repeats::Repeats;
pub use sink::{RateLimiter, Stream, buffer_lines, flush};
pub use value::{Value, value};

use crate::settings::Level;

/// Logging could not be started.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=logging.start cause={cause}")]
pub struct Error {
    /// Description of the cause.
    pub cause: String,
}

/// Starts writing log lines of `level` and above to standard error.
///
/// Can be called once in a process.
///
/// # Errors
///
/// Fails if logging was already started in this process.
pub fn start(level: Level) -> Result<(), Error> {
    start_on(Stream::Error, level)
}

/// Starts writing log lines of `level` and above to `stream`.
///
/// Can be called once in a process.
///
/// # Errors
///
/// Fails if logging was already started in this process.
pub fn start_on(stream: Stream, level: Level) -> Result<(), Error> {
    let output = fern::Output::call(move |record| {
        sink::write_line(stream, record.level(), &record.args().to_string());
    });
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{}", Line::new(record, message))))
        .chain(output);
    dispatch.apply().map_err(|error| Error { cause: error.to_string() })?;
    set_level(level);
    Ok(())
}

/// Sets the least severe level that is written; takes effect at once.
pub fn set_level(level: Level) {
    log::set_max_level(level.into());
}

/// Returns the least severe level that is written.
pub fn level() -> Level {
    log::max_level().into()
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

impl From<LevelFilter> for Level {
    fn from(filter: LevelFilter) -> Self {
        match filter {
            LevelFilter::Off => Self::Off,
            LevelFilter::Error => Self::Error,
            LevelFilter::Warn => Self::Warn,
            LevelFilter::Info => Self::Info,
            LevelFilter::Debug => Self::Debug,
            LevelFilter::Trace => Self::Trace,
        }
    }
}
