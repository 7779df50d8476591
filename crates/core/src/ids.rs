//! Identifiers shared by all packages.
//!
//! They are type aliases rather than newtypes, because they are encoded on the wire and used as hash table keys in
//! every package and have no behaviour of their own.

use std::net::{Ipv4Addr, SocketAddrV4};
use xxhash_rust::xxh3::xxh3_64;

/// Number of a service, assigned when the service is added to the catalogue and never reused for another name.
///
/// Only the low 24 bits are used, because a connection ID has room for three bytes (docs/design.md, section 2).
pub type ServiceNumber = u32;

/// Largest service number that fits a connection ID.
pub const MAX_SERVICE_NUMBER: ServiceNumber = 0xff_ffff;

/// Name of a service in the catalogue.
pub type ServiceName = String;

/// Hash of a service name, which packets carry instead of the name.
pub type ServiceDigest = u64;

/// Name of the party that is responsible for a service, as given in the catalogue.
pub type OwnerName = String;

/// Name under which an upstream announces itself to its agent.
pub type UpstreamName = String;

/// Name of an availability zone, set by the operator in the settings of each instance.
pub type ZoneName = String;

/// Identity of an endpoint: the IPv4 address and port on which its agent receives packets.
pub type EndpointId = u64;

/// Identity of an entry instance: the IPv4 address and port of its control socket.
pub type EntryId = u64;

/// Distinguishes successive runs of a process at one address; a restarted process uses a higher number.
pub type IncarnationNumber = u64;

/// Revision of the catalogue; rises by one with each accepted change, or by more when a store that fell behind the
/// fleet is restored.
pub type RevisionNumber = u64;

/// Digest of a catalogue or of a set of records.
pub type DigestValue = u64;

/// Identity of a lease in the platform's store.
pub type LeaseId = i64;

/// Revision of the store, which rises with each write to any key. The catalogue counts its own revisions.
pub type StoreRevision = i64;

/// Number that the store raises each time that it is restored from an older copy; 0 if it is not known.
pub type StoreEra = u64;

/// Identity of one request, unique across all agents and kept when the request is handed over to another agent.
pub type RequestId = u128;

/// Returns the XXH3 hash of a service name.
pub fn service_digest(service: &str) -> ServiceDigest {
    xxh3_64(service.as_bytes())
}

/// Returns the identity of the process that receives on `address`: 32 bits of IP address, then 16 bits of port.
pub fn id_of(address: SocketAddrV4) -> u64 {
    (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port())
}

/// Returns the address that [`id_of`] packed into `id`.
pub fn address_of(id: u64) -> SocketAddrV4 {
    // CAST: The shift leaves 48 bits, of which the low 32 hold the IP address and the mask keeps them.
    let ip = Ipv4Addr::from(((id >> 16) & 0xffff_ffff) as u32);
    // CAST: The mask leaves 16 bits.
    SocketAddrV4::new(ip, (id & 0xffff) as u16)
}

/// Returns the low 24 bits of an incarnation, the part that connection IDs and packet headers carry.
pub fn incarnation_bits(incarnation: IncarnationNumber) -> u32 {
    // CAST: The mask leaves 24 bits.
    (incarnation & 0xff_ffff) as u32
}
