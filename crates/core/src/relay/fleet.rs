//! Combines the store's list of endpoints with the reports of their agents.
//!
//! The list says which endpoints exist and outlives every process. Reports carry the current state of an endpoint and
//! come from its agent directly, so neither an outage of the store nor an expired lease hides an endpoint that still
//! reports. A flow may be declared ended only if no endpoint is missing from both sources.

mod known;
mod records;

pub use crate::relay::list::{
    ListChange, ListEffect, ListRead, ListRecord, ListState, ListedEndpoint,
};

use crate::ids::{service_digest, EndpointId, IncarnationNumber, ServiceName, StoreEra, ZoneName};
use crate::relay::digest::FlowDigest;
use crate::relay::era::{EraChange, EraController};
use crate::relay::evacuation::EvacuationController;
use crate::relay::identity::{IncarnationChange, IncarnationSource, UNKNOWN_INCARNATION};
use crate::relay::intake::UpstreamState;
use crate::relay::load::{AddressList, FlowCoverage, LoadCounts};
use crate::relay::pace::EndpointPace;
use crate::relay::pace_factor::compare_paces;
use crate::relay::revisions::RevisionLog;
use crate::relay::routes::FormerServices;
use crate::relay::subscribe::{sparse_interval, ReportRate};
use crate::relay::view::{EndpointStatus, ServiceView, UnnamedServices};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between two reports of an agent to each entry of its availability zone.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a report after which an endpoint of the own zone counts as silent; two reports in a row may be lost.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// Longest time for which a report counts, whatever its agent says.
const REPORT_LIFETIME_MAX: Duration = Duration::from_secs(60);

/// Interval between two keepalives to an agent of the own zone that reports.
const NEAR_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a keepalive subscribes the entry to the reports of an agent of its own zone.
const NEAR_SUBSCRIPTION: Duration = Duration::from_secs(3);

/// Keepalives of an entry to all reporting agents of other zones together, per second.
const FAR_KEEPALIVES_PER_S: f64 = 16.0;

/// Shortest interval between two keepalives to an agent of another zone that reports.
const FAR_KEEPALIVE_INTERVAL_MIN: Duration = Duration::from_secs(4);

/// Keepalive intervals for which a keepalive subscribes the entry to an agent of another zone; two may be lost.
const FAR_SUBSCRIPTION_INTERVALS: u32 = 3;

/// Time within which an endpoint in doubt has to report, before it counts as silent; several times the round trip.
const DOUBT_TIME: Duration = Duration::from_millis(400);

/// Time for which an endpoint that is neither listed nor reports is kept, since it may return with its flows.
/// Endpoints whose lease expired during an outage of the store are listed again within two seconds of its return.
const LAPSED_TIME: Duration = Duration::from_millis(2_500);

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
    /// How many of the open flows the report accounts for.
    pub coverage: FlowCoverage,
    /// End of the time for which the upstream is slow after its start.
    pub cold_until: Option<Instant>,
    /// Digest of all flows that the upstream may hold; `None` if the agent does not know them or they are too many.
    pub digest: Option<Arc<FlowDigest>>,
    /// When the entry sent the last keepalive that the agent received before it sent the report.
    pub keepalive_sent: Option<Instant>,
    /// Pace of the upstream, if the agent measures it.
    pub pace: Option<EndpointPace>,
    /// Point in time at which the endpoint counts as silent unless it reports again.
    pub expires: Instant,
}

/// A keepalive that has to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DueKeepalive {
    /// Endpoint whose agent gets the keepalive.
    pub id: EndpointId,
    /// How often the agent should report.
    pub rate: ReportRate,
    /// End of the subscription to its reports.
    pub expires: Instant,
    /// Whether the agent has to report at once.
    pub urgent: bool,
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
    /// Whether the last account of the list was set aside for a report that was current, or for what was known before a
    /// restore of the store.
    set_aside: bool,
    /// Whether the restored store lacks the endpoint, which stays listed until the end of the grace.
    withheld: bool,
    /// Point in time until which an unlisted endpoint without reports is kept.
    retained_until: Instant,
    last: Option<LastReport>,
    reports: u64,
    /// When the next keepalive is due while the endpoint reports; others get one at each tick.
    next_keepalive: Instant,
    /// Whether the next keepalive asks for a report at once.
    doubted: bool,
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
    /// Whether views have the pace of endpoints.
    pace: bool,
    known: HashMap<EndpointId, KnownEndpoint>,
    /// Store revisions of the records of the list that were applied, in the era of `era`.
    revisions: RevisionLog,
    era: EraController,
    /// Changes of incarnations since they were taken last.
    incarnation_changes: Vec<IncarnationChange>,
}

impl FleetController {
    /// Makes a controller without endpoints for an entry in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            pace: false,
            known: HashMap::new(),
            revisions: RevisionLog::default(),
            era: EraController::default(),
            incarnation_changes: Vec::new(),
        }
    }

    /// Sets whether views have the pace of endpoints, by which new flows are placed.
    pub fn with_pace(self, pace: bool) -> Self {
        Self { pace, ..self }
    }

    /// Makes an endpoint that does not report soon count as silent, after a sign that it may have ended. An endpoint
    /// of another zone reports seldom, so its last report would count for a long time.
    pub fn doubt(&mut self, id: EndpointId, now: Instant) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        let limit = now + DOUBT_TIME;
        if known.endpoint.zone == self.zone {
            return;
        }
        let Some(last) = known.last.as_mut().filter(|last| last.expires > limit) else {
            return;
        };
        last.expires = limit;
        known.doubted = true;
        known.next_keepalive = now;
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
        let change = known.set_endpoint(report.endpoint.clone(), IncarnationSource::Report);
        self.incarnation_changes.extend(change);
        known.reports += 1;
        known.retained_until = now + LAPSED_TIME;
        known.doubted = false;
        known.last = Some(LastReport {
            expires: report.expires.min(now + REPORT_LIFETIME_MAX),
            report,
        });
        match known.status(now) == before && change.is_none() {
            true => ReportOutcome::Load,
            false => ReportOutcome::Status,
        }
    }

    /// Removes and returns the changes of incarnations since the last call.
    pub fn take_incarnation_changes(&mut self) -> Vec<IncarnationChange> {
        std::mem::take(&mut self.incarnation_changes)
    }

    /// Returns the era of the store's list, and what follows from a restore.
    pub fn era(&self) -> &EraController {
        &self.era
    }

    /// Records the highest era that the store's answers have shown. A restore starts a new order of revisions. Endpoints
    /// that are listed stay so until the end of the grace, and others are kept as long.
    pub fn observe_era(&mut self, era: StoreEra, now: Instant) -> EraChange {
        let change = self.era.observe(era, now);
        if let (EraChange::Restored { .. }, Some(until)) = (change, self.era.grace_until()) {
            self.revisions.start_order();
            for known in self.known.values_mut() {
                known.retained_until = known.retained_until.max(until);
            }
        }
        change
    }

    /// Records an era that another entry has told, and returns whether the store has to be read.
    pub fn hear_era(&mut self, era: StoreEra, now: Instant) -> bool {
        self.era.hear(era, now)
    }

    /// Returns once after each grace whether it has ended, so that the list has to be read: records of reads during the
    /// grace may have been set aside.
    pub fn take_grace_end(&mut self, now: Instant) -> bool {
        self.era.take_grace_end(now)
    }

    /// Removes endpoints that are neither listed nor report and whose time to return has passed.
    pub fn tick(&mut self, now: Instant) {
        self.revisions.tick(now);
        self.release_withheld(now);
        self.known
            .retain(|_, known| known.listed || known.is_fresh(now) || now < known.retained_until);
    }

    /// Returns the known endpoints and whether each of them reports.
    pub fn endpoints(&self, now: Instant) -> impl Iterator<Item = (EndpointId, bool)> + '_ {
        self.known
            .iter()
            .map(move |(id, known)| (*id, known.is_fresh(now)))
    }

    /// Returns the keepalives that are due. An agent that reports gets one seldom; the others get one at each call,
    /// so that they are found as soon as they are back.
    pub fn take_keepalives(&mut self, now: Instant) -> Vec<DueKeepalive> {
        let far_interval = self.far_interval();
        let mut due = Vec::new();
        for known in self.known.values_mut() {
            if known.is_fresh(now) && now < known.next_keepalive {
                continue;
            }
            let (keepalive, interval) = known.keepalive(&self.zone, far_interval, now);
            known.next_keepalive = now + interval;
            due.push(DueKeepalive {
                urgent: known.doubted,
                ..keepalive
            });
        }
        due
    }

    /// Returns urgent keepalives to the endpoints whose last report has a digest of their flows.
    pub fn digest_requests(&self, now: Instant) -> Vec<DueKeepalive> {
        let far_interval = self.far_interval();
        let mut requests = Vec::new();
        for known in self.known.values() {
            let last = known.last.as_ref().filter(|last| now < last.expires);
            if last.is_none_or(|last| last.report.digest.is_none()) {
                continue;
            }
            let (keepalive, _) = known.keepalive(&self.zone, far_interval, now);
            requests.push(DueKeepalive {
                urgent: true,
                ..keepalive
            });
        }
        requests
    }

    /// Returns the incarnation of an endpoint's upstream, or `None` if the endpoint or its incarnation is not known.
    pub fn incarnation(&self, id: EndpointId) -> Option<IncarnationNumber> {
        let incarnation = self.known.get(&id)?.endpoint.incarnation;
        (incarnation != UNKNOWN_INCARNATION).then_some(incarnation)
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the interval between two keepalives to an endpoint of another zone.
    fn far_interval(&self) -> Duration {
        let is_far = |known: &&KnownEndpoint| known.endpoint.zone != self.zone;
        let count = self.known.values().filter(is_far).count();
        sparse_interval(count, FAR_KEEPALIVES_PER_S).max(FAR_KEEPALIVE_INTERVAL_MIN)
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

    /// Returns whether the agents of all endpoints have seen all open flows, according to their last reports.
    pub fn holders_known(&self) -> bool {
        let mut coverages = self.known.values().map(KnownEndpoint::coverage);
        coverages.all(|coverage| coverage != FlowCoverage::Partial)
    }

    /// Returns the services that may hold flows to addresses which the last reports do not name, in the order of their
    /// names.
    pub fn unnamed_services(&self) -> UnnamedServices {
        let mut names = UnnamedServices::new();
        for known in self.known.values() {
            let name = &known.endpoint.service;
            if known.coverage() == FlowCoverage::Complete || names.contains(name) {
                continue;
            }
            names.push(name.clone());
        }
        names.sort_unstable();
        names
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
        if self.pace {
            for service in services.values_mut() {
                self.set_pace_factors(service, now);
            }
        }
        services
    }

    /// Marks the endpoints of evacuated zones in a new view of the services.
    pub fn mark_evacuated(
        &self,
        services: &mut HashMap<ServiceName, ServiceView>,
        evacuations: &EvacuationController,
    ) {
        if evacuations.is_empty() {
            return;
        }
        let endpoints = services.values_mut().flat_map(|view| &mut view.endpoints);
        for endpoint in endpoints {
            let known = self.known.get(&endpoint.id);
            endpoint.evacuated =
                known.is_some_and(|known| evacuations.is_evacuated(&known.endpoint.zone));
        }
    }

    /// Compares the endpoints of a service by their last reports that still count.
    fn set_pace_factors(&self, service: &mut ServiceView, now: Instant) {
        let mut paces = Vec::with_capacity(service.endpoints.len());
        for endpoint in &service.endpoints {
            let known = self.known.get(&endpoint.id);
            paces.push(known.and_then(|known| known.pace(now)));
        }
        for (endpoint, factor) in service.endpoints.iter_mut().zip(compare_paces(&paces)) {
            endpoint.pace_known = factor.is_some();
            endpoint.pace_factor = factor.unwrap_or(1.0);
        }
    }
}
