//! Validation rules that a catalogue must pass before an instance puts it in force.

use super::{CatalogueSnapshot, LimitSet, ServiceEntry};
use crate::ids::{ServiceName, ServiceNumber, MAX_SERVICE_NUMBER};
use std::collections::HashMap;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;

/// Longest name of a service or of an owner, in bytes.
pub const NAME_MAX_BYTES: usize = 63;

/// Most addresses of one service.
pub const ADDRESSES_MAX: usize = 64;

/// Most path prefixes of one service.
pub const PATH_CLASSES_MAX: usize = 64;

/// Longest path prefix, in bytes.
pub const PREFIX_MAX_BYTES: usize = 256;

/// Largest value of a limit that counts flows or requests.
pub const COUNT_MAX: u32 = 10_000_000;

/// Longest deadline that a service may allow, in milliseconds: seven days.
pub const DEADLINE_MAX_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// An invalid value in the catalogue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CatalogueError {
    /// Service whose entry contains the value.
    pub service: ServiceName,
    /// Key in the service's table, such as `limits.queue`; empty if the service name is invalid.
    pub key: String,
    /// The invalid value, formatted for the operator.
    pub value: String,
    /// Description of the valid values.
    pub allowed: String,
}

impl Display for CatalogueError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let dot = if self.key.is_empty() { "" } else { "." };
        write!(
            f,
            "service.{}{dot}{} is {}; allowed: {}",
            self.service, self.key, self.value, self.allowed
        )
    }
}

impl Error for CatalogueError {}

/// Checks all services of a catalogue.
///
/// A service number of 0 is accepted only at revision 0, because numbers are assigned when a change is accepted.
///
/// # Errors
///
/// Returns all invalid values, sorted by service name.
///
/// # Examples
///
/// ```
/// use quetzalhill_core::catalogue::{validate::validate, CatalogueSnapshot};
/// assert_eq!(validate(&CatalogueSnapshot::default()), Ok(()));
/// ```
pub fn validate(snapshot: &CatalogueSnapshot) -> Result<(), Vec<CatalogueError>> {
    let mut check = CatalogueCheck::default();
    for (name, entry) in &snapshot.services {
        check.check_service(name, entry, snapshot.revision > 0);
    }
    match check.errors.is_empty() {
        true => Ok(()),
        false => Err(check.errors),
    }
}

/// Errors found so far, and the numbers and addresses already in use by an earlier service.
#[derive(Debug, Default)]
struct CatalogueCheck<'a> {
    errors: Vec<CatalogueError>,
    numbers: HashMap<ServiceNumber, &'a str>,
    addresses: HashMap<SocketAddrV4, &'a str>,
}

impl<'a> CatalogueCheck<'a> {
    fn check_service(&mut self, name: &'a str, entry: &'a ServiceEntry, accepted: bool) {
        self.check_name(name);
        self.check_owner(name, &entry.owner);
        self.check_number(name, entry.number, accepted);
        self.check_addresses(name, &entry.addresses);
        self.check_path_classes(name, entry);
        self.check_counts(name, &entry.limits);
        self.check_shares(name, &entry.limits);
        self.check_deadlines(name, &entry.limits);
    }

    fn reject(&mut self, service: &str, key: &str, value: impl ToString, allowed: &str) {
        self.errors.push(CatalogueError {
            service: service.into(),
            key: key.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        });
    }

    fn check_name(&mut self, name: &str) {
        const ALLOWED: &str =
            "1 to 63 lower-case letters, digits and hyphens, starting with a letter";
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let starts_with_letter = name.starts_with(|c: char| c.is_ascii_lowercase());
        if !starts_with_letter || name.len() > NAME_MAX_BYTES || !name.chars().all(is_allowed) {
            self.reject(name, "", format!("{name:?}"), ALLOWED);
        }
    }

    fn check_owner(&mut self, name: &str, owner: &str) {
        const ALLOWED: &str = "1 to 63 letters, digits, spaces and any of . _ -";
        let is_allowed = |c: char| c.is_alphanumeric() || " ._-".contains(c);
        let is_blank = owner.trim().is_empty();
        if is_blank || owner.len() > NAME_MAX_BYTES || !owner.chars().all(is_allowed) {
            self.reject(name, "owner", format!("{owner:?}"), ALLOWED);
        }
    }

    fn check_number(&mut self, name: &'a str, number: ServiceNumber, accepted: bool) {
        if number == 0 && !accepted {
            return;
        }
        if number == 0 || number > MAX_SERVICE_NUMBER {
            self.reject(name, "number", number, "1 to 16777215");
            return;
        }
        if let Some(other) = self.numbers.insert(number, name) {
            let value = format!("{number}, which service {other} uses as well");
            self.reject(name, "number", value, "a number that no other service uses");
        }
    }

    fn check_addresses(&mut self, name: &'a str, addresses: &[SocketAddrV4]) {
        const ALLOWED: &str = "1 to 64 addresses as IPv4:PORT";
        if addresses.is_empty() || addresses.len() > ADDRESSES_MAX {
            let value = format!("a list of {}", addresses.len());
            self.reject(name, "addresses", value, ALLOWED);
        }
        for address in addresses {
            let ip = address.ip();
            if ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() || address.port() == 0
            {
                let allowed = "the address of an interface and a port from 1 to 65535";
                self.reject(name, "addresses", address, allowed);
            }
            if let Some(other) = self.addresses.insert(*address, name) {
                let value = format!("{address}, which service {other} uses as well");
                self.reject(name, "addresses", value, "an address of no other service");
            }
        }
    }

    fn check_path_classes(&mut self, name: &str, entry: &ServiceEntry) {
        let list = &entry.path_classes;
        if list.len() > PATH_CLASSES_MAX {
            let value = format!("a list of {}", list.len());
            self.reject(name, "path_classes", value, "at most 64 prefixes");
        }
        for (index, path) in list.iter().enumerate() {
            let prefix = &path.prefix;
            if !prefix.starts_with('/') || prefix.len() > PREFIX_MAX_BYTES {
                let value = format!("{prefix:?}");
                let allowed = "prefixes of at most 256 bytes that start with /";
                self.reject(name, "path_classes", value, allowed);
            }
            if list[..index].iter().any(|other| other.prefix == *prefix) {
                let value = format!("{prefix:?} twice");
                self.reject(name, "path_classes", value, "each prefix once");
            }
        }
    }

    fn check_count(&mut self, name: &str, key: &str, value: u32, allowed: RangeInclusive<u32>) {
        if !allowed.contains(&value) {
            let range = format!("{} to {}", allowed.start(), allowed.end());
            self.reject(name, key, value, &range);
        }
    }

    fn check_counts(&mut self, name: &str, limits: &LimitSet) {
        self.check_count(name, "limits.flows", limits.flows, 1..=COUNT_MAX);
        let rate = limits.new_flows_per_s;
        self.check_count(name, "limits.new_flows_per_s", rate, 1..=COUNT_MAX);
        self.check_count(name, "limits.in_flight", limits.in_flight, 1..=COUNT_MAX);
        if limits.queue > limits.in_flight {
            let allowed = format!("0 to in_flight, which is {}", limits.in_flight);
            self.reject(name, "limits.queue", limits.queue, &allowed);
        }
    }

    fn check_shares(&mut self, name: &str, limits: &LimitSet) {
        // A share of 0 would keep bulk requests in the queue until their deadline.
        if !(limits.slot_share > 0.0 && limits.slot_share <= 1.0) {
            let allowed = "more than 0 and at most 1";
            self.reject(name, "limits.slot_share", limits.slot_share, allowed);
        }
        if !(0.0..=1.0).contains(&limits.retry_budget) {
            self.reject(name, "limits.retry_budget", limits.retry_budget, "0 to 1");
        }
    }

    fn check_deadlines(&mut self, name: &str, limits: &LimitSet) {
        let max_deadline = limits.max_deadline_ms;
        if max_deadline == 0 || max_deadline > DEADLINE_MAX_MS {
            let value = format!("{max_deadline} ms");
            self.reject(name, "limits.max_deadline", value, "1 ms to 7 days");
        }
        if limits.deadline_ms == 0 || limits.deadline_ms > max_deadline {
            let value = format!("{} ms", limits.deadline_ms);
            let allowed = format!("1 ms to max_deadline, which is {max_deadline} ms");
            self.reject(name, "limits.deadline", value, &allowed);
        }
    }
}
