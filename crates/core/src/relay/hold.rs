//! Packets that wait while an entry that has just started loads its view.
//!
//! The load meant is that of all callers returning at once after a loss of power: their first packets arrive while
//! entries start, and a packet that is dropped is repeated only after some hundred milliseconds, if at all. An entry
//! is loaded within a tenth of a second, so that the wait is short and bounded.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Longest wait of a packet; a caller repeats a first packet after 200 ms and again after 400 ms.
const HOLD_TIME: Duration = Duration::from_millis(350);

/// Packets that wait; 600 KB at most.
const PACKETS_MAX: usize = 512;

#[derive(Debug)]
struct HeldPacket {
    bytes: Vec<u8>,
    expires: Instant,
}

/// Packets in the order of their arrival.
#[derive(Debug, Default)]
pub struct HoldQueue {
    packets: VecDeque<HeldPacket>,
}

impl HoldQueue {
    /// Keeps a packet, or returns false if there is no room.
    pub fn push(&mut self, packet: &[u8], now: Instant) -> bool {
        if self.packets.len() >= PACKETS_MAX {
            return false;
        }
        self.packets.push_back(HeldPacket {
            bytes: packet.to_vec(),
            expires: now + HOLD_TIME,
        });
        true
    }

    /// Returns whether no packet waits.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Returns the packets that have not waited for too long, and empties the queue.
    pub fn take(&mut self, now: Instant) -> Vec<Vec<u8>> {
        let packets = std::mem::take(&mut self.packets);
        let live = packets.into_iter().filter(|packet| now < packet.expires);
        live.map(|packet| packet.bytes).collect()
    }
}
