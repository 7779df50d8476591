//! Format of trace files: a TOML header, a line `---`, and one JSON array per request.

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
    /// Position of the endpoint in the service, from 0.
    pub endpoint: usize,
    /// Time of the change, in microseconds since the start of the trace.
    pub at_us: u64,
}

/// Time window within a trace.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceWindow {
    /// Start, in microseconds since the start of the trace.
    pub from_us: u64,
    /// End, which the window does not contain, in microseconds since the start of the trace.
    pub until_us: u64,
}

/// Header of a trace file, with the parameters of the replay.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Name of the scenario, for readers.
    pub name: String,
    /// Command that generates this trace.
    pub command: String,
    /// Path of the deployment file, relative to the folder of the trace.
    pub deployment: String,
    /// Service of the deployment to which the requests go.
    pub service: ServiceName,
    /// Seed of the generator and of the replay.
    pub seed: u64,
    /// Share of the messages between agents that are lost, at least 0 and below 1.
    #[serde(default)]
    pub loss: f64,
    /// Time from a change of an endpoint until the entries route by it, in milliseconds.
    pub view_lag_ms: u64,
    /// Expected outcomes, such as `p99_ms <= 130`.
    pub outcomes: Vec<String>,
    /// Window in which goodput is measured; by default from the start to the last arrival.
    pub goodput_window: Option<TraceWindow>,
    /// An endpoint that is not ready before the given time.
    pub cold: Option<EndpointChange>,
    /// An endpoint that drains from the given time on.
    pub drain: Option<EndpointChange>,
    /// Endpoints that fail every request from the given time on.
    #[serde(default)]
    pub faulty: Vec<EndpointChange>,
}

/// One request. The line of the file is a JSON array of the fields in this order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct TraceRecord {
    /// Arrival at the ingress agent, in microseconds since the start of the trace.
    pub at_us: u64,
    /// Number of the flow that carries the request.
    pub flow: u32,
    /// Traffic class of the request.
    pub class: TrafficClass,
    /// Time that the upstream needs for the request, in microseconds.
    pub work_us: u64,
    /// Idempotency key, which all copies of a request carry; 0 for a request without a key.
    pub key: u64,
    /// Deadline, in microseconds since the start of the trace.
    pub deadline_us: u64,
}

impl TraceRecord {
    /// Encodes the record as a line of a trace file, without a line break.
    ///
    /// # Errors
    ///
    /// Returns the error of the JSON encoder.
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

/// A validated trace and the deployment to which it refers.
#[derive(Clone, Debug)]
pub struct RecordedTrace {
    /// Parameters of the replay.
    pub header: TraceHeader,
    /// Expected outcomes of the header, parsed.
    pub outcomes: Vec<ExpectedOutcome>,
    /// Requests in the order of arrival.
    pub records: Vec<TraceRecord>,
    /// Deployment file of the header.
    pub plan: DeploymentPlan,
    /// Service of the deployment to which the requests go.
    pub service: ServicePlan,
}

/// Error in a trace file, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceError {
    /// Path of the file, as given by the caller.
    pub file: String,
    /// Number of the line, from 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for TraceError {}

/// Reads a trace file and its deployment file.
///
/// # Errors
///
/// Returns the file and the line of the first error; line 1 if the file cannot be read.
pub fn read_trace(file: &str) -> Result<RecordedTrace, TraceError> {
    let text = fs::read_to_string(file).map_err(|error| trace_error(file, 1, error))?;
    parse_trace(file, &text)
}

/// Parses the text of a trace file and reads its deployment file.
///
/// `file` is the name in errors; the path of the deployment file is relative to its folder.
///
/// # Errors
///
/// Returns the file and the line of the first error.
pub fn parse_trace(file: &str, text: &str) -> Result<RecordedTrace, TraceError> {
    let separator = text.lines().position(|line| line == SEPARATOR);
    let separator =
        separator.ok_or_else(|| trace_error(file, 1, "there is no line `---` after the header"))?;
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
            "loss must be at least 0 and less than 1",
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
                "the request arrives before the previous one",
            ));
        }
        if record.deadline_us <= record.at_us {
            return Err(trace_error(
                file,
                index + 1,
                "the deadline of the request is not after its arrival",
            ));
        }
        records.push(record);
    }
    if records.is_empty() {
        return Err(trace_error(file, skip, "the trace has no requests"));
    }
    Ok(records)
}

/// Encodes a trace as the text of a trace file.
///
/// # Errors
///
/// Returns the error of the TOML or JSON encoder.
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

/// Returns the number of the first line that contains `needle`, from 1; line 1 if there is none.
fn line_containing(header_text: &str, needle: &str) -> usize {
    let found = header_text.lines().position(|line| line.contains(needle));
    found.unwrap_or(0) + 1
}
