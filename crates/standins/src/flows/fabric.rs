//! Stand-in for the fabric: sends the packets of callers to the entries that its probes found ready.

use super::BUFFER_BYTES;
use ntex::client::Client;
use ntex::time::{timeout, Millis};
use quetzalhill_core::relay::packet::FlowAddresses;
use quetzalhill_platform::standin::call;
use quetzalhill_store::codec::{CallMethod, HttpCall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time between two probes of an entry (set by the platform).
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an unanswered probe has failed.
const PROBE_TIMEOUT: Millis = Millis(400);

/// Consecutive failed probes after which an entry is out of rotation (set by the platform).
const FAILED_PROBES_MAX: u32 = 2;

/// Share of the callers' packets that the fabric drops.
const LOSS_RATE: f64 = 0.003;

/// Addresses of an entry that the fabric uses.
#[derive(Clone, Copy, Debug)]
pub struct FabricEntry {
    /// Address at which the entry receives packets.
    pub packet_address: SocketAddrV4,
    /// Address of the readiness probe.
    pub ready_address: SocketAddrV4,
}

#[derive(Debug)]
struct RotationEntry {
    entry: FabricEntry,
    failed_probes: u32,
}

/// Selects the entry of a packet by a hash of its flow over the entries in rotation, and probes the entries.
#[derive(Debug)]
pub struct FlowFabric {
    entries: RefCell<Vec<RotationEntry>>,
    socket: UdpSocket,
    rng: RefCell<SmallRng>,
}

impl FlowFabric {
    /// Creates a fabric whose entries count as ready until probes fail; `seed` determines which packets are lost.
    ///
    /// # Errors
    ///
    /// No socket can be opened.
    pub fn new(entries: &[FabricEntry], seed: u64) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let mut rotation = Vec::new();
        for entry in entries {
            rotation.push(RotationEntry {
                entry: *entry,
                failed_probes: 0,
            });
        }
        Ok(Rc::new(Self {
            entries: RefCell::new(rotation),
            socket,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }))
    }

    /// Sends a packet of a caller to the entry that the flow's hash selects among those in rotation now, and returns the
    /// index of that entry, or `None` if the packet is lost.
    pub fn send(&self, flow: FlowAddresses, packet: &[u8]) -> Option<usize> {
        debug_assert!(packet.len() < BUFFER_BYTES);
        if self.rng.borrow_mut().random_bool(LOSS_RATE) {
            return None;
        }
        let entries = self.entries.borrow();
        let mut ready: Vec<usize> = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            if entry.failed_probes < FAILED_PROBES_MAX {
                ready.push(index);
            }
        }
        // If fewer than half of the entries are in rotation, all are used.
        if ready.len() * 2 < entries.len() {
            ready = (0..entries.len()).collect();
        }
        let choice = xxh3_64(&flow.to_bytes()) % u64::try_from(ready.len()).unwrap_or(1);
        let index = ready[usize::try_from(choice).unwrap_or_default()];
        let address = entries[index].entry.packet_address;
        // A packet that cannot be sent is lost, as in a network.
        self.socket.send_to(packet, address).ok().map(|_| index)
    }

    fn record_probe(&self, index: usize, ready: bool) {
        let entry = &mut self.entries.borrow_mut()[index];
        entry.failed_probes = match ready {
            true => 0,
            false => entry.failed_probes.saturating_add(1),
        };
    }

    /// Probes the entry with this index until the future is dropped.
    pub async fn probe(self: Rc<Self>, index: usize, client: Client) {
        let address = self.entries.borrow()[index].entry.ready_address;
        loop {
            let status = send_call(&client, address, call::ready(), PROBE_TIMEOUT).await;
            self.record_probe(index, status == Some(200));
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Makes an HTTP call and returns the status of the answer, or `None` if there was none within `limit`.
pub(super) async fn send_call(
    client: &Client,
    address: SocketAddrV4,
    call: HttpCall,
    limit: Millis,
) -> Option<u16> {
    let url = format!("http://{address}{}", call.path);
    let request = match call.method {
        CallMethod::Get => client.get(url),
        CallMethod::Post => client.post(url),
        CallMethod::Delete => client.delete(url),
    };
    let request = request.address(address.into()).force_close();
    let response = request.send_body(call.body.unwrap_or_default());
    match timeout(limit, response).await {
        Ok(Ok(response)) => Some(response.status().as_u16()),
        _ => None,
    }
}
