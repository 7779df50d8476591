//! Injects faults: random bytes to sockets, and corrupted values in the store.

use super::testbed::ScenarioTestbed;
use anyhow::{Context, Result};
use quetzalhill_store::catalogue::{shard_key, shard_of, HEAD_KEY};
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};
use serde_json::Value;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket};
use std::time::Duration;

/// Timeout of connecting to a socket and of writing the garbage.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most connections with garbage to each socket; fewer than datagrams, because a connection costs more.
const CONNECTIONS_MAX: u32 = 20;

/// Original values of the keys that `corrupt` has overwritten, in the order of the writes.
#[derive(Debug, Default)]
pub struct CorruptedValues(Vec<(String, Vec<u8>)>);

impl CorruptedValues {
    /// Overwrites the head of the catalogue, or the shard of the service `what` together with a head of a higher
    /// revision, so that nodes read the shard again.
    ///
    /// # Errors
    ///
    /// The store has no catalogue, or its head is corrupted already.
    pub fn corrupt(&mut self, testbed: &ScenarioTestbed, what: &str, value: &str) -> Result<()> {
        let head = testbed
            .store
            .value(HEAD_KEY)
            .context("the store has no catalogue head")?;
        if what == "head" {
            self.put(testbed, HEAD_KEY, value.as_bytes());
            return Ok(());
        }
        let mut new_head: Value = serde_json::from_slice(&head)
            .context("the catalogue head in the store is not valid JSON")?;
        let revision = new_head["revision"]
            .as_u64()
            .context("the catalogue head in the store has no revision")?;
        new_head["revision"] = (revision + 1).into();
        self.put(testbed, &shard_key(shard_of(what)), value.as_bytes());
        self.put(testbed, HEAD_KEY, &serde_json::to_vec(&new_head)?);
        Ok(())
    }

    fn put(&mut self, testbed: &ScenarioTestbed, key: &str, value: &[u8]) {
        if let Some(old) = testbed.store.value(key) {
            self.0.push((key.into(), old));
        }
        testbed.store.put(key, value);
    }

    /// Restores the original values in reverse order, so that a key that was overwritten twice gets its first value.
    pub fn repair(&mut self, testbed: &ScenarioTestbed) {
        while let Some((key, value)) = self.0.pop() {
            testbed.store.put(&key, &value);
        }
    }
}

/// Sends random bytes to every socket of nodes and fabrics; returns the numbers of datagrams and of connections.
///
/// # Errors
///
/// The UDP socket to send from cannot be opened. Targets that refuse are skipped.
pub fn send_garbage(
    testbed: &ScenarioTestbed,
    count: u32,
    bytes: usize,
    seed: u64,
) -> Result<(u32, u32)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (datagrams, streams) = testbed.listen_addresses();
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let mut sent = (0, 0);
    for address in datagrams {
        for _ in 0..count {
            let payload = random_payload(&mut rng, bytes);
            // A closed port refuses the datagram.
            if socket.send_to(&payload, address).is_ok() {
                sent.0 += 1;
            }
        }
    }
    for address in streams {
        for _ in 0..count.min(CONNECTIONS_MAX) {
            let payload = random_payload(&mut rng, bytes);
            if send_stream(address, &payload).is_ok() {
                sent.1 += 1;
            }
        }
    }
    Ok(sent)
}

fn random_payload(rng: &mut SmallRng, max_bytes: usize) -> Vec<u8> {
    let mut payload = vec![0; rng.random_range(1..=max_bytes)];
    rng.fill_bytes(&mut payload);
    // Half of the payloads begin with the current protocol version, so that they pass the first check.
    if rng.random_bool(0.5) {
        payload[0] = 1;
    }
    payload
}

fn send_stream(address: SocketAddrV4, payload: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
    stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
    stream.write_all(payload)
}
