//! Runs scenario files: `cargo run --release --example scenario -- FILE...`; see docs/scenarios.md.
//!
//! Ends with status 1 if an expectation fails and 2 if a file is wrong.

use quetzalhill_standins::scenario::process::run_node;
use quetzalhill_standins::scenario::report::{run_file, FileVerdict};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(code) = run_node(&arguments) {
        return code;
    }
    if arguments.len() < 2 {
        eprintln!("usage: scenario FILE...");
        return ExitCode::from(2);
    }
    let mut worst = FileVerdict::Passed;
    let mut summary = Vec::new();
    for path in &arguments[1..] {
        match run_file(path, &mut std::io::stdout().lock()) {
            Ok(verdict) => {
                worst = worst.max(verdict);
                summary.push(verdict);
            }
            Err(error) => {
                eprintln!("scenario: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if summary.len() > 1 {
        let passed = summary
            .iter()
            .filter(|verdict| **verdict == FileVerdict::Passed);
        let passed = passed.count();
        println!("{passed} passed, {} failed", summary.len() - passed);
    }
    // CAST: The discriminants are 0 to 2.
    ExitCode::from(worst as u8)
}
