//! Replays the committed traces and checks the parser and the generator of trace files.

use quetzalhill_standins::replay::run::replay;
use quetzalhill_standins::replay::scenario::Scenario;
use quetzalhill_standins::replay::trace::{
    format_trace, parse_trace, read_trace, RecordedTrace, TraceError,
};
use yare::parameterized;

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");

/// Largest trace file, in bytes.
const MAX_BYTES: usize = 200_000;

fn trace_path(scenario: Scenario) -> String {
    format!("{FOLDER}/{}.trace", scenario.name())
}

fn committed_text(scenario: Scenario) -> String {
    std::fs::read_to_string(trace_path(scenario)).expect("the trace is committed")
}

fn committed_trace(scenario: Scenario) -> RecordedTrace {
    read_trace(&trace_path(scenario)).expect("the trace is valid")
}

/// Guards against changes of the routing or dispatch code that miss an expected outcome of a trace, and against replays
/// that are not deterministic.
#[parameterized(
    dawn = { Scenario::Dawn },
    roundabouts = { Scenario::Roundabouts },
    edits = { Scenario::Edits },
    prints = { Scenario::Prints },
    proofs = { Scenario::Proofs },
)]
fn recorded_trace_meets_expected_outcomes(scenario: Scenario) {
    let trace = committed_trace(scenario);
    let report = replay(&trace);
    assert!(report.holds(), "{:#?}", report.results);
    assert!(report == replay(&trace), "two replays differ");
}

/// Guards against committed traces that differ from the output of the command in their header, and against large files.
#[parameterized(
    dawn = { Scenario::Dawn },
    roundabouts = { Scenario::Roundabouts },
    edits = { Scenario::Edits },
    prints = { Scenario::Prints },
    proofs = { Scenario::Proofs },
)]
fn command_reproduces_committed_trace(scenario: Scenario) {
    let seed = committed_trace(scenario).header.seed;
    let (header, records) = scenario.generate(seed);
    let text = format_trace(&header, &records).expect("encodes");
    assert!(text == committed_text(scenario), "run: {}", header.command);
    assert!(text.len() <= MAX_BYTES, "{}", text.len());
}

/// Guards against a replay that reports every expected outcome as met.
#[parameterized(
    bound = { "urgent_in_time >= 0.999", "urgent_in_time >= 1.001" },
    count = { "lost == 0", "lost == 1" },
    limit = { "goodput >= 0.95", "goodput <= 0.01" },
)]
fn unmet_expected_outcome_fails(expected: &str, unmet: &str) {
    let text = committed_text(Scenario::Dawn);
    assert!(text.contains(expected));
    let text = text.replace(expected, unmet);
    let trace = parse_trace(&trace_path(Scenario::Dawn), &text).expect("the trace is valid");
    let report = replay(&trace);
    let failed = report.results.iter().filter(|result| !result.holds);
    let failed: Vec<&str> = failed.map(|result| result.expected.as_str()).collect();
    assert_eq!(failed, [unmet]);
}

fn error_after(change: impl FnOnce(String) -> String) -> TraceError {
    let text = change(committed_text(Scenario::Edits));
    parse_trace(&trace_path(Scenario::Edits), &text).expect_err("the trace is wrong")
}

/// Returns the number of the line that separates header and records, from 1.
fn separator_line() -> usize {
    let text = committed_text(Scenario::Edits);
    text.lines()
        .position(|line| line == "---")
        .expect("present")
        + 1
}

/// Guards against parse errors that point to the wrong line.
#[test]
fn error_names_the_invalid_line() {
    let measure = error_after(|text| text.replace("lost == 0", "loss == 0"));
    assert!(
        measure.message.contains("unknown variant `loss`"),
        "{measure}"
    );
    let lines = committed_text(Scenario::Edits);
    let expected = lines.lines().position(|line| line.contains("lost == 0"));
    assert_eq!(Some(measure.line - 1), expected);

    let unknown = error_after(|text| format!("colour = 1\n{text}"));
    assert_eq!(unknown.line, 1, "{unknown}");
    let record = error_after(|text| text.replacen("\n---\n", "\n---\n[1,2]\n", 1));
    assert_eq!(record.line, separator_line() + 1, "{record}");
    let service = error_after(|text| text.replace("\"feed\"", "\"feet\""));
    assert!(service.message.contains("no service feet"), "{service}");
    let endpoint = error_after(|text| text.replace("endpoint = 6", "endpoint = 7"));
    assert!(endpoint.message.contains("no endpoint 7"), "{endpoint}");
    let order = error_after(|text| format!("{text}[0,1,\"urgent\",5,0,9]\n"));
    assert!(order.message.contains("arrives before"), "{order}");
}
