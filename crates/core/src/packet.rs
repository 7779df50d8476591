//! The packet filter chain of an entry.
//!
//! The chain sees parsed facts instead of bytes, so that a front end with another encoding can use it. It keeps no
//! state per flow: the only state is one time for each service, which limits its new flows. See docs/design.md,
//! section 3.

use crate::ids::{ServiceNumber, MAX_SERVICE_NUMBER};
use crate::route::{FlowKey, RouteTable, ServiceRoute};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// What the header of a packet says about its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowStage {
    /// The packet may be the first of its flow; QUIC's long header.
    Opening,
    /// The packet belongs to a flow that an agent holds; QUIC's short header.
    Established,
}

/// The endpoint that a connection ID names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EmbeddedRoute {
    /// Packet socket of the agent that issued the ID.
    pub agent: SocketAddrV4,
    /// Service of that agent.
    pub service: ServiceNumber,
    /// Low bits of the agent's incarnation.
    pub incarnation: u32,
}

/// What a decoder found in one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParsedPacket<'a> {
    /// What the header says about the flow.
    pub stage: FlowStage,
    /// Bytes that all first packets of the flow share.
    pub key: FlowKey<'a>,
    /// Content of the connection ID, if a valid key made it.
    pub embedded: Option<EmbeddedRoute>,
}

/// All that the chain knows about one packet.
#[derive(Clone, Copy, Debug)]
pub struct PacketFacts<'a> {
    /// The decoded header, or nothing if it could not be decoded.
    pub parsed: Option<ParsedPacket<'a>>,
    /// Address of the service that the caller uses.
    pub service_address: SocketAddrV4,
    /// When the packet arrived; only looked at for packets that may open a flow.
    pub now: Instant,
}

/// Where a packet goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketRoute {
    /// Packet socket of the agent that receives the packet.
    pub agent: SocketAddrV4,
    /// Service of the packet.
    pub service: ServiceNumber,
    /// Low bits of the agent's incarnation; 0 in the first packets of a flow.
    pub incarnation: u32,
    /// Endpoint that takes a new flow if the first one does not.
    pub second: Option<SocketAddrV4>,
}

/// Why the chain drops a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PacketDrop {
    /// The header could not be decoded.
    Malformed,
    /// No service uses the address.
    NoService,
    /// The connection ID of an established flow names another service.
    WrongService,
    /// No valid key made the connection ID of an established flow.
    UnknownConnection,
    /// The service has opened more new flows than its limit allows.
    NewFlowLimit,
    /// No endpoint of the service takes new flows.
    NoEndpoint,
}

impl PacketDrop {
    /// All reasons, in the order of [`PacketDrop::index`].
    pub const ALL: [PacketDrop; 6] = [
        PacketDrop::Malformed,
        PacketDrop::NoService,
        PacketDrop::WrongService,
        PacketDrop::UnknownConnection,
        PacketDrop::NewFlowLimit,
        PacketDrop::NoEndpoint,
    ];

    /// Returns the position of the reason in [`PacketDrop::ALL`].
    pub fn index(self) -> usize {
        match self {
            PacketDrop::Malformed => 0,
            PacketDrop::NoService => 1,
            PacketDrop::WrongService => 2,
            PacketDrop::UnknownConnection => 3,
            PacketDrop::NewFlowLimit => 4,
            PacketDrop::NoEndpoint => 5,
        }
    }

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            PacketDrop::Malformed => "malformed",
            PacketDrop::NoService => "no-service",
            PacketDrop::WrongService => "wrong-service",
            PacketDrop::UnknownConnection => "unknown-connection",
            PacketDrop::NewFlowLimit => "new-flow-limit",
            PacketDrop::NoEndpoint => "no-endpoint",
        }
    }
}

/// What happens to a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketVerdict {
    /// The packet is sent to an agent.
    Forward(PacketRoute),
    /// The packet is dropped and counted.
    Drop(PacketDrop),
}

/// One step of the chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PacketFilter {
    Parse,
    Service,
    ConnectionId,
    NewFlowLimit,
    EndpointChoice,
}

const PACKET_CHAIN: [PacketFilter; 5] = [
    PacketFilter::Parse,
    PacketFilter::Service,
    PacketFilter::ConnectionId,
    PacketFilter::NewFlowLimit,
    PacketFilter::EndpointChoice,
];

/// What one filter decided.
enum FilterOutcome {
    Continue,
    Verdict(PacketVerdict),
}

impl FilterOutcome {
    fn drop(reason: PacketDrop) -> Self {
        FilterOutcome::Verdict(PacketVerdict::Drop(reason))
    }
}

/// One packet on its way through the chain; filters fill it for the filters behind them.
struct PacketPassage<'a> {
    facts: &'a PacketFacts<'a>,
    table: &'a RouteTable,
    parsed: Option<ParsedPacket<'a>>,
    service: Option<&'a ServiceRoute>,
}

/// The packet filter chain and its state; each traffic thread owns one.
#[derive(Debug)]
pub struct PacketController {
    limits: FlowLimiter,
}

impl PacketController {
    /// Makes a chain for one of `threads` traffic threads that share the limits of the services.
    pub fn new(threads: u16) -> Self {
        Self {
            limits: FlowLimiter::new(threads),
        }
    }

    /// Decides what happens to one packet.
    pub fn decide(&mut self, facts: &PacketFacts<'_>, table: &RouteTable) -> PacketVerdict {
        let mut passage = PacketPassage {
            facts,
            table,
            parsed: None,
            service: None,
        };
        for filter in PACKET_CHAIN {
            let outcome = match filter {
                PacketFilter::Parse => passage.parse(),
                PacketFilter::Service => passage.find_service(),
                PacketFilter::ConnectionId => passage.check_connection_id(),
                PacketFilter::NewFlowLimit => passage.check_limit(&mut self.limits),
                PacketFilter::EndpointChoice => passage.choose_endpoint(),
            };
            match outcome {
                FilterOutcome::Continue => continue,
                FilterOutcome::Verdict(verdict) => return verdict,
            }
        }
        // The last filter always returns a verdict; without one there is no endpoint to send to.
        PacketVerdict::Drop(PacketDrop::NoEndpoint)
    }
}

impl PacketPassage<'_> {
    fn parse(&mut self) -> FilterOutcome {
        self.parsed = self.facts.parsed;
        match self.parsed {
            Some(_) => FilterOutcome::Continue,
            None => FilterOutcome::drop(PacketDrop::Malformed),
        }
    }

    fn find_service(&mut self) -> FilterOutcome {
        self.service = self.table.service_at(self.facts.service_address);
        match self.service {
            Some(_) => FilterOutcome::Continue,
            None => FilterOutcome::drop(PacketDrop::NoService),
        }
    }

    fn check_connection_id(&mut self) -> FilterOutcome {
        let (Some(packet), Some(service)) = (self.parsed, self.service) else {
            return FilterOutcome::drop(PacketDrop::Malformed);
        };
        match (packet.embedded, packet.stage) {
            (Some(embedded), _) if embedded.service == service.number => {
                FilterOutcome::Verdict(PacketVerdict::Forward(PacketRoute {
                    agent: embedded.agent,
                    service: embedded.service,
                    incarnation: embedded.incarnation,
                    second: None,
                }))
            }
            // The caller chooses the connection ID of its first packets, so it may resemble one of ours.
            (_, FlowStage::Opening) => FilterOutcome::Continue,
            (Some(_), FlowStage::Established) => FilterOutcome::drop(PacketDrop::WrongService),
            (None, FlowStage::Established) => FilterOutcome::drop(PacketDrop::UnknownConnection),
        }
    }

    fn check_limit(&mut self, limits: &mut FlowLimiter) -> FilterOutcome {
        let Some(service) = self.service else {
            return FilterOutcome::drop(PacketDrop::NoService);
        };
        match limits.admit(service, self.table, self.facts.now) {
            true => FilterOutcome::Continue,
            false => FilterOutcome::drop(PacketDrop::NewFlowLimit),
        }
    }

    fn choose_endpoint(&mut self) -> FilterOutcome {
        let (Some(packet), Some(service)) = (self.parsed, self.service) else {
            return FilterOutcome::drop(PacketDrop::Malformed);
        };
        let Some(pair) = service.candidates(packet.key) else {
            return FilterOutcome::drop(PacketDrop::NoEndpoint);
        };
        FilterOutcome::Verdict(PacketVerdict::Forward(PacketRoute {
            agent: pair.first,
            service: service.number & MAX_SERVICE_NUMBER,
            incarnation: 0,
            second: pair.second,
        }))
    }
}

/// Length of the burst that a service may open at once, as a part of its limit a second.
const FLOW_BURST: Duration = Duration::from_secs(1);

/// Token buckets for the new flows of each service.
///
/// A bucket is the time at which it is full again, which saves a counter and a timer (the generic cell rate
/// algorithm). Its unit is the first packet, because entries do not know which packets belong to one flow.
#[derive(Debug)]
struct FlowLimiter {
    threads: u32,
    full_at: HashMap<ServiceNumber, Instant>,
}

impl FlowLimiter {
    fn new(threads: u16) -> Self {
        Self {
            threads: u32::from(threads.max(1)),
            full_at: HashMap::new(),
        }
    }

    /// Takes one token of `service`, if one is left.
    fn admit(&mut self, service: &ServiceRoute, table: &RouteTable, now: Instant) -> bool {
        if service.new_flows_per_s == 0 {
            return false;
        }
        let interval = FLOW_BURST * self.threads / service.new_flows_per_s;
        let full = match self.full_at.get(&service.number) {
            Some(&full) => full.max(now),
            None => {
                self.forget_removed(table);
                now
            }
        };
        let next = full + interval;
        // A service always gets one token, even where its limit is below one a second for each thread.
        if next > now + FLOW_BURST.max(interval) {
            return false;
        }
        self.full_at.insert(service.number, next);
        true
    }

    /// Keeps the buckets of services that left the catalogue from piling up.
    fn forget_removed(&mut self, table: &RouteTable) {
        if self.full_at.len() < table.services.len() {
            return;
        }
        let present = |number: &ServiceNumber| table.services.iter().any(|s| s.number == *number);
        self.full_at.retain(|number, _| present(number));
    }
}
