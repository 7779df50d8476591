//! Sockets that share a port number.

use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket};

/// Ports that are tried if the system chooses the port. Another process may hold the TCP port of a UDP port that the
/// system has found free.
const ATTEMPTS: u32 = 16;

/// A UDP and a TCP socket at the same address.
#[derive(Debug)]
pub struct SocketPair {
    /// The UDP socket.
    pub datagrams: UdpSocket,
    /// The TCP listener.
    pub connections: TcpListener,
    /// Address of both.
    pub address: SocketAddrV4,
}

impl SocketPair {
    /// Binds both sockets to `address`, or to a port that is free for both if its port is 0.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or no free port was found in several attempts.
    pub fn bind(address: SocketAddrV4) -> Result<Self> {
        let mut attempts = 1;
        loop {
            match Self::bind_once(address) {
                Err(error)
                    if error.kind() == ErrorKind::AddrInUse
                        && address.port() == 0
                        && attempts < ATTEMPTS =>
                {
                    attempts += 1;
                }
                outcome => return outcome,
            }
        }
    }

    fn bind_once(address: SocketAddrV4) -> Result<Self> {
        let datagrams = UdpSocket::bind(address)?;
        let SocketAddr::V4(address) = datagrams.local_addr()? else {
            return Err(Error::other("an IPv4 address was bound as IPv6"));
        };
        Ok(Self {
            datagrams,
            connections: TcpListener::bind(address)?,
            address,
        })
    }
}
