//! Differences between two revisions of the catalogue.

use super::{CatalogueSnapshot, ServiceEntry};
use crate::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Change of one service between two revisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceChange {
    /// The service exists only in the new revision.
    Added {
        /// Entry in the new revision.
        new: ServiceEntry,
    },
    /// The service exists only in the old revision.
    Removed {
        /// Entry in the old revision.
        old: ServiceEntry,
    },
    /// The entry of the service differs.
    Changed {
        /// Entry in the old revision.
        old: ServiceEntry,
        /// Entry in the new revision.
        new: ServiceEntry,
    },
}

impl ServiceChange {
    /// Returns the entry before the change; `None` if the service was added.
    pub fn old_entry(&self) -> Option<&ServiceEntry> {
        match self {
            ServiceChange::Added { .. } => None,
            ServiceChange::Removed { old } | ServiceChange::Changed { old, .. } => Some(old),
        }
    }

    /// Returns the entry after the change; `None` if the service was removed.
    pub fn new_entry(&self) -> Option<&ServiceEntry> {
        match self {
            ServiceChange::Removed { .. } => None,
            ServiceChange::Added { new } | ServiceChange::Changed { new, .. } => Some(new),
        }
    }
}

/// Services that differ between two revisions, by name.
pub type CatalogueChange = BTreeMap<ServiceName, ServiceChange>;

/// One field that differs between two entries of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FieldChange {
    /// Key in the service's table, such as `limits.queue`.
    pub key: &'static str,
    /// Value before, formatted for the operator.
    pub old: String,
    /// Value after, formatted for the operator.
    pub new: String,
}

/// Returns the services that differ. An entry of `new` without a number matches any number, because numbers are
/// assigned when the change is accepted.
pub fn diff(old: &CatalogueSnapshot, new: &CatalogueSnapshot) -> CatalogueChange {
    let mut change = CatalogueChange::new();
    for (name, entry) in &old.services {
        if !new.services.contains_key(name) {
            let old = entry.clone();
            change.insert(name.clone(), ServiceChange::Removed { old });
        }
    }
    for (name, entry) in &new.services {
        let Some(before) = old.services.get(name) else {
            let new = entry.clone();
            change.insert(name.clone(), ServiceChange::Added { new });
            continue;
        };
        let mut after = entry.clone();
        if after.number == 0 {
            after.number = before.number;
        }
        if after == *before {
            continue;
        }
        let old = before.clone();
        change.insert(name.clone(), ServiceChange::Changed { old, new: after });
    }
    change
}

/// Reverts a change in `services`: restores the old entry of each changed service and removes added services.
pub fn undo(services: &mut BTreeMap<ServiceName, ServiceEntry>, change: &CatalogueChange) {
    for (name, item) in change {
        match item.old_entry() {
            Some(entry) => services.insert(name.clone(), entry.clone()),
            None => services.remove(name),
        };
    }
}

/// Returns the fields that differ between two entries of a service.
pub fn field_changes(old: &ServiceEntry, new: &ServiceEntry) -> Vec<FieldChange> {
    let (a, b) = (&old.limits, &new.limits);
    let pairs = [
        ("number", old.number.to_string(), new.number.to_string()),
        ("owner", old.owner.clone(), new.owner.clone()),
        ("class", old.class.name().into(), new.class.name().into()),
        ("addresses", format_addresses(old), format_addresses(new)),
        (
            "path_classes",
            format_path_classes(old),
            format_path_classes(new),
        ),
        ("limits.flows", a.flows.to_string(), b.flows.to_string()),
        (
            "limits.new_flows_per_s",
            a.new_flows_per_s.to_string(),
            b.new_flows_per_s.to_string(),
        ),
        (
            "limits.in_flight",
            a.in_flight.to_string(),
            b.in_flight.to_string(),
        ),
        ("limits.queue", a.queue.to_string(), b.queue.to_string()),
        (
            "limits.slot_share",
            a.slot_share.to_string(),
            b.slot_share.to_string(),
        ),
        (
            "limits.retry_budget",
            a.retry_budget.to_string(),
            b.retry_budget.to_string(),
        ),
        (
            "limits.deadline",
            format_ms(a.deadline_ms),
            format_ms(b.deadline_ms),
        ),
        (
            "limits.max_deadline",
            format_ms(a.max_deadline_ms),
            format_ms(b.max_deadline_ms),
        ),
    ];
    let mut changes = Vec::new();
    for (key, old, new) in pairs {
        if old != new {
            changes.push(FieldChange { key, old, new });
        }
    }
    changes
}

fn format_ms(value: u64) -> String {
    format!("{value} ms")
}

fn format_addresses(entry: &ServiceEntry) -> String {
    let list: Vec<String> = entry.addresses.iter().map(ToString::to_string).collect();
    list.join(" ")
}

fn format_path_classes(entry: &ServiceEntry) -> String {
    let list: Vec<String> = entry
        .path_classes
        .iter()
        .map(|path| format!("{}={}", path.prefix, path.class.name()))
        .collect();
    list.join(" ")
}
