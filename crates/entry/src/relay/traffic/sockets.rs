//! The sockets of an entry of the relay.

use crate::traffic::bind;
use anyhow::Result;
use quetzalhill_core::relay::open_flows::OpenFlow;
use quetzalhill_platform::packet;
use quetzalhill_wire::relay::RelayNotice;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;

/// The UDP sockets of an entry: one for callers, one for agents.
#[derive(Debug)]
pub(in crate::relay) struct RelaySockets {
    pub(super) callers: UdpSocket,
    pub(super) agents: UdpSocket,
    /// Address of `agents`.
    agents_address: SocketAddrV4,
    /// Port on which callers receive packets; the same as the port on which the entry receives theirs.
    pub(super) reply_port: u16,
}

impl RelaySockets {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// An address cannot be bound; the error names it.
    pub(in crate::relay) fn bind(packets: SocketAddrV4, agents: SocketAddrV4) -> Result<Arc<Self>> {
        Ok(Arc::new(Self {
            callers: bind(packets)?,
            agents: bind(agents)?,
            agents_address: agents,
            reply_port: packets.port(),
        }))
    }

    /// Sends a notice to an agent or another entry, and returns the size of the datagram in bytes. Notices are sent
    /// periodically, so a lost one is replaced by the next.
    pub(in crate::relay) fn send_notice(
        &self,
        notice: &RelayNotice,
        receiver: SocketAddrV4,
    ) -> usize {
        let Ok(datagram) = notice.encode() else {
            return 0;
        };
        // A send error is treated like a lost datagram.
        let _ = self.agents.send_to(&datagram, receiver);
        datagram.len()
    }

    /// Sends a barrier to the socket for agents, and returns the size of the datagram in bytes.
    pub(super) fn send_barrier(&self, barrier: &RelayNotice) -> usize {
        self.send_notice(barrier, self.agents_address)
    }

    /// Returns whether a datagram from this address was sent by this entry itself.
    pub(super) fn is_own(&self, sender: SocketAddrV4) -> bool {
        sender == self.agents_address
    }

    /// Resets a flow that has ended at its upstream, which the caller does not know yet.
    pub(in crate::relay) fn reset_flow(&self, open: &OpenFlow) {
        let reset = packet::encode_flow_reset(open.flow, open.acknowledged);
        let caller = SocketAddrV4::new(*open.flow.caller.ip(), self.reply_port);
        // If the reset is lost, the caller learns of the end with its next packet.
        let _ = self.callers.send_to(&reset, caller);
    }

    /// Makes the thread that receives from agents look for held packets that a new view releases, by an empty datagram.
    pub(in crate::relay) fn wake_agents_thread(&self) {
        // If the datagram is lost, the next one of an agent or the read timeout has the same effect.
        let _ = self.agents.send_to(&[], self.agents_address);
    }
}
