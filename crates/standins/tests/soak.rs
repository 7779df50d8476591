//! Runs some seeds of the soak against the real programs in separate processes.
//!
//! Guards against violations that occur only when faults overlap while flows are open, which no single scenario covers.
//! Each seed in `soak-seeds.txt` found a violation once. See docs/soak.md.

use quetzalhill_standins::scenario::process::run_node;
use quetzalhill_standins::soak::plan::FaultMix;
use quetzalhill_standins::soak::run::{run_seed, SoakPlan};
use quetzalhill_standins::soak::site::SiteSize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Seeds that run in addition to those in the file.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Seeds that run with agents that restart; review/2 lost flows then.
const RESTART_SEEDS: [u64; 3] = [1, 2, 3];

/// Seeds that run with lost answers of the store; in issue 28, entries kept older routes then.
const STORE_SEEDS: [u64; 2] = [3, 4];

/// Time of a run during which faults start.
const FAULT_TIME: Duration = Duration::from_secs(10);

/// Seeds that run at the same time.
const PARALLEL: u8 = 2;

/// Second byte of the loopback addresses of the first worker, `127.40.0.0/16`; each further worker uses the next one.
const FIRST_BLOCK: u8 = 40;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(code) = run_node(&arguments) {
        return code;
    }
    let plan = SoakPlan {
        size: SiteSize {
            entries: 3,
            agents: 6,
            callers: 16,
        },
        mix: FaultMix::All,
        fault_time: FAULT_TIME,
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
    };
    let restarts = SoakPlan {
        mix: FaultMix::Restarts,
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak-restarts"),
        ..plan.clone()
    };
    let store = SoakPlan {
        mix: FaultMix::Store,
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak-store"),
        ..plan.clone()
    };
    let mut runs = Vec::new();
    runs.extend(STORE_SEEDS.map(|seed| (&store, seed)));
    runs.extend(RESTART_SEEDS.map(|seed| (&restarts, seed)));
    runs.extend(load_seeds().into_iter().map(|seed| (&plan, seed)));
    let next = AtomicUsize::new(0);
    let failed = AtomicUsize::new(0);
    thread::scope(|scope| {
        for worker in 0..PARALLEL {
            let (runs, next, failed) = (&runs, &next, &failed);
            scope.spawn(move || {
                while let Some((plan, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let report =
                        run_seed(plan, *seed, FIRST_BLOCK + worker).expect("site does not start");
                    println!("{:?} {report}", plan.mix);
                    failed.fetch_add(
                        usize::from(!report.violations.is_empty()),
                        Ordering::Relaxed,
                    );
                }
            });
        }
    });
    let failed = failed.into_inner();
    println!("{} passed, {failed} failed", runs.len() - failed);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Returns the fixed seeds and those in the file, where a seed is the first word of a line.
fn load_seeds() -> Vec<u64> {
    let mut seeds = SEEDS.to_vec();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/soak-seeds.txt");
    let text = std::fs::read_to_string(path).expect("soak-seeds.txt is readable");
    for line in text.lines() {
        if line.starts_with('#') {
            continue;
        }
        let seed = line.split_whitespace().next();
        seeds.push(
            seed.expect("each line has a seed")
                .parse()
                .expect("a seed is a number"),
        );
    }
    seeds
}
