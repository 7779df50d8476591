//! The trace format: a TOML header, a line `---`, and one JSON array for each request.

use super::measure::ExpectedOutcome;
use crate::deployment::{read_plan, DeploymentPlan, ServicePlan};
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_core::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs;
use std::path::Path;

/// Line between the header and the records.
const SEPARATOR: &str = "---";

/// A planned change or fault of one endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointChange {
    /// Position of the endpoint in the service, counted from 0.
    pub endpoint: usize,
    /// When it happens, in microseconds since the start of the trace.
    pub at_us: u64,
}

/// Time between two points of a trace.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceWindow {
    /// Its begin, in microseconds since the start of the trace.
    pub from_us: u64,
    /// Its end, in microseconds since the start of the trace.
    pub until_us: u64,
}

/// What holds for a whole trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Name, for reports.
    pub name: String,
    /// Command that made the trace.
    pub command: String,
    /// Deployment file, relative to the folder of the trace.
    pub deployment: String,
    /// Service of the deployment that receives the requests.
    pub service: ServiceName,
    /// Seed of the replay.
    pub seed: u64,
    /// Share of the messages between agents that is lost, from 0 to 1.
    #[serde(default)]
    pub loss: f64,
    /// Time until the entries know a change of an endpoint, in milliseconds.
    pub view_lag_ms: u64,
    /// Outcomes such as `p99_ms <= 130`.
    pub outcomes: Vec<String>,
    /// Where goodput is measured; the whole trace unless given.
    pub goodput_window: Option<TraceWindow>,
    /// An endpoint that becomes ready.
    pub cold: Option<EndpointChange>,
    /// An endpoint that drains.
    pub drain: Option<EndpointChange>,
    /// Endpoints that fail every request from then on.
    #[serde(default)]
    pub faulty: Vec<EndpointChange>,
}

/// One request, written as a JSON array of its fields in this order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct TraceRecord {
    /// When it reaches the first agent, in microseconds since the start of the trace.
    pub at_us: u64,
    /// Flow that carries it.
    pub flow: u32,
    /// Its class.
    pub class: TrafficClass,
    /// Work at the upstream, in microseconds.
    pub work_us: u64,
    /// Idempotency key, which copies of a request share; 0 for a request without one.
    pub key: u64,
    /// Deadline, in microseconds since the start of the trace.
    pub deadline_us: u64,
}

impl TraceRecord {
    /// Returns the line of the record.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn to_line(&self) -> serde_json::Result<String> {
        serde_json::to_string(&(
            self.at_us,
            self.flow,
            self.class,
            self.work_us,
            self.key,
            self.deadline_us,
        ))
    }
}

/// A trace and the deployment it refers to.
#[derive(Clone, Debug)]
pub struct RecordedTrace {
    /// What holds for the whole trace.
    pub header: TraceHeader,
    /// The stated outcomes of the header.
    pub outcomes: Vec<ExpectedOutcome>,
    /// Requests in the order of arrival.
    pub records: Vec<TraceRecord>,
    /// The deployment.
    pub plan: DeploymentPlan,
    /// The service that receives the requests.
    pub service: ServicePlan,
}

/// Where a trace is wrong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceError {
    /// File as it was named.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for TraceError {}

/// Reads a trace and its deployment.
///
/// # Errors
///
/// Names the file and the line that is wrong.
pub fn read_trace(file: &str) -> Result<RecordedTrace, TraceError> {
    let text = fs::read_to_string(file).map_err(|error| trace_error(file, 1, error))?;
    parse_trace(file, &text)
}

/// Reads a trace from its text; `file` is its name in errors and the base of the deployment's path.
///
/// # Errors
///
/// Names the file and the line that is wrong.
pub fn parse_trace(file: &str, text: &str) -> Result<RecordedTrace, TraceError> {
    let separator = text.lines().position(|line| line == SEPARATOR);
    let separator =
        separator.ok_or_else(|| trace_error(file, 1, "no line `---` after the header"))?;
    let header_text: String = text
        .lines()
        .take(separator)
        .map(|line| format!("{line}\n"))
        .collect();
    let header: TraceHeader = toml::from_str(&header_text).map_err(|error| {
        let start = error.span().map_or(0, |span| span.start);
        let line = header_text
            .bytes()
            .take(start)
            .filter(|byte| *byte == b'\n')
            .count();
        trace_error(file, line + 1, error.message())
    })?;
    let mut outcomes = Vec::new();
    for expected in &header.outcomes {
        let outcome = ExpectedOutcome::parse(expected);
        let outcome = outcome
            .map_err(|error| trace_error(file, line_containing(&header_text, expected), error))?;
        outcomes.push(outcome);
    }
    let records = parse_records(file, text, separator + 1)?;
    let folder = Path::new(file).parent().unwrap_or(Path::new(""));
    let path = folder.join(&header.deployment);
    let deployment_line = line_containing(&header_text, "deployment");
    let plan = read_plan(&path.to_string_lossy())
        .map_err(|error| trace_error(file, deployment_line, format!("{error:#}")))?;
    let service = plan.service.get(&header.service).cloned();
    let service = service.ok_or_else(|| {
        let text = format!("the deployment has no service {}", header.service);
        trace_error(file, line_containing(&header_text, "service"), text)
    })?;
    check_header(file, &header_text, &header, &service)?;
    Ok(RecordedTrace {
        header,
        outcomes,
        records,
        plan,
        service,
    })
}

fn check_header(
    file: &str,
    header_text: &str,
    header: &TraceHeader,
    service: &ServicePlan,
) -> Result<(), TraceError> {
    if !(0.0..1.0).contains(&header.loss) {
        return Err(trace_error(
            file,
            line_containing(header_text, "loss"),
            "loss is not in 0..1",
        ));
    }
    let changes = header
        .cold
        .iter()
        .chain(&header.drain)
        .chain(&header.faulty);
    for change in changes {
        if change.endpoint >= usize::from(service.endpoints) {
            let text = format!("the service has no endpoint {}", change.endpoint);
            let needle = format!("endpoint = {}", change.endpoint);
            return Err(trace_error(
                file,
                line_containing(header_text, &needle),
                text,
            ));
        }
    }
    Ok(())
}

fn parse_records(file: &str, text: &str, skip: usize) -> Result<Vec<TraceRecord>, TraceError> {
    let mut records: Vec<TraceRecord> = Vec::new();
    for (index, line) in text.lines().enumerate().skip(skip) {
        let record = serde_json::from_str::<TraceRecord>(line);
        let record = record.map_err(|error| trace_error(file, index + 1, error))?;
        if records.last().is_some_and(|last| last.at_us > record.at_us) {
            return Err(trace_error(
                file,
                index + 1,
                "the request arrives before the one above it",
            ));
        }
        if record.deadline_us <= record.at_us {
            return Err(trace_error(
                file,
                index + 1,
                "the deadline is not after the arrival",
            ));
        }
        records.push(record);
    }
    if records.is_empty() {
        return Err(trace_error(file, skip, "the trace has no request"));
    }
    Ok(records)
}

/// Returns the text of a trace.
///
/// # Errors
///
/// Returns the error of an encoder.
pub fn format_trace(header: &TraceHeader, records: &[TraceRecord]) -> anyhow::Result<String> {
    let mut text = toml::to_string(header)?;
    text.push_str(SEPARATOR);
    text.push('\n');
    for record in records {
        text.push_str(&record.to_line()?);
        text.push('\n');
    }
    Ok(text)
}

fn trace_error(file: &str, line: usize, message: impl fmt::Display) -> TraceError {
    TraceError {
        file: file.to_owned(),
        line,
        message: message.to_string(),
    }
}

/// Returns the first line that contains `needle`, counted from 1.
fn line_containing(header_text: &str, needle: &str) -> usize {
    let found = header_text.lines().position(|line| line.contains(needle));
    found.unwrap_or(0) + 1
}
