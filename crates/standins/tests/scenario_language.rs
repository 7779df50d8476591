//! Tests that docs/scenarios.md describes the scenario language as the code implements it, and tests the error messages
//! for wrong files.

use quetzalhill_standins::scenario::measure::MeasureName;
use quetzalhill_standins::scenario::parse::{help, parse_text, verbs};
use quetzalhill_standins::scenario::report::read_text;
use std::collections::{BTreeMap, BTreeSet};
use yare::parameterized;

const PAGE: &str = include_str!("../../../docs/scenarios.md");

/// Returns the sections of the page, keyed by the verb in their title.
fn sections_by_verb() -> BTreeMap<&'static str, &'static str> {
    let parts = PAGE.split("\n### ").skip(1);
    parts
        .filter_map(|part| part.split_once('\n'))
        .map(|(verb, text)| (verb, text.split("\n## ").next().unwrap_or(text)))
        .collect()
}

fn option_names(text: &str) -> BTreeSet<String> {
    let parts = text.split("--").skip(1);
    parts
        .filter_map(|part| {
            part.split(|c: char| !c.is_ascii_lowercase() && c != '-')
                .next()
        })
        .filter(|name| !name.is_empty() && *name != "help")
        .map(String::from)
        .collect()
}

/// Guards against a verb or an option that was added, renamed or removed in the code but not on the page, or the other
/// way round.
#[test]
fn page_and_code_have_the_same_verbs_and_options() {
    let sections = sections_by_verb();
    let on_page: BTreeSet<&str> = sections.keys().copied().collect();
    let in_code: BTreeSet<&str> = verbs().into_iter().collect();
    assert_eq!(on_page, in_code);
    for (verb, text) in sections {
        let usage = help(verb);
        let usage = usage.lines().find(|line| line.starts_with("Usage:"));
        let rows = text.lines().filter(|line| line.starts_with("| `--"));
        let described: BTreeSet<String> = rows
            .flat_map(|row| option_names(row.split('|').nth(1).unwrap_or_default()))
            .collect();
        let known = option_names(usage.expect("the help has no usage line"));
        assert_eq!(described, known, "options of {verb}");
    }
}

/// Guards against a measure that was added, renamed, moved or removed in the code but not on the page, or the other way
/// round.
#[test]
fn page_and_code_have_the_same_measures() {
    let (_, table) = PAGE
        .split_once("\n## Measures\n")
        .expect("the page has no section Measures");
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let on_page: Vec<&str> = rows.filter_map(|row| row.split('`').nth(1)).collect();
    let in_code: Vec<&str> = MeasureName::ALL.iter().map(|m| m.name()).collect();
    assert_eq!(on_page, in_code);
}

/// Guards against examples on the page that the parser or the checks reject, such as after a change of an option.
#[test]
fn examples_of_the_page_are_valid() {
    for (verb, text) in sections_by_verb() {
        let example = text
            .split("```\n")
            .nth(1)
            .expect("the section has no example");
        let steps = parse_text("page", example).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(steps.len(), 1, "{verb}");
        assert!(example.starts_with(verb), "{verb}");
    }
    let mut blocks = PAGE.split("```\n");
    let whole = blocks.find(|block| block.contains("\nstart\n"));
    read_text("page", whole.expect("the page has no example with `start`"))
        .unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against errors before `start` that point at the wrong line or column or do not name what is allowed. The
/// column comes from the text of argh's message, so a new version of argh can shift it.
#[parameterized(
    verb = { "laod x", 1, 1, "allowed: zones, entries" },
    number = { "zones a\nentries 0", 2, 9, "from 1 to 20" },
    option = { "zones a\nentries 1 --lingr 2s", 2, 11, "usage: entries [--linger <linger>] <count>" },
    option_value = { "service x --slots many", 1, 19, "from 1 to 1000" },
    option_without_value = { "service x --slots", 1, 11, "--slots" },
    missing = { "  wait", 1, 3, "time" },
    too_many = { "seed 1 2", 1, 8, "usage: seed <seed>" },
    duration = { "zones a\nentries 1 --linger 5", 2, 20, "a duration such as" },
    equal_values = { "entries 3 --linger 3", 1, 20, "a duration such as" },
    class = { "service x --class fast", 1, 19, "urgent, standard or bulk" },
    limit = { "service x --limit speed=1", 1, 19, "expected flows, new_flows_per_s" },
    quote = { "service 'x", 1, 9, "not closed" },
    help = { "seed --help", 1, 6, "usage: seed <seed>" },
    comment = { "# only this", 1, 1, "no line `start`" },
    order = { "wait 1s", 1, 1, "only after `start`" },
)]
fn set_up_errors_name_line_column_and_what_is_allowed(
    text: &str,
    line: usize,
    column: usize,
    allowed: &str,
) {
    let error = read_text("f", text).expect_err("the text was accepted");
    assert_eq!((error.line, error.column), (line, column), "{error}");
    assert!(error.message.contains(allowed), "{error}");
}

/// Guards against undefined names and wrong values that are found only when the run reaches their step; the check of
/// the file has to reject them before anything starts.
#[parameterized(
    late = { "zones b", 1, "only before `start`" },
    service = { "load l --service y --rate 1 --for 1s", 18, "allowed: x" },
    node = { "kill entry:1", 6, "entry:0" },
    endpoint = { "kill agent:x:2", 6, "2 endpoints" },
    twice = { "kill entry:0 entry:0", 6, "named twice" },
    measure = { "expect speed == 1", 8, "requests, ok" },
    operator = { "expect ok = 1", 11, "==, !=" },
    value = { "expect ok-share == 2", 20, "a share from 0 to 1" },
    mark = { "expect runs == 2 --since m", 26, "no mark 'm'" },
    subject = { "expect imbalance < 2", 8, "needs --of with a service" },
    whole = { "expect duplicates == 0 --of x", 29, "takes no --of" },
)]
fn errors_after_the_start_name_column_and_what_is_allowed(
    text: &str,
    column: usize,
    allowed: &str,
) {
    let text = format!("zones a\nentries 1\nservice x\nstart\n{text}");
    let error = read_text("f", &text).expect_err("the text was accepted");
    assert_eq!((error.line, error.column), (5, column), "{error}");
    assert!(error.message.contains(allowed), "{error}");
}
