//! Builds the route table of an entry from the catalogue and the endpoint records.

use super::{EndpointRecord, EndpointState};
use crate::catalogue::CatalogueSnapshot;
use crate::ids::ZoneName;
use crate::route::{RouteTable, ServiceRoute};
use std::collections::HashMap;

/// Returns the route table for a catalogue and the endpoint records.
///
/// The table contains an endpoint only if it is ready and its agent has the same number for the service, because
/// an agent drops packets that carry another number. Endpoints in an unreachable zone are used only for a service
/// that has no others.
pub fn build_table<'a>(
    catalogue: &CatalogueSnapshot,
    records: impl Iterator<Item = &'a EndpointRecord>,
    unreachable: &[ZoneName],
) -> RouteTable {
    let mut table = RouteTable::default();
    let mut index_of = HashMap::new();
    for (name, entry) in &catalogue.services {
        let index = table.services.len();
        index_of.insert(name.as_str(), index);
        for &address in &entry.addresses {
            table.by_address.insert(address, index);
        }
        table.services.push(ServiceRoute {
            name: name.clone(),
            number: entry.number,
            new_flows_per_s: entry.limits.new_flows_per_s,
            ready: Vec::new(),
        });
    }
    let mut fallback = vec![Vec::new(); table.services.len()];
    for record in records {
        if record.state != EndpointState::Ready {
            continue;
        }
        let Some(&index) = index_of.get(record.service.as_str()) else {
            continue;
        };
        let route = &mut table.services[index];
        if record.number != route.number || route.number == 0 {
            continue;
        }
        match unreachable.contains(&record.zone) {
            true => fallback[index].push(record.id),
            false => route.ready.push(record.id),
        }
    }
    for (route, fallback) in table.services.iter_mut().zip(fallback) {
        if route.ready.is_empty() {
            route.ready = fallback;
        }
        route.ready.sort_unstable();
    }
    table
}
