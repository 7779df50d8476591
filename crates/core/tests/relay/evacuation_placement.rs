//! Tests of the placement of new flows, and of open flows, while availability zones are evacuated.

use crate::chain::search;
use crate::support::*;
use proptest::prelude::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayDrop, RelayVerdict, ResetReason};
use quetzalhill_core::relay::evacuation::{EvacuationController, ZoneChange};
use quetzalhill_core::relay::fleet::{EndpointReport, FleetController, ListedEndpoint};
use quetzalhill_core::relay::intake::{ReturnReason, UpstreamState};
use quetzalhill_core::relay::load::{FlowCoverage, LoadCounts};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::view::{EndpointStatus, RelayView};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use yare::parameterized;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Endpoints of the service.
const ENDPOINTS: u8 = 7;

/// Entries, each with its own flow table.
const ENTRIES: usize = 2;

fn zone_of(number: u8) -> &'static str {
    ZONES[usize::from(number) % ZONES.len()]
}

fn number_of(key: EndpointKey) -> u8 {
    let mut numbers = 1..=ENDPOINTS;
    let number = numbers.find(|number| id(*number) == key.id);
    number.expect("an endpoint")
}

/// Entries of zone `a` that share what they know of endpoints and evacuations. Answers of the store may arrive in any
/// order, so the flags of the view come from the controllers.
struct EvacuationSite {
    now: Instant,
    fleet: FleetController,
    evacuations: EvacuationController,
    revision: i64,
    /// Whether the evacuations are marked in the view.
    enabled: bool,
    chains: Vec<RelayChain>,
    /// First packets at agents, which accept or return them.
    delivered: Vec<(usize, PacketHead, EndpointKey)>,
    /// Holders of open flows.
    open: HashMap<u16, EndpointKey>,
    /// Number of first packets that were sent to an evacuated zone.
    evacuated_placements: u32,
    /// Number of resets of open flows while a zone was evacuated.
    open_resets: u32,
    /// Number of open flows that were not found.
    lost: u32,
}

impl EvacuationSite {
    fn new(enabled: bool) -> Self {
        let now = Instant::now();
        let mut fleet = FleetController::new(ZONES[0].into());
        for number in 1..=ENDPOINTS {
            fleet.report(ready_report(number, now), now);
        }
        Self {
            now,
            fleet,
            evacuations: EvacuationController::default(),
            revision: 0,
            enabled,
            chains: (0..ENTRIES).map(|_| RelayChain::new(now)).collect(),
            delivered: Vec::new(),
            open: HashMap::new(),
            evacuated_placements: 0,
            open_resets: 0,
            lost: 0,
        }
    }

    fn set_evacuated(&mut self, zone: &str, evacuated: bool) {
        self.revision += 1;
        self.evacuations.apply(&ZoneChange {
            zone: zone.into(),
            revision: self.revision,
            evacuated,
        });
    }

    fn view(&self) -> RelayView {
        let mut services = self.fleet.services(self.now);
        if self.enabled {
            self.fleet.mark_evacuated(&mut services, &self.evacuations);
        }
        RelayView { services, ..view() }
    }

    fn send_first(&mut self, entry: usize, number: u16, copies: u32) -> RelayVerdict {
        let head = packet(number, PacketKind::Opening { copies });
        let view = self.view();
        let verdict = self.chains[entry].decide(&head, &view, self.now);
        self.record(entry, head, &verdict);
        verdict
    }

    /// Records what became of a first packet.
    fn record(&mut self, entry: usize, head: PacketHead, verdict: &RelayVerdict) {
        match verdict {
            RelayVerdict::Deliver { targets, .. } => {
                for target in targets {
                    let zone = zone_of(number_of(target.endpoint));
                    self.evacuated_placements += u32::from(self.evacuations.is_evacuated(zone));
                    self.delivered.push((entry, head, target.endpoint));
                }
            }
            RelayVerdict::Reset(_) => {
                let is_open = self.open.contains_key(&head.flow.caller.port());
                self.open_resets += u32::from(is_open && !self.evacuations.is_empty());
            }
            RelayVerdict::Hold(_) | RelayVerdict::Drop(_) => {}
        }
    }

    fn return_first(&mut self, index: usize, reason: ReturnReason) {
        let (entry, head, key) = self.delivered.remove(index);
        let view = self.view();
        let verdict = self.chains[entry].decide_returned(&head, key, reason, &view, self.now);
        self.record(entry, head, &verdict);
    }

    fn accept_first(&mut self, index: usize) {
        let (_, head, key) = self.delivered.remove(index);
        self.open.entry(head.flow.caller.port()).or_insert(key);
    }

    /// Sends a packet of an open flow, which has to reach its holder.
    fn send_open(&mut self, entry: usize, number: u16) {
        let Some(holder) = self.open.get(&number).copied() else {
            return;
        };
        let view = self.view();
        let chain = &mut self.chains[entry];
        let found = search(chain, &established(number), Some(holder), &view);
        self.lost += u32::from(!found.queried.contains(&holder));
        self.open_resets += u32::from(matches!(found.verdict, RelayVerdict::Reset(_)));
    }
}

fn ready_report(number: u8, now: Instant) -> EndpointReport {
    EndpointReport {
        endpoint: ListedEndpoint {
            id: id(number),
            service: FEED.into(),
            zone: zone_of(number).into(),
            incarnation: INCARNATION,
            slots: 4,
        },
        order: (1, 1),
        state: UpstreamState::Ready,
        stopping: false,
        load: LoadCounts::default(),
        addresses: [service_address()].into_iter().collect(),
        coverage: FlowCoverage::Complete,
        cold_until: None,
        digest: None,
        keepalive_sent: Some(now),
        pace: None,
        expires: now + Duration::from_secs(60),
    }
}

/// Load: 350 new flows while one of three zones is evacuated. Guards against flows that reach the zone, also if it is the
/// entry's own, and against others that are left idle or get more than their share.
#[parameterized(
    own_zone = { "a" },
    other_zone = { "b" },
)]
fn evacuated_zone_gets_no_new_flows(zone: &str) {
    let place = |enabled: bool| {
        let mut site = EvacuationSite::new(enabled);
        site.set_evacuated(zone, true);
        let mut placed: HashMap<u8, u32> = HashMap::new();
        for number in 0..350 {
            let key = delivered(&site.send_first(0, number, 0));
            *placed.entry(number_of(key)).or_default() += 1;
        }
        (site.evacuated_placements, placed)
    };
    let (evacuated_placements, placed) = place(true);
    assert_eq!(evacuated_placements, 0);
    let others = (1..=ENDPOINTS).filter(|number| zone_of(*number) != zone);
    assert_eq!(placed.len(), others.count());
    if zone == ZONES[0] {
        let most = placed.values().copied().max().unwrap_or(0);
        let mean = 350.0 / placed.len() as f64;
        assert!(f64::from(most) <= 1.1 * mean, "{most}, mean {mean}");
    }
    assert!(place(false).0 > 50, "the load shows nothing");
}

/// Guards against a zone that takes no new flows after its evacuation has ended, and against an unknown zone that changes
/// the placement.
#[test]
fn only_evacuated_zones_are_left_out() {
    let mut site = EvacuationSite::new(true);
    let mut reference = EvacuationSite::new(true);
    site.set_evacuated("a", true);
    site.set_evacuated("a", false);
    site.set_evacuated("nowhere", true);
    for number in 0..100 {
        let placed = site.send_first(0, number, 0);
        assert_eq!(placed, reference.send_first(0, number, 0));
    }
}

/// Guards against callers that wait for their deadline although operators have evacuated all zones, whatever the state of
/// the endpoints, and against flows that are refused before.
#[parameterized(
    ready = { EndpointStatus::Ready },
    silent = { EndpointStatus::Silent },
    pending = { EndpointStatus::Pending },
    draining = { EndpointStatus::Draining },
)]
fn new_flow_is_refused_at_once_if_all_zones_are_evacuated(status: EndpointStatus) {
    let mut view = view();
    for endpoint in &mut view.services.get_mut(FEED).expect("feed").endpoints {
        endpoint.evacuated = true;
        endpoint.status = status;
    }
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let refused = RelayVerdict::Reset(ResetReason::Refused);
    assert_eq!(chain.decide(&opening(1), &view, now), refused);
    // The reset was lost.
    let again = packet(1, PacketKind::Opening { copies: 1 });
    assert_eq!(chain.decide(&again, &view, now), refused);
    // An endpoint that is not evacuated and may become ready is worth the caller's wait.
    let service = view.services.get_mut(FEED).expect("feed");
    service.endpoints[3].evacuated = false;
    service.endpoints[3].status = EndpointStatus::Silent;
    let waits = RelayVerdict::Drop(RelayDrop::NoReady);
    assert_eq!(chain.decide(&opening(2), &view, now), waits);
}

/// Guards against a flow that is forced onto an evacuated endpoint which has returned it as busy before, and against one
/// that is refused although other zones have endpoints that were not tried.
#[test]
fn busy_endpoint_of_an_evacuated_zone_is_not_forced() {
    let mut view = view();
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let mut verdict = chain.decide(&opening(1), &view, now);
    let mut busy = Vec::new();
    for _ in 0..3 {
        let key = delivered(&verdict);
        busy.push(key);
        let reason = ReturnReason::Busy { requests: 8 };
        verdict = chain.decide_returned(&opening(1), key, reason, &view, now);
    }
    // The flow was placed at one of three busy endpoints by force, but its upstream refused it.
    let forced = delivered(&verdict);
    assert!(busy.contains(&forced));
    for endpoint in &mut view.services.get_mut(FEED).expect("feed").endpoints {
        endpoint.evacuated = busy.contains(&endpoint.key());
    }
    let verdict = chain.decide_returned(&opening(1), forced, ReturnReason::NotReady, &view, now);
    assert!(!busy.contains(&delivered(&verdict)));
}

/// Guards against the reset of an open flow by a late copy of its first packet, which the entry would refuse.
#[test]
fn copy_of_a_placed_first_packet_is_not_refused() {
    let mut site = EvacuationSite::new(true);
    for number in 0..3 {
        site.send_first(0, number, 0);
        site.accept_first(0);
    }
    for zone in ZONES {
        site.set_evacuated(zone, true);
    }
    let dropped = RelayVerdict::Drop(RelayDrop::Duplicate);
    assert_eq!(site.send_first(0, 0, 0), dropped);
    assert_eq!(site.send_first(0, 1, 1), dropped);
    // Another entry cannot know whether the first transmission was placed.
    assert_eq!(site.send_first(1, 2, 1), dropped);
    assert_eq!(site.open_resets, 0);
    for number in 0..3 {
        site.send_open(0, number);
        site.send_open(1, number);
    }
    assert_eq!((site.lost, site.open_resets), (0, 0));
}

/// Guards against a caller that waits although the only endpoint that had its first packet has returned it.
#[test]
fn returned_first_packet_is_refused_at_once() {
    let mut site = EvacuationSite::new(true);
    site.set_evacuated("b", true);
    site.set_evacuated("c", true);
    let mut verdict = site.send_first(0, 1, 0);
    while let RelayVerdict::Deliver { .. } = verdict {
        let (_, head, key) = site.delivered.remove(0);
        let view = site.view();
        let reason = ReturnReason::NotReady;
        verdict = site.chains[0].decide_returned(&head, key, reason, &view, site.now);
        site.record(0, head, &verdict);
    }
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Refused));
}

/// Guards against a first packet that opens a flow in an evacuated zone because its route gives no service any weight, so
/// that the packet is searched for.
#[test]
fn first_packet_without_a_target_is_not_queried_in_an_evacuated_zone() {
    let mut view = view();
    view.routes = routes(1, &[(FEED, 0)]);
    for endpoint in &mut view.services.get_mut(FEED).expect("feed").endpoints[1..] {
        endpoint.evacuated = true;
    }
    let now = Instant::now();
    let verdict = RelayChain::new(now).decide(&opening(1), &view, now);
    assert_eq!(delivered(&verdict), key(1));
}

/// What happens at the site.
#[derive(Clone, Copy, Debug)]
enum SiteStep {
    Evacuate(usize, bool),
    /// Transmission of the first packet of a flow. A network may copy it, and callers repeat it.
    First {
        flow: u16,
        copies: u32,
    },
    Return(prop::sample::Index, ReturnReason),
    Accept(prop::sample::Index),
    Data {
        entry: usize,
        flow: u16,
    },
}

fn steps() -> impl Strategy<Value = Vec<SiteStep>> {
    let reason = prop_oneof![
        (0_u32..9).prop_map(|requests| ReturnReason::Busy { requests }),
        Just(ReturnReason::NotReady),
        Just(ReturnReason::Failing),
        Just(ReturnReason::WrongService),
        Just(ReturnReason::Cold { wait_ms: 100 }),
    ];
    let index = any::<prop::sample::Index>;
    let step = prop_oneof![
        2 => (0..ZONES.len(), any::<bool>()).prop_map(|(zone, on)| SiteStep::Evacuate(zone, on)),
        4 => (0_u16..6).prop_map(|flow| SiteStep::First { flow, copies: 0 }),
        2 => (0_u16..6, 1_u32..3).prop_map(|(flow, copies)| SiteStep::First { flow, copies }),
        4 => (index(), reason).prop_map(|(index, reason)| SiteStep::Return(index, reason)),
        2 => index().prop_map(SiteStep::Accept),
        3 => (0..ENTRIES, 0_u16..6).prop_map(|(entry, flow)| SiteStep::Data { entry, flow }),
    ];
    prop::collection::vec(step, 0..60)
}

/// Returns the entry that gets a transmission. The repetitions of some flows go to another entry.
fn entry_of(flow: u16, copies: u32) -> usize {
    let repetition = usize::from(flow < 4 && copies % 2 == 1);
    (usize::from(flow) + repetition) % ENTRIES
}

fn run_steps(steps: &[SiteStep], enabled: bool) -> EvacuationSite {
    let mut site = EvacuationSite::new(enabled);
    // Number of the last transmission of each first packet.
    let mut repeated: HashMap<u16, u32> = HashMap::new();
    for step in steps {
        match *step {
            // The first transmission and the network's copies of it arrive before the caller's repetitions, which follow
            // after 200 ms and more.
            SiteStep::First { flow, copies } if repeated.get(&flow) > Some(&copies) => {}
            SiteStep::Evacuate(zone, evacuated) => site.set_evacuated(ZONES[zone], evacuated),
            SiteStep::First { flow, copies } => {
                repeated.insert(flow, copies);
                site.send_first(entry_of(flow, copies), flow, copies);
            }
            SiteStep::Return(index, reason) if !site.delivered.is_empty() => {
                let index = index.index(site.delivered.len());
                let (_, head, key) = site.delivered[index];
                let flow = head.flow.caller.port();
                // An upstream that holds the flow does not return a copy of its first packet, and a packet is returned
                // before its repetition.
                let latest = PacketKind::Opening {
                    copies: repeated.get(&flow).copied().unwrap_or(0),
                };
                if site.open.get(&flow) != Some(&key) && head.kind == latest {
                    site.return_first(index, reason);
                }
            }
            SiteStep::Accept(index) if !site.delivered.is_empty() => {
                site.accept_first(index.index(site.delivered.len()));
            }
            SiteStep::Return(..) | SiteStep::Accept(_) => {}
            SiteStep::Data { entry, flow } => site.send_open(entry, flow),
        }
    }
    site
}

proptest! {
    /// Guards against an order of evacuations, copies, returns and packets of open flows in which a first packet reaches
    /// an evacuated zone, or an open flow is not found or is reset because of the evacuation.
    #[test]
    fn no_order_of_events_places_a_flow_in_an_evacuated_zone(steps in steps()) {
        let site = run_steps(&steps, true);
        prop_assert_eq!(site.evacuated_placements, 0);
        prop_assert_eq!((site.lost, site.open_resets), (0, 0));
    }
}

/// Guards against a property that holds whether evacuations are followed or not.
#[test]
fn property_fails_if_evacuations_are_not_followed() {
    let mut steps = vec![SiteStep::Evacuate(0, true)];
    for flow in 0..6 {
        steps.push(SiteStep::First { flow, copies: 0 });
    }
    assert!(run_steps(&steps, false).evacuated_placements > 0);
    assert_eq!(run_steps(&steps, true).evacuated_placements, 0);
}
