//! Sockets for callers, which take the service address from the settings or from each packet's destination address.

use super::{expect_v4, local_address, READ_TIMEOUT};
use quinn_udp::{RecvMeta, Transmit, UdpSocketState};
use std::io::{self, IoSliceMut};
use std::net::{IpAddr, SocketAddr, SocketAddrV4, UdpSocket};

/// Where the service address of a packet comes from.
#[derive(Debug)]
enum AddressSource {
    /// The settings, or the address to which the socket is bound.
    Fixed(SocketAddrV4),
    /// The destination address of the packet, on a socket bound to all addresses of the instance.
    Packet(UdpSocketState),
}

/// A socket on which callers' packets arrive.
#[derive(Debug)]
pub(super) struct CallerSocket {
    socket: UdpSocket,
    local: SocketAddrV4,
    source: AddressSource,
}

/// Addresses and lengths of the datagrams of one receive call.
#[derive(Clone, Copy, Debug)]
pub(super) struct PacketArrival {
    /// Address of the caller.
    pub(super) caller: SocketAddrV4,
    /// Address in the catalogue to which the caller sent the packet.
    pub(super) service_address: SocketAddrV4,
    /// Bytes received in all datagrams.
    pub(super) length: usize,
    /// Bytes of each datagram but the last, if the kernel joined several datagrams of one caller.
    pub(super) stride: usize,
}

impl CallerSocket {
    /// Wraps a bound socket that serves `address`, or without it the address to which it is bound.
    ///
    /// # Errors
    ///
    /// The socket does not report its address or the destination addresses of packets.
    pub(super) fn new(socket: UdpSocket, address: Option<SocketAddrV4>) -> io::Result<Self> {
        let local = local_address(&socket)?;
        let source = match (address, local.ip().is_unspecified()) {
            (Some(address), _) => AddressSource::Fixed(address),
            (None, false) => AddressSource::Fixed(local),
            (None, true) => AddressSource::Packet(packet_state(&socket)?),
        };
        Ok(Self {
            socket,
            local,
            source,
        })
    }

    /// Returns the address to which the socket is bound.
    pub(super) fn local(&self) -> SocketAddrV4 {
        self.local
    }

    /// Returns whether callers reach the service at `address` through this socket.
    pub(super) fn serves(&self, address: SocketAddrV4) -> bool {
        match &self.source {
            AddressSource::Fixed(fixed) => *fixed == address,
            AddressSource::Packet(_) => self.local.port() == address.port(),
        }
    }

    /// Waits for a packet, at most for [`READ_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Returns the error of the receive call, which includes the timeout.
    pub(super) fn receive(&self, buffer: &mut [u8]) -> io::Result<PacketArrival> {
        match &self.source {
            AddressSource::Fixed(address) => self.receive_fixed(*address, buffer),
            AddressSource::Packet(state) => self.receive_with_destination(state, buffer),
        }
    }

    fn receive_fixed(&self, address: SocketAddrV4, buffer: &mut [u8]) -> io::Result<PacketArrival> {
        let (length, caller) = self.socket.recv_from(buffer)?;
        Ok(PacketArrival {
            caller: expect_v4(caller)?,
            service_address: address,
            length,
            stride: length,
        })
    }

    fn receive_with_destination(
        &self,
        state: &UdpSocketState,
        buffer: &mut [u8],
    ) -> io::Result<PacketArrival> {
        let mut meta = [RecvMeta::default()];
        // A receive call on a blocking socket waits until all buffers are filled, so only one buffer is passed.
        let mut buffers = [IoSliceMut::new(buffer)];
        state.recv((&self.socket).into(), &mut buffers, &mut meta)?;
        let [meta] = meta;
        let Some(IpAddr::V4(ip)) = meta.dst_ip else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        Ok(PacketArrival {
            caller: expect_v4(meta.addr)?,
            service_address: SocketAddrV4::new(ip, self.local.port()),
            length: meta.len,
            stride: meta.stride,
        })
    }

    /// Sends a packet to a caller, from the service address that the caller uses.
    ///
    /// # Errors
    ///
    /// Returns the error of the send call.
    pub(super) fn send(
        &self,
        payload: &[u8],
        caller: SocketAddrV4,
        service_address: SocketAddrV4,
    ) -> io::Result<()> {
        match &self.source {
            AddressSource::Fixed(_) => self.socket.send_to(payload, caller).map(|_| ()),
            AddressSource::Packet(state) => {
                let transmit = Transmit {
                    destination: SocketAddr::V4(caller),
                    ecn: None,
                    contents: payload,
                    segment_size: None,
                    src_ip: Some(IpAddr::V4(*service_address.ip())),
                };
                state.try_send((&self.socket).into(), &transmit)
            }
        }
    }
}

/// Makes the kernel report the destination addresses of packets, and makes the socket blocking again.
fn packet_state(socket: &UdpSocket) -> io::Result<UdpSocketState> {
    let state = UdpSocketState::new(socket.into())?;
    socket.set_nonblocking(false)?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(state)
}
