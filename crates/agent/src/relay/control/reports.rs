//! How the control thread reports the state of its endpoint to entries.

use super::AgentControl;
use quetzalhill_core::ids::address_of;
use quetzalhill_core::relay::fleet::EndpointReport;
use quetzalhill_core::relay::load::{FlowCoverage, LoadCounts};
use quetzalhill_core::relay::subscribe::{DueReport, ReportRate};
use quetzalhill_node::relay::notices::NoticeKind;
use quetzalhill_wire::relay::{PaceNotice, RelayNotice, ReportNotice};
use std::sync::Arc;
use std::time::Instant;

impl AgentControl {
    /// Reports a change of the upstream's state to all entries.
    pub(super) fn report_change(&mut self, now: Instant) {
        self.subscribers.record_change(now);
        self.report(now);
    }

    /// Sends the reports that are due.
    pub(super) fn report(&mut self, now: Instant) {
        let due = self.subscribers.take_due(now);
        self.send_reports(&due, now);
    }

    pub(super) fn send_reports(&mut self, reports: &[DueReport], now: Instant) {
        let (load, addresses, digest, pace) = {
            let mut meter = self.state.meter();
            let reports_digest = self.presence.reports_digest(now);
            let digest = reports_digest.then(|| meter.digest()).flatten();
            let pace = meter.pace().map(|pace| pace.pace(now));
            (meter.counts(now), meter.addresses(), digest, pace)
        };
        let held = self.state.held_requests();
        let load = LoadCounts {
            busy: load.busy.saturating_add(held),
            ..load
        };
        let counters = &self.state.counters;
        counters.held.set(held.into());
        if let Some(pace) = &pace {
            counters.set_pace(pace);
        }
        counters.flows.set(load.flows.into());
        counters.busy.set(load.busy.into());
        self.report_count += 1;
        let upstream = self.presence.upstream();
        let report = EndpointReport {
            endpoint: self.endpoint(),
            order: (self.started, self.report_count),
            state: self.presence.state(),
            stopping: self.stopping,
            load,
            coverage: FlowCoverage::new(self.presence.covers_all_flows(now), addresses.complete),
            addresses: addresses.list,
            cold_until: upstream.and_then(|record| record.announcement.cold_until),
            digest: digest.map(Arc::new),
            keepalive_sent: None,
            pace: pace.filter(|_| self.settings.relay.pace),
            expires: now,
        };
        let peers = self.subscribers.next_peers();
        for due in reports {
            let mut notice = ReportNotice::new(&report, due, now);
            if due.rate == ReportRate::Frequent {
                notice.peers = peers.to_vec();
            }
            let notice = match &report.pace {
                Some(pace) => RelayNotice::PacedReport(notice, PaceNotice::new(pace)),
                None => RelayNotice::Report(notice),
            };
            let size = self.sockets.notify(&notice, address_of(due.entry));
            counters.notices.count(NoticeKind::Report(due.rate), size);
        }
    }
}
