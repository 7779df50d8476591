//! Counters of the traffic threads, read by the control thread for metrics.

use quetzalhill_core::packet::PacketDrop;
use quetzalhill_wire::packet::{DropReason, PacketDirection};
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a traffic thread dropped a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TrafficDrop {
    /// The packet filter chain dropped it.
    Packet(PacketDrop),
    /// It is too long, or not a valid datagram from an agent.
    Datagram(DropReason),
    /// A datagram addressed to an agent arrived on the data socket, which accepts only datagrams to callers.
    Direction,
    /// Its service address belongs to another service than that of the agent that sent it.
    Service,
    /// No socket for callers serves its service address.
    Listener,
    /// A receive call failed.
    Receive,
    /// The send call failed.
    Send,
}

const DATAGRAM_REASONS: [DropReason; 7] = [
    DropReason::Short,
    DropReason::Long,
    DropReason::Version,
    DropReason::Kind,
    DropReason::Key,
    DropReason::Tag,
    DropReason::Body,
];

const OTHER_REASONS: [TrafficDrop; 5] = [
    TrafficDrop::Direction,
    TrafficDrop::Service,
    TrafficDrop::Listener,
    TrafficDrop::Receive,
    TrafficDrop::Send,
];

const DATAGRAM_START: usize = PacketDrop::ALL.len();
const OTHER_START: usize = DATAGRAM_START + DATAGRAM_REASONS.len();
const REASON_COUNT: usize = OTHER_START + OTHER_REASONS.len();

impl TrafficDrop {
    /// Returns all reasons, in the order of [`TrafficDrop::index`].
    pub fn all() -> impl Iterator<Item = TrafficDrop> {
        let packet = PacketDrop::ALL.into_iter().map(TrafficDrop::Packet);
        let datagram = DATAGRAM_REASONS.into_iter().map(TrafficDrop::Datagram);
        packet.chain(datagram).chain(OTHER_REASONS)
    }

    /// Returns the position of the reason in [`TrafficDrop::all`].
    pub fn index(self) -> usize {
        match self {
            TrafficDrop::Packet(reason) => reason.index(),
            TrafficDrop::Datagram(DropReason::Short) => DATAGRAM_START,
            TrafficDrop::Datagram(DropReason::Long) => DATAGRAM_START + 1,
            TrafficDrop::Datagram(DropReason::Version) => DATAGRAM_START + 2,
            TrafficDrop::Datagram(DropReason::Kind) => DATAGRAM_START + 3,
            TrafficDrop::Datagram(DropReason::Key) => DATAGRAM_START + 4,
            TrafficDrop::Datagram(DropReason::Tag) => DATAGRAM_START + 5,
            TrafficDrop::Datagram(DropReason::Body) => DATAGRAM_START + 6,
            TrafficDrop::Direction => OTHER_START,
            TrafficDrop::Service => OTHER_START + 1,
            TrafficDrop::Listener => OTHER_START + 2,
            TrafficDrop::Receive => OTHER_START + 3,
            TrafficDrop::Send => OTHER_START + 4,
        }
    }

    /// Returns the value of the metric label `reason`.
    pub fn name(self) -> &'static str {
        match self {
            TrafficDrop::Packet(reason) => reason.name(),
            TrafficDrop::Datagram(DropReason::Short) => "datagram-short",
            TrafficDrop::Datagram(DropReason::Long) => "datagram-long",
            TrafficDrop::Datagram(DropReason::Version) => "datagram-version",
            TrafficDrop::Datagram(DropReason::Kind) => "datagram-kind",
            TrafficDrop::Datagram(DropReason::Key) => "datagram-key",
            TrafficDrop::Datagram(DropReason::Tag) => "datagram-tag",
            TrafficDrop::Datagram(DropReason::Body) => "datagram-body",
            TrafficDrop::Direction => "direction",
            TrafficDrop::Service => "agent-service",
            TrafficDrop::Listener => "listener",
            TrafficDrop::Receive => "receive",
            TrafficDrop::Send => "send",
        }
    }
}

/// Packet counters of one direction.
///
/// Each direction has its own cache lines, because different threads write them.
#[derive(Debug, Default)]
#[repr(align(128))]
pub struct DirectionCounters {
    packets: AtomicU64,
    bytes: AtomicU64,
    drops: [AtomicU64; REASON_COUNT],
}

impl DirectionCounters {
    /// Counts a forwarded packet with a payload of `bytes`.
    pub(super) fn record_forward(&self, bytes: usize) {
        self.packets.fetch_add(1, Ordering::Relaxed);
        // CAST: Datagram lengths fit into 64 bits on every supported target.
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a dropped packet.
    pub(super) fn record_drop(&self, reason: TrafficDrop) {
        self.drops[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of forwarded packets.
    pub fn packets(&self) -> u64 {
        self.packets.load(Ordering::Relaxed)
    }

    /// Returns the bytes of the forwarded payloads.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of packets dropped for one reason.
    pub fn drops(&self, reason: TrafficDrop) -> u64 {
        self.drops[reason.index()].load(Ordering::Relaxed)
    }

    /// Returns the number of packets dropped for any reason.
    pub fn all_drops(&self) -> u64 {
        TrafficDrop::all().map(|reason| self.drops(reason)).sum()
    }
}

/// Counters of both directions, summed over all traffic threads.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Packets from callers.
    pub to_agent: DirectionCounters,
    /// Packets from agents.
    pub to_caller: DirectionCounters,
}

impl TrafficCounters {
    /// Returns the counters of one direction.
    pub fn for_direction(&self, direction: PacketDirection) -> &DirectionCounters {
        match direction {
            PacketDirection::ToAgent => &self.to_agent,
            PacketDirection::ToCaller => &self.to_caller,
        }
    }
}
