//! Generates the trace of a scenario and writes it into the folder `traces`.

use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_standins::replay::scenario::Scenario;
use quetzalhill_standins::replay::trace::format_trace;

/// Write the trace of a scenario to traces/NAME.trace. Scenarios: dawn, roundabouts, edits, prints and proofs.
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
    let scenario = Scenario::from_name(&args.name).context("unknown scenario")?;
    let (header, records) = scenario.generate(args.seed);
    let file = format!("traces/{}.trace", scenario.name());
    let text = format_trace(&header, &records)?;
    std::fs::write(&file, text).with_context(|| format!("cannot write trace file {file}"))
}
