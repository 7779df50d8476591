//! The catalogue file of the operators: TOML with one table `[service.NAME]` per service.

use humantime::{format_duration, parse_duration};
use quetzalhill_core::catalogue::validate::{validate, CatalogueError};
use quetzalhill_core::catalogue::{
    CatalogueSnapshot, LimitSet, PathClass, ServiceEntry, TrafficClass,
};
use quetzalhill_core::ids::ServiceName;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult, Write};
use std::net::SocketAddrV4;
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

const SERVICE_KEYS: &str = "owner, class, addresses, path_classes, limits";
const LIMIT_KEYS: &str =
    "flows, new_flows_per_s, in_flight, queue, slot_share, retry_budget, deadline, max_deadline";
const CLASSES: &str = "\"urgent\", \"standard\" or \"bulk\"";
const DURATION: &str = "a duration such as \"10s\" or \"1h 30m\"";

/// An error in a catalogue file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileError {
    /// Path of the file, as given by the caller.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Full path of the key, such as `service.feed.owner`; empty for a syntax error.
    pub key: String,
    /// The rejected value as written in the file, a description such as `missing`, or the message of the TOML parser.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Display for FileError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{} is ", self.key)?;
        }
        write!(f, "{}; allowed: {}", self.value, self.allowed)
    }
}

impl Error for FileError {}

/// Parses and validates a catalogue file. The service numbers of the entries are 0; they are assigned when the
/// change is planned.
///
/// # Errors
///
/// Returns the syntax error, or all errors of keys and types, or all errors of the validation. Each step runs only
/// if the previous one found no error.
pub fn parse(
    file: &str,
    text: &str,
) -> Result<BTreeMap<ServiceName, ServiceEntry>, Vec<FileError>> {
    let mut parser = FileParser::new(file, text);
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            parser.reject(offset, "", error.message().to_string(), "TOML 1.0");
            return Err(parser.errors);
        }
    };
    parser.parse_root(table.get_ref());
    if !parser.errors.is_empty() {
        return Err(parser.errors);
    }
    let snapshot = CatalogueSnapshot {
        revision: 0,
        services: parser.services.clone(),
    };
    match validate(&snapshot) {
        Ok(()) => Ok(snapshot.services),
        Err(errors) => Err(errors
            .into_iter()
            .map(|error| parser.locate(error))
            .collect()),
    }
}

/// State of parsing one file.
#[derive(Debug)]
struct FileParser<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<FileError>,
    services: BTreeMap<ServiceName, ServiceEntry>,
    /// Byte offsets of the keys in the file, by their full path.
    offsets: BTreeMap<String, usize>,
}

impl<'a> FileParser<'a> {
    fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            errors: Vec::new(),
            services: BTreeMap::new(),
            offsets: BTreeMap::new(),
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        let before = &self.text.as_bytes()[..end];
        before.iter().filter(|&&byte| byte == b'\n').count() + 1
    }

    fn reject(&mut self, offset: usize, key: &str, value: String, allowed: &str) {
        self.errors.push(FileError {
            file: self.file.into(),
            line: self.line_at(offset),
            key: key.into(),
            value,
            allowed: allowed.into(),
        });
    }

    /// Rejects a value and quotes it as written in the file.
    fn reject_value(&mut self, key: &str, value: &Spanned<DeValue<'_>>, allowed: &str) {
        let span = value.span();
        let quoted = self.text.get(span.clone()).unwrap_or_default().to_string();
        self.reject(span.start, key, quoted, allowed);
    }

    /// Adds the line to a validation error: that of its key, or of the nearest enclosing table if the file leaves
    /// the key to its default.
    fn locate(&self, error: CatalogueError) -> FileError {
        let table = format!("service.{}", error.service);
        let mut key = table.clone();
        if !error.key.is_empty() {
            key = format!("{table}.{}", error.key);
        }
        let limits = format!("{table}.limits");
        let offset = [&key, &limits, &table]
            .into_iter()
            .find_map(|key| self.offsets.get(key))
            .copied();
        FileError {
            file: self.file.into(),
            line: self.line_at(offset.unwrap_or(0)),
            key,
            value: error.value,
            allowed: error.allowed,
        }
    }

    fn parse_root(&mut self, table: &DeTable<'_>) {
        for (key, value) in table {
            if key.get_ref() != "service" {
                let start = key.span().start;
                self.reject(
                    start,
                    key.get_ref(),
                    "an unknown key".into(),
                    "tables [service.NAME]",
                );
                continue;
            }
            let Some(services) = value.get_ref().as_table() else {
                self.reject_value("service", value, "tables [service.NAME]");
                continue;
            };
            for (name, value) in services {
                let key = format!("service.{}", name.get_ref());
                self.offsets.insert(key.clone(), name.span().start);
                let Some(table) = value.get_ref().as_table() else {
                    self.reject_value(&key, value, "a table");
                    continue;
                };
                let entry = self.parse_service(&key, name.span().start, table);
                self.services.insert(name.get_ref().to_string(), entry);
            }
        }
    }

    fn parse_service(&mut self, path: &str, start: usize, table: &DeTable<'_>) -> ServiceEntry {
        let mut entry = ServiceEntry {
            number: 0,
            owner: String::new(),
            class: TrafficClass::default(),
            addresses: SmallVec::new(),
            path_classes: SmallVec::new(),
            limits: LimitSet::default(),
        };
        for (name, value) in table {
            let key = format!("{path}.{}", name.get_ref());
            self.offsets.insert(key.clone(), name.span().start);
            match name.get_ref().as_ref() {
                "owner" => entry.owner = self.parse_text(&key, value),
                "class" => entry.class = self.parse_class(&key, value),
                "addresses" => entry.addresses = self.parse_addresses(&key, value),
                "path_classes" => entry.path_classes = self.parse_path_classes(&key, value),
                "limits" => self.parse_limits(&key, value, &mut entry.limits),
                _ => self.reject(
                    name.span().start,
                    &key,
                    "an unknown key".into(),
                    SERVICE_KEYS,
                ),
            }
        }
        for (name, allowed) in [
            ("owner", "the name of an owner"),
            ("addresses", "a list of \"IPv4:PORT\""),
        ] {
            let key = format!("{path}.{name}");
            if !self.offsets.contains_key(&key) {
                self.reject(start, &key, "missing".into(), allowed);
            }
        }
        entry
    }

    fn parse_text(&mut self, key: &str, value: &Spanned<DeValue<'_>>) -> String {
        let Some(text) = value.get_ref().as_str() else {
            self.reject_value(key, value, "a string");
            return String::new();
        };
        text.into()
    }

    fn parse_class(&mut self, key: &str, value: &Spanned<DeValue<'_>>) -> TrafficClass {
        let name = value.get_ref().as_str();
        for class in TrafficClass::ALL {
            if name == Some(class.name()) {
                return class;
            }
        }
        self.reject_value(key, value, CLASSES);
        TrafficClass::default()
    }

    fn parse_addresses(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'_>>,
    ) -> SmallVec<[SocketAddrV4; 2]> {
        const ALLOWED: &str = "a list of \"IPv4:PORT\"";
        let mut addresses = SmallVec::new();
        let Some(list) = value.get_ref().as_array() else {
            self.reject_value(key, value, ALLOWED);
            return addresses;
        };
        for item in list {
            match item.get_ref().as_str().map(str::parse) {
                Some(Ok(address)) => addresses.push(address),
                _ => self.reject_value(key, item, ALLOWED),
            }
        }
        addresses
    }

    fn parse_path_classes(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'_>>,
    ) -> SmallVec<[PathClass; 2]> {
        let mut classes = SmallVec::new();
        let Some(table) = value.get_ref().as_table() else {
            self.reject_value(key, value, "a table such as { \"/edit\" = \"urgent\" }");
            return classes;
        };
        for (prefix, value) in table {
            let prefix = prefix.get_ref().to_string();
            let class = self.parse_class(&format!("{key}.{prefix:?}"), value);
            classes.push(PathClass { prefix, class });
        }
        classes
    }

    fn parse_limits(&mut self, path: &str, value: &Spanned<DeValue<'_>>, limits: &mut LimitSet) {
        let Some(table) = value.get_ref().as_table() else {
            self.reject_value(path, value, "a table");
            return;
        };
        for (name, value) in table {
            let key = format!("{path}.{}", name.get_ref());
            self.offsets.insert(key.clone(), name.span().start);
            match name.get_ref().as_ref() {
                "flows" => self.parse_count(&key, value, &mut limits.flows),
                "new_flows_per_s" => self.parse_count(&key, value, &mut limits.new_flows_per_s),
                "in_flight" => self.parse_count(&key, value, &mut limits.in_flight),
                "queue" => self.parse_count(&key, value, &mut limits.queue),
                "slot_share" => self.parse_share(&key, value, &mut limits.slot_share),
                "retry_budget" => self.parse_share(&key, value, &mut limits.retry_budget),
                "deadline" => self.parse_duration_ms(&key, value, &mut limits.deadline_ms),
                "max_deadline" => self.parse_duration_ms(&key, value, &mut limits.max_deadline_ms),
                _ => self.reject(name.span().start, &key, "an unknown key".into(), LIMIT_KEYS),
            }
        }
    }

    fn parse_count(&mut self, key: &str, value: &Spanned<DeValue<'_>>, target: &mut u32) {
        let integer = value.get_ref().as_integer();
        match integer.map(|i| u32::from_str_radix(i.as_str(), i.radix())) {
            Some(Ok(count)) => *target = count,
            _ => self.reject_value(key, value, "an integer of at least 0"),
        }
    }

    fn parse_share(&mut self, key: &str, value: &Spanned<DeValue<'_>>, target: &mut f64) {
        let text = match value.get_ref() {
            DeValue::Float(float) => Some(float.as_str()),
            DeValue::Integer(integer) if integer.radix() == 10 => Some(integer.as_str()),
            _ => None,
        };
        match text.map(str::parse) {
            Some(Ok(share)) => *target = share,
            _ => self.reject_value(key, value, "a number from 0 to 1"),
        }
    }

    fn parse_duration_ms(&mut self, key: &str, value: &Spanned<DeValue<'_>>, target: &mut u64) {
        let duration = value.get_ref().as_str().map(parse_duration);
        let Some(Ok(duration)) = duration else {
            self.reject_value(key, value, DURATION);
            return;
        };
        match u64::try_from(duration.as_millis()) {
            Ok(ms) => *target = ms,
            Err(_) => self.reject_value(key, value, "1ms to 7days"),
        }
    }
}

/// Formats a catalogue as a file that [`parse`] accepts. Service numbers are left out.
pub fn to_toml(services: &BTreeMap<ServiceName, ServiceEntry>) -> String {
    let mut text = String::new();
    for (name, entry) in services {
        // Writing to a String cannot fail.
        let _ = write_entry(&mut text, name, entry);
    }
    text
}

fn quoted(text: &str) -> String {
    toml::Value::String(text.into()).to_string()
}

fn quoted_duration(ms: u64) -> String {
    quoted(&format_duration(Duration::from_millis(ms)).to_string())
}

fn write_entry(text: &mut String, name: &str, entry: &ServiceEntry) -> FormatResult {
    let addresses: Vec<String> = entry.addresses.iter().map(|a| format!("\"{a}\"")).collect();
    if !text.is_empty() {
        writeln!(text)?;
    }
    writeln!(text, "[service.{name}]")?;
    writeln!(text, "owner = {}", quoted(&entry.owner))?;
    writeln!(text, "class = \"{}\"", entry.class.name())?;
    writeln!(text, "addresses = [{}]", addresses.join(", "))?;
    if !entry.path_classes.is_empty() {
        let paths: Vec<String> = entry
            .path_classes
            .iter()
            .map(|path| format!("{} = \"{}\"", quoted(&path.prefix), path.class.name()))
            .collect();
        writeln!(text, "path_classes = {{ {} }}", paths.join(", "))?;
    }
    let limits = &entry.limits;
    writeln!(text, "[service.{name}.limits]")?;
    writeln!(text, "flows = {}", limits.flows)?;
    writeln!(text, "new_flows_per_s = {}", limits.new_flows_per_s)?;
    writeln!(text, "in_flight = {}", limits.in_flight)?;
    writeln!(text, "queue = {}", limits.queue)?;
    writeln!(text, "slot_share = {:?}", limits.slot_share)?;
    writeln!(text, "retry_budget = {:?}", limits.retry_budget)?;
    writeln!(text, "deadline = {}", quoted_duration(limits.deadline_ms))?;
    writeln!(
        text,
        "max_deadline = {}",
        quoted_duration(limits.max_deadline_ms)
    )
}
