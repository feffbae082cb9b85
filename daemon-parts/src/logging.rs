//! Log lines: time, level, number, name, peer, text.

use std::{fmt, io};

use coordination::events::{Event, Level};
use error_stack::{Report, ResultExt};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};

/// A program could not start: what it was about to do. The report carries the cause and what it concerns.
#[derive(Debug)]
pub struct StartError(pub &'static str);

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "could not {}", self.0)
    }
}

impl std::error::Error for StartError {}

fn write_line(
    output: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &log::Record,
) -> io::Result<()> {
    write!(
        output,
        "{} {:5} {}",
        now.format("%Y-%m-%dT%H:%M:%S%.3f"),
        record.level(),
        record.args()
    )
}

/// Starts logging to standard error.
///
/// # Errors
/// The level is none that the logger knows, or a logger runs already.
pub fn start(level: &str) -> Result<LoggerHandle, Report<StartError>> {
    // Reports go into log lines: no colours there.
    Report::set_color_mode(error_stack::fmt::ColorMode::None);
    // Libraries only log warnings; numbered events come from this package.
    Logger::try_with_str(format!("warn, daemon_parts={level}"))
        .and_then(|logger| logger.format(write_line).log_to_stderr().start())
        .change_context(StartError("start the log"))
}

/// Logs one numbered event.
pub fn event(event: Event, peer: &str, text: &str) {
    let level = match event.level {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(level, "{} {} peer={peer} {text}", event.number, event.name);
}
