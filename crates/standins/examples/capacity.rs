//! Measures memory, messages and processor time of the controllers at several sizes of a deployment, fits a straight
//! line to each quantity and extrapolates it to the target size.
//!
//! `cargo run --release --example capacity` passes messages to the controllers of an entry, an agent and a catalogue
//! reader in place of their sockets, and prints one table row for each quantity.
//! docs/CAPACITY.md quotes these rows.

use std::time::Instant;

#[path = "capacity/agent.rs"]
mod agent;
#[path = "capacity/catalogue.rs"]
mod catalogue;
#[path = "capacity/entry.rs"]
mod entry;
#[path = "capacity/fit.rs"]
mod fit;
#[path = "capacity/meter.rs"]
mod meter;
#[path = "capacity/relay.rs"]
mod relay;

/// Entries at the target size.
const TARGET_ENTRIES: f64 = 18_000.0;

/// Endpoints at the target size.
const TARGET_ENDPOINTS: f64 = 140_000.0;

/// Services at the target size.
const TARGET_SERVICES: f64 = 12_000.0;

/// Availability zones at the target size.
const TARGET_ZONES: u32 = 18;

fn main() {
    let started = Instant::now();
    fit::print_header();
    entry::measure();
    relay::measure();
    agent::measure();
    catalogue::measure();
    println!("took {:.0} s", started.elapsed().as_secs_f64());
}
