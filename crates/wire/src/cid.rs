//! QUIC connection IDs that encode the endpoint which holds the connection.
//!
//! An entry routes by the ID alone and needs neither state per flow nor information about the endpoint. The address,
//! service, incarnation and a nonce are encrypted as one block and authenticated with a tag, so that a caller can
//! neither read an ID nor forge one for another service. See docs/design.md, decision 2.

use crate::key::{KeyNumber, KeyRing};
use quetzalhill_core::ids::{incarnation_bits, IncarnationNumber, ServiceNumber};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of a connection ID in bytes, the maximum of QUIC version 1.
pub const CID_BYTES: usize = 20;

const BLOCK_START: usize = 1;
const BLOCK_END: usize = 17;
const TAG_BYTES: usize = CID_BYTES - BLOCK_END;

/// Plaintext of a connection ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CidContent {
    /// Packet socket of the agent that holds the connection.
    pub address: SocketAddrV4,
    /// Service of that agent.
    pub service: ServiceNumber,
    /// Low 24 bits of the agent's incarnation.
    pub incarnation: u32,
    /// Distinguishes the IDs that one agent issues in one incarnation.
    pub nonce: u32,
}

impl CidContent {
    /// Creates the content of an ID that the agent at `address` issues; only the low 24 bits of `service` and
    /// `incarnation` are kept.
    pub fn new(
        address: SocketAddrV4,
        service: ServiceNumber,
        incarnation: IncarnationNumber,
        nonce: u32,
    ) -> Self {
        Self {
            address,
            service: service & 0xff_ffff,
            incarnation: incarnation_bits(incarnation),
            nonce,
        }
    }

    /// Encrypts and authenticates the content with the current key of `ring`.
    pub fn seal(&self, ring: &KeyRing) -> [u8; CID_BYTES] {
        let key = ring.current();
        let mut block = [0_u8; 16];
        block[..4].copy_from_slice(&self.address.ip().octets());
        block[4..6].copy_from_slice(&self.address.port().to_be_bytes());
        block[6..9].copy_from_slice(&self.service.to_be_bytes()[1..]);
        block[9..12].copy_from_slice(&self.incarnation.to_be_bytes()[1..]);
        block[12..].copy_from_slice(&self.nonce.to_be_bytes());
        key.encrypt(&mut block);
        let tag = key.tag(&[&block]);
        let mut cid = [0_u8; CID_BYTES];
        cid[0] = key.number();
        cid[BLOCK_START..BLOCK_END].copy_from_slice(&block);
        cid[BLOCK_END..].copy_from_slice(&tag[..TAG_BYTES]);
        cid
    }

    /// Verifies and decrypts a connection ID; returns `None` if it was not sealed with a valid key.
    pub fn open(ring: &KeyRing, cid: &[u8]) -> Option<Self> {
        if cid.len() != CID_BYTES {
            return None;
        }
        let number: KeyNumber = cid[0];
        let key = ring.find(number)?;
        let mut block = [0_u8; 16];
        block.copy_from_slice(&cid[BLOCK_START..BLOCK_END]);
        if key.tag(&[&block])[..TAG_BYTES] != cid[BLOCK_END..] {
            return None;
        }
        key.decrypt(&mut block);
        let ip = Ipv4Addr::new(block[0], block[1], block[2], block[3]);
        let port = u16::from_be_bytes([block[4], block[5]]);
        Some(Self {
            address: SocketAddrV4::new(ip, port),
            service: u32::from_be_bytes([0, block[6], block[7], block[8]]),
            incarnation: u32::from_be_bytes([0, block[9], block[10], block[11]]),
            nonce: u32::from_be_bytes([block[12], block[13], block[14], block[15]]),
        })
    }
}
