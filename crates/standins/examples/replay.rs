//! Replays recorded traces through the routing and dispatch code and compares the measures with the expected outcomes.

use argh::FromArgs;
use quetzalhill_standins::replay::run::replay;
use quetzalhill_standins::replay::trace::read_trace;
use std::process::ExitCode;

/// Exit code if a replay does not meet an expected outcome.
const OUTCOME_FAILED: u8 = 1;

/// Exit code if a trace file is invalid; takes precedence.
const INVALID_TRACE: u8 = 2;

/// Replay recorded traces in virtual time. Exits with 1 if an expected outcome is not met, with 2 if a file is invalid.
#[derive(FromArgs)]
struct ReplayArgs {
    /// trace files, such as traces/dawn.trace
    #[argh(positional)]
    traces: Vec<String>,
}

fn main() -> ExitCode {
    let args: ReplayArgs = argh::from_env();
    let mut code = 0;
    for file in &args.traces {
        code = code.max(replay_file(file));
    }
    ExitCode::from(code)
}

fn replay_file(file: &str) -> u8 {
    let trace = match read_trace(file) {
        Ok(trace) => trace,
        Err(error) => {
            eprintln!("{error}");
            return INVALID_TRACE;
        }
    };
    println!("{file}: {} requests", trace.records.len());
    let report = replay(&trace);
    for result in &report.results {
        let verdict = if result.holds { "ok" } else { "FAILED" };
        println!(
            "  {verdict:<6} expected {:<32} seen {:.5}",
            result.expected, result.measured
        );
    }
    match report.holds() {
        true => 0,
        false => OUTCOME_FAILED,
    }
}
