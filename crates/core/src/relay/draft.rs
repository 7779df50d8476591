//! Draft of a new set of routes, as an operator wrote it and before it is sent.
//!
//! A [`RouteSet`](super::routes::RouteSet) holds only what entries need of a valid set. A draft keeps every item and
//! every value that is missing or not valid, so that [`check`] and [`change`] can report them. See docs/load.md,
//! section 8.

pub mod change;
pub mod check;

use crate::ids::{RevisionNumber, ServiceName};
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Value of a draft that may be missing or not valid.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum DraftField<T> {
    /// The draft does not state the value.
    #[default]
    Missing,
    /// The text that the draft states is not allowed.
    Invalid(String),
    /// The value is allowed.
    Valid(T),
}

impl<T: Copy> DraftField<T> {
    /// Returns the value if it is allowed.
    pub fn valid(&self) -> Option<T> {
        match self {
            DraftField::Valid(value) => Some(*value),
            DraftField::Missing | DraftField::Invalid(_) => None,
        }
    }
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run several times.
    Idempotent,
    /// Requests run once at most.
    Unrepeatable,
    /// Requests may run several times and have long answers.
    Download,
}

/// A service of a weighted route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetDraft {
    /// Service that the target's flows go to.
    pub service: ServiceName,
    /// Share of new flows relative to the other targets; 0 gives none.
    pub weight: u32,
}

/// A route of a draft.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteDraft {
    /// Name of the route; empty if it has none.
    pub name: String,
    /// IPv4 address that callers use.
    pub address: DraftField<Ipv4Addr>,
    /// Port that callers use.
    pub port: DraftField<u16>,
    /// How often a request may run.
    pub kind: DraftField<RouteKind>,
    /// The only service of the route. It takes all flows, also if `targets` is given.
    pub service: Option<ServiceName>,
    /// Services of a weighted route.
    pub targets: Option<Vec<TargetDraft>>,
    /// Time after which a caller gives a request up.
    pub timeout: Option<Duration>,
    /// Time within which a request should be answered.
    pub target_latency: Option<Duration>,
    /// Urgency of the requests; 0 is the highest.
    pub priority: Option<u64>,
    /// Number of attempts, in the platform's encoding.
    pub attempts: Option<String>,
}

impl RouteDraft {
    /// Returns the address and port that callers use if both are valid.
    pub fn socket(&self) -> Option<SocketAddrV4> {
        Some(SocketAddrV4::new(self.address.valid()?, self.port.valid()?))
    }

    /// Returns the services that take new flows of the route.
    fn taking_services(&self) -> Vec<&ServiceName> {
        if let Some(service) = &self.service {
            return vec![service];
        }
        let mut seen = HashSet::new();
        let mut services = Vec::new();
        for target in self.targets.iter().flatten() {
            if target.weight > 0 && seen.insert(&target.service) {
                services.push(&target.service);
            }
        }
        services
    }
}

/// A service of a draft.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDraft {
    /// Name of the service; empty if it has none.
    pub name: ServiceName,
    /// Path of the health page, in the platform's encoding.
    pub health_path: Option<String>,
    /// Number of connections, in the platform's encoding.
    pub connections: Option<String>,
    /// Protocol of the upstreams, in the platform's encoding.
    pub protocol: Option<String>,
    /// Whether flows are encrypted, in the platform's encoding.
    pub tls: String,
    /// Time for which an upstream is cold after its start; zero if the draft does not state it.
    pub cold_start: Duration,
    /// Requests a second that an upstream bears while it is cold; 0 if the draft does not limit them.
    pub cold_rate: f64,
}

/// Limits of a draft for all routes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LimitDraft {
    /// Size of a header, in the platform's encoding.
    pub header_size: Option<String>,
    /// Size of a body, in the platform's encoding.
    pub body_size: Option<String>,
    /// Time for a header, in the platform's encoding.
    pub header_timeout: Option<String>,
    /// Time without packets after which the state of a flow may be discarded.
    pub idle_timeout: Option<Duration>,
}

/// A new set of routes before it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutesDraft {
    /// Revision; entries ignore a set whose revision is not above the one in force.
    pub revision: Option<RevisionNumber>,
    /// Routes in the order of the draft. Of several with the same address the last one counts.
    pub routes: Vec<RouteDraft>,
    /// Services in the order of the draft.
    pub services: Vec<ServiceDraft>,
    /// Limits for all routes.
    pub limits: LimitDraft,
}

impl RoutesDraft {
    /// Returns the position of the route that counts for each address.
    fn effective_routes(&self) -> HashMap<SocketAddrV4, usize> {
        let mut effective = HashMap::with_capacity(self.routes.len());
        for (position, route) in self.routes.iter().enumerate() {
            let Some(socket) = route.socket() else {
                continue;
            };
            effective.insert(socket, position);
        }
        effective
    }

    fn route_item(&self, position: usize) -> DraftItem {
        DraftItem::Route {
            name: self.routes[position].name.clone(),
            position,
        }
    }

    fn service_item(&self, position: usize) -> DraftItem {
        DraftItem::Service {
            name: self.services[position].name.clone(),
            position,
        }
    }
}

/// What a finding or a change is about. The order is that of reports.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DraftItem {
    /// The draft as a whole.
    Whole,
    /// One route.
    Route {
        /// Name of the route; empty if it has none.
        name: String,
        /// Number of routes before it.
        position: usize,
    },
    /// One service.
    Service {
        /// Name of the service; empty if it has none.
        name: String,
        /// Number of services before it.
        position: usize,
    },
    /// The limits for all routes.
    Limits,
}

/// Names a value of a draft. The order is that of reports.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DraftKey {
    /// [`RoutesDraft::revision`].
    Revision,
    /// Name of a route or service.
    Name,
    /// [`RouteDraft::address`].
    Address,
    /// [`RouteDraft::port`].
    Port,
    /// [`RouteDraft::kind`].
    Kind,
    /// [`RouteDraft::service`].
    Service,
    /// [`RouteDraft::targets`].
    Targets,
    /// [`RouteDraft::timeout`].
    Timeout,
    /// [`RouteDraft::target_latency`].
    TargetLatency,
    /// [`RouteDraft::priority`].
    Priority,
    /// [`RouteDraft::attempts`].
    Attempts,
    /// [`ServiceDraft::health_path`].
    HealthPath,
    /// [`ServiceDraft::connections`].
    Connections,
    /// [`ServiceDraft::protocol`].
    Protocol,
    /// [`ServiceDraft::tls`].
    Tls,
    /// [`ServiceDraft::cold_start`].
    ColdStart,
    /// [`ServiceDraft::cold_rate`].
    ColdRate,
    /// [`LimitDraft::header_size`].
    HeaderSize,
    /// [`LimitDraft::body_size`].
    BodySize,
    /// [`LimitDraft::header_timeout`].
    HeaderTimeout,
    /// [`LimitDraft::idle_timeout`].
    IdleTimeout,
}

/// Value that a report shows.
#[derive(Clone, Debug, PartialEq)]
pub enum DraftValue {
    /// The draft does not state the value.
    Absent,
    /// A name, or a text that is not allowed.
    Text(String),
    /// A whole number.
    Number(u64),
    /// A rate a second.
    Rate(f64),
    /// A time.
    Time(Duration),
    /// A port.
    Port(u16),
    /// An address with its port.
    Socket(SocketAddrV4),
    /// A kind of route.
    Kind(RouteKind),
    /// Services of a weighted route.
    Targets(Vec<TargetDraft>),
    /// A value that is only compared, in the platform's encoding.
    Encoded(String),
}

fn text(value: &str) -> DraftValue {
    match value {
        "" => DraftValue::Absent,
        value => DraftValue::Text(value.into()),
    }
}

fn encoded(value: &Option<String>) -> DraftValue {
    match value {
        None => DraftValue::Absent,
        Some(value) => DraftValue::Encoded(value.clone()),
    }
}

fn time(value: Option<Duration>) -> DraftValue {
    value.map_or(DraftValue::Absent, DraftValue::Time)
}

fn field<T: Copy>(value: &DraftField<T>, valid: fn(T) -> DraftValue) -> DraftValue {
    match value {
        DraftField::Missing => DraftValue::Absent,
        DraftField::Invalid(value) => DraftValue::Text(value.clone()),
        DraftField::Valid(value) => valid(*value),
    }
}
