//! Generator of the recorded traces.

use super::trace::{EndpointChange, TraceHeader, TraceRecord, TraceWindow};
use crate::pool::workload::{PoolShape, Seconds, StreamSpec, TraceJob, ARCHIVE, BATCH, DESK, FEED};
use quetzalhill_core::catalogue::TrafficClass;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Share of the keyed requests that a caller sends twice.
const COPY_SHARE: f64 = 0.03;

/// Longest time from a keyed request to its copy, in microseconds.
const MAX_COPY_DELAY_US: u64 = 500_000;

/// Seconds of a trace that stand for a day.
const DAY_SECONDS: u32 = 24;

/// Traffic and events of a generated trace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Scenario {
    /// All printers start at dawn while editors send keyed requests; together they offer 3 times the capacity.
    Dawn,
    /// A batch of roundabouts is released to the desk sessions, which causes a short burst of urgent notices and keyed
    /// holds; later, one endpoint drains.
    Roundabouts,
    /// A day of keyed edits with lost messages, during which one endpoint joins and one drains.
    Edits,
    /// Long print batches in class bulk among short requests, on the service `batch`.
    Prints,
    /// Downloads of large proofs in class bulk among short requests, on the service `archive`.
    Proofs,
}

impl Scenario {
    /// All scenarios, in the order of their declaration.
    pub const ALL: [Scenario; 5] = [
        Scenario::Dawn,
        Scenario::Roundabouts,
        Scenario::Edits,
        Scenario::Prints,
        Scenario::Proofs,
    ];

    /// Returns the name, which is used on the command line and in the name of the trace file.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Dawn => "dawn",
            Scenario::Roundabouts => "roundabouts",
            Scenario::Edits => "edits",
            Scenario::Prints => "prints",
            Scenario::Proofs => "proofs",
        }
    }

    /// Returns the scenario with this name, if there is one.
    pub fn from_name(name: &str) -> Option<Self> {
        Scenario::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name)
    }

    /// Generates the trace of this scenario; the same seed gives the same trace.
    pub fn generate(self, seed: u64) -> (TraceHeader, Vec<TraceRecord>) {
        let mut builder = TraceBuilder::new(seed);
        let header = match self {
            Scenario::Dawn => dawn(&mut builder),
            Scenario::Roundabouts => roundabouts(&mut builder),
            Scenario::Edits => edits(&mut builder),
            Scenario::Prints => prints(&mut builder),
            Scenario::Proofs => proofs(&mut builder),
        };
        let name = self.name();
        let command = format!("cargo run --release --example record -- {name} {seed}");
        let mut records = builder.records;
        records.sort_by_key(|record| record.at_us);
        let header = TraceHeader {
            name: name.to_owned(),
            command,
            seed,
            ..header
        };
        (header, records)
    }
}

/// Consecutive flow numbers over which the requests of a stream are spread at random.
#[derive(Clone, Copy)]
struct FlowRange {
    first: u32,
    count: u32,
    /// Whether requests carry idempotency keys.
    keyed: bool,
}

struct TraceBuilder {
    seed: u64,
    stream_count: u64,
    next_key: u64,
    rng: SmallRng,
    records: Vec<TraceRecord>,
}

impl TraceBuilder {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            stream_count: 0,
            next_key: 0,
            rng: SmallRng::seed_from_u64(seed),
            records: Vec::new(),
        }
    }

    fn add(&mut self, stream: &StreamSpec, range: FlowRange) {
        self.stream_count += 1;
        for job in stream.generate(self.seed * 1_000 + self.stream_count) {
            self.add_job(&job, range);
        }
    }

    fn add_job(&mut self, job: &TraceJob, range: FlowRange) {
        let at_us = to_micros(job.arrival);
        let mut record = TraceRecord {
            at_us,
            flow: range.first + self.rng.random_range(0..range.count),
            class: job.class,
            work_us: to_micros(job.work).max(1),
            key: 0,
            deadline_us: at_us + to_micros(job.timeout),
        };
        if range.keyed {
            self.next_key += 1;
            record.key = self.next_key;
        }
        self.records.push(record);
        if range.keyed && self.rng.random_bool(COPY_SHARE) {
            let delay = self.rng.random_range(1..MAX_COPY_DELAY_US);
            record.at_us += delay;
            record.deadline_us += delay;
            self.records.push(record);
        }
    }
}

fn to_micros(seconds: Seconds) -> u64 {
    // CAST: Traces are short, and their times are not negative.
    (seconds * 1e6).round() as u64
}

fn header(deployment: &str, service: &str, outcomes: &[&str]) -> TraceHeader {
    let common = [
        "duplicates == 0",
        "not_run_then_run == 0",
        "lost == 0",
        "broken_flows == 0",
    ];
    let outcomes = outcomes
        .iter()
        .chain(&common)
        .map(|text| (*text).to_owned());
    TraceHeader {
        name: String::new(),
        command: String::new(),
        deployment: format!("../deployments/{deployment}.toml"),
        service: service.to_owned(),
        seed: 0,
        loss: 0.0,
        view_lag_ms: 500,
        outcomes: outcomes.collect(),
        goodput_window: None,
        cold: None,
        drain: None,
        faulty: Vec::new(),
    }
}

fn stream(shape: PoolShape, load: f64, mean: Seconds, from: Seconds, until: Seconds) -> StreamSpec {
    let mut stream = StreamSpec::new(shape, load, mean, until);
    stream.from = from;
    stream.timeout = 1.0;
    stream
}

fn urgent(mut stream: StreamSpec) -> StreamSpec {
    stream.class = TrafficClass::Urgent;
    stream
}

fn flow_range(first: u32, count: u32, keyed: bool) -> FlowRange {
    FlowRange {
        first,
        count,
        keyed,
    }
}

fn dawn(builder: &mut TraceBuilder) -> TraceHeader {
    let mean = 0.08;
    let printers = flow_range(0, 400, false);
    let editors = flow_range(1_000, 100, true);
    builder.add(&urgent(stream(FEED, 0.3, mean, 0.0, 2.0)), printers);
    builder.add(&urgent(stream(FEED, 0.8, mean, 2.0, 5.0)), printers);
    builder.add(&stream(FEED, 2.2, mean, 2.0, 5.0), editors);
    builder.add(&urgent(stream(FEED, 0.3, mean, 5.0, 8.0)), printers);
    builder.add(&stream(FEED, 0.2, mean, 5.0, 8.0), editors);
    let outcomes = [
        "urgent_in_time >= 0.999",
        "goodput >= 0.95",
        "goodput_of_central >= 0.95",
    ];
    TraceHeader {
        goodput_window: Some(TraceWindow {
            from_us: 3_000_000,
            until_us: 5_000_000,
        }),
        ..header("lucky-slip", "feed", &outcomes)
    }
}

fn roundabouts(builder: &mut TraceBuilder) -> TraceHeader {
    let mean = 0.02;
    let notices = flow_range(0, 600, false);
    let holds = flow_range(0, 600, true);
    builder.add(&urgent(stream(DESK, 0.3, mean, 0.0, 4.0)), notices);
    builder.add(&stream(DESK, 0.3, mean, 0.0, 4.0), holds);
    builder.add(&urgent(stream(DESK, 0.5, mean, 1.0, 1.5)), notices);
    builder.add(&stream(DESK, 1.5, mean, 1.0, 1.5), holds);
    let outcomes = ["urgent_in_time >= 0.999", "starts_while_draining == 0"];
    TraceHeader {
        drain: Some(EndpointChange {
            endpoint: 2,
            at_us: 2_500_000,
        }),
        ..header("directorate", "desk", &outcomes)
    }
}

fn edits(builder: &mut TraceBuilder) -> TraceHeader {
    let mean = 0.1;
    for hour in 0..DAY_SECONDS {
        let from = f64::from(hour);
        let phase = from / f64::from(DAY_SECONDS) * std::f64::consts::TAU;
        let load = 0.35 - 0.25 * phase.cos();
        builder.add(
            &stream(FEED, load, mean, from, from + 1.0),
            flow_range(1_000 + hour * 20, 60, true),
        );
    }
    let day = f64::from(DAY_SECONDS);
    builder.add(
        &urgent(stream(FEED, 0.1, mean, 0.0, day)),
        flow_range(0, 200, false),
    );
    let outcomes = [
        "urgent_in_time >= 0.999",
        "starts_while_draining == 0",
        "repeated_answers >= 1",
    ];
    TraceHeader {
        loss: 0.01,
        cold: Some(EndpointChange {
            endpoint: 6,
            at_us: 6_000_000,
        }),
        drain: Some(EndpointChange {
            endpoint: 1,
            at_us: 15_000_000,
        }),
        ..header("lucky-slip", "feed", &outcomes)
    }
}

/// Adds a load of 0.72 in which, of each 20 requests, 19 take 1 unit of work and 1 takes 50, 69 units in all.
fn short_and_long(builder: &mut TraceBuilder, shape: PoolShape, until: Seconds) {
    let mean = 0.02;
    let mut short = stream(shape, 0.72 * 19.0 / 69.0, mean, 0.0, until);
    let mut long = stream(shape, 0.72 * 50.0 / 69.0, mean * 50.0, 0.0, until);
    short.timeout = 60.0;
    long.timeout = 600.0;
    long.class = TrafficClass::Bulk;
    builder.add(&short, flow_range(0, 200, false));
    builder.add(&long, flow_range(0, 200, false));
}

fn prints(builder: &mut TraceBuilder) -> TraceHeader {
    short_and_long(builder, BATCH, 22.0);
    header(
        "lucky-slip",
        "batch",
        &["short_p99_of_alone <= 1.15", "in_time >= 1"],
    )
}

fn proofs(builder: &mut TraceBuilder) -> TraceHeader {
    short_and_long(builder, ARCHIVE, 40.0);
    header(
        "directorate",
        "archive",
        &["short_p99_of_alone <= 1.15", "in_time >= 1"],
    )
}
