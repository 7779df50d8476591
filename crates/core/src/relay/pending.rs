//! Counts the flows that an entry has placed on an endpoint since the endpoint's last report.

use crate::ids::EndpointId;
use crate::relay::view::{ServiceView, ViewEndpoint};
use std::collections::HashMap;

/// Limit of endpoints for which the entry counts its own unreported flows; all counts are cleared at the limit. An
/// entry sees only the endpoints of its services.
const PENDING_MAX: usize = 4_096;

/// Flows placed on an endpoint that its last report does not count yet.
#[derive(Clone, Copy, Debug, Default)]
struct PendingFlows {
    report: u64,
    count: u32,
}

/// Unreported flows by endpoint.
#[derive(Debug, Default)]
pub struct PendingTable {
    endpoints: HashMap<EndpointId, PendingFlows>,
}

impl PendingTable {
    /// Counts a flow that was placed on `endpoint`.
    pub fn count(&mut self, endpoint: &ViewEndpoint) {
        if self.endpoints.len() >= PENDING_MAX {
            self.endpoints.clear();
        }
        let pending = self.endpoints.entry(endpoint.id).or_default();
        if pending.report != endpoint.reports {
            *pending = PendingFlows {
                report: endpoint.reports,
                count: 0,
            };
        }
        pending.count += 1;
    }

    /// Returns the number of flows placed on `endpoint` that its last report does not count yet.
    pub fn of(&self, endpoint: &ViewEndpoint) -> u32 {
        match self.endpoints.get(&endpoint.id) {
            Some(flows) if flows.report == endpoint.reports => flows.count,
            _ => 0,
        }
    }

    /// Returns the same for the endpoint `id` of `service`; 0 if the service has no such endpoint.
    pub fn of_id(&self, service: &ServiceView, id: EndpointId) -> u32 {
        let endpoint = service.endpoints.iter().find(|endpoint| endpoint.id == id);
        endpoint.map_or(0, |endpoint| self.of(endpoint))
    }
}
