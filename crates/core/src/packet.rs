//! The packet filter chain of an entry.
//!
//! The chain works on decoded headers instead of bytes, so that a front end with another encoding can use it. It
//! keeps no state per flow: the only state is one timestamp per service, which limits its rate of new flows. See
//! docs/design.md, section 3.

use crate::ids::{ServiceNumber, MAX_SERVICE_NUMBER};
use crate::route::{FlowKey, RouteTable, ServiceRoute};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Stage of a flow, as the header form of its packet shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowStage {
    /// The packet has a QUIC long header and may be the first of its flow.
    Opening,
    /// The packet has a QUIC short header and belongs to a flow that an agent holds.
    Established,
}

/// The endpoint that is encoded in a connection ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EmbeddedRoute {
    /// Packet socket of the agent that issued the ID.
    pub agent: SocketAddrV4,
    /// Service of that agent.
    pub service: ServiceNumber,
    /// Low bits of the agent's incarnation.
    pub incarnation: u32,
}

/// Decoded header of one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParsedPacket<'a> {
    /// Stage of the flow.
    pub stage: FlowStage,
    /// Bytes that are equal in all first packets of the flow.
    pub key: FlowKey<'a>,
    /// Endpoint in the connection ID; `None` if the ID was not issued under a valid key.
    pub embedded: Option<EmbeddedRoute>,
}

/// Input of the chain for one packet.
#[derive(Clone, Copy, Debug)]
pub struct PacketContext<'a> {
    /// The decoded header; `None` if it could not be decoded.
    pub parsed: Option<ParsedPacket<'a>>,
    /// Address of the service that the caller uses.
    pub service_address: SocketAddrV4,
    /// When the packet arrived; used only for packets that may open a flow.
    pub now: Instant,
}

/// Destination of a forwarded packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketRoute {
    /// Packet socket of the agent that receives the packet.
    pub agent: SocketAddrV4,
    /// Service of the packet.
    pub service: ServiceNumber,
    /// Low bits of the agent's incarnation; 0 in the first packets of a flow.
    pub incarnation: u32,
    /// Endpoint to which the agent forwards a first packet if it accepts no new flows.
    pub second: Option<SocketAddrV4>,
}

/// Why the chain drops a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PacketDrop {
    /// The header could not be decoded.
    Malformed,
    /// No service of the catalogue uses the address.
    NoService,
    /// The connection ID of an established flow belongs to another service.
    WrongService,
    /// The connection ID of an established flow was not issued under a valid key.
    UnknownConnection,
    /// The service has opened more new flows than its limit allows.
    NewFlowLimit,
    /// No endpoint of the service accepts new flows.
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

    /// Returns the value of the metric label for this reason.
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

/// Result of the chain for one packet.
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

/// Result of one filter.
enum FilterOutcome {
    Continue,
    Verdict(PacketVerdict),
}

impl FilterOutcome {
    fn drop(reason: PacketDrop) -> Self {
        FilterOutcome::Verdict(PacketVerdict::Drop(reason))
    }
}

/// State of one packet in the chain; each filter stores its result for the filters after it.
struct ChainState<'a> {
    context: &'a PacketContext<'a>,
    table: &'a RouteTable,
    parsed: Option<ParsedPacket<'a>>,
    service: Option<&'a ServiceRoute>,
}

/// The packet filter chain and its state; each traffic thread owns one.
#[derive(Debug)]
pub struct PacketController {
    limiter: FlowLimiter,
}

impl PacketController {
    /// Creates the chain of one traffic thread; `threads` is the number of threads among which the limit of each
    /// service is divided equally.
    pub fn new(threads: u16) -> Self {
        Self {
            limiter: FlowLimiter::new(threads),
        }
    }

    /// Runs the filters on one packet until one of them returns a verdict.
    pub fn decide(&mut self, context: &PacketContext<'_>, table: &RouteTable) -> PacketVerdict {
        let mut state = ChainState {
            context,
            table,
            parsed: None,
            service: None,
        };
        for filter in PACKET_CHAIN {
            let outcome = match filter {
                PacketFilter::Parse => state.parse(),
                PacketFilter::Service => state.find_service(),
                PacketFilter::ConnectionId => state.check_connection_id(),
                PacketFilter::NewFlowLimit => state.check_limit(&mut self.limiter),
                PacketFilter::EndpointChoice => state.choose_endpoint(),
            };
            match outcome {
                FilterOutcome::Continue => continue,
                FilterOutcome::Verdict(verdict) => return verdict,
            }
        }
        // Not reached: the last filter always returns a verdict.
        PacketVerdict::Drop(PacketDrop::NoEndpoint)
    }
}

impl ChainState<'_> {
    fn parse(&mut self) -> FilterOutcome {
        self.parsed = self.context.parsed;
        match self.parsed {
            Some(_) => FilterOutcome::Continue,
            None => FilterOutcome::drop(PacketDrop::Malformed),
        }
    }

    fn find_service(&mut self) -> FilterOutcome {
        self.service = self.table.service_at(self.context.service_address);
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
            // The caller chooses the connection ID of its first packets, so it may look like one that an agent
            // issued.
            (_, FlowStage::Opening) => FilterOutcome::Continue,
            (Some(_), FlowStage::Established) => FilterOutcome::drop(PacketDrop::WrongService),
            (None, FlowStage::Established) => FilterOutcome::drop(PacketDrop::UnknownConnection),
        }
    }

    fn check_limit(&mut self, limiter: &mut FlowLimiter) -> FilterOutcome {
        let Some(service) = self.service else {
            return FilterOutcome::drop(PacketDrop::NoService);
        };
        match limiter.admit(service, self.table, self.context.now) {
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

/// Burst size of the token buckets, as the time in which the service's rate limit admits that many flows.
const FLOW_BURST: Duration = Duration::from_secs(1);

/// Token buckets for the new flows of each service.
///
/// A bucket is stored as the time at which it is full again, which saves a counter and a timer (generic cell rate
/// algorithm). One token admits one first packet, because entries do not know which packets belong to one flow.
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

    /// Takes one token from the bucket of `service`; returns `false` if the bucket is empty.
    fn admit(&mut self, service: &ServiceRoute, table: &RouteTable, now: Instant) -> bool {
        if service.new_flows_per_s == 0 {
            return false;
        }
        let interval = FLOW_BURST * self.threads / service.new_flows_per_s;
        let full_at = match self.full_at.get(&service.number) {
            Some(&full_at) => full_at.max(now),
            None => {
                self.remove_stale_buckets(table);
                now
            }
        };
        let next_full_at = full_at + interval;
        // The bucket holds at least one token, even if the limit is below one per second for each thread.
        if next_full_at > now + FLOW_BURST.max(interval) {
            return false;
        }
        self.full_at.insert(service.number, next_full_at);
        true
    }

    /// Removes the buckets of services that are no longer in the table, once there are as many buckets as services.
    fn remove_stale_buckets(&mut self, table: &RouteTable) {
        if self.full_at.len() < table.services.len() {
            return;
        }
        let present = |number: &ServiceNumber| table.services.iter().any(|s| s.number == *number);
        self.full_at.retain(|number, _| present(number));
    }
}
