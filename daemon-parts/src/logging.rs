//! Event log. Each line has a time, level, event number, event name, peer and text.

use std::{fmt, io};

use coordination::events::{Event, Level};
use error_stack::{Report, ResultExt};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};

/// Error at the start of a program, with the step that failed. The report has the cause and details.
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
/// The level is unknown, or a logger is already running.
pub fn start(level: &str) -> Result<LoggerHandle, Report<StartError>> {
    // Reports are written to log lines, which have no colours.
    Report::set_color_mode(error_stack::fmt::ColorMode::None);
    // Libraries log warnings only; numbered events are logged by this package.
    Logger::try_with_str(format!("warn, daemon_parts={level}"))
        .and_then(|logger| logger.format(write_line).log_to_stderr().start())
        .change_context(StartError("start logging"))
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
