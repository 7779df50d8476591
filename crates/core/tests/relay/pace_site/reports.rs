//! Reports of the simulated agents to the entries.

use super::{endpoint_id, zone, PaceSite, ENTRIES, SLOTS};
use crate::support::{service_address, FEED};
use quetzalhill_core::relay::fleet::{EndpointReport, ListedEndpoint};
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::FlowCoverage;
use quetzalhill_core::relay::subscribe::{EntryKeepalive, ReportRate, SubscriberController};
use std::time::{Duration, Instant};

/// Shortest time between two views of an entry.
const VIEW_AGE: Duration = Duration::from_millis(100);

/// Returns the subscriptions of all entries to the reports of an endpoint, which are all due at `now`.
pub(super) fn subscribers(endpoint: usize, now: Instant) -> SubscriberController {
    let mut subscribers = SubscriberController::default();
    for entry in 0..ENTRIES {
        let rate = match zone(entry) == zone(endpoint) {
            true => ReportRate::Frequent,
            false => ReportRate::Sparse,
        };
        let keepalive = EntryKeepalive {
            clock_ms: 0,
            urgent: false,
            rate,
            expires: now + Duration::from_secs(3_600),
        };
        subscribers.subscribe(u64::try_from(entry).expect("fits"), keepalive, now);
    }
    subscribers.record_change(now);
    subscribers
}

impl PaceSite {
    /// Reports to the entries that the agent's subscriptions say.
    pub(super) fn report(&mut self, endpoint: usize) {
        let now = self.now;
        self.reports += 1;
        let upstream = &mut self.upstreams[endpoint];
        let report = EndpointReport {
            endpoint: ListedEndpoint {
                id: endpoint_id(endpoint),
                service: FEED.into(),
                zone: zone(endpoint),
                incarnation: upstream.incarnation,
                slots: u32::try_from(SLOTS).expect("fits"),
            },
            order: (1, self.reports),
            state: UpstreamState::Ready,
            stopping: false,
            load: upstream.meter.counts(now),
            addresses: [service_address()].into_iter().collect(),
            coverage: FlowCoverage::Complete,
            cold_until: Some(upstream.cold_until).filter(|until| now < *until),
            digest: None,
            keepalive_sent: None,
            pace: upstream.meter.pace().map(|pace| pace.pace(now)),
            expires: now,
        };
        for due in self.subscribers[endpoint].take_due(now) {
            let entry = usize::try_from(due.entry).expect("an index");
            let expires = due.expires;
            let report = EndpointReport {
                expires,
                ..report.clone()
            };
            self.fleets[entry].report(report, now);
            if now >= self.built[entry] + VIEW_AGE {
                self.built[entry] = now;
                self.views[entry].services = self.fleets[entry].services(now);
            }
        }
    }
}
