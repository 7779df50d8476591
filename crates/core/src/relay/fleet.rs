//! Combines the store's list of endpoints with the reports of their agents.
//!
//! The list says which endpoints exist and outlives every process. Reports carry the current state of an endpoint and
//! come from its agent directly, so neither an outage of the store nor an expired lease hides an endpoint that still
//! reports. A flow may be declared ended only if no endpoint is missing from both sources.

use crate::ids::{service_digest, EndpointId, IncarnationNumber, ServiceName, ZoneName};
use crate::relay::digest::FlowDigest;
use crate::relay::intake::UpstreamState;
use crate::relay::load::{AddressList, LoadCounts};
use crate::relay::routes::FormerServices;
use crate::relay::view::{EndpointStatus, ServiceView, ViewEndpoint};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between two reports of an agent to each entry.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a report after which an endpoint counts as silent; two reports in a row may be lost.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// Time for which an endpoint that is neither listed nor reports is kept, since it may return with its flows.
/// Endpoints whose lease expired during an outage of the store are listed again within two seconds of its return.
const LAPSED_TIME: Duration = Duration::from_millis(2_500);

/// An endpoint as it is written in the store's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEndpoint {
    /// Identity: the packet address of its agent.
    pub id: EndpointId,
    /// Service whose flows the endpoint accepts.
    pub service: ServiceName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Incarnation of the upstream; 0 while it is not known.
    pub incarnation: IncarnationNumber,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
}

/// State and load of an endpoint as its agent reports them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointReport {
    /// Endpoint that the report describes.
    pub endpoint: ListedEndpoint,
    /// Start of the agent in Unix milliseconds, and the number of the report since then. Compared in this order, they
    /// tell which of two reports is later.
    pub order: (u64, u64),
    /// State of the upstream as the agent sees it.
    pub state: UpstreamState,
    /// Whether the agent is shutting down; the upstream keeps running.
    pub stopping: bool,
    /// Open flows and requests in progress.
    pub load: LoadCounts,
    /// Service addresses to which the open flows were opened.
    pub addresses: AddressList,
    /// Whether the agent has seen all open flows of the upstream, so that `addresses` is complete.
    pub covers_all_flows: bool,
    /// End of the time for which the upstream is slow after its start.
    pub cold_until: Option<Instant>,
    /// Digest of all flows that the upstream may hold; `None` if the agent does not know them or they are too many.
    pub digest: Option<Arc<FlowDigest>>,
    /// When the entry sent the last keepalive that the agent received before it sent the report.
    pub keepalive_sent: Option<Instant>,
}

#[derive(Clone, Debug)]
struct LastReport {
    report: EndpointReport,
    expires: Instant,
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    endpoint: ListedEndpoint,
    listed: bool,
    /// Point in time until which an unlisted endpoint without reports is kept.
    retained_until: Instant,
    last: Option<LastReport>,
    reports: u64,
}

/// How a report changed what the entry knows of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// At most the load changed.
    Load,
    /// The status or the incarnation changed.
    Status,
    /// The report was ignored, since a later one has arrived.
    Stale,
}

/// Tracks the endpoints that are listed in the store or report to the entry.
#[derive(Debug)]
pub struct FleetController {
    zone: ZoneName,
    known: HashMap<EndpointId, KnownEndpoint>,
}

impl FleetController {
    /// Makes a controller without endpoints for an entry in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            known: HashMap::new(),
        }
    }

    /// Adds or updates an endpoint from the store's list.
    pub fn add_listed(&mut self, endpoint: ListedEndpoint, now: Instant) {
        let Some(known) = self.known.get_mut(&endpoint.id) else {
            let id = endpoint.id;
            self.known.insert(id, KnownEndpoint::new(endpoint, now));
            return;
        };
        known.listed = true;
        // A current report is newer than what the agent wrote to the store before.
        if known.is_fresh(now) {
            return;
        }
        if known.endpoint.service != endpoint.service {
            known.last = None;
        }
        known.endpoint = endpoint;
    }

    /// Marks the endpoint as removed from the store's list.
    pub fn remove_listed(&mut self, id: EndpointId, now: Instant) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        known.listed = false;
        known.retained_until = now + LAPSED_TIME;
    }

    /// Replaces the whole list, after the history of its changes was lost.
    pub fn replace_list(&mut self, endpoints: Vec<ListedEndpoint>, now: Instant) {
        let mut removed: Vec<EndpointId> = self.known.keys().copied().collect();
        removed.retain(|id| !endpoints.iter().any(|endpoint| endpoint.id == *id));
        for id in removed {
            if self.known[&id].listed {
                self.remove_listed(id, now);
            }
        }
        for endpoint in endpoints {
            self.add_listed(endpoint, now);
        }
    }

    /// Applies a report of an agent, unless a later one was applied and has not expired.
    pub fn report(&mut self, report: EndpointReport, now: Instant) -> ReportOutcome {
        let id = report.endpoint.id;
        let known = self
            .known
            .entry(id)
            .or_insert_with(|| KnownEndpoint::reported(report.endpoint.clone(), now));
        if let Some(last) = &known.last {
            if report.order <= last.report.order && known.is_fresh(now) {
                return ReportOutcome::Stale;
            }
        }
        let before = known.status(now);
        let previous_incarnation = known.endpoint.incarnation;
        // An agent that has just started does not know the incarnation of its upstream; the listed one stays until it
        // does.
        let incarnation = match report.endpoint.incarnation {
            0 => known.endpoint.incarnation,
            incarnation => incarnation,
        };
        known.endpoint = ListedEndpoint {
            incarnation,
            ..report.endpoint.clone()
        };
        known.reports += 1;
        known.retained_until = now + LAPSED_TIME;
        known.last = Some(LastReport {
            report,
            expires: now + SILENT_AFTER,
        });
        match known.status(now) == before && incarnation == previous_incarnation {
            true => ReportOutcome::Load,
            false => ReportOutcome::Status,
        }
    }

    /// Removes endpoints that are neither listed nor report and whose time to return has passed.
    pub fn tick(&mut self, now: Instant) {
        self.known
            .retain(|_, known| known.listed || known.is_fresh(now) || now < known.retained_until);
    }

    /// Returns the known endpoints and whether each of them reports.
    pub fn endpoints(&self, now: Instant) -> impl Iterator<Item = (EndpointId, bool)> + '_ {
        self.known
            .iter()
            .map(move |(id, known)| (*id, known.is_fresh(now)))
    }

    /// Returns the endpoints whose last report has a digest of their flows.
    pub fn digest_reporters(&self, now: Instant) -> impl Iterator<Item = EndpointId> + '_ {
        let has_digest = move |known: &KnownEndpoint| {
            let last = known.last.as_ref().filter(|last| now < last.expires);
            last.is_some_and(|last| last.report.digest.is_some())
        };
        let known = self
            .known
            .iter()
            .filter(move |(_, known)| has_digest(known));
        known.map(|(id, _)| *id)
    }

    /// Returns the earliest `keepalive_sent` of the endpoints that report a digest, or `None` if no endpoint does.
    pub fn oldest_keepalive(&self, now: Instant) -> Option<Instant> {
        let mut oldest: Option<Instant> = None;
        for known in self.known.values() {
            let Some(last) = known.last.as_ref().filter(|last| now < last.expires) else {
                continue;
            };
            let (Some(_), Some(keepalive_sent)) = (&last.report.digest, last.report.keepalive_sent)
            else {
                continue;
            };
            oldest = Some(oldest.map_or(keepalive_sent, |oldest| oldest.min(keepalive_sent)));
        }
        oldest
    }

    /// Returns whether there are endpoints and all of them report.
    pub fn all_report(&self, now: Instant) -> bool {
        !self.known.is_empty() && self.known.values().all(|known| known.is_fresh(now))
    }

    /// Adds the services that hold flows to an address, according to the last reports, to `former`.
    pub fn add_holders(&self, former: &mut FormerServices) {
        for known in self.known.values() {
            let Some(last) = &known.last else {
                continue;
            };
            for address in &last.report.addresses {
                let services = former.entry(*address).or_default();
                if !services.contains(&known.endpoint.service) {
                    services.push(known.endpoint.service.clone());
                }
            }
        }
    }

    /// Returns whether the last reports cover all open flows of every endpoint.
    pub fn holders_known(&self) -> bool {
        self.known.values().all(|known| {
            let report = known.last.as_ref().map(|last| &last.report);
            report.is_some_and(|report| {
                report.covers_all_flows || report.state == UpstreamState::Gone
            })
        })
    }

    /// Returns the view of each service as of `now`, without endpoints whose upstream has ended.
    pub fn services(&self, now: Instant) -> HashMap<ServiceName, ServiceView> {
        let mut services: HashMap<ServiceName, ServiceView> = HashMap::new();
        for known in self.known.values() {
            let name = known.endpoint.service.clone();
            let digest = service_digest(&name);
            let service = services.entry(name).or_insert_with(|| ServiceView {
                digest,
                endpoints: Vec::new(),
                complete: true,
            });
            let Some(status) = known.status(now) else {
                continue;
            };
            service.complete &= matches!(status, EndpointStatus::Ready | EndpointStatus::Draining);
            service.endpoints.push(known.view(status, &self.zone));
        }
        services
    }
}

impl KnownEndpoint {
    fn new(endpoint: ListedEndpoint, now: Instant) -> Self {
        Self {
            endpoint,
            listed: true,
            retained_until: now + LAPSED_TIME,
            last: None,
            reports: 0,
        }
    }

    fn reported(endpoint: ListedEndpoint, now: Instant) -> Self {
        Self {
            listed: false,
            ..Self::new(endpoint, now)
        }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.last.as_ref().is_some_and(|last| now < last.expires)
    }

    /// Returns the status, or `None` if the upstream has ended and so holds and accepts no flows.
    fn status(&self, now: Instant) -> Option<EndpointStatus> {
        let Some(last) = self.last.as_ref().filter(|last| now < last.expires) else {
            return Some(EndpointStatus::Silent);
        };
        if last.report.stopping && last.report.state != UpstreamState::Gone {
            return Some(EndpointStatus::Silent);
        }
        match last.report.state {
            UpstreamState::Unknown => Some(EndpointStatus::Pending),
            UpstreamState::Ready => Some(EndpointStatus::Ready),
            UpstreamState::Draining => Some(EndpointStatus::Draining),
            UpstreamState::Lost => Some(EndpointStatus::Silent),
            UpstreamState::Gone => None,
        }
    }

    fn view(&self, status: EndpointStatus, zone: &ZoneName) -> ViewEndpoint {
        let report = self.last.as_ref().map(|last| &last.report);
        let current = report.filter(|_| status != EndpointStatus::Silent);
        let load = report.map(|report| report.load).unwrap_or_default();
        ViewEndpoint {
            id: self.endpoint.id,
            incarnation: self.endpoint.incarnation,
            status,
            same_zone: self.endpoint.zone == *zone,
            slots: self.endpoint.slots,
            flows: load.flows,
            busy: load.busy,
            reports: self.reports,
            cold_until: report.and_then(|report| report.cold_until),
            digest: current.and_then(|report| report.digest.clone()),
            keepalive_sent: current.and_then(|report| report.keepalive_sent),
        }
    }
}
