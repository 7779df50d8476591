//! Writes a recorded trace into the folder `traces`.

use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_standins::replay::scenario::Scenario;
use quetzalhill_standins::replay::trace::format_trace;

/// Write the trace of a scenario: dawn, roundabouts, edits, prints or proofs.
#[derive(FromArgs)]
struct RecordArgs {
    /// name of the scenario
    #[argh(positional)]
    name: String,

    /// seed of the generator and of the replay
    #[argh(positional)]
    seed: u64,
}

fn main() -> Result<()> {
    let args: RecordArgs = argh::from_env();
    let scenario = Scenario::from_name(&args.name).context("there is no such scenario")?;
    let (header, records) = scenario.generate(args.seed);
    let file = format!("traces/{}.trace", scenario.name());
    let text = format_trace(&header, &records)?;
    std::fs::write(&file, text).with_context(|| format!("trace file {file}"))
}
