//! Threads that forward callers' packets to agents.

use super::counters::{DirectionCounters, TrafficDrop};
use super::socket::{CallerSocket, PacketArrival};
use super::{is_idle, ERROR_PAUSE};
use crate::shared::SharedState;
use quetzalhill_core::packet::{
    FlowStage, PacketContext, PacketController, PacketRoute, PacketVerdict,
};
use quetzalhill_wire::key::{KeyRing, TAG_BYTES};
use quetzalhill_wire::packet::{
    DropReason, PacketDirection, PacketHeader, DATAGRAM_MAX, HEADER_MAX,
};
use quetzalhill_wire::quic::parse_packet;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;

/// Largest payload in bytes that fits into a datagram to an agent together with header and tag.
const PAYLOAD_MAX: usize = DATAGRAM_MAX - HEADER_MAX - TAG_BYTES;

/// Bytes that one receive call may return; the kernel may join datagrams up to the size of the largest UDP datagram.
const RECEIVE_MAX: usize = 1 << 16;

/// Bytes of the buffer: room for the header in front of the payload and for the tag behind it.
const BUFFER_BYTES: usize = HEADER_MAX + RECEIVE_MAX + TAG_BYTES;

/// State of one thread that receives from callers.
pub(super) struct CallerThread {
    sockets: Arc<[CallerSocket]>,
    index: usize,
    data: Arc<UdpSocket>,
    state: Arc<SharedState>,
    chain: PacketController,
    /// Arrival time of the last packet that may open a flow; later packets of open flows reuse it.
    opening_time: Instant,
}

impl CallerThread {
    /// Creates one of `threads` threads for the socket at `index`.
    pub(super) fn new(
        sockets: Arc<[CallerSocket]>,
        index: usize,
        data: Arc<UdpSocket>,
        state: Arc<SharedState>,
        threads: u16,
    ) -> Self {
        Self {
            sockets,
            index,
            data,
            state,
            chain: PacketController::new(threads),
            opening_time: Instant::now(),
        }
    }

    /// Forwards packets until [`SharedState::stop`] is set.
    pub(super) fn run(mut self) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let state = Arc::clone(&self.state);
        let counters = &state.counters.to_agent;
        while !state.stop.load(Ordering::Acquire) {
            let payload = &mut buffer[HEADER_MAX..HEADER_MAX + RECEIVE_MAX];
            match self.sockets[self.index].receive(payload) {
                Ok(arrival) => self.forward_all(&mut buffer, &arrival, counters),
                Err(error) if is_idle(&error) => continue,
                Err(_) => {
                    counters.record_drop(TrafficDrop::Receive);
                    sleep(ERROR_PAUSE);
                }
            }
        }
    }

    /// Forwards each datagram of one receive call.
    fn forward_all(
        &mut self,
        buffer: &mut [u8],
        arrival: &PacketArrival,
        counters: &DirectionCounters,
    ) {
        let stride = arrival.stride.max(1);
        // An empty datagram goes through the chain too, so that it is counted.
        for start in (0..arrival.length.max(1)).step_by(stride) {
            let length = stride.min(arrival.length - start);
            // The header overwrites bytes of datagrams that are already sent. The tag overwrites the start of the next
            // datagram, which is therefore saved here and restored below.
            let end = start + HEADER_MAX + length;
            let mut next = [0; TAG_BYTES];
            next.copy_from_slice(&buffer[end..end + TAG_BYTES]);
            let window = &mut buffer[start..end + TAG_BYTES];
            match self.forward(window, length, arrival) {
                Ok(()) => counters.record_forward(length),
                Err(reason) => counters.record_drop(reason),
            }
            buffer[end..end + TAG_BYTES].copy_from_slice(&next);
        }
    }

    /// Forwards the datagram at `window[HEADER_MAX..HEADER_MAX + length]`.
    fn forward(
        &mut self,
        window: &mut [u8],
        length: usize,
        arrival: &PacketArrival,
    ) -> Result<(), TrafficDrop> {
        if length > PAYLOAD_MAX {
            return Err(TrafficDrop::Datagram(DropReason::Long));
        }
        let ring = self.state.ring.load();
        let payload = &window[HEADER_MAX..HEADER_MAX + length];
        let route = self.decide(&ring, payload, arrival)?;
        let header = build_header(&route, arrival);
        let range = header
            .seal(&ring, window, length)
            .map_err(TrafficDrop::Datagram)?;
        self.send(&window[range], route.agent)
    }

    fn decide(
        &mut self,
        ring: &KeyRing,
        payload: &[u8],
        arrival: &PacketArrival,
    ) -> Result<PacketRoute, TrafficDrop> {
        let parsed = parse_packet(ring, payload);
        // Only the limit on new flows uses the time, and reading the clock takes about as long as the chain.
        if parsed.is_some_and(|packet| packet.stage == FlowStage::Opening) {
            self.opening_time = Instant::now();
        }
        let context = PacketContext {
            parsed,
            service_address: arrival.service_address,
            now: self.opening_time,
        };
        match self.chain.decide(&context, &self.state.routes.load()) {
            PacketVerdict::Forward(route) => Ok(route),
            PacketVerdict::Drop(reason) => Err(TrafficDrop::Packet(reason)),
        }
    }

    fn send(&self, datagram: &[u8], agent: SocketAddrV4) -> Result<(), TrafficDrop> {
        match self.data.send_to(datagram, agent) {
            Ok(_) => Ok(()),
            Err(_) => Err(TrafficDrop::Send),
        }
    }
}

fn build_header(route: &PacketRoute, arrival: &PacketArrival) -> PacketHeader {
    PacketHeader {
        direction: PacketDirection::ToAgent,
        caller: arrival.caller,
        service_address: arrival.service_address,
        service: route.service,
        incarnation: route.incarnation,
        second: route.second,
        hops: 0,
    }
}
