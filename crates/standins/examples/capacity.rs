//! Measures the controllers at several sizes, fits straight lines and extends them to the later size.
//!
//! `cargo run --release --example capacity` feeds the controllers of an entry, an agent and a catalogue reader with
//! messages as their sockets would, counts allocated bytes and processor time, and prints one row for each quantity.
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

/// Entries at the later size.
const ENTRIES: f64 = 18_000.0;

/// Endpoints at the later size.
const ENDPOINTS: f64 = 140_000.0;

/// Services at the later size.
const SERVICES: f64 = 12_000.0;

/// Availability zones at the later size.
const ZONES: u32 = 18;

fn main() {
    let started = Instant::now();
    fit::print_head();
    entry::measure();
    agent::measure();
    catalogue::measure();
    println!("took {:.0} s", started.elapsed().as_secs_f64());
}
