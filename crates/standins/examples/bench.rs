//! Benchmarks the dispatch policies on a deployment over loopback, in real time, and compares the figures with their
//! targets.

use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_standins::bench::{measure_policy, report, BenchPolicy};
use quetzalhill_standins::deployment::read_plan;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Benchmark the dispatch policies on a deployment. Each of the five policies takes about a minute.
#[derive(FromArgs)]
struct BenchArgs {
    /// deployment file, such as deployments/lucky-slip.toml
    #[argh(positional)]
    deployment: String,

    /// write the figures as JSON to this file
    #[argh(option)]
    json: Option<String>,

    /// write an HTML page with plots into this folder
    #[argh(option)]
    report: Option<String>,

    /// duration of each phase with steady load, in seconds (default 6)
    #[argh(option, default = "6")]
    seconds: u64,

    /// measure only this policy and the central queue
    #[argh(option)]
    policy: Option<String>,
}

fn main() -> ExitCode {
    let args: BenchArgs = argh::from_env();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &BenchArgs) -> Result<()> {
    let plan = read_plan(&args.deployment)?;
    let is_selected = |policy: &BenchPolicy| {
        let is_named = args
            .policy
            .as_deref()
            .is_none_or(|name| name == policy.name());
        is_named || *policy == BenchPolicy::Central
    };
    let mut figures = Vec::new();
    for policy in BenchPolicy::ALL.into_iter().filter(is_selected) {
        let on_phase = |phase: &str| eprintln!("{:<15} {phase}", policy.name());
        let steady_time = Duration::from_secs(args.seconds);
        figures.push(measure_policy(&plan, policy, steady_time, &on_phase)?);
    }
    println!("deployment {}", plan.name);
    print!("{}", report::format_table(&report::all_rows(&figures)));
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&figures)?;
        std::fs::write(file, text).with_context(|| format!("cannot write JSON file {file}"))?;
    }
    if let Some(folder) = &args.report {
        let title = format!("quetzalhill: {}", plan.name);
        report::write_page(Path::new(folder), &title, &figures)?;
    }
    Ok(())
}
