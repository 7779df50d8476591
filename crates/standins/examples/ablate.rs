//! Ablation study of the dispatch controller: measures the effect of switching off single mechanisms, in virtual time.
//!
//! Prints one line per service, measure and variant: the mean value over the seeds, and the mean and the standard
//! deviation of its difference from the default.

use argh::FromArgs;
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_core::dispatch::DispatchOptions;
use quetzalhill_standins::pool::central::run_central;
use quetzalhill_standins::pool::outcome::{JobOutcome, RunResult};
use quetzalhill_standins::pool::sim::{run_pool, SimSpec};
use quetzalhill_standins::pool::workload::{
    merge_streams, PoolShape, StreamSpec, TraceJob, ARCHIVE, BATCH, DESK, FEED,
};
use quetzalhill_standins::replay::run::build_input;
use quetzalhill_standins::replay::scenario::Scenario;
use quetzalhill_standins::replay::trace::{format_trace, parse_trace};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Number of threads that run trials.
const THREADS: usize = 4;

/// Mean work of a request, in seconds.
const MEAN: f64 = 0.02;

/// Mean work of a request in the trials that measure imbalance, in seconds.
const BALANCE_MEAN: f64 = 0.01;

/// Duration of a peak, in seconds.
const PEAK_SECONDS: f64 = 4.0;

/// Duration of the mix of short and long requests, in seconds.
const MIX_SECONDS: f64 = 45.0;

/// Measure the effect of switching off single mechanisms of the dispatch controller.
#[derive(FromArgs)]
struct AblateArgs {
    /// number of seeds, 8 unless given
    #[argh(option, default = "8")]
    seeds: u64,

    /// requests of a steady run, 10000 unless given
    #[argh(option, default = "10000.0")]
    requests: f64,

    /// measure only variants whose names contain this text, and the default
    #[argh(option, default = "String::new()")]
    only: String,

    /// measure only the trials whose names contain this text, such as Load90, Peak, Mix, Skew, Cold or Dawn
    #[argh(option, default = "String::new()")]
    trial: String,
}

/// Dispatch options under a name; the first variant is the default, with which the others are compared.
struct DispatchVariant {
    name: &'static str,
    options: DispatchOptions,
}

fn variant(name: &'static str, change: impl FnOnce(&mut DispatchOptions)) -> DispatchVariant {
    let mut options = DispatchOptions::default();
    change(&mut options);
    DispatchVariant { name, options }
}

fn variants() -> Vec<DispatchVariant> {
    vec![
        variant("default", |_| {}),
        variant("no pull", |o| o.pull = false),
        variant("no balance", |o| o.balance = false),
        variant("no long share", |o| o.long_share = false),
        variant("no slow start", |o| o.slow_start = false),
    ]
}

/// A workload and the measures that are taken on it.
#[derive(Clone, Copy, Debug)]
enum Trial {
    Load80,
    Load90,
    Peak,
    Mix,
    Skew,
    Cold,
    Dawn,
}

const TRIALS: [Trial; 7] = [
    Trial::Load80,
    Trial::Load90,
    Trial::Peak,
    Trial::Mix,
    Trial::Skew,
    Trial::Cold,
    Trial::Dawn,
];

type MeasuredValues = Vec<(&'static str, f64)>;

fn per_job(part: f64, jobs: &[TraceJob]) -> f64 {
    // CAST: Traces have far fewer than 2^52 requests.
    part / jobs.len() as f64
}

fn messages_per_job(result: &RunResult, jobs: &[TraceJob]) -> f64 {
    // CAST: A run sends far fewer than 2^52 messages.
    per_job(result.messages as f64, jobs)
}

fn measure_steady(
    shape: PoolShape,
    load: f64,
    seed: u64,
    requests: f64,
    variants: &[DispatchVariant],
) -> Vec<MeasuredValues> {
    let until = requests * MEAN / (load * shape.capacity());
    let jobs = StreamSpec::new(shape, load, MEAN, until).generate(seed);
    let central = run_central(shape, &jobs).p99(&jobs, |_| true);
    let names = match load > 0.85 {
        true => ["p99 ratio at 0.9", "messages at 0.9"],
        false => ["p99 ratio at 0.8", "messages at 0.8"],
    };
    let measure = |variant: &DispatchVariant| {
        let result = run_pool(&build_spec(shape, variant), &jobs);
        let ratio = result.p99(&jobs, |_| true) / central;
        vec![
            (names[0], ratio),
            (names[1], messages_per_job(&result, &jobs)),
        ]
    };
    variants.iter().map(measure).collect()
}

fn build_spec(shape: PoolShape, variant: &DispatchVariant) -> SimSpec {
    let mut spec = SimSpec::new(shape);
    spec.options = variant.options;
    spec
}

fn measure_peak(shape: PoolShape, seed: u64, variants: &[DispatchVariant]) -> Vec<MeasuredValues> {
    let mut urgent = StreamSpec::new(shape, 0.8, MEAN, PEAK_SECONDS);
    urgent.class = TrafficClass::Urgent;
    urgent.timeout = 1.0;
    let mut standard = StreamSpec::new(shape, 2.2, MEAN, PEAK_SECONDS);
    standard.timeout = 1.0;
    let jobs = merge_streams(vec![urgent.generate(seed), standard.generate(seed + 1_000)]);
    let is_urgent = |job: &TraceJob| job.class == TrafficClass::Urgent;
    let central = run_central(shape, &jobs).useful_work(&jobs, 1.0, PEAK_SECONDS);
    let capacity = shape.capacity() * (PEAK_SECONDS - 1.0);
    let measure = |variant: &DispatchVariant| {
        let result = run_pool(&build_spec(shape, variant), &jobs);
        let useful = result.useful_work(&jobs, 1.0, PEAK_SECONDS);
        vec![
            (
                "peak urgent in time",
                result.answered_in_time(&jobs, is_urgent),
            ),
            ("peak work of capacity", useful / capacity),
            ("peak work of central", useful / central),
            ("peak urgent p99 ms", result.p99(&jobs, is_urgent) * 1e3),
            ("peak messages", messages_per_job(&result, &jobs)),
        ]
    };
    variants.iter().map(measure).collect()
}

fn measure_mix(shape: PoolShape, seed: u64, variants: &[DispatchVariant]) -> Vec<MeasuredValues> {
    let short = StreamSpec::new(shape, 0.72 * 19.0 / 69.0, MEAN, MIX_SECONDS).generate(seed);
    let mut long = StreamSpec::new(shape, 0.72 * 50.0 / 69.0, MEAN * 50.0, MIX_SECONDS);
    long.work_key = 2;
    let jobs = merge_streams(vec![short.clone(), long.generate(seed + 1_000)]);
    let measure = |variant: &DispatchVariant| {
        let spec = build_spec(shape, variant);
        let alone = run_pool(&spec, &short).p99(&short, |_| true);
        let with = run_pool(&spec, &jobs).p99(&jobs, |job| job.work_key == 1);
        vec![("short behind long", with / alone)]
    };
    variants.iter().map(measure).collect()
}

fn measure_skew(shape: PoolShape, seed: u64, variants: &[DispatchVariant]) -> Vec<MeasuredValues> {
    let mut stream = StreamSpec::new(shape, 0.7, BALANCE_MEAN, 11.0);
    // CAST: A service has few agents.
    let step = 0.6 / (shape.agents - 1) as f64;
    // CAST: As above.
    stream.agent_weights = (0..shape.agents)
        .map(|agent| 1.3 - step * agent as f64)
        .collect();
    let jobs = stream.generate(seed);
    let measure = |variant: &DispatchVariant| {
        let result = run_pool(&build_spec(shape, variant), &jobs);
        vec![("imbalance", result.imbalance(shape.agents, 1.0, 11.0))]
    };
    variants.iter().map(measure).collect()
}

fn measure_cold(shape: PoolShape, seed: u64, variants: &[DispatchVariant]) -> Vec<MeasuredValues> {
    let mut stream = StreamSpec::new(shape, 0.7, BALANCE_MEAN, 13.0);
    stream.agent_weights = vec![1.0; shape.agents - 1];
    let jobs = stream.generate(seed);
    let measure = |variant: &DispatchVariant| {
        let mut spec = build_spec(shape, variant);
        spec.cold = Some((shape.agents - 1, 2.0));
        let result = run_pool(&spec, &jobs);
        vec![("cold imbalance", result.imbalance(shape.agents, 2.0, 12.0))]
    };
    variants.iter().map(measure).collect()
}

/// Measures the dawn scenario, generated with other seeds than the committed trace, on the service `feed` only.
///
/// The routing of the entries spreads the flows over the agents.
fn measure_dawn(shape: PoolShape, seed: u64, variants: &[DispatchVariant]) -> Vec<MeasuredValues> {
    if shape.agents != FEED.agents || shape.slots != FEED.slots {
        return Vec::new();
    }
    let (header, records) = Scenario::Dawn.generate(seed);
    let text = format_trace(&header, &records).expect("the trace encodes");
    let trace = parse_trace("traces/dawn.trace", &text).expect("the trace is valid");
    let mut input = build_input(&trace);
    let is_urgent = |job: &TraceJob| job.class == TrafficClass::Urgent;
    let mut rows = Vec::new();
    for variant in variants {
        input.spec.options = variant.options;
        let run = run_pool(&input.spec, &input.jobs);
        let useful = run.useful_work(&input.jobs, 3.0, 5.0) / (2.0 * shape.capacity());
        rows.push(vec![
            (
                "dawn urgent in time",
                run.answered_in_time(&input.jobs, is_urgent),
            ),
            ("dawn work of capacity", useful),
            ("dawn urgent p99 ms", run.p99(&input.jobs, is_urgent) * 1e3),
            (
                "dawn refused",
                per_job(
                    run.count(|end| *end == JobOutcome::Refused) as f64,
                    &input.jobs,
                ),
            ),
        ]);
    }
    rows
}

fn run_trial(
    trial: Trial,
    shape: PoolShape,
    seed: u64,
    args: &AblateArgs,
    variants: &[DispatchVariant],
) -> Vec<MeasuredValues> {
    match trial {
        Trial::Load80 => measure_steady(shape, 0.8, seed, args.requests, variants),
        Trial::Load90 => measure_steady(shape, 0.9, seed, args.requests, variants),
        Trial::Peak => measure_peak(shape, seed, variants),
        Trial::Mix => measure_mix(shape, seed, variants),
        Trial::Skew => measure_skew(shape, seed, variants),
        Trial::Cold => measure_cold(shape, seed, variants),
        Trial::Dawn => measure_dawn(shape, seed, variants),
    }
}

/// Values by seed, under the index of the service, the measure and the index of the variant.
type ValueTable = BTreeMap<(usize, &'static str, usize), BTreeMap<u64, f64>>;

fn main() {
    let args: AblateArgs = argh::from_env();
    let mut variants = variants();
    variants.retain(|variant| variant.name == "default" || variant.name.contains(&args.only));
    let shapes = [
        ("feed", FEED),
        ("batch", BATCH),
        ("desk", DESK),
        ("archive", ARCHIVE),
    ];
    let mut runs = Vec::new();
    for trial in TRIALS {
        if !format!("{trial:?}").contains(&args.trial) {
            continue;
        }
        for shape in 0..shapes.len() {
            runs.extend((0..args.seeds).map(|seed| (trial, shape, seed + 101)));
        }
    }
    let next = AtomicUsize::new(0);
    let table: Mutex<ValueTable> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((trial, shape, seed)) =
                    runs.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let rows = run_trial(*trial, shapes[*shape].1, *seed, &args, &variants);
                    let mut table = table.lock().unwrap_or_else(PoisonError::into_inner);
                    for (variant, values) in rows.into_iter().enumerate() {
                        for (measure, value) in values {
                            let row = table.entry((*shape, measure, variant)).or_default();
                            row.insert(*seed, value);
                        }
                    }
                }
            });
        }
    });
    let table = table.into_inner().unwrap_or_else(PoisonError::into_inner);
    for ((shape, measure, variant), values) in &table {
        let base = &table[&(*shape, *measure, 0)];
        let mean = average(values.values().copied());
        let differences: Vec<f64> = values
            .iter()
            .map(|(seed, value)| value - base[seed])
            .collect();
        let change = average(differences.iter().copied());
        let spread = average(differences.iter().map(|value| (value - change).powi(2))).sqrt();
        let (shape, variant) = (shapes[*shape].0, variants[*variant].name);
        println!("{shape:<8} {measure:<22} {variant:<21} {mean:>9.4} {change:>+9.4} ±{spread:.4}");
    }
}

fn average(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    sum / count
}
