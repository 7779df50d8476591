//! Runs the soak of the relay over several seeds and prints the violations that callers and upstreams observed.
//!
//! `cargo run --release --example soak -- --seeds 50`

use anyhow::{anyhow, Result};
use argh::FromArgs;
use quetzalhill_standins::scenario::process::run_node;
use quetzalhill_standins::soak::plan::FaultMix;
use quetzalhill_standins::soak::run::{run_seed, SoakPlan};
use quetzalhill_standins::soak::site::SiteSize;
use rand::Rng;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Run the real programs as separate processes, inject the faults that each seed determines, and check what callers and
/// upstreams observe. Exits with 1 if there was a violation.
#[derive(FromArgs)]
struct SoakArgs {
    /// number of seeds (default 10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// first seed (default: a random one)
    #[argh(option)]
    first: Option<u64>,
    /// seeds that run at the same time (default 2)
    #[argh(option, default = "2")]
    jobs: u8,
    /// kinds of faults: all, restarts or store (default all)
    #[argh(option, default = "FaultMix::All", from_str_fn(parse_mix))]
    mix: FaultMix,
    /// seconds during which faults start (default 12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// entries (default 4)
    #[argh(option, default = "4")]
    entries: usize,
    /// agents, each with an upstream (default 8)
    #[argh(option, default = "8")]
    agents: usize,
    /// callers (default 24)
    #[argh(option, default = "24")]
    callers: usize,
    /// second byte of the loopback addresses of the first worker, 127.BLOCK.0.0/16; each further worker uses the next one
    /// (default 20)
    #[argh(option, default = "20")]
    block: u8,
    /// folder for the settings and logs of the processes, which are removed for seeds without violations
    #[argh(option, default = "String::from(\"target/soak\")")]
    folder: String,
}

fn parse_mix(text: &str) -> Result<FaultMix, String> {
    match text {
        "all" => Ok(FaultMix::All),
        "restarts" => Ok(FaultMix::Restarts),
        "store" => Ok(FaultMix::Store),
        other => Err(format!(
            "unknown mix {other:?}; known are all, restarts and store"
        )),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(code) = run_node(&arguments) {
        return code;
    }
    let args: SoakArgs = argh::from_env();
    match soak(&args) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the seeds and returns how many had violations.
fn soak(args: &SoakArgs) -> Result<u64> {
    let first = match args.first {
        Some(first) => first,
        None => rand::rng().random_range(0..1_000_000_000),
    };
    let plan = SoakPlan {
        size: SiteSize {
            entries: args.entries,
            agents: args.agents,
            callers: args.callers,
        },
        mix: args.mix,
        fault_time: Duration::from_secs(args.seconds),
        folder: PathBuf::from(&args.folder),
    };
    let next = AtomicU64::new(first);
    let end = first + args.seeds;
    let failed = AtomicU64::new(0);
    let outcome = thread::scope(|scope| {
        let mut workers = Vec::new();
        for worker in 0..args.jobs {
            let (plan, next, failed) = (&plan, &next, &failed);
            workers.push(scope.spawn(move || -> Result<()> {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return Ok(());
                    }
                    let report = run_seed(plan, seed, args.block + worker)?;
                    println!("{report}");
                    failed.fetch_add(u64::from(!report.violations.is_empty()), Ordering::Relaxed);
                }
            }));
        }
        workers
            .into_iter()
            .try_for_each(|worker| worker.join().map_err(|_| anyhow!("a worker panicked"))?)
    });
    outcome?;
    let failed = failed.load(Ordering::Relaxed);
    println!(
        "{} seeds from {first}, {failed} with violations",
        args.seeds
    );
    Ok(failed)
}
