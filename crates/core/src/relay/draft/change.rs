//! Differences between a draft and the set of routes in force.

use super::{
    encoded, field, text, time, DraftItem, DraftKey, DraftValue, LimitDraft, RouteDraft,
    RoutesDraft, ServiceDraft,
};
use crate::ids::ServiceName;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

/// How an item differs.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeKind {
    /// Only the draft has the item.
    Added,
    /// Only the set in force has the item.
    Removed,
    /// A value differs.
    Changed {
        /// Value that differs.
        key: DraftKey,
        /// Value in force.
        old: DraftValue,
        /// Value of the draft.
        new: DraftValue,
    },
    /// Some services no longer take new flows of the route's address. Open flows stay with them.
    Moved {
        /// Services that took new flows so far.
        from: Vec<ServiceName>,
        /// Services that take new flows from now on.
        to: Vec<ServiceName>,
    },
    /// The address of the route has no route any more. Its open flows end.
    Withdrawn {
        /// Address that callers used.
        address: SocketAddrV4,
    },
}

/// One difference.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftChange {
    /// Item that differs; an item of the set in force if it is [`ChangeKind::Removed`] or [`ChangeKind::Withdrawn`].
    pub item: DraftItem,
    /// How it differs.
    pub kind: ChangeKind,
}

/// Pairs of items of the set in force (first) and the draft (second), by position.
type PairList = Vec<(Option<usize>, Option<usize>)>;

/// Returns the differences between `old`, which is in force, and `new`, in the order of [`DraftItem`].
///
/// Routes are paired by name, and the rest by address, so that a renamed route is a change of its name.
pub fn changes(old: &RoutesDraft, new: &RoutesDraft) -> Vec<DraftChange> {
    let mut found = Vec::new();
    let revisions = [(DraftKey::Revision, revision_value(old), revision_value(new))];
    add_values(&mut found, &DraftItem::Whole, revisions);
    for pair in route_pairs(old, new) {
        match pair {
            (Some(a), Some(b)) => {
                let (a, item) = (&old.routes[a], new.route_item(b));
                let values = zip(route_values(a), route_values(&new.routes[b]));
                add_values(&mut found, &item, values);
            }
            (Some(a), None) => add(&mut found, old.route_item(a), ChangeKind::Removed),
            (None, Some(b)) => add(&mut found, new.route_item(b), ChangeKind::Added),
            (None, None) => {}
        }
    }
    let names = |draft: &RoutesDraft| draft.services.iter().map(|s| s.name.clone()).collect();
    for pair in pair_up(names(old), names(new)) {
        match pair {
            (Some(a), Some(b)) => {
                let (a, item) = (&old.services[a], new.service_item(b));
                let values = zip(service_values(a), service_values(&new.services[b]));
                add_values(&mut found, &item, values);
            }
            (Some(a), None) => add(&mut found, old.service_item(a), ChangeKind::Removed),
            (None, Some(b)) => add(&mut found, new.service_item(b), ChangeKind::Added),
            (None, None) => {}
        }
    }
    let limits = zip(limit_values(&old.limits), limit_values(&new.limits));
    add_values(&mut found, &DraftItem::Limits, limits);
    add_moves(&mut found, old, new);
    found.sort_by(|a, b| a.item.cmp(&b.item));
    found
}

fn add(found: &mut Vec<DraftChange>, item: DraftItem, kind: ChangeKind) {
    found.push(DraftChange { item, kind });
}

fn add_values(
    found: &mut Vec<DraftChange>,
    item: &DraftItem,
    values: impl IntoIterator<Item = (DraftKey, DraftValue, DraftValue)>,
) {
    for (key, old, new) in values {
        if old == new {
            continue;
        }
        add(found, item.clone(), ChangeKind::Changed { key, old, new });
    }
}

/// Adds what happens to the open flows of each address that is in force.
fn add_moves(found: &mut Vec<DraftChange>, old: &RoutesDraft, new: &RoutesDraft) {
    let kept = new.effective_routes();
    let before: BTreeMap<SocketAddrV4, usize> = old.effective_routes().into_iter().collect();
    for (address, a) in before {
        let Some(b) = kept.get(&address) else {
            add(found, old.route_item(a), ChangeKind::Withdrawn { address });
            continue;
        };
        let from = old.routes[a].taking_services();
        let to = new.routes[*b].taking_services();
        let taking: HashSet<_> = to.iter().collect();
        if from.iter().all(|service| taking.contains(service)) {
            continue;
        }
        let kind = ChangeKind::Moved {
            from: from.into_iter().cloned().collect(),
            to: to.into_iter().cloned().collect(),
        };
        add(found, new.route_item(*b), kind);
    }
}

/// Pairs items of equal names in their order; items without a partner come last.
fn pair_up(old: Vec<String>, new: Vec<String>) -> PairList {
    let mut waiting: HashMap<String, VecDeque<usize>> = HashMap::new();
    for (position, name) in old.into_iter().enumerate() {
        waiting.entry(name).or_default().push_back(position);
    }
    let mut pairs = PairList::new();
    for (position, name) in new.into_iter().enumerate() {
        let partner = waiting.get_mut(&name).and_then(VecDeque::pop_front);
        pairs.push((partner, Some(position)));
    }
    let mut rest: Vec<usize> = waiting.into_values().flatten().collect();
    rest.sort_unstable();
    pairs.extend(rest.into_iter().map(|position| (Some(position), None)));
    pairs
}

fn route_pairs(old: &RoutesDraft, new: &RoutesDraft) -> PairList {
    let names = |draft: &RoutesDraft| draft.routes.iter().map(|r| r.name.clone()).collect();
    let mut pairs = pair_up(names(old), names(new));
    let mut by_address: HashMap<SocketAddrV4, usize> = HashMap::new();
    for pair in &pairs {
        let (Some(a), None) = *pair else {
            continue;
        };
        if let Some(socket) = old.routes[a].socket() {
            by_address.insert(socket, a);
        }
    }
    let mut renamed = HashSet::new();
    for pair in &mut pairs {
        let (None, Some(b)) = *pair else {
            continue;
        };
        let socket = new.routes[b].socket();
        pair.0 = socket.and_then(|socket| by_address.remove(&socket));
        renamed.extend(pair.0);
    }
    pairs.retain(|pair| !matches!(pair, (Some(a), None) if renamed.contains(a)));
    pairs
}

fn zip<const N: usize>(
    old: [(DraftKey, DraftValue); N],
    new: [(DraftKey, DraftValue); N],
) -> impl Iterator<Item = (DraftKey, DraftValue, DraftValue)> {
    let pairs = old.into_iter().zip(new);
    pairs.map(|((key, old), (_, new))| (key, old, new))
}

fn revision_value(draft: &RoutesDraft) -> DraftValue {
    draft
        .revision
        .map_or(DraftValue::Absent, DraftValue::Number)
}

fn route_values(route: &RouteDraft) -> [(DraftKey, DraftValue); 10] {
    let service = route.service.clone();
    let targets = route.targets.clone();
    let address = |ip: Ipv4Addr| DraftValue::Text(ip.to_string());
    [
        (DraftKey::Name, text(&route.name)),
        (DraftKey::Address, field(&route.address, address)),
        (DraftKey::Port, field(&route.port, DraftValue::Port)),
        (DraftKey::Kind, field(&route.kind, DraftValue::Kind)),
        (
            DraftKey::Service,
            service.map_or(DraftValue::Absent, DraftValue::Text),
        ),
        (
            DraftKey::Targets,
            targets.map_or(DraftValue::Absent, DraftValue::Targets),
        ),
        (DraftKey::Timeout, time(route.timeout)),
        (DraftKey::TargetLatency, time(route.target_latency)),
        (
            DraftKey::Priority,
            route
                .priority
                .map_or(DraftValue::Absent, DraftValue::Number),
        ),
        (DraftKey::Attempts, encoded(&route.attempts)),
    ]
}

fn service_values(service: &ServiceDraft) -> [(DraftKey, DraftValue); 6] {
    [
        (DraftKey::HealthPath, encoded(&service.health_path)),
        (DraftKey::Connections, encoded(&service.connections)),
        (DraftKey::Protocol, encoded(&service.protocol)),
        (DraftKey::Tls, DraftValue::Encoded(service.tls.clone())),
        (DraftKey::ColdStart, DraftValue::Time(service.cold_start)),
        (DraftKey::ColdRate, DraftValue::Rate(service.cold_rate)),
    ]
}

fn limit_values(limits: &LimitDraft) -> [(DraftKey, DraftValue); 4] {
    [
        (DraftKey::HeaderSize, encoded(&limits.header_size)),
        (DraftKey::BodySize, encoded(&limits.body_size)),
        (DraftKey::HeaderTimeout, encoded(&limits.header_timeout)),
        (DraftKey::IdleTimeout, time(limits.idle_timeout)),
    ]
}
