//! The format and the rate limit of log lines, and the page on events.

use log::{Level, Record};
use quetzalhill_node::event::EventCode;
use quetzalhill_node::log::{
    format_line, LineLimiter, LineVerdict, LIMIT_WINDOW, LINES_PER_WINDOW,
};
use quetzalhill_node::settings::LogFormat;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, UNIX_EPOCH};

/// Guards against a repeated event that fills the log, and against suppressed lines that are not counted in the next
/// written one.
#[test]
fn repeated_event_is_limited_and_counted() {
    let start = Instant::now();
    let mut limiter = LineLimiter::default();
    let mut written = 0;
    for _ in 0..1_000 {
        if limiter.check("QH4003", start) != LineVerdict::Suppress {
            written += 1;
        }
    }
    assert_eq!(written, LINES_PER_WINDOW);
    let other = limiter.check("QH4001", start);
    assert_eq!(other, LineVerdict::Write { suppressed: 0 });
    let later = limiter.check("QH4003", start + LIMIT_WINDOW);
    let suppressed = 1_000 - u64::from(LINES_PER_WINDOW);
    assert_eq!(later, LineVerdict::Write { suppressed });
    let after = limiter.check("QH4003", start + LIMIT_WINDOW + Duration::from_secs(1));
    assert_eq!(after, LineVerdict::Write { suppressed: 0 });
}

/// Guards against a table of limits that grows without bound with the log targets of other libraries.
#[test]
fn table_of_limits_is_bounded() {
    let now = Instant::now();
    let mut limiter = LineLimiter::default();
    let lines = (0..100_000_u32).map(|number| limiter.check(&format!("target{number}"), now));
    let written = lines
        .filter(|verdict| *verdict != LineVerdict::Suppress)
        .count();
    assert!(written < 1_000, "{written} lines");
}

/// Guards against JSON log lines that a log collector cannot parse.
#[test]
fn json_line_is_one_object() {
    let args = format_args!("unused");
    let record = Record::builder()
        .args(args)
        .level(Level::Warn)
        .target("event")
        .build();
    let message = "QH4003 store-unavailable error=\"a \\\"b\\\"\"";
    let line = format_line(&record, message, 3, LogFormat::Json, UNIX_EPOCH);
    assert_eq!(line.matches('\n').count(), 1);
    let value: serde_json::Value = serde_json::from_str(&line).expect("an object");
    assert_eq!(value["event"], "QH4003");
    assert_eq!(value["suppressed"], 3);
    assert_eq!(value["time"], "1970-01-01T00:00:00.000Z");
    let plain = format_line(&record, message, 0, LogFormat::Plain, UNIX_EPOCH);
    assert_eq!(plain, format!("1970-01-01T00:00:00.000Z WARN {message}\n"));
}

/// Guards against events that are missing in docs/events.md, and against rows there about events that do not exist.
#[test]
fn page_on_events_lists_exactly_the_events() {
    let page = include_str!("../../../docs/events.md");
    let mut rows = BTreeMap::new();
    for line in page.lines().filter(|line| line.starts_with("| QH")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 7, "{line}");
        assert!(!cells[4].is_empty() && !cells[5].is_empty(), "{line}");
        let row = (cells[2].trim_matches('`').to_string(), cells[3].to_string());
        assert!(rows.insert(cells[1].to_string(), row).is_none(), "{line}");
    }
    let mut events = BTreeMap::new();
    for code in EventCode::ALL {
        let level = code.level().as_str().to_lowercase();
        let row = (code.name().to_string(), level);
        let number = format!("QH{}", code.number());
        assert!(events.insert(number, row).is_none(), "{code:?}");
    }
    assert_eq!(rows, events);
}
