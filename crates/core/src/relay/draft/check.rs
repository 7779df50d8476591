//! What is wrong with a draft.

use super::{
    field, text, time, DraftField, DraftItem, DraftKey, DraftValue, RouteDraft, RoutesDraft,
    ServiceDraft,
};
use crate::ids::{RevisionNumber, ServiceName};
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Age after which the state of any flow without packets may be discarded, so that a longer idle timeout has no effect.
pub const IDLE_MAX: Duration = Duration::from_secs(60);

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FindingSeverity {
    /// Entries reject the draft, or do not serve what it states.
    Error,
    /// The draft works, but probably not as intended.
    Warning,
}

/// What is wrong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FindingKind {
    /// A route or service has no name.
    NoName,
    /// An earlier route or service has the same name.
    NameTaken,
    /// The revision is missing, 0, or not above the one in force.
    Revision {
        /// Revision in force; 0 if it is not known.
        in_force: RevisionNumber,
    },
    /// The address is missing or not valid.
    Address,
    /// The port is missing or not valid.
    Port,
    /// A later route has the same address and port.
    Hidden {
        /// The route that counts.
        by: DraftItem,
    },
    /// The kind of the route is not known.
    RouteKind,
    /// The route has no service.
    NoService,
    /// The draft does not define the service.
    UnknownService,
    /// The weighted services have no effect, since the route has a single service.
    UnusedTargets,
    /// All weights of the route are 0, so that nobody takes its flows.
    NoWeight,
    /// A service of a weighted route gets no flows.
    ZeroWeight {
        /// Service with the weight 0.
        service: ServiceName,
    },
    /// Two services of a weighted route differ in [`ServiceDraft::tls`].
    MixedTls {
        /// Services that differ.
        services: [ServiceName; 2],
    },
    /// Two services of a weighted route differ in [`ServiceDraft::protocol`].
    MixedProtocol {
        /// Services that differ.
        services: [ServiceName; 2],
    },
    /// The request timeout is 0.
    Timeout,
    /// The target latency is not below the request timeout.
    TargetLatency {
        /// Request timeout of the route.
        timeout: Duration,
    },
    /// No route names the service.
    UnusedService,
    /// The cold rate is below 0.
    ColdRate,
    /// There is a cold rate without a cold start.
    RateWithoutStart,
    /// There is a cold start without a cold rate.
    StartWithoutRate,
    /// The idle timeout is missing, 0, or above [`IDLE_MAX`].
    IdleTimeout,
}

impl FindingKind {
    /// Returns how serious findings of this kind are.
    pub fn severity(&self) -> FindingSeverity {
        match self {
            FindingKind::ZeroWeight { .. }
            | FindingKind::UnusedService
            | FindingKind::StartWithoutRate => FindingSeverity::Warning,
            _ => FindingSeverity::Error,
        }
    }

    /// Returns the name of the kind in machine-readable reports.
    pub fn name(&self) -> &'static str {
        match self {
            FindingKind::NoName => "no-name",
            FindingKind::NameTaken => "name-taken",
            FindingKind::Revision { .. } => "revision",
            FindingKind::Address => "address",
            FindingKind::Port => "port",
            FindingKind::Hidden { .. } => "hidden",
            FindingKind::RouteKind => "route-kind",
            FindingKind::NoService => "no-service",
            FindingKind::UnknownService => "unknown-service",
            FindingKind::UnusedTargets => "unused-targets",
            FindingKind::NoWeight => "no-weight",
            FindingKind::ZeroWeight { .. } => "zero-weight",
            FindingKind::MixedTls { .. } => "mixed-tls",
            FindingKind::MixedProtocol { .. } => "mixed-protocol",
            FindingKind::Timeout => "timeout",
            FindingKind::TargetLatency { .. } => "target-latency",
            FindingKind::UnusedService => "unused-service",
            FindingKind::ColdRate => "cold-rate",
            FindingKind::RateWithoutStart => "rate-without-start",
            FindingKind::StartWithoutRate => "start-without-rate",
            FindingKind::IdleTimeout => "idle-timeout",
        }
    }
}

/// One thing that is wrong with a draft.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftFinding {
    /// Item that has the value.
    pub item: DraftItem,
    /// Value that is wrong.
    pub key: DraftKey,
    /// What the draft states.
    pub value: DraftValue,
    /// What is wrong.
    pub kind: FindingKind,
}

/// Returns what is wrong with `draft`, in the order of [`DraftItem`] and [`DraftKey`]. `in_force` is the revision in
/// force, 0 if it is not known.
pub fn findings(draft: &RoutesDraft, in_force: RevisionNumber) -> Vec<DraftFinding> {
    let mut checker = DraftChecker {
        draft,
        services: draft.services.iter().map(|s| (&s.name, s)).collect(),
        effective: draft.effective_routes(),
        found: Vec::new(),
    };
    checker.check_revision(in_force);
    checker.check_names();
    for position in 0..draft.routes.len() {
        checker.check_route(position);
    }
    checker.check_services();
    checker.check_limits();
    let mut found = checker.found;
    found.sort_by(|a, b| (&a.item, a.key).cmp(&(&b.item, b.key)));
    found
}

struct DraftChecker<'d> {
    draft: &'d RoutesDraft,
    services: HashMap<&'d ServiceName, &'d ServiceDraft>,
    effective: HashMap<SocketAddrV4, usize>,
    found: Vec<DraftFinding>,
}

impl DraftChecker<'_> {
    fn add(&mut self, item: &DraftItem, key: DraftKey, value: DraftValue, kind: FindingKind) {
        self.found.push(DraftFinding {
            item: item.clone(),
            key,
            value,
            kind,
        });
    }

    fn check_revision(&mut self, in_force: RevisionNumber) {
        if self.draft.revision > Some(in_force) {
            return;
        }
        let revision = self.draft.revision;
        let value = revision.map_or(DraftValue::Absent, DraftValue::Number);
        let kind = FindingKind::Revision { in_force };
        self.add(&DraftItem::Whole, DraftKey::Revision, value, kind);
    }

    fn check_names(&mut self) {
        let draft = self.draft;
        let mut taken = HashSet::new();
        for (position, route) in draft.routes.iter().enumerate() {
            let is_new = taken.insert(route.name.as_str());
            self.check_name(&draft.route_item(position), &route.name, is_new);
        }
        taken.clear();
        for (position, service) in draft.services.iter().enumerate() {
            let is_new = taken.insert(service.name.as_str());
            self.check_name(&draft.service_item(position), &service.name, is_new);
        }
    }

    fn check_name(&mut self, item: &DraftItem, name: &str, is_new: bool) {
        let kind = match (name, is_new) {
            ("", _) => FindingKind::NoName,
            (_, false) => FindingKind::NameTaken,
            (_, true) => return,
        };
        self.add(item, DraftKey::Name, text(name), kind);
    }

    fn check_route(&mut self, position: usize) {
        let route = &self.draft.routes[position];
        let item = self.draft.route_item(position);
        self.check_socket(&item, position, route);
        if let DraftField::Invalid(value) = &route.kind {
            let value = DraftValue::Text(value.clone());
            self.add(&item, DraftKey::Kind, value, FindingKind::RouteKind);
        }
        self.check_targets(&item, route);
        self.check_times(&item, route);
    }

    fn check_socket(&mut self, item: &DraftItem, position: usize, route: &RouteDraft) {
        if route.address.valid().is_none() {
            let value = field(&route.address, |ip: Ipv4Addr| {
                DraftValue::Text(ip.to_string())
            });
            self.add(item, DraftKey::Address, value, FindingKind::Address);
        }
        // Port 0 can be decoded, but no caller can use it.
        if matches!(route.port.valid(), None | Some(0)) {
            let value = field(&route.port, DraftValue::Port);
            self.add(item, DraftKey::Port, value, FindingKind::Port);
        }
        let Some(socket) = route.socket() else {
            return;
        };
        let Some(last) = self.effective.get(&socket).copied() else {
            return;
        };
        if last != position {
            let by = self.draft.route_item(last);
            let value = DraftValue::Socket(socket);
            self.add(item, DraftKey::Address, value, FindingKind::Hidden { by });
        }
    }

    fn check_targets(&mut self, item: &DraftItem, route: &RouteDraft) {
        let targets = route.targets.as_deref().unwrap_or_default();
        if let Some(service) = &route.service {
            if service.is_empty() {
                let value = DraftValue::Text(String::new());
                self.add(item, DraftKey::Service, value, FindingKind::NoService);
            } else {
                self.check_defined(item, DraftKey::Service, service);
            }
            if route.targets.is_some() {
                let value = DraftValue::Targets(targets.to_vec());
                self.add(item, DraftKey::Targets, value, FindingKind::UnusedTargets);
            }
            return;
        }
        if targets.is_empty() {
            let value = DraftValue::Absent;
            self.add(item, DraftKey::Service, value, FindingKind::NoService);
            return;
        }
        for target in targets {
            self.check_defined(item, DraftKey::Targets, &target.service);
        }
        if targets.iter().all(|target| target.weight == 0) {
            let value = DraftValue::Targets(targets.to_vec());
            self.add(item, DraftKey::Targets, value, FindingKind::NoWeight);
            return;
        }
        for target in targets.iter().filter(|target| target.weight == 0) {
            let service = target.service.clone();
            let kind = FindingKind::ZeroWeight { service };
            self.add(item, DraftKey::Targets, DraftValue::Number(0), kind);
        }
        self.check_alike(item, route);
    }

    fn check_defined(&mut self, item: &DraftItem, key: DraftKey, service: &ServiceName) {
        if self.services.contains_key(service) {
            return;
        }
        let value = DraftValue::Text(service.clone());
        self.add(item, key, value, FindingKind::UnknownService);
    }

    /// Compares the services of a weighted route with the first of them, since callers cannot tell which one they get.
    fn check_alike(&mut self, item: &DraftItem, route: &RouteDraft) {
        let names = route.taking_services();
        let defined = names.iter().filter_map(|name| self.services.get(name));
        let services: Vec<&ServiceDraft> = defined.copied().collect();
        let Some((first, rest)) = services.split_first() else {
            return;
        };
        let value = DraftValue::Targets(route.targets.clone().unwrap_or_default());
        if let Some(other) = rest.iter().find(|other| other.tls != first.tls) {
            let services = [first.name.clone(), other.name.clone()];
            let kind = FindingKind::MixedTls { services };
            self.add(item, DraftKey::Targets, value.clone(), kind);
        }
        if let Some(other) = rest.iter().find(|other| other.protocol != first.protocol) {
            let services = [first.name.clone(), other.name.clone()];
            let kind = FindingKind::MixedProtocol { services };
            self.add(item, DraftKey::Targets, value, kind);
        }
    }

    fn check_times(&mut self, item: &DraftItem, route: &RouteDraft) {
        let Some(timeout) = route.timeout else {
            return;
        };
        if timeout.is_zero() {
            let value = DraftValue::Time(timeout);
            self.add(item, DraftKey::Timeout, value, FindingKind::Timeout);
            return;
        }
        if route.target_latency >= Some(timeout) {
            let kind = FindingKind::TargetLatency { timeout };
            self.add(
                item,
                DraftKey::TargetLatency,
                time(route.target_latency),
                kind,
            );
        }
    }

    fn check_services(&mut self) {
        let draft = self.draft;
        let mut named: HashSet<&ServiceName> = HashSet::new();
        for route in &draft.routes {
            named.extend(&route.service);
            let targets = route.targets.iter().flatten();
            named.extend(targets.map(|target| &target.service));
        }
        for (position, service) in draft.services.iter().enumerate() {
            let item = draft.service_item(position);
            if !service.name.is_empty() && !named.contains(&service.name) {
                let value = text(&service.name);
                self.add(&item, DraftKey::Name, value, FindingKind::UnusedService);
            }
            self.check_cold(&item, service);
        }
    }

    fn check_cold(&mut self, item: &DraftItem, service: &ServiceDraft) {
        let rate = DraftValue::Rate(service.cold_rate);
        if service.cold_rate < 0.0 {
            self.add(item, DraftKey::ColdRate, rate, FindingKind::ColdRate);
            return;
        }
        let start = DraftValue::Time(service.cold_start);
        match (service.cold_rate > 0.0, service.cold_start.is_zero()) {
            (true, true) => {
                let kind = FindingKind::RateWithoutStart;
                self.add(item, DraftKey::ColdStart, start, kind);
            }
            (false, false) => {
                let kind = FindingKind::StartWithoutRate;
                self.add(item, DraftKey::ColdRate, rate, kind);
            }
            _ => {}
        }
    }

    fn check_limits(&mut self) {
        let idle = self.draft.limits.idle_timeout;
        if idle.is_some_and(|idle| !idle.is_zero() && idle <= IDLE_MAX) {
            return;
        }
        let kind = FindingKind::IdleTimeout;
        self.add(&DraftItem::Limits, DraftKey::IdleTimeout, time(idle), kind);
    }
}
