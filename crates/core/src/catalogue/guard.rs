//! Guards that refuse valid catalogue changes which are likely to interrupt service.
//!
//! Each guard reports why it refuses a change, and each has a flag of the `apply` command that permits the change.

use super::change::{CatalogueChange, ServiceChange};
use super::{CatalogueSnapshot, LimitSet};
use crate::ids::ServiceName;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::SocketAddrV4;

/// Kind of risk that a guard checks for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum GuardKind {
    /// An address in use would lead to no endpoint.
    NoEndpoints,
    /// An address would move to another service; until every instance has the change, instances would disagree on
    /// the service behind the address.
    AddressMove,
    /// A limit would be lowered below the current use.
    LimitInUse,
    /// More of the catalogue would change at once than [`GuardSettings`] allows.
    LargeChange,
    /// The change affects existing services, but no instance reported their use.
    UnknownUse,
}

impl GuardKind {
    /// All kinds of guards.
    pub const ALL: [GuardKind; 5] = [
        GuardKind::NoEndpoints,
        GuardKind::AddressMove,
        GuardKind::LimitInUse,
        GuardKind::LargeChange,
        GuardKind::UnknownUse,
    ];

    /// Returns the command-line flag that permits the change.
    pub fn flag(self) -> &'static str {
        match self {
            GuardKind::NoEndpoints => "--allow-no-endpoints",
            GuardKind::AddressMove => "--allow-address-move",
            GuardKind::LimitInUse => "--allow-limit-in-use",
            GuardKind::LargeChange => "--allow-large-change",
            GuardKind::UnknownUse => "--allow-unknown-use",
        }
    }
}

/// Current use of one service, merged from the status of several instances.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceUse {
    /// Endpoints that accept new flows.
    pub ready: u32,
    /// Open flows on the endpoint that has the most.
    pub flows: u32,
    /// Requests in progress or queued on the endpoint that has the most.
    pub in_flight: u32,
    /// Requests queued on the endpoint that has the most.
    pub queue: u32,
    /// New flows per second on the entry that has the most.
    pub new_flows_per_s: u32,
}

impl ServiceUse {
    /// Keeps the larger of each pair of values. A sum would be wrong, because several instances report the same
    /// endpoints.
    pub fn merge(&mut self, other: ServiceUse) {
        self.ready = self.ready.max(other.ready);
        self.flows = self.flows.max(other.flows);
        self.in_flight = self.in_flight.max(other.in_flight);
        self.queue = self.queue.max(other.queue);
        self.new_flows_per_s = self.new_flows_per_s.max(other.new_flows_per_s);
    }
}

/// Current use of all services, by name.
pub type FleetUse = BTreeMap<ServiceName, ServiceUse>;

/// Thresholds of [`GuardKind::LargeChange`], set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuardSettings {
    /// Largest share of the services, from 0 to 1, that one change may affect.
    pub share: f64,
    /// Number of services that one change may affect regardless of `share`.
    pub services: usize,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            share: 0.2,
            services: 3,
        }
    }
}

/// Refusal of a change by one guard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuardRefusal {
    /// Kind of the guard, which determines the flag that permits the change.
    pub kind: GuardKind,
    /// Effect of the change that the guard objects to, as shown to the operator.
    pub reason: String,
}

impl Display for GuardRefusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(f, "{}; {} allows it", self.reason, self.kind.flag())
    }
}

/// Checks a change of `old` against all guards; `fleet` is `None` if no instance reported its use.
///
/// # Errors
///
/// Returns the refusals of all guards whose kind is not in `allowed`.
pub fn check_change(
    old: &CatalogueSnapshot,
    change: &CatalogueChange,
    fleet: Option<&FleetUse>,
    settings: &GuardSettings,
    allowed: &[GuardKind],
) -> Result<(), Vec<GuardRefusal>> {
    let mut refusals = Vec::new();
    check_size(old, change, settings, &mut refusals);
    check_addresses(old, change, fleet, &mut refusals);
    match fleet {
        Some(fleet) => check_use(change, fleet, &mut refusals),
        None => check_unknown_use(change, &mut refusals),
    }
    refusals.retain(|refusal| !allowed.contains(&refusal.kind));
    match refusals.is_empty() {
        true => Ok(()),
        false => Err(refusals),
    }
}

fn refuse(refusals: &mut Vec<GuardRefusal>, kind: GuardKind, reason: String) {
    refusals.push(GuardRefusal { kind, reason });
}

fn check_size(
    old: &CatalogueSnapshot,
    change: &CatalogueChange,
    settings: &GuardSettings,
    refusals: &mut Vec<GuardRefusal>,
) {
    // The first catalogue cannot interrupt a running service.
    if old.services.is_empty() || change.len() <= settings.services {
        return;
    }
    let count = old.services.len();
    // CAST: Numbers of services are far below 2^52.
    let share = change.len() as f64 / count as f64;
    if share <= settings.share {
        return;
    }
    let reason = format!(
        "the change affects {} of {count} services, more than {:.0} % and more than {}",
        change.len(),
        settings.share * 100.0,
        settings.services
    );
    refuse(refusals, GuardKind::LargeChange, reason);
}

fn ready_endpoints(fleet: Option<&FleetUse>, name: &str) -> Option<u32> {
    let fleet = fleet?;
    Some(fleet.get(name).map_or(0, |service| service.ready))
}

fn check_addresses(
    old: &CatalogueSnapshot,
    change: &CatalogueChange,
    fleet: Option<&FleetUse>,
    refusals: &mut Vec<GuardRefusal>,
) {
    for (name, item) in change {
        let Some(new) = item.new_entry() else {
            continue;
        };
        for &address in &new.addresses {
            let Some(before) = previous_service(old, name, address) else {
                continue;
            };
            let reason = format!("address {address} moves from service {before} to {name}");
            refuse(refusals, GuardKind::AddressMove, reason);
            if ready_endpoints(fleet, name) == Some(0) {
                let reason =
                    format!("address {address} moves to service {name}, which has no endpoint");
                refuse(refusals, GuardKind::NoEndpoints, reason);
            }
        }
    }
}

fn previous_service<'a>(
    old: &'a CatalogueSnapshot,
    name: &str,
    address: SocketAddrV4,
) -> Option<&'a ServiceName> {
    let (before, _) = old.service_at(address)?;
    (before != name).then_some(before)
}

fn check_use(change: &CatalogueChange, fleet: &FleetUse, refusals: &mut Vec<GuardRefusal>) {
    for (name, item) in change {
        let used = fleet.get(name).copied().unwrap_or_default();
        match item {
            ServiceChange::Added { .. } => {}
            ServiceChange::Removed { .. } if used.ready > 0 => {
                let reason = format!(
                    "service {name} is removed while {} of its endpoints accept flows",
                    used.ready
                );
                refuse(refusals, GuardKind::NoEndpoints, reason);
            }
            ServiceChange::Removed { .. } => {}
            ServiceChange::Changed { old, new } => {
                check_limits(name, &old.limits, &new.limits, used, refusals);
            }
        }
    }
}

fn check_limits(
    name: &str,
    old: &LimitSet,
    new: &LimitSet,
    used: ServiceUse,
    refusals: &mut Vec<GuardRefusal>,
) {
    let limits = [
        ("flows", old.flows, new.flows, used.flows),
        ("in_flight", old.in_flight, new.in_flight, used.in_flight),
        ("queue", old.queue, new.queue, used.queue),
        (
            "new_flows_per_s",
            old.new_flows_per_s,
            new.new_flows_per_s,
            used.new_flows_per_s,
        ),
    ];
    for (key, before, after, used) in limits {
        if after >= before || after >= used {
            continue;
        }
        let reason = format!(
            "service.{name}.limits.{key} is lowered from {before} to {after} while {used} are in use"
        );
        refuse(refusals, GuardKind::LimitInUse, reason);
    }
}

fn check_unknown_use(change: &CatalogueChange, refusals: &mut Vec<GuardRefusal>) {
    for (name, item) in change {
        if matches!(item, ServiceChange::Added { .. }) {
            continue;
        }
        let reason =
            format!("service {name} is changed or removed, but no instance reported its use");
        refuse(refusals, GuardKind::UnknownUse, reason);
    }
}
