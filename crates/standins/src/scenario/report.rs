//! Runs scenario files and prints their steps, results and verdicts.

use super::check::check_steps;
use super::parse::{parse_text, ParsedStep};
use super::run::{ExpectOutcome, ScenarioRun};
use super::steps::ScenarioStep;
use super::words::{column_of, FileError};
use std::fs;
use std::io::Write;
use std::time::Instant;

/// What the output shows after a step that did not fail.
pub enum StepReport {
    /// Nothing beyond the step itself.
    Done,
    /// Numbers of what was sent, or the outcomes of catalogue changes.
    Details(String),
    /// Result of an expectation, which decides the verdict.
    Evaluated(ExpectOutcome),
}

/// Verdict on a scenario file, from best to worst. The worst verdict of all files is the exit status of the `scenario`
/// example.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FileVerdict {
    /// Every expectation held.
    Passed = 0,
    /// An expectation did not hold or a step could not be carried out.
    Failed = 1,
    /// The file has an error, or a measure had no value when it was compared.
    Invalid = 2,
}

/// Reads and runs a file, and prints its steps, expectations and verdict to `out`.
///
/// # Errors
///
/// The output cannot be written.
pub fn run_file(path: &str, out: &mut dyn Write) -> std::io::Result<FileVerdict> {
    match fs::read_to_string(path) {
        Ok(text) => run_text(path, &text, out),
        Err(error) => {
            writeln!(out, "{path}:1:1: {error}; expected a scenario file")?;
            writeln!(out, "FAIL {path} (wrong file)")?;
            Ok(FileVerdict::Invalid)
        }
    }
}

/// Runs the text of a scenario as [`run_file`] does; `path` is the name that the output shows.
///
/// # Errors
///
/// The output cannot be written.
pub fn run_text(path: &str, text: &str, out: &mut dyn Write) -> std::io::Result<FileVerdict> {
    let steps = match read_text(path, text) {
        Ok(steps) => steps,
        Err(error) => {
            writeln!(out, "{error}")?;
            writeln!(out, "FAIL {path} (wrong file)")?;
            return Ok(FileVerdict::Invalid);
        }
    };
    writeln!(out, "{path}")?;
    let verdict = match ScenarioRun::new(&steps) {
        Ok(mut run) => run_steps(path, &mut run, &steps, out)?,
        Err(error) => {
            writeln!(out, "  {error:#}")?;
            FileVerdict::Failed
        }
    };
    let word = match verdict {
        FileVerdict::Passed => "PASS",
        FileVerdict::Failed => "FAIL",
        FileVerdict::Invalid => {
            writeln!(out, "FAIL {path} (wrong file)")?;
            return Ok(verdict);
        }
    };
    writeln!(out, "{word} {path}")?;
    Ok(verdict)
}

/// Reads and checks the text of a file without running it.
///
/// # Errors
///
/// Returns the position of the first word that is not allowed, and what is allowed.
pub fn read_text(path: &str, text: &str) -> Result<Vec<ParsedStep>, FileError> {
    let steps = parse_text(path, text)?;
    check_steps(path, &steps)?;
    Ok(steps)
}

fn run_steps(
    path: &str,
    run: &mut ScenarioRun<'_>,
    steps: &[ParsedStep],
    out: &mut dyn Write,
) -> std::io::Result<FileVerdict> {
    let start = Instant::now();
    let mut verdict = FileVerdict::Passed;
    for parsed in steps {
        let result = run.execute(&parsed.step);
        let seconds = start.elapsed().as_secs_f64();
        write!(
            out,
            "  {seconds:7.3}s  {:3}  {}",
            parsed.line,
            parsed.text()
        )?;
        match result {
            Ok(StepReport::Done) => writeln!(out)?,
            Ok(StepReport::Details(note)) => writeln!(out, "  -> {note}")?,
            Ok(StepReport::Evaluated(outcome)) => {
                let step_verdict = print_outcome(path, parsed, &outcome, out)?;
                verdict = verdict.max(step_verdict);
            }
            Err(error) => {
                writeln!(out, "  -> FAILED: {error:#}")?;
                verdict = verdict.max(FileVerdict::Failed);
                break;
            }
        }
    }
    if verdict != FileVerdict::Passed {
        for note in run.failure_notes() {
            writeln!(out, "  note: {note}")?;
        }
    }
    Ok(verdict)
}

fn print_outcome(
    path: &str,
    parsed: &ParsedStep,
    outcome: &ExpectOutcome,
    out: &mut dyn Write,
) -> std::io::Result<FileVerdict> {
    let ScenarioStep::Expect(expect) = &parsed.step else {
        return Ok(FileVerdict::Passed);
    };
    let expectation = format!("expected {} {}", expect.operator, expect.value);
    match outcome {
        ExpectOutcome::Holds(value) => {
            writeln!(out, "  -> {expectation}, seen {value}")?;
            Ok(FileVerdict::Passed)
        }
        ExpectOutcome::Fails(value) => {
            writeln!(out, "  -> FAILED: {expectation}, seen {value}")?;
            Ok(FileVerdict::Failed)
        }
        ExpectOutcome::NoValue(reason) => {
            writeln!(out, "  -> no value")?;
            let column = column_of(&parsed.words, expect.measure.name());
            writeln!(
                out,
                "{path}:{}:{column}: {} has no value here: {reason}",
                parsed.line,
                expect.measure.name()
            )?;
            Ok(FileVerdict::Invalid)
        }
    }
}
