//! The log: plain or JSON lines on standard output.
//!
//! The lines of each event are rate-limited, so that a fault that repeats thousands of times a second neither fills the
//! log nor slows the process down. The next line of the event that is written says how many were suppressed.

use crate::event::EventCode;
use crate::output::{self, LineQueue};
use crate::settings::{LogFormat, LogSettings};
use anyhow::{anyhow, Context, Result};
use humantime::format_rfc3339_millis;
use log::{LevelFilter, Record};
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Lines of one event that are written per [`LIMIT_WINDOW`].
pub const LINES_PER_WINDOW: u32 = 20;

/// Lines of an event about single flows or packets that are written per [`LIMIT_WINDOW`]. A burst of a few hundred flows
/// is logged completely; writing a line takes some microseconds.
pub const FLOW_LINES_PER_WINDOW: u32 = 400;

/// Window of the rate limit; it starts with the first line of an event.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(10);

/// Event keys with their own limit. Further keys share one limit, so that the table stays bounded.
const KEYS_MAX: usize = 512;

/// Key of the events beyond [`KEYS_MAX`].
const OTHER_KEY: &str = "other";

/// Decision on a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineVerdict {
    /// The line is written, with the number of lines of its event that were suppressed before it.
    Write {
        /// Lines of the event suppressed since the last one written.
        suppressed: u64,
    },
    /// The line is not written.
    Suppress,
}

#[derive(Clone, Copy, Debug)]
struct EventWindow {
    started: Instant,
    written: u32,
    suppressed: u64,
}

/// Rate limit of log lines, separate for each event.
#[derive(Debug, Default)]
pub struct LineLimiter {
    windows: HashMap<String, EventWindow>,
}

impl LineLimiter {
    /// Decides on a line of the event `key` at `now`, of which [`LINES_PER_WINDOW`] are written in a window.
    pub fn check(&mut self, key: &str, now: Instant) -> LineVerdict {
        self.check_limit(key, LINES_PER_WINDOW, now)
    }

    /// Decides on a line of the event `key` at `now`, of which `limit` are written in a window.
    pub fn check_limit(&mut self, key: &str, limit: u32, now: Instant) -> LineVerdict {
        let known = self.windows.contains_key(key);
        let key = match known || self.windows.len() < KEYS_MAX {
            true => key,
            false => OTHER_KEY,
        };
        let window = self.windows.entry(key.into()).or_insert(EventWindow {
            started: now,
            written: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(window.started) >= LIMIT_WINDOW {
            window.started = now;
            window.written = 0;
        }
        if window.written >= limit {
            window.suppressed += 1;
            return LineVerdict::Suppress;
        }
        window.written += 1;
        let suppressed = std::mem::take(&mut window.suppressed);
        LineVerdict::Write { suppressed }
    }
}

/// Sets up the log of the process.
///
/// # Errors
///
/// The level is not valid, the log is already set up, or the writer thread cannot be started.
pub fn init(settings: &LogSettings) -> Result<()> {
    let level = parse_level(settings)?;
    let format = settings.format;
    let limiter = Mutex::new(LineLimiter::default());
    let queue = output::queue().context("log thread")?;
    let output = fern::Output::call(move |record| write_record(record, format, &limiter, queue));
    fern::Dispatch::new()
        // The level of the process is set below with `set_max_level`, so that a reload can change it.
        .level(LevelFilter::Trace)
        // The web library logs each connection at the level info.
        .level_for("ntex_server", LevelFilter::Warn)
        .level_for("ntex_rt", LevelFilter::Warn)
        .chain(output)
        .apply()
        .context("the log is already set up")?;
    log::set_max_level(level);
    Ok(())
}

/// Changes the level of a running process.
///
/// # Errors
///
/// The level is not valid.
pub fn set_level(settings: &LogSettings) -> Result<()> {
    log::set_max_level(parse_level(settings)?);
    Ok(())
}

fn parse_level(settings: &LogSettings) -> Result<LevelFilter> {
    settings.level.parse().map_err(|_| {
        anyhow!(
            "log.level is {:?}; allowed: error, warn, info, debug, trace, off",
            settings.level
        )
    })
}

fn write_record(
    record: &Record<'_>,
    format: LogFormat,
    limiter: &Mutex<LineLimiter>,
    queue: &LineQueue,
) {
    let message = record.args().to_string();
    let key = event_key(record.target(), &message);
    let verdict = limiter
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .check_limit(key, line_limit(key), Instant::now());
    let LineVerdict::Write { suppressed } = verdict else {
        return;
    };
    let line = format_line(record, &message, suppressed, format, SystemTime::now());
    queue.push(line);
}

/// Waits briefly until the lines logged so far are written; call it before the process ends.
pub fn flush() {
    if let Ok(queue) = output::queue() {
        queue.flush();
    }
}

/// Returns how many lines of the event `key` are written per window.
fn line_limit(key: &str) -> u32 {
    let number = key.strip_prefix("QH").and_then(|text| text.parse().ok());
    let code = number.and_then(EventCode::from_number);
    match code {
        Some(code) if code.concerns_flow() => FLOW_LINES_PER_WINDOW,
        _ => LINES_PER_WINDOW,
    }
}

/// Returns the key of the rate limit: the number of an event such as `QH1001`, or the target of any other line.
fn event_key<'a>(target: &'a str, message: &'a str) -> &'a str {
    match target {
        "event" => message.split(' ').next().unwrap_or(target),
        _ => target,
    }
}

/// Returns the text of a log line, including the newline.
pub fn format_line(
    record: &Record<'_>,
    message: &str,
    suppressed: u64,
    format: LogFormat,
    time: SystemTime,
) -> String {
    let time = format_rfc3339_millis(time);
    let level = record.level();
    match (format, suppressed) {
        (LogFormat::Plain, 0) => format!("{time} {level} {message}\n"),
        (LogFormat::Plain, count) => format!("{time} {level} {message} suppressed={count}\n"),
        (LogFormat::Json, count) => {
            let mut line = json!({
                "time": time.to_string(),
                "level": level.as_str(),
                "event": event_key(record.target(), message),
                "message": message,
            });
            if count > 0 {
                line["suppressed"] = json!(count);
            }
            format!("{line}\n")
        }
    }
}
