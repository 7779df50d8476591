//! UDP socket through which QUIC exchanges packets with the entries.
//!
//! It removes the packet header from the datagrams of entries, filters the packets for QUIC, and adds the header to
//! the packets that QUIC sends. See docs/design.md, section 5.

use super::counters::{count, PacketCounters};
use super::paths::{HandshakeTable, ReturnTable};
use crate::shared::{AgentView, SharedState};
use quetzalhill_core::flow::{self, FlowAdmission, FlowContext, FlowOrigin, FlowVerdict};
use quetzalhill_core::ids::{id_of, incarnation_bits};
use quetzalhill_core::member::EndpointState;
use quetzalhill_core::packet::FlowStage;
use quetzalhill_wire::cid::{CidContent, CID_BYTES};
use quetzalhill_wire::key::{KeyRing, TAG_BYTES};
use quetzalhill_wire::packet::{PacketDirection, PacketHeader, DATAGRAM_MAX, HEADER_MAX};
use quetzalhill_wire::quic::InvariantHeader;
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, ConnectionId, UdpPoller};
use std::future::Future;
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::Range;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Instant;
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;

/// Most datagrams handled in one poll, so that other tasks are not starved.
const POLL_BUDGET: usize = 64;

/// Caller addresses stored for each open flow; more than one, because callers change their address during a flow.
const PATHS_PER_FLOW: usize = 4;

#[derive(Debug)]
struct SocketTables {
    paths: ReturnTable,
    handshakes: HandshakeTable,
    next_entry: usize,
    next_peer: usize,
}

/// Socket for QUIC that receives from and sends to callers through the entries.
#[derive(Debug)]
pub struct PacketSocket {
    io: UdpSocket,
    packet_address: SocketAddrV4,
    shared: Arc<SharedState>,
    counters: Arc<PacketCounters>,
    flows: Arc<AtomicU32>,
    flow_limit: u32,
    // The lock is never contended, because only the traffic thread uses the tables, but QUIC requires a `Sync` socket.
    tables: Mutex<SocketTables>,
}

enum PacketOutcome {
    Deliver(SocketAddrV4, Range<usize>),
    Consumed,
}

impl PacketSocket {
    /// Wraps a bound socket; `flows` counts the open flows, and at `flow_limit` no new flows are accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has no IPv4 address.
    pub fn new(
        io: UdpSocket,
        shared: Arc<SharedState>,
        counters: Arc<PacketCounters>,
        flows: Arc<AtomicU32>,
        flow_limit: u32,
    ) -> io::Result<Self> {
        let SocketAddr::V4(packet_address) = io.local_addr()? else {
            return Err(io::Error::other("the packet socket has no IPv4 address"));
        };
        let limit = usize::try_from(flow_limit).unwrap_or(usize::MAX);
        let tables = SocketTables {
            paths: ReturnTable::new(limit.saturating_mul(PATHS_PER_FLOW)),
            handshakes: HandshakeTable::default(),
            next_entry: 0,
            next_peer: 0,
        };
        Ok(Self {
            io,
            packet_address,
            shared,
            counters,
            flows,
            flow_limit,
            tables: Mutex::new(tables),
        })
    }

    /// Returns the address to which entries send the packets of this agent.
    pub fn packet_address(&self) -> SocketAddrV4 {
        self.packet_address
    }

    fn tables(&self) -> MutexGuard<'_, SocketTables> {
        // A panic cannot leave the tables inconsistent, so a poisoned lock is usable.
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn receive(&self, from: SocketAddrV4, buffer: &mut [u8], length: usize) -> PacketOutcome {
        let ring = self.shared.ring.load();
        let view = self.shared.view.load();
        let Ok((header, payload)) = PacketHeader::open(&ring, &buffer[..length]) else {
            count(&self.counters.bad_header);
            return PacketOutcome::Consumed;
        };
        let parsed = parse_destination(&buffer[payload.clone()]);
        if !self.matches(&ring, &view, &header, parsed) {
            count(&self.counters.mismatched);
            return PacketOutcome::Consumed;
        }
        let now = Instant::now();
        let mut tables = self.tables();
        let origin = self.origin(&ring, &header, parsed, &tables, now);
        let peer = next_peer(&view, &mut tables.next_peer, self.packet_address);
        let context = FlowContext {
            origin,
            admission: self.admission(&view),
            hops: header.hops,
            second: header.second,
            peer,
            local: self.packet_address,
        };
        match flow::decide(&context) {
            FlowVerdict::Drop => count(&self.counters.dropped),
            FlowVerdict::Forward(target) => {
                self.forward(&ring, header, buffer, payload, target);
            }
            FlowVerdict::Deliver => {
                if let (FlowOrigin::Unknown, Some((id, _))) = (origin, parsed) {
                    tables.handshakes.insert(header.caller, id, now);
                }
                tables
                    .paths
                    .learn(header.caller, from, header.service_address, now);
                count(&self.counters.delivered);
                return PacketOutcome::Deliver(header.caller, payload);
            }
        }
        PacketOutcome::Consumed
    }

    /// Returns whether the direction, service and incarnation of a packet match this agent.
    ///
    /// A packet for an earlier incarnation matches if that incarnation issued its connection ID, because QUIC responds
    /// to it with a stateless reset.
    fn matches(
        &self,
        ring: &KeyRing,
        view: &AgentView,
        header: &PacketHeader,
        parsed: Option<(ConnectionId, bool)>,
    ) -> bool {
        let Some(service) = &view.service else {
            return false;
        };
        if header.direction != PacketDirection::ToAgent || header.service != service.number {
            return false;
        }
        if header.incarnation == 0 || header.incarnation == incarnation_bits(view.incarnation) {
            return true;
        }
        let content = parsed.and_then(|(id, _)| CidContent::open(ring, &id));
        content.is_some_and(|content| {
            content.address == self.packet_address
                && content.service == header.service
                && content.incarnation == header.incarnation
        })
    }

    fn origin(
        &self,
        ring: &KeyRing,
        header: &PacketHeader,
        parsed: Option<(ConnectionId, bool)>,
        tables: &SocketTables,
        now: Instant,
    ) -> FlowOrigin {
        let Some((id, long)) = parsed else {
            return FlowOrigin::Invalid;
        };
        if let Some(content) = CidContent::open(ring, &id) {
            if content.address == self.packet_address && content.service == header.service {
                return FlowOrigin::Local;
            }
            return FlowOrigin::Foreign;
        }
        if !long {
            return FlowOrigin::Invalid;
        }
        if tables.handshakes.contains(header.caller, id, now) {
            return FlowOrigin::Handshake;
        }
        FlowOrigin::Unknown
    }

    fn admission(&self, view: &AgentView) -> FlowAdmission {
        match view.state {
            EndpointState::Draining | EndpointState::Left => return FlowAdmission::Draining,
            EndpointState::Starting | EndpointState::Ready => {}
        }
        if self.flows.load(Ordering::Relaxed) >= self.flow_limit {
            return FlowAdmission::Full;
        }
        FlowAdmission::Open
    }

    fn forward(
        &self,
        ring: &KeyRing,
        header: PacketHeader,
        buffer: &[u8],
        payload: Range<usize>,
        target: SocketAddrV4,
    ) {
        let next = PacketHeader {
            incarnation: 0,
            second: None,
            hops: header.hops + 1,
            ..header
        };
        // If the send buffer is full, the packet is lost and the caller retransmits it.
        match self.seal_and_send(ring, &next, &buffer[payload], target) {
            Ok(()) => count(&self.counters.forwarded),
            Err(_) => count(&self.counters.dropped),
        }
    }

    fn seal_and_send(
        &self,
        ring: &KeyRing,
        header: &PacketHeader,
        payload: &[u8],
        target: SocketAddrV4,
    ) -> io::Result<()> {
        let mut buffer = [0_u8; HEADER_MAX + DATAGRAM_MAX + TAG_BYTES];
        let end = HEADER_MAX + payload.len();
        if payload.len() > DATAGRAM_MAX {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        buffer[HEADER_MAX..end].copy_from_slice(payload);
        let range = header
            .seal(ring, &mut buffer, payload.len())
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
        self.io.try_send_to(&buffer[range], target.into())?;
        Ok(())
    }
}

/// Returns the data address of a live entry, in round-robin order.
fn next_entry(view: &AgentView, next: &mut usize) -> Option<SocketAddrV4> {
    *next = next.wrapping_add(1);
    let index = next.checked_rem(view.entries.len())?;
    view.entries.get(index).map(|entry| entry.data)
}

fn next_peer(
    view: &AgentView,
    next: &mut usize,
    packet_address: SocketAddrV4,
) -> Option<SocketAddrV4> {
    *next = next.wrapping_add(1);
    let start = next.checked_rem(view.peers.len())?;
    let (before, after) = view.peers.split_at(start);
    after
        .iter()
        .chain(before)
        .find(|peer| peer.id != id_of(packet_address) && peer.state == EndpointState::Ready)
        .map(|peer| peer.address())
}

/// Returns the destination connection ID of a QUIC packet and whether its header is long.
fn parse_destination(packet: &[u8]) -> Option<(ConnectionId, bool)> {
    let header = InvariantHeader::parse(packet)?;
    // Other versions of QUIC may use longer IDs; this agent supports only version 1.
    if header.destination.len() > CID_BYTES {
        return None;
    }
    let long = header.stage == FlowStage::Opening;
    Some((ConnectionId::new(header.destination), long))
}

impl AsyncUdpSocket for PacketSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller {
            socket: self,
            waiting: None,
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return Ok(());
        };
        let view = self.shared.view.load();
        let mut tables = self.tables();
        let Some(path) = tables.paths.find(caller) else {
            count(&self.counters.no_return);
            return Ok(());
        };
        let alive = view.entries.iter().any(|entry| entry.data == path.entry);
        let target = match alive {
            true => path.entry,
            // Without a live entry in the view, only the entry that forwarded the caller's last packet can be used.
            false => next_entry(&view, &mut tables.next_entry).unwrap_or(path.entry),
        };
        drop(tables);
        let header = PacketHeader {
            direction: PacketDirection::ToCaller,
            caller,
            service_address: path.service_address,
            service: view.service.as_ref().map_or(0, |service| service.number),
            incarnation: incarnation_bits(view.incarnation),
            second: None,
            hops: 0,
        };
        let ring = self.shared.ring.load();
        let sent = self.seal_and_send(&ring, &header, transmit.contents, target);
        match sent {
            Ok(()) => count(&self.counters.sent),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(error),
            // An error, such as from an entry that has just stopped, must not end the QUIC endpoint, which retransmits
            // lost packets.
            Err(_) => count(&self.counters.no_return),
        }
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut filled = 0;
        let limit = bufs.len().min(meta.len());
        for _ in 0..POLL_BUDGET {
            if filled == limit {
                break;
            }
            let mut buffer = [0_u8; DATAGRAM_MAX + 1];
            let mut read = ReadBuf::new(&mut buffer);
            let from = match self.io.poll_recv_from(cx, &mut read) {
                Poll::Pending if filled == 0 => return Poll::Pending,
                Poll::Pending => break,
                Poll::Ready(Ok(SocketAddr::V4(from))) => from,
                // An ICMP error belongs to an earlier send; the next datagram may still be received.
                Poll::Ready(_) => continue,
            };
            let length = read.filled().len();
            let PacketOutcome::Deliver(caller, payload) = self.receive(from, &mut buffer, length)
            else {
                continue;
            };
            let size = payload.len();
            if size > bufs[filled].len() {
                count(&self.counters.dropped);
                continue;
            }
            bufs[filled][..size].copy_from_slice(&buffer[payload]);
            meta[filled] = RecvMeta {
                addr: caller.into(),
                len: size,
                stride: size,
                ecn: None,
                dst_ip: None,
            };
            filled += 1;
        }
        if filled == 0 {
            // The budget is used up without a packet for QUIC, so the task wakes itself to be polled again.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Ok(filled))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.packet_address.into())
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

type WriteFuture = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Waits until the socket is writable; each connection has its own poller, because each has its own waker.
struct WritePoller {
    socket: Arc<PacketSocket>,
    waiting: Option<WriteFuture>,
}

impl std::fmt::Debug for WritePoller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WritePoller").finish_non_exhaustive()
    }
}

impl UdpPoller for WritePoller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let socket = &this.socket;
        let waiting = this.waiting.get_or_insert_with(|| {
            let socket = socket.clone();
            Box::pin(async move { socket.io.writable().await })
        });
        let result = ready!(waiting.as_mut().poll(cx));
        this.waiting = None;
        Poll::Ready(result)
    }
}
