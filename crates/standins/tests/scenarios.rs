//! Runs every file of the folder `scenarios` and the generated pairs of faults, three at a time, against real
//! processes.
//!
//! The first comments of each file name the guarantee that it guards and the fault that it injects. Files that
//! KNOWN-RED.txt lists are run and printed, but their failures do not fail the test. Arguments select the scenarios
//! whose names contain one of them.

use quetzalhill_standins::scenario::pairs::pair_text;
use quetzalhill_standins::scenario::process::run_node;
use quetzalhill_standins::scenario::report::{run_text, FileVerdict};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

/// Scenarios that run at the same time.
const PARALLEL: usize = 3;

/// A scenario and its name, under which KNOWN-RED.txt lists it.
struct TestScenario {
    name: String,
    text: String,
}

#[derive(Default)]
struct TestTotals {
    passed: usize,
    failed: Vec<String>,
    known_red: Vec<String>,
    no_longer_red: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(code) = run_node(&arguments) {
        return code;
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let filters: Vec<&String> = arguments[1..]
        .iter()
        .filter(|argument| !argument.starts_with('-'))
        .collect();
    let mut scenarios = list_scenarios(&root);
    scenarios.retain(|scenario| {
        filters.is_empty() || filters.iter().any(|filter| scenario.name.contains(*filter))
    });
    let known = load_known_red(&root);
    let queue = Mutex::new(scenarios.into_iter());
    let totals = Mutex::new(TestTotals::default());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL {
            scope.spawn(|| {
                // A closure, so that the lock of the queue is released before the scenario runs.
                let next = || lock(&queue).next();
                while let Some(scenario) = next() {
                    run_scenario(&scenario, &known, &totals);
                }
            });
        }
    });
    let totals = totals.into_inner();
    report(&totals.unwrap_or_else(PoisonError::into_inner))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run_scenario(scenario: &TestScenario, known: &BTreeSet<String>, totals: &Mutex<TestTotals>) {
    let mut output = Vec::new();
    let verdict = run_text(&scenario.name, &scenario.text, &mut output);
    let passed = matches!(verdict, Ok(FileVerdict::Passed));
    let mut totals = lock(totals);
    print!("{}", String::from_utf8_lossy(&output));
    let name = scenario.name.clone();
    match (passed, known.contains(&name)) {
        (true, false) => totals.passed += 1,
        (true, true) => totals.no_longer_red.push(name),
        (false, true) => totals.known_red.push(name),
        (false, false) => totals.failed.push(name),
    }
}

fn report(totals: &TestTotals) -> ExitCode {
    for name in &totals.known_red {
        println!("known red: {name}");
    }
    for name in &totals.no_longer_red {
        println!("passes now, remove it from KNOWN-RED.txt: {name}");
    }
    for name in &totals.failed {
        println!("failed: {name}");
    }
    let passed = totals.passed + totals.no_longer_red.len();
    println!("{passed} passed, {} failed", totals.failed.len());
    match totals.failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Returns the scenario files in alphabetical order, then the pairs of `pairs/seeds.txt`.
fn list_scenarios(root: &Path) -> Vec<TestScenario> {
    let folder = root.join("scenarios");
    let entries = fs::read_dir(&folder).expect("cannot read the folder of scenarios");
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|kind| kind == "scenario"))
        .collect();
    paths.sort();
    let mut scenarios = Vec::new();
    for path in paths {
        let file = path
            .file_name()
            .expect("a scenario has no file name")
            .to_string_lossy();
        scenarios.push(TestScenario {
            name: format!("scenarios/{file}"),
            text: fs::read_to_string(&path).expect("cannot read a scenario file"),
        });
    }
    let seeds = fs::read_to_string(folder.join("pairs/seeds.txt"))
        .expect("cannot read the seeds of the pairs");
    for line in seeds.lines().filter(|line| !line.starts_with('#')) {
        let seed: u64 = line
            .trim()
            .parse()
            .expect("a line of seeds.txt is not a number");
        scenarios.push(TestScenario {
            name: format!("scenarios/pairs/{seed}"),
            text: pair_text(seed),
        });
    }
    scenarios
}

/// Reads the names of the scenarios that are known to fail: the first field of each line
/// `file | command | seed | what was seen | issue`.
fn load_known_red(root: &Path) -> BTreeSet<String> {
    let text = fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let entries = text.lines().filter(|line| !line.starts_with('#'));
    entries
        .filter_map(|line| line.split_once('|'))
        .map(|(file, _)| file.trim().to_string())
        .collect()
}
