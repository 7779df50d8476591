//! What an entry knows of one endpoint, from the store's list and from the reports of its agent.

use super::{
    DueKeepalive, KnownEndpoint, ListedEndpoint, FAR_SUBSCRIPTION_INTERVALS, LAPSED_TIME,
    NEAR_KEEPALIVE_INTERVAL, NEAR_SUBSCRIPTION,
};
use crate::ids::ZoneName;
use crate::relay::identity::{
    merge_accounts, IncarnationChange, IncarnationSource, UNKNOWN_INCARNATION,
};
use crate::relay::intake::UpstreamState;
use crate::relay::load::FlowCoverage;
use crate::relay::pace::EndpointPace;
use crate::relay::subscribe::ReportRate;
use crate::relay::view::{EndpointStatus, ViewEndpoint};
use std::time::{Duration, Instant};

impl KnownEndpoint {
    pub(super) fn new(endpoint: ListedEndpoint, now: Instant) -> Self {
        Self {
            endpoint,
            listed: true,
            set_aside: false,
            withheld: false,
            retained_until: now + LAPSED_TIME,
            last: None,
            reports: 0,
            next_keepalive: now,
            doubted: false,
        }
    }

    pub(super) fn reported(endpoint: ListedEndpoint, now: Instant) -> Self {
        Self {
            listed: false,
            ..Self::new(endpoint, now)
        }
    }

    /// Applies an account of the endpoint, and returns the change of its incarnation, if any.
    pub(super) fn set_endpoint(
        &mut self,
        told: ListedEndpoint,
        source: IncarnationSource,
    ) -> Option<IncarnationChange> {
        let before = self.endpoint.incarnation;
        self.endpoint = merge_accounts(&self.endpoint, told);
        let after = self.endpoint.incarnation;
        (before != after).then_some(IncarnationChange {
            id: self.endpoint.id,
            before,
            after,
            source,
        })
    }

    /// Returns a keepalive to the endpoint's agent and the interval until the next one.
    pub(super) fn keepalive(
        &self,
        zone: &ZoneName,
        far_interval: Duration,
        now: Instant,
    ) -> (DueKeepalive, Duration) {
        let (rate, interval, subscription) = match self.endpoint.zone == *zone {
            true => (
                ReportRate::Frequent,
                NEAR_KEEPALIVE_INTERVAL,
                NEAR_SUBSCRIPTION,
            ),
            false => {
                let subscription = far_interval * FAR_SUBSCRIPTION_INTERVALS;
                (ReportRate::Sparse, far_interval, subscription)
            }
        };
        let keepalive = DueKeepalive {
            id: self.endpoint.id,
            rate,
            expires: now + subscription,
            urgent: false,
        };
        (keepalive, interval)
    }

    pub(super) fn pace(&self, now: Instant) -> Option<&EndpointPace> {
        let last = self.last.as_ref().filter(|last| now < last.expires)?;
        last.report.pace.as_ref()
    }

    /// Returns whether `record` may be an account of the endpoint from before what is known.
    pub(super) fn is_preceded_by(&self, record: &ListedEndpoint) -> bool {
        let other_service = record.service != self.endpoint.service;
        let known = self.endpoint.incarnation;
        other_service || (record.incarnation != UNKNOWN_INCARNATION && record.incarnation < known)
    }

    /// Returns how many of the open flows the last report accounts for; an upstream that has ended has none.
    pub(super) fn coverage(&self) -> FlowCoverage {
        let Some(last) = &self.last else {
            return FlowCoverage::Partial;
        };
        match last.report.state {
            UpstreamState::Gone => FlowCoverage::Complete,
            _ => last.report.coverage,
        }
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.last.as_ref().is_some_and(|last| now < last.expires)
    }

    /// Returns the status, or `None` if the upstream has ended and so holds and accepts no flows.
    pub(super) fn status(&self, now: Instant) -> Option<EndpointStatus> {
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

    pub(super) fn view(&self, status: EndpointStatus, zone: &ZoneName) -> ViewEndpoint {
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
            pace_factor: 1.0,
            service_time: report
                .and_then(|report| report.pace.as_ref())
                .and_then(EndpointPace::least_service_time),
            pace_known: false,
            evacuated: false,
        }
    }
}
