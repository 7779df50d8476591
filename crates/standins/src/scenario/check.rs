//! Checks a whole scenario before any process starts: the order of the steps and the names that they refer to.

use super::measure::MeasureSubject;
use super::parse::ParsedStep;
use super::steps::{ExpectStep, ScenarioStep};
use super::values::{EndpointName, NodeName};
use super::words::{column_of, FileError, WordError};
use crate::layout::LISTENERS_MAX;
use std::collections::BTreeMap;

/// Most entries and agents that one scenario runs.
const PROCESSES_MAX: usize = 48;

/// Names and counts that the steps up to this point have defined.
#[derive(Default)]
struct KnownNames {
    zones: usize,
    entries: usize,
    /// Endpoints and addresses of each service.
    services: BTreeMap<String, KnownService>,
    loads: Vec<String>,
    /// Sets of sessions that `sessions` opens and that carry no requests.
    sessions: Vec<String>,
    marks: Vec<String>,
    started: bool,
}

#[derive(Clone, Copy)]
struct KnownService {
    endpoints: usize,
    addresses: usize,
}

/// Checks that setup steps come before `start` and all others after it, that every name is defined before its use, and
/// that the testbed keeps within its limits.
///
/// # Errors
///
/// Returns the first word that violates this, with its line and column.
pub fn check_steps(file: &str, steps: &[ParsedStep]) -> Result<(), FileError> {
    let mut known = KnownNames::default();
    for parsed in steps {
        known.check_step(&parsed.step).map_err(|error| FileError {
            file: file.into(),
            line: parsed.line,
            column: column_of(&parsed.words, &error.word),
            message: error.message,
        })?;
    }
    if known.started {
        return Ok(());
    }
    let last = steps.last();
    Err(FileError {
        file: file.into(),
        line: last.map_or(1, |step| step.line),
        column: 1,
        message: "the file has no line `start`".into(),
    })
}

/// Returns an error about the step as a whole; an empty word makes [`column_of`] point at the verb.
fn verb_error(message: impl Into<String>) -> WordError {
    WordError::new("", message)
}

impl KnownNames {
    fn check_step(&mut self, step: &ScenarioStep) -> Result<(), WordError> {
        let is_setup = match step {
            ScenarioStep::Zones(_)
            | ScenarioStep::Entries(_)
            | ScenarioStep::Service(_)
            | ScenarioStep::Seed(_)
            | ScenarioStep::Start(_) => true,
            // `fabric` is allowed before and after `start`.
            ScenarioStep::Fabric(_) => !self.started,
            _ => false,
        };
        if is_setup && self.started {
            return Err(verb_error("allowed only before `start`"));
        }
        if !is_setup && !self.started {
            return Err(verb_error("allowed only after `start`"));
        }
        self.record_definition(step)?;
        self.check_references(step)
    }

    fn record_definition(&mut self, step: &ScenarioStep) -> Result<(), WordError> {
        match step {
            ScenarioStep::Zones(zones) => {
                self.zones = zones.names.len();
                match zones.names.is_empty() {
                    true => Err(verb_error("expected at least one zone")),
                    false => Ok(()),
                }
            }
            ScenarioStep::Entries(entries) => {
                self.entries = entries.count.into();
                Ok(())
            }
            ScenarioStep::Service(service) => {
                self.add_service(&service.name, service.endpoints, service.addresses)
            }
            ScenarioStep::AddService(service) => {
                self.add_service(&service.name, service.endpoints, 1)
            }
            ScenarioStep::Start(_) => self.record_start(),
            ScenarioStep::Load(load) => define_name(&mut self.loads, &self.sessions, &load.name),
            ScenarioStep::Streams(load) => define_name(&mut self.loads, &self.sessions, &load.name),
            ScenarioStep::Sessions(set) => define_name(&mut self.sessions, &self.loads, &set.name),
            ScenarioStep::Mark(mark) => define_name(&mut self.marks, &[], &mark.name),
            _ => Ok(()),
        }
    }

    fn add_service(
        &mut self,
        name: &str,
        endpoints: u16,
        addresses: usize,
    ) -> Result<(), WordError> {
        if name.is_empty() || name.contains(':') {
            let message = "expected a name without `:`";
            return Err(WordError::new(name, message));
        }
        if self.services.contains_key(name) {
            let message = format!("the service {name} is defined already; expected a new name");
            return Err(WordError::new(name, message));
        }
        let service = KnownService {
            endpoints: endpoints.into(),
            addresses,
        };
        self.services.insert(name.into(), service);
        let count: usize = self.services.values().map(|known| known.addresses).sum();
        if count > LISTENERS_MAX {
            return Err(verb_error(format!(
                "{count} addresses in all; at most {LISTENERS_MAX} are allowed"
            )));
        }
        self.check_processes()
    }

    fn check_processes(&self) -> Result<(), WordError> {
        let endpoints: usize = self.services.values().map(|known| known.endpoints).sum();
        let count = endpoints + self.entries;
        match count > PROCESSES_MAX {
            true => Err(verb_error(format!(
                "{count} entries and agents in all; at most {PROCESSES_MAX} are allowed"
            ))),
            false => Ok(()),
        }
    }

    fn record_start(&mut self) -> Result<(), WordError> {
        if self.zones == 0 || self.entries == 0 || self.services.is_empty() {
            return Err(verb_error(
                "expected `zones`, `entries` and `service` before `start`",
            ));
        }
        self.started = true;
        self.check_processes()
    }

    fn check_references(&self, step: &ScenarioStep) -> Result<(), WordError> {
        match step {
            ScenarioStep::Load(step) => {
                self.check_address(&step.service, step.address)?;
                self.check_optional_service(step.answered_by.as_deref())
            }
            ScenarioStep::Streams(step) => {
                self.check_address(&step.service, step.address)?;
                self.check_optional_service(step.answered_by.as_deref())
            }
            ScenarioStep::Sessions(step) => self.check_address(&step.service, step.address),
            ScenarioStep::Finish(step) => {
                step.names.iter().try_for_each(|name| self.check_load(name))
            }
            ScenarioStep::Close(step) => self.check_close(&step.names),
            ScenarioStep::Kill(step) => self.check_nodes(&step.nodes),
            ScenarioStep::Pause(step) => self.check_nodes(&step.nodes),
            ScenarioStep::Resume(step) => self.check_nodes(&step.nodes),
            ScenarioStep::Stop(step) => self.check_nodes(&step.nodes),
            ScenarioStep::Drain(step) => self.check_nodes(&step.nodes),
            ScenarioStep::Restart(step) => self.check_nodes(&step.nodes),
            ScenarioStep::Replace(step) => self.check_nodes(&step.nodes),
            ScenarioStep::Cut(step) => self.check_entries(&step.nodes),
            ScenarioStep::Heal(step) => self.check_entries(&step.nodes),
            ScenarioStep::Upstream(step) => self.check_endpoint(&step.endpoint),
            ScenarioStep::Fabric(step) => self.check_optional_service(step.service.as_deref()),
            ScenarioStep::Replay(step) => self.check_optional_service(step.service.as_deref()),
            ScenarioStep::SetLimit(step) => self.check_service(&step.service),
            ScenarioStep::SetClass(step) => self.check_service(&step.service),
            ScenarioStep::SetOwner(step) => self.check_service(&step.service),
            ScenarioStep::RemoveService(step) => self.check_service(&step.name),
            ScenarioStep::MoveAddress(step) => {
                self.check_address(&step.from, step.address)?;
                self.check_service(&step.to)
            }
            ScenarioStep::Race(step) => self.check_service(&step.service),
            ScenarioStep::Corrupt(step) if step.what == "head" => Ok(()),
            ScenarioStep::Corrupt(step) => self.check_service(&step.what),
            ScenarioStep::Expect(step) => self.check_expect(step),
            _ => Ok(()),
        }
    }

    fn check_service(&self, name: &str) -> Result<(), WordError> {
        match self.services.contains_key(name) {
            true => Ok(()),
            false => {
                let names: Vec<&str> = self.services.keys().map(String::as_str).collect();
                let message = format!("no service '{name}'; allowed: {}", names.join(", "));
                Err(WordError::new(name, message))
            }
        }
    }

    fn check_optional_service(&self, name: Option<&str>) -> Result<(), WordError> {
        name.map_or(Ok(()), |name| self.check_service(name))
    }

    fn check_address(&self, service: &str, address: usize) -> Result<(), WordError> {
        self.check_service(service)?;
        let count = self.services[service].addresses;
        match address < count {
            true => Ok(()),
            false => {
                let message = format!("{service} has addresses 0 to {}", count - 1);
                Err(WordError::new(address.to_string(), message))
            }
        }
    }

    fn check_endpoint(&self, name: &EndpointName) -> Result<(), WordError> {
        self.check_service(&name.service)
            .map_err(|error| WordError::new(name.to_string(), error.message))?;
        let count = self.services[&name.service].endpoints;
        match name.index < count {
            true => Ok(()),
            false => {
                let message = format!(
                    "{} has {count} endpoints; they are counted from 0",
                    name.service
                );
                Err(WordError::new(name.to_string(), message))
            }
        }
    }

    fn check_node(&self, name: &NodeName) -> Result<(), WordError> {
        match name {
            NodeName::Entry(index) if *index < self.entries => Ok(()),
            NodeName::Entry(_) => {
                let message = format!("expected entry:0 to entry:{}", self.entries - 1);
                Err(WordError::new(name.to_string(), message))
            }
            NodeName::Agent(endpoint) => self.check_endpoint(endpoint),
        }
    }

    fn check_nodes(&self, names: &[NodeName]) -> Result<(), WordError> {
        if names.is_empty() {
            return Err(verb_error(
                "expected at least one entry:N or agent:SERVICE:N",
            ));
        }
        for (index, name) in names.iter().enumerate() {
            self.check_node(name)?;
            if names[..index].contains(name) {
                let message = "named twice; expected different processes";
                return Err(WordError::new(name.to_string(), message));
            }
        }
        Ok(())
    }

    fn check_entries(&self, names: &[NodeName]) -> Result<(), WordError> {
        self.check_nodes(names)?;
        let agent = names.iter().find(|name| matches!(name, NodeName::Agent(_)));
        match agent {
            None => Ok(()),
            Some(agent) => Err(WordError::new(agent.to_string(), "expected entry:N")),
        }
    }

    fn check_load(&self, name: &str) -> Result<(), WordError> {
        match self.loads.iter().any(|known| known == name) {
            true => Ok(()),
            false => {
                let allowed = self.loads.join(", ");
                let message = format!("no load or streams '{name}' before; allowed: {allowed}");
                Err(WordError::new(name, message))
            }
        }
    }

    fn check_sessions(&self, name: &str) -> Result<(), WordError> {
        if self.sessions.iter().any(|known| known == name) {
            return Ok(());
        }
        self.check_load(name).map_err(|error| {
            let message = format!("{}, {}", error.message, self.sessions.join(", "));
            WordError::new(name, message)
        })
    }

    fn check_close(&self, names: &[String]) -> Result<(), WordError> {
        if names.is_empty() {
            return Err(verb_error("expected at least one name"));
        }
        names.iter().try_for_each(|name| self.check_sessions(name))
    }

    fn check_expect(&self, step: &ExpectStep) -> Result<(), WordError> {
        let value = step.measure.parse_value(&step.value);
        value.map_err(|message| WordError::new(&step.value, message))?;
        if let Some(mark) = &step.since {
            if !self.marks.contains(mark) {
                let allowed = self.marks.join(", ");
                let message = format!("no mark '{mark}' before; allowed: {allowed}");
                return Err(WordError::new(mark, message));
            }
        }
        let name = step.measure.name();
        let Some(of) = &step.of else {
            let required = match step.measure.subject() {
                MeasureSubject::Service => "a service",
                MeasureSubject::OneNode => "entry:N or agent:SERVICE:N",
                _ => return Ok(()),
            };
            return Err(WordError::new(
                name,
                format!("{name} needs --of with {required}"),
            ));
        };
        match step.measure.subject() {
            MeasureSubject::Load => self.check_load(of),
            MeasureSubject::Sessions => self.check_sessions(of),
            MeasureSubject::Service => self.check_service(of),
            MeasureSubject::Upstream => match of.contains(':') {
                true => self.check_endpoint(&parse(of)?),
                false => self.check_service(of),
            },
            MeasureSubject::Node | MeasureSubject::OneNode => self.check_node(&parse(of)?),
            MeasureSubject::Whole => {
                let message = format!("{name} is counted over everything and takes no --of");
                Err(WordError::new(of, message))
            }
        }
    }
}

fn parse<T: std::str::FromStr<Err = String>>(text: &str) -> Result<T, WordError> {
    text.parse()
        .map_err(|message: String| WordError::new(text, message))
}

fn define_name(names: &mut Vec<String>, others: &[String], name: &str) -> Result<(), WordError> {
    if names.iter().chain(others).any(|known| known == name) {
        let message = format!("the name '{name}' is in use; expected a new name");
        return Err(WordError::new(name, message));
    }
    names.push(name.into());
    Ok(())
}
