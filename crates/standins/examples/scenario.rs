//! Runs scenario files: `cargo run --release --example scenario -- FILE...`; see docs/scenarios.md.
//!
//! Exits with status 1 if an expectation does not hold or a step fails, and with 2 if no file is
//! named, a file has an error or a measure has no value.

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
    let mut verdicts = Vec::new();
    for path in &arguments[1..] {
        match run_file(path, &mut std::io::stdout().lock()) {
            Ok(verdict) => {
                worst = worst.max(verdict);
                verdicts.push(verdict);
            }
            Err(error) => {
                eprintln!("scenario: cannot write the output: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if verdicts.len() > 1 {
        let passed = verdicts
            .iter()
            .filter(|verdict| **verdict == FileVerdict::Passed);
        let passed = passed.count();
        println!("{passed} passed, {} failed", verdicts.len() - passed);
    }
    // CAST: The discriminants are 0 to 2.
    ExitCode::from(worst as u8)
}
