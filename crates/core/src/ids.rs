//! Identifiers shared by all packages.
//!
//! They are aliases rather than wrapper types, because they cross process boundaries and hash tables in every
//! part and carry no behaviour of their own.

use std::net::{Ipv4Addr, SocketAddrV4};
use xxhash_rust::xxh3::xxh3_64;

/// Number of a service, assigned when the catalogue first names it and never reused for another name.
///
/// Only the low 24 bits are used, because a connection ID has room for three bytes (docs/design.md, section 2).
pub type ServiceNumber = u32;

/// Largest service number that fits a connection ID.
pub const MAX_SERVICE_NUMBER: ServiceNumber = 0xff_ffff;

/// Name of a service in the catalogue.
pub type ServiceName = String;

/// Digest of the name of a service, which stands for the name in packets.
pub type ServiceDigest = u64;

/// Name of the owner of a service in the catalogue.
pub type OwnerName = String;

/// Name that an upstream gives itself when it announces itself.
pub type UpstreamName = String;

/// Name of an availability zone, as the settings of an instance give it.
pub type ZoneName = String;

/// Identity of an endpoint: the IPv4 address and port on which its agent receives packets.
pub type EndpointId = u64;

/// Identity of an entry instance: the IPv4 address and port of its control socket.
pub type EntryId = u64;

/// Counts the lives of a process at one address; a restarted process uses a higher one.
pub type IncarnationNumber = u64;

/// Revision of the catalogue; rises by one with each accepted change.
pub type RevisionNumber = u64;

/// Digest of a catalogue or of a set of records.
pub type DigestValue = u64;

/// Identity of a lease in the platform's store.
pub type LeaseId = i64;

/// Identity of one request, unique over all agents and kept when the request is handed over.
pub type RequestId = u128;

/// Returns the digest of the name of a service.
pub fn service_digest(service: &str) -> ServiceDigest {
    xxh3_64(service.as_bytes())
}

/// Returns the identity of the process that receives on `address`.
pub fn id_of(address: SocketAddrV4) -> u64 {
    (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port())
}

/// Returns the address from which [`id_of`] made `id`.
pub fn address_of(id: u64) -> SocketAddrV4 {
    // CAST: The shift leaves 48 bits, of which the low 32 hold the IP address and the mask keeps them.
    let ip = Ipv4Addr::from(((id >> 16) & 0xffff_ffff) as u32);
    // CAST: The mask leaves 16 bits.
    SocketAddrV4::new(ip, (id & 0xffff) as u16)
}

/// Returns the part of an incarnation that connection IDs and packet headers carry.
pub fn incarnation_bits(incarnation: IncarnationNumber) -> u32 {
    // CAST: The mask leaves 24 bits.
    (incarnation & 0xff_ffff) as u32
}
