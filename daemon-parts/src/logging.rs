//! Log lines: time, level, number, name, peer, text.

use coordination::events::{Event, Level};
use error_stack::{Report, ResultExt};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};

/// Why a program could not start; the report carries step and peer.
#[derive(Debug)]
pub struct StartFault(pub &'static str);

impl std::fmt::Display for StartFault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "could not {}", self.0)
    }
}
impl std::error::Error for StartFault {}

fn line(w: &mut dyn std::io::Write, t: &mut DeferredNow, r: &log::Record) -> std::io::Result<()> {
    write!(
        w,
        "{} {:5} {}",
        t.format("%Y-%m-%dT%H:%M:%S%.3f"),
        r.level(),
        r.args()
    )
}

/// Starts logging to standard error.
pub fn start(level: &str) -> Result<LoggerHandle, Report<StartFault>> {
    // Reports go into log lines: no colours there.
    Report::set_color_mode(error_stack::fmt::ColorMode::None);
    // Libraries only speak when something is wrong; the events are ours.
    Logger::try_with_str(format!("warn, daemon_parts={level}"))
        .and_then(|l| l.format(line).log_to_stderr().start())
        .change_context(StartFault("start the log"))
}

/// Logs one numbered event.
pub fn event(e: Event, peer: &str, text: &str) {
    let l = match e.level {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(l, "{} {} peer={peer} {text}", e.number, e.name);
}
