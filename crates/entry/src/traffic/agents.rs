//! Threads that return agents' packets to callers.

use super::counters::TrafficDrop;
use super::socket::CallerSocket;
use super::{is_idle, ERROR_PAUSE};
use crate::shared::SharedState;
use quetzalhill_core::ids::MAX_SERVICE_NUMBER;
use quetzalhill_wire::packet::{PacketDirection, PacketHeader, DATAGRAM_MAX};
use std::net::UdpSocket;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;

/// State of one thread that receives from agents.
pub(super) struct AgentThread {
    sockets: Arc<[CallerSocket]>,
    data: Arc<UdpSocket>,
    state: Arc<SharedState>,
}

impl AgentThread {
    /// Creates a thread for the data socket.
    pub(super) fn new(
        sockets: Arc<[CallerSocket]>,
        data: Arc<UdpSocket>,
        state: Arc<SharedState>,
    ) -> Self {
        Self {
            sockets,
            data,
            state,
        }
    }

    /// Returns packets to callers until [`SharedState::stop`] is set.
    pub(super) fn run(self) {
        // With the extra byte, a datagram that is too long is recognized instead of being cut to a valid length.
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        let counters = &self.state.counters.to_caller;
        while !self.state.stop.load(Ordering::Acquire) {
            let length = match self.data.recv_from(&mut buffer) {
                Ok((length, _)) => length,
                Err(error) if is_idle(&error) => continue,
                Err(_) => {
                    counters.record_drop(TrafficDrop::Receive);
                    sleep(ERROR_PAUSE);
                    continue;
                }
            };
            match self.deliver(&buffer[..length]) {
                Ok(bytes) => counters.record_forward(bytes),
                Err(reason) => counters.record_drop(reason),
            }
        }
    }

    /// Sends the payload of one datagram to its caller and returns the payload's length.
    fn deliver(&self, datagram: &[u8]) -> Result<usize, TrafficDrop> {
        let ring = self.state.ring.load();
        let (header, range) = PacketHeader::open(&ring, datagram).map_err(TrafficDrop::Datagram)?;
        if header.direction != PacketDirection::ToCaller {
            return Err(TrafficDrop::Direction);
        }
        if self.has_other_service(&header) {
            return Err(TrafficDrop::Service);
        }
        let address = header.service_address;
        let socket = self.sockets.iter().find(|socket| socket.serves(address));
        let socket = socket.ok_or(TrafficDrop::Listener)?;
        let payload = &datagram[range];
        match socket.send(payload, header.caller, address) {
            Ok(()) => Ok(payload.len()),
            Err(_) => Err(TrafficDrop::Send),
        }
    }

    /// Returns whether the service address belongs to another service than the agent's.
    ///
    /// An address that is not in the route table is accepted, so that flows survive on an entry that has just started.
    fn has_other_service(&self, header: &PacketHeader) -> bool {
        let table = self.state.routes.load();
        let service = table.service_at(header.service_address);
        service.is_some_and(|service| service.number & MAX_SERVICE_NUMBER != header.service)
    }
}
