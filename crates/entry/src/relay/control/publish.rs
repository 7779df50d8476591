//! How the control thread publishes the view to the traffic threads, and tells when the entry is ready.

use super::RelayControl;
use crate::relay::counters::set;
use quetzalhill_core::relay::view::{EndpointStatus, RelayView};
use quetzalhill_node::event::{emit, EventCode};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest age of the load in a published view while reports arrive. A report that changes the state of an endpoint
/// publishes the view at once; one that changes only the load does so when the published load is this old.
const LOAD_AGE: Duration = Duration::from_millis(100);

/// The same while packets wait for a newer view: callers whose flows have ended wait until all agents have reported their
/// flows once more, and the answers to one request arrive within some milliseconds.
const AWAITED_AGE: Duration = Duration::from_millis(10);

impl RelayControl {
    /// Publishes the view once it is old enough, so that one view contains the reports of many agents.
    pub(super) fn publish_soon(&mut self, now: Instant) {
        let age = match self.state.hold().is_empty() {
            true => LOAD_AGE,
            false => AWAITED_AGE,
        };
        match self.last_published + age {
            due if due <= now => self.publish(now),
            due => self.publish_due = Some(due),
        }
    }

    pub(super) fn publish(&mut self, now: Instant) {
        self.last_published = now;
        self.publish_due = None;
        self.log_incarnations();
        let mut former = self.routes.former().clone();
        self.fleet.add_holders(&mut former);
        let mut services = self.fleet.services(now);
        self.fleet.mark_evacuated(&mut services, &self.evacuations);
        let view = RelayView {
            routes: self.routes.current().clone(),
            former,
            unnamed: self.fleet.unnamed_services(),
            holders_known: self.fleet.holders_known(),
            services,
            synced: self.routes_range.current
                && self.endpoints_range.current
                && !self.fleet.era().is_grace(now),
            routes_read: self.routes_range.read,
            routes_confirmed: self.routes_progress.confirmed(),
            endpoints_read: self.endpoints_range.read,
            oldest_keepalive: self.fleet.oldest_keepalive(now),
            loaded: self.is_loaded(now),
        };
        self.state.view.store(Arc::new(view));
        if !self.state.hold().is_empty() {
            self.sockets.wake_agents_thread();
        }
    }

    /// Returns whether flows can be placed: routes and endpoints are loaded, and all endpoints have reported or the wait for
    /// them is over. Once true, it stays true.
    pub(super) fn is_loaded(&mut self, now: Instant) -> bool {
        let settled = self.fleet.all_report(now)
            || self.settle_deadline.is_some_and(|deadline| deadline <= now);
        let known = self.routes_range.loaded && self.routes.current().revision > 0;
        self.loaded |= known && self.endpoints_range.loaded && settled;
        self.loaded
    }

    pub(super) fn is_ready(&mut self, now: Instant) -> bool {
        let settled = self.fleet.all_report(now)
            || self.settle_deadline.is_some_and(|deadline| deadline <= now);
        let ready = !self.stopping
            && self.routes_range.loaded
            && self.routes.current().revision > 0
            && self.endpoints_range.loaded
            && settled;
        if ready != self.ready {
            self.ready = ready;
            emit(
                EventCode::EntryReadiness,
                &[
                    ("ready", &ready),
                    ("stopping", &self.stopping),
                    ("revision", &self.routes.current().revision),
                ],
            );
        }
        ready
    }

    pub(super) fn update_metrics(&self, now: Instant) {
        let counters = &self.state.counters;
        self.routes_progress.update_metrics(now, counters);
        self.endpoints_progress.update_metrics(now, counters);
        set(&counters.flows, self.state.chain().flows());
        let view = self.state.view.load();
        for (status, name) in [
            (EndpointStatus::Ready, "ready"),
            (EndpointStatus::Draining, "draining"),
            (EndpointStatus::Pending, "pending"),
            (EndpointStatus::Silent, "silent"),
        ] {
            let services = view.services.values();
            let endpoints = services.flat_map(|service| &service.endpoints);
            let count = endpoints
                .filter(|endpoint| endpoint.status == status)
                .count();
            set(&counters.endpoints.with_label_values(&[name]), count);
        }
        let (mut slow, mut fast) = (0, 0);
        for endpoint in view
            .services
            .values()
            .flat_map(|service| &service.endpoints)
        {
            slow += usize::from(endpoint.pace_factor > 1.0);
            fast += usize::from(endpoint.pace_factor < 1.0);
        }
        for (pace, count) in [("slow", slow), ("fast", fast)] {
            set(&counters.paced_endpoints.with_label_values(&[pace]), count);
        }
        let calls = self.store.counts();
        for (kind, count) in [("read", calls.reads), ("write", calls.writes)] {
            set(&counters.store_calls.with_label_values(&[kind]), count);
        }
    }
}
